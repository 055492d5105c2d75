"""The embedded store: SQLite in WAL mode, one writer, one transaction an order.

A process killed at any point leaves the last whole transaction (SQLite's own guarantee in WAL mode). With
`synchronous = NORMAL` a power cut may lose the newest transactions but never tears one; gateways then hold
newer tables than the store, which their content hashes show at the next stream, and they are put right.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Mapping
from pathlib import Path
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state.store.leases import Charge

VERSION = 1
SCHEMA = """
CREATE TABLE IF NOT EXISTS about (key TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS slices (slice INTEGER PRIMARY KEY, owner TEXT NOT NULL DEFAULT '',
    until INTEGER NOT NULL DEFAULT 0, term INTEGER NOT NULL DEFAULT 0);
CREATE TABLE IF NOT EXISTS lines (slice INTEGER NOT NULL, endpoint TEXT NOT NULL, weight REAL NOT NULL,
    PRIMARY KEY (slice, endpoint)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS standing (key TEXT PRIMARY KEY, value REAL NOT NULL) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS gateways (number INTEGER PRIMARY KEY, node TEXT NOT NULL UNIQUE);
CREATE TABLE IF NOT EXISTS listed (endpoint TEXT PRIMARY KEY, zone TEXT NOT NULL, state TEXT NOT NULL,
    weight REAL NOT NULL, started INTEGER NOT NULL) WITHOUT ROWID;
"""


class StoreError(Exception):
    """The store cannot be used; the text names the file and the remedy."""


class ListedAt(NamedTuple):
    """When an entry of the endpoint list was last listed (clock time, ns; 0: not known), and by which source."""

    time: int
    source: str


class Store:
    """Tables, custody, gateway numbers and the list, in one file."""

    def __init__(self, path: Path, slices: int) -> None:
        self.path, self.slices = path, slices
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            self.db = sqlite3.connect(path, isolation_level=None, check_same_thread=False, timeout=2.0)
            self.db.execute("PRAGMA journal_mode = WAL")
            self.db.execute("PRAGMA synchronous = NORMAL")
            if self.db.execute("PRAGMA quick_check").fetchone()[0] != "ok":
                raise sqlite3.DatabaseError("the check of its pages failed")
            self.db.executescript(SCHEMA)
            if "at" not in {row[1] for row in self.db.execute("PRAGMA table_info(listed)")}:
                self.db.execute("ALTER TABLE listed ADD COLUMN at INTEGER NOT NULL DEFAULT 0")
                self.db.execute("ALTER TABLE listed ADD COLUMN source TEXT NOT NULL DEFAULT ''")
            self._settle()
        except (sqlite3.Error, OSError) as error:
            raise StoreError(
                f"{path}: the store cannot be opened ({error}); check folder, rights and space, or "
                "move the file away to start with empty tables"
            ) from None

    def _settle(self) -> None:
        """Check version and number of slices; make the slices' rows at the first start."""
        about = dict(self.db.execute("SELECT key, value FROM about"))
        for key, ours in (("version", VERSION), ("slices", self.slices)):
            if key in about and int(about[key]) != ours:
                raise StoreError(
                    f"{self.path}: the store was written with {key} {about[key]}, the settings say "
                    f"{ours}; keep the setting, or move the file away to start anew"
                )
        with self.transaction():
            self.db.executemany(
                "INSERT OR IGNORE INTO about VALUES (?, ?)", [("version", str(VERSION)), ("slices", str(self.slices))]
            )
            self.db.executemany("INSERT OR IGNORE INTO slices (slice) VALUES (?)", [(n,) for n in range(self.slices)])

    def transaction(self) -> _Transaction:
        return _Transaction(self.db)

    def epoch(self) -> int:
        """A number that grows with each start on this store."""
        with self.transaction():
            row = self.db.execute("SELECT value FROM about WHERE key = 'epoch'").fetchone()
            number = int(row[0]) + 1 if row else 1
            self.db.execute("INSERT OR REPLACE INTO about VALUES ('epoch', ?)", (str(number),))
        return number

    # -- tables

    def tables(self) -> dict[int, dict[str, float]]:
        result: dict[int, dict[str, float]] = {n: {} for n in range(self.slices)}
        for number, endpoint, weight in self.db.execute("SELECT slice, endpoint, weight FROM lines"):
            result[number][endpoint] = weight
        return result

    def standing(self) -> dict[str, float]:
        """Withdrawals, levels and retry modes (see Published.standing)."""
        return dict(self.db.execute("SELECT key, value FROM standing"))

    def write(self, tables: Mapping[int, Mapping[str, float]], standing: Mapping[str, float] | None = None) -> None:
        """Replace the lines of some slices and, if given, all standing orders, in one transaction."""
        with self.transaction():
            for number, lines in tables.items():
                self.db.execute("DELETE FROM lines WHERE slice = ?", (number,))
                self.db.executemany(
                    "INSERT INTO lines VALUES (?, ?, ?)", [(number, name, weight) for name, weight in lines.items()]
                )
            if standing is not None:
                self.db.execute("DELETE FROM standing")
                self.db.executemany("INSERT INTO standing VALUES (?, ?)", list(standing.items()))

    # -- custody (see custody.Custody)

    def claim(self, owner: str, now: int, lease: int) -> list[Charge]:
        with self.transaction():
            self.db.execute(
                "UPDATE slices SET owner = ?, until = ?, term = term + 1 "
                "WHERE owner != ? AND (owner = '' OR until <= ?)",
                (owner, now + lease, owner, now),
            )
            self.db.execute("UPDATE slices SET until = ? WHERE owner = ?", (now + lease, owner))
        return self._charges(owner)

    def renew(self, owner: str, now: int, lease: int) -> list[Charge]:
        with self.transaction():
            self.db.execute("UPDATE slices SET until = ? WHERE owner = ?", (now + lease, owner))
        return self._charges(owner)

    def release(self, owner: str) -> None:
        with self.transaction():
            self.db.execute("UPDATE slices SET owner = '', until = 0 WHERE owner = ?", (owner,))

    def _charges(self, owner: str) -> list[Charge]:
        rows = self.db.execute("SELECT slice, owner, term FROM slices WHERE owner = ? ORDER BY slice", (owner,))
        return [Charge(*row) for row in rows]

    # -- gateways and list

    def gateway(self, node: str) -> int:
        """The number of a node id, the same in every life of the pilot."""
        row = self.db.execute("SELECT number FROM gateways WHERE node = ?", (node,)).fetchone()
        if row:
            return row[0]
        with self.transaction():
            last = self.db.execute("SELECT COALESCE(MAX(number), -1) FROM gateways").fetchone()[0]
            self.db.execute("INSERT INTO gateways VALUES (?, ?)", (last + 1, node))
        return last + 1

    def listed(self) -> list[api.EndpointEntry]:
        return [
            api.EndpointEntry(*row)
            for row in self.db.execute("SELECT endpoint, zone, state, weight, started FROM listed")
        ]

    def listed_at(self) -> dict[str, ListedAt]:
        """When and by which source each entry of the list was last listed, by endpoint."""
        rows = self.db.execute("SELECT endpoint, at, source FROM listed")
        return {endpoint: ListedAt(time, source) for endpoint, time, source in rows}

    def keep_list(
        self,
        entries: Iterable[api.EndpointEntry],
        at: int = 0,
        source: str = "",
        held: Mapping[str, object] | None = None,
    ) -> None:
        """The list in force. Entries that are `held`, though no source names them, keep their former time."""
        former = self.listed_at() if held else {}
        with self.transaction():
            self.db.execute("DELETE FROM listed")
            self.db.executemany(
                "INSERT INTO listed VALUES (?, ?, ?, ?, ?, ?, ?)",
                [
                    (*e, *(former.get(e.endpoint, (0, "")) if held and e.endpoint in held else (at, source)))
                    for e in entries
                ],
            )

    def close(self) -> None:
        self.db.close()


class _Transaction:
    """BEGIN IMMEDIATE to COMMIT, or ROLLBACK on an error."""

    def __init__(self, db: sqlite3.Connection) -> None:
        self.db = db

    def __enter__(self) -> None:
        self.db.execute("BEGIN IMMEDIATE")

    def __exit__(self, kind: object, error: object, trace: object) -> None:
        self.db.execute("ROLLBACK" if kind else "COMMIT")
