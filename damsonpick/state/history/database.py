"""Versions on disk: a database of their own, so that a full history never stops the tables' store.

One row a version, one transaction a row; SQLite's write-ahead log leaves the last whole transaction after a cut at any
byte. Differences are compressed JSON under a checksum (XXH3): a row that does not read as it was written is refused,
and with it everything older.
"""

from __future__ import annotations

import json
import sqlite3
import zlib
from pathlib import Path

import xxhash

from damsonpick.state.history.history import Version

SCHEMA = """
CREATE TABLE IF NOT EXISTS versions (number INTEGER PRIMARY KEY, root TEXT NOT NULL, parent INTEGER NOT NULL,
    at INTEGER NOT NULL, cause TEXT NOT NULL, note TEXT NOT NULL, difference BLOB NOT NULL, sum TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS pin (one INTEGER PRIMARY KEY CHECK (one = 1), version INTEGER NOT NULL,
    until INTEGER NOT NULL, generation INTEGER NOT NULL, levels INTEGER NOT NULL DEFAULT 0);
"""


class VersionStoreError(Exception):
    """The history cannot be used; the text names the file and the remedy."""


class VersionStore:
    """Args: path: of the database."""

    def __init__(self, path: Path) -> None:
        self.path = path
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            self.db = sqlite3.connect(path, isolation_level=None, timeout=2.0)
            self.db.execute("PRAGMA journal_mode = WAL")
            self.db.execute("PRAGMA synchronous = NORMAL")
            self.db.executescript(SCHEMA)
            if "levels" not in {row[1] for row in self.db.execute("PRAGMA table_info(pin)")}:
                self.db.execute("ALTER TABLE pin ADD COLUMN levels INTEGER NOT NULL DEFAULT 0")
        except (sqlite3.Error, OSError) as error:
            raise VersionStoreError(
                f"{path}: the history cannot be opened ({error}); check folder, rights and space, "
                "or move the file away to begin a new one"
            ) from None

    def load(self) -> tuple[list[Version], str]:
        """Versions, oldest first, and what was wrong with what is left out ('': nothing)."""
        found: list[Version] = []
        try:
            rows = self.db.execute("SELECT * FROM versions ORDER BY number DESC")
            for row in rows:
                version = _read(row)
                if version is None or (found and found[-1].parent != version.number):
                    return found[::-1], f"version {row[0]} is damaged: it and older ones are left out"
                found.append(version)
        except sqlite3.DatabaseError as error:
            return found[::-1], f"{self.path}: {error}"
        return found[::-1], ""

    def append(self, versions: list[Version], lowest: int) -> None:
        """Add versions and forget those below `lowest`, in one transaction."""
        self.db.execute("BEGIN IMMEDIATE")
        try:
            self.db.executemany(
                "INSERT OR REPLACE INTO versions VALUES (?, ?, ?, ?, ?, ?, ?, ?)", [_row(v) for v in versions]
            )
            self.db.execute("DELETE FROM versions WHERE number < ?", (lowest,))
            self.db.execute("COMMIT")
        except BaseException:
            self.db.execute("ROLLBACK")
            raise

    def pin(self) -> tuple[int, int, int, int]:
        """(version, until, generation, whether levels are held) as last set."""
        row = self.db.execute("SELECT version, until, generation, levels FROM pin").fetchone()
        return row if row else (0, 0, 0, 0)

    def set_pin(self, version: int, until: int, generation: int, levels: bool) -> None:
        self.db.execute(
            "INSERT OR REPLACE INTO pin (one, version, until, generation, levels) VALUES (1, ?, ?, ?, ?)",
            (version, until, generation, int(levels)),
        )

    def close(self) -> None:
        self.db.close()


class Unopened:
    """In place of a history that cannot be opened: service goes on and versions are kept in memory.

    What is on disk is left alone, to be looked at; a restart takes it up again once it is mended.
    """

    def __init__(self, why: VersionStoreError) -> None:
        self.why = why

    def load(self) -> tuple[list[Version], str]:
        return [], str(self.why)

    def append(self, versions: list[Version], lowest: int) -> None:
        raise self.why

    def pin(self) -> tuple[int, int, int, int]:
        return (0, 0, 0, 0)

    def set_pin(self, version: int, until: int, generation: int, levels: bool) -> None:
        raise self.why

    def close(self) -> None:
        pass


def open_store(path: Path) -> VersionStore | Unopened:
    """The history of a folder, or what stands in its place."""
    try:
        return VersionStore(path)
    except VersionStoreError as error:
        return Unopened(error)


def _row(version: Version) -> tuple[object, ...]:
    blob = zlib.compress(json.dumps(version.difference, separators=(",", ":"), sort_keys=True).encode(), 1)
    plain = (version.number, version.root, version.parent, version.at, version.cause, version.note)
    return (*plain, blob, _sum(plain, blob))


def _sum(plain: tuple[object, ...], blob: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(repr(plain).encode() + blob)


def _read(row: tuple) -> Version | None:
    *plain, blob, stated = row
    if _sum(tuple(plain), blob) != stated:
        return None
    difference = {
        unit: {key: tuple(pair) for key, pair in keys.items()}
        for unit, keys in json.loads(zlib.decompress(blob)).items()
    }
    return Version(*plain, difference)
