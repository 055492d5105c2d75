"""The history on disk, in a database of its own, so that a full history never stops the tables' store.

One row for each version, one transaction for each write. Differences are compressed JSON under a checksum (XXH3): a row
that does not read as it was written is refused, and with it everything older.
"""

from __future__ import annotations

import json
import sqlite3
import zlib
from pathlib import Path
from typing import NamedTuple, Protocol

import xxhash

from damsonpick.state.history.errors import HistoryDatabaseError
from damsonpick.state.history.version import Difference, ValueChange, Version
from damsonpick.state.store.connection import connect, has_column

SCHEMA = """
CREATE TABLE IF NOT EXISTS versions (number INTEGER PRIMARY KEY, root TEXT NOT NULL, parent INTEGER NOT NULL,
    at INTEGER NOT NULL, cause TEXT NOT NULL, note TEXT NOT NULL, difference BLOB NOT NULL, sum TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS pin (one INTEGER PRIMARY KEY CHECK (one = 1), version INTEGER NOT NULL,
    until INTEGER NOT NULL, generation INTEGER NOT NULL, levels INTEGER NOT NULL DEFAULT 0);
"""
COMPRESSION_LEVEL = 1

VersionColumns = tuple[int, str, int, int, str, str]  # of a row, without difference and checksum


class LoadedVersions(NamedTuple):
    """Versions, oldest first, and what was wrong with those that are left out ('': nothing)."""

    versions: list[Version]
    problem: str


class StoredPin(NamedTuple):
    """The pin as stored (see `pin.Pin`)."""

    version: int
    until: int
    generation: int
    caps_levels: bool


NO_PIN = StoredPin(0, 0, 0, False)


class VersionDatabase(Protocol):
    """What keeps versions and the pin."""

    def load(self) -> LoadedVersions:
        """The versions that can be read."""

    def append(self, versions: list[Version], lowest: int) -> None:
        """Add versions and forget those below `lowest`."""

    def load_pin(self) -> StoredPin:
        """The pin as last saved."""

    def save_pin(self, pin: StoredPin) -> None:
        """Replace the pin."""

    def close(self) -> None:
        """Close the database."""


class HistoryDatabase:
    """The history in SQLite."""

    def __init__(self, path: Path) -> None:
        """Open or create a database.

        Raises:
            HistoryDatabaseError: it cannot be opened.
        """
        self.path = path
        try:
            self.db = connect(path)
            self.db.executescript(SCHEMA)
            if not has_column(self.db, "pin", "levels"):  # written by an earlier release
                self.db.execute("ALTER TABLE pin ADD COLUMN levels INTEGER NOT NULL DEFAULT 0")
        except (sqlite3.Error, OSError) as error:
            raise HistoryDatabaseError(path, error) from None

    def load(self) -> LoadedVersions:
        """The unbroken sequence of versions up to the newest."""
        newest_first: list[Version] = []
        problem = ""
        try:
            for row in self.db.execute("SELECT * FROM versions ORDER BY number DESC"):
                version = _version_of(row)
                is_parent = not newest_first or (version is not None and newest_first[-1].parent == version.number)
                if version is None or not is_parent:
                    problem = f"version {row[0]} is damaged: it and older ones are left out"
                    break
                newest_first.append(version)
        except sqlite3.DatabaseError as error:
            problem = f"{self.path}: {error}"
        return LoadedVersions(newest_first[::-1], problem)

    def append(self, versions: list[Version], lowest: int) -> None:
        """Add versions and forget those below `lowest`, in one transaction.

        Raises:
            sqlite3.Error: nothing is changed.
        """
        self.db.execute("BEGIN IMMEDIATE")
        try:
            rows = [_row_of(version) for version in versions]
            self.db.executemany("INSERT OR REPLACE INTO versions VALUES (?, ?, ?, ?, ?, ?, ?, ?)", rows)
            self.db.execute("DELETE FROM versions WHERE number < ?", (lowest,))
            self.db.execute("COMMIT")
        except BaseException:
            self.db.execute("ROLLBACK")
            raise

    def load_pin(self) -> StoredPin:
        """The pin as last saved."""
        row = self.db.execute("SELECT version, until, generation, levels FROM pin").fetchone()
        if row is None:
            return NO_PIN
        version, until, generation, caps_levels = row
        return StoredPin(version, until, generation, bool(caps_levels))

    def save_pin(self, pin: StoredPin) -> None:
        """Replace the pin."""
        self.db.execute(
            "INSERT OR REPLACE INTO pin (one, version, until, generation, levels) VALUES (1, ?, ?, ?, ?)",
            (pin.version, pin.until, pin.generation, int(pin.caps_levels)),
        )

    def close(self) -> None:
        """Close the database."""
        self.db.close()


class UnavailableDatabase:
    """In place of a database that cannot be opened: service goes on and versions are kept in memory.

    What is on disk is left alone; a restart takes it up again once it can be opened.
    """

    def __init__(self, error: HistoryDatabaseError) -> None:
        """Name why the database cannot be opened."""
        self.error = error

    def load(self) -> LoadedVersions:
        """No versions, and why."""
        return LoadedVersions([], str(self.error))

    def append(self, versions: list[Version], lowest: int) -> None:
        """Refuse to write.

        Raises:
            HistoryDatabaseError: always.
        """
        raise self.error

    def load_pin(self) -> StoredPin:
        """No pin."""
        return NO_PIN

    def save_pin(self, pin: StoredPin) -> None:
        """Refuse to write.

        Raises:
            HistoryDatabaseError: always.
        """
        raise self.error

    def close(self) -> None:
        """Nothing is open."""


def open_history(path: Path) -> VersionDatabase:
    """The database of a history, or what stands in for one that cannot be opened."""
    try:
        return HistoryDatabase(path)
    except HistoryDatabaseError as error:
        return UnavailableDatabase(error)


def _row_of(version: Version) -> tuple[object, ...]:
    text = json.dumps(version.difference, separators=(",", ":"), sort_keys=True)
    compressed = zlib.compress(text.encode(), COMPRESSION_LEVEL)
    columns = (
        version.number,
        version.root,
        version.parent,
        version.published_at,
        version.cause,
        version.note,
    )
    return (*columns, compressed, _checksum(columns, compressed))


def _checksum(columns: VersionColumns, compressed: bytes) -> str:
    """Over the columns as Python writes them and the compressed difference."""
    return xxhash.xxh3_128_hexdigest(repr(columns).encode() + compressed)


def _version_of(row: tuple) -> Version | None:
    """The version of a row; None: the row is damaged."""
    number, root, parent, published_at, cause, note, compressed, checksum = row
    if _checksum((number, root, parent, published_at, cause, note), compressed) != checksum:
        return None
    difference: Difference = {}
    for unit, changes in json.loads(zlib.decompress(compressed)).items():
        difference[unit] = {key: ValueChange(*values) for key, values in changes.items()}
    return Version(number, root, parent, published_at, cause, note, difference)
