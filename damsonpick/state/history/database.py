"""Stores the history in a database of its own, so that a full history never blocks writes to the store of the tables.

Each version is one row, and each write is one transaction. A difference is stored as compressed JSON. A checksum (XXH3)
covers each row. If a row's checksum does not match, or a row is not the parent of the next newer version, this row and
all older ones are ignored.
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

VersionColumns = tuple[int, str, int, int, str, str]  # columns of a row, without difference and checksum


class LoadedVersions(NamedTuple):
    """Versions read from the database, and the problem of the read.

    Attributes:
        versions: The usable versions, oldest first.
        problem: Why stored versions were not loaded, as text for operators; empty if all were loaded.
    """

    versions: list[Version]
    problem: str


class StoredPin(NamedTuple):
    """The stored fields of a pin (see `pin.Pin`)."""

    version: int
    until: int
    generation: int
    caps_levels: bool


NO_PIN = StoredPin(0, 0, 0, False)


class VersionDatabase(Protocol):
    """Persistent storage of the versions and the pin."""

    def load(self) -> LoadedVersions:
        """Return the versions that can be read."""

    def append(self, versions: list[Version], lowest: int) -> None:
        """Add versions and remove those with numbers below `lowest`."""

    def load_pin(self) -> StoredPin:
        """Return the pin as last saved, or `NO_PIN` if none was saved."""

    def save_pin(self, pin: StoredPin) -> None:
        """Replace the pin."""

    def close(self) -> None:
        """Close the database."""


class HistoryDatabase:
    """History database in SQLite."""

    def __init__(self, path: Path) -> None:
        """Open or create a database.

        Raises:
            HistoryDatabaseError: The database cannot be opened.
        """
        self.path = path
        try:
            self.db = connect(path)
            self.db.executescript(SCHEMA)
            if not has_column(self.db, "pin", "levels"):  # the database was created by an earlier release
                self.db.execute("ALTER TABLE pin ADD COLUMN levels INTEGER NOT NULL DEFAULT 0")
        except (sqlite3.Error, OSError) as error:
            raise HistoryDatabaseError(path, error) from None

    def load(self) -> LoadedVersions:
        """Return the longest sequence of valid versions that ends at the newest and has no gap."""
        newest_first: list[Version] = []
        problem = ""
        try:
            for row in self.db.execute("SELECT * FROM versions ORDER BY number DESC"):
                version = _version_of(row)
                is_parent = not newest_first or (version is not None and newest_first[-1].parent == version.number)
                if version is None or not is_parent:
                    problem = f"version {row[0]} is damaged: it and all older versions are ignored"
                    break
                newest_first.append(version)
        except sqlite3.DatabaseError as error:
            problem = f"{self.path}: {error}"
        return LoadedVersions(newest_first[::-1], problem)

    def append(self, versions: list[Version], lowest: int) -> None:
        """Add versions and remove those with numbers below `lowest`, in one transaction.

        Raises:
            sqlite3.Error: The write failed; the database is unchanged.
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
        """Return the pin as last saved, or `NO_PIN` if none was saved."""
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
    """Replaces a database that cannot be opened: the pilot continues to serve and keeps versions in memory.

    The file is not modified. A restart uses it again once it can be opened.
    """

    def __init__(self, error: HistoryDatabaseError) -> None:
        """Create the replacement; `error` is the reason why the database cannot be opened."""
        self.error = error

    def load(self) -> LoadedVersions:
        """Return no versions, and the reason."""
        return LoadedVersions([], str(self.error))

    def append(self, versions: list[Version], lowest: int) -> None:
        """Reject the write.

        Raises:
            HistoryDatabaseError: Always.
        """
        raise self.error

    def load_pin(self) -> StoredPin:
        """Return `NO_PIN`."""
        return NO_PIN

    def save_pin(self, pin: StoredPin) -> None:
        """Reject the write.

        Raises:
            HistoryDatabaseError: Always.
        """
        raise self.error

    def close(self) -> None:
        """Do nothing, as no database is open."""


def open_history(path: Path) -> VersionDatabase:
    """Open a history database; return an `UnavailableDatabase` if it cannot be opened."""
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
    """Return the checksum of the columns' Python representation and the compressed difference."""
    return xxhash.xxh3_128_hexdigest(repr(columns).encode() + compressed)


def _version_of(row: tuple) -> Version | None:
    """Return the version in a row, or None if the checksum does not match."""
    number, root, parent, published_at, cause, note, compressed, checksum = row
    if _checksum((number, root, parent, published_at, cause, note), compressed) != checksum:
        return None
    difference: Difference = {}
    for unit, changes in json.loads(zlib.decompress(compressed)).items():
        difference[unit] = {key: ValueChange(*values) for key, values in changes.items()}
    return Version(number, root, parent, published_at, cause, note, difference)
