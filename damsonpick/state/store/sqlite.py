"""The embedded store: SQLite in WAL mode with one writer and one transaction for each set of actions.

After a power cut, gateways may have newer tables than the store (see `connection`). When such a gateway opens its next
stream, the content hashes reveal the difference, and the tables are published again.

The names of tables and columns are part of the stored format: `lines` contains the table entries, `standing` the
persistent actions, `listed` the endpoint list, and `slices` the leases.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Collection, Iterable, Mapping
from contextlib import AbstractContextManager
from pathlib import Path
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state.store.connection import connect, has_column, transaction
from damsonpick.state.store.errors import GatewayLimitError, StoreMismatchError, StoreUnusableError
from damsonpick.state.store.leases import SliceLease

MAX_GATEWAYS = 50_000  # node ids that have a number; below the numbers of additional streams of one node id
SCHEMA_VERSION = 1
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
KEY_EPOCH = "epoch"
KEY_SCHEMA_VERSION = "version"
KEY_SLICES = "slices"


class ListedAt(NamedTuple):
    """Clock time when an entry of the endpoint list was last listed (ns, 0 if unknown), and the source of that list."""

    time: int
    source: str


NEVER_LISTED = ListedAt(0, "")


class Store:
    """Store of tables, persistent actions, leases, gateway numbers and the endpoint list, in one file."""

    def __init__(self, path: Path, slices: int) -> None:
        """Open or create a store.

        Args:
            path: File of the database.
            slices: Number of slices; a store with another number is rejected.

        Raises:
            StoreUnusableError: The database cannot be opened, or it is damaged.
            StoreMismatchError: The store was written with another number of slices or another schema.
        """
        self.path = path
        self.slices = slices
        try:
            self.db = connect(path, check_same_thread=False)
            self._check_pages()
            self.db.executescript(SCHEMA)
            self._add_columns()
            self._initialize()
        except (sqlite3.Error, OSError) as error:
            raise StoreUnusableError(path, error) from None

    def _check_pages(self) -> None:
        if self.db.execute("PRAGMA quick_check").fetchone()[0] != "ok":
            raise StoreUnusableError(self.path, "the integrity check of its pages failed")

    def _add_columns(self) -> None:
        """Add the columns that stores of earlier releases lack."""
        if not has_column(self.db, "listed", "at"):
            self.db.execute("ALTER TABLE listed ADD COLUMN at INTEGER NOT NULL DEFAULT 0")
            self.db.execute("ALTER TABLE listed ADD COLUMN source TEXT NOT NULL DEFAULT ''")

    def _initialize(self) -> None:
        """Check the schema version and the number of slices; create the rows of the slices at the first start."""
        about = dict(self.db.execute("SELECT key, value FROM about"))
        expected = {KEY_SCHEMA_VERSION: SCHEMA_VERSION, KEY_SLICES: self.slices}
        for key, value in expected.items():
            if key in about and int(about[key]) != value:
                raise StoreMismatchError(self.path, key, about[key], value)
        with self.transaction():
            rows = [(key, str(value)) for key, value in expected.items()]
            self.db.executemany("INSERT OR IGNORE INTO about VALUES (?, ?)", rows)
            numbers = [(number,) for number in range(self.slices)]
            self.db.executemany("INSERT OR IGNORE INTO slices (slice) VALUES (?)", numbers)

    def transaction(self) -> AbstractContextManager[None]:
        """Return a context manager that runs its block in a write transaction, and rolls back if the block raises."""
        return transaction(self.db)

    def next_epoch(self) -> int:
        """Return a number that increases with each call, across restarts too; a pilot requests one at each start."""
        with self.transaction():
            row = self.db.execute("SELECT value FROM about WHERE key = ?", (KEY_EPOCH,)).fetchone()
            number = int(row[0]) + 1 if row else 1
            self.db.execute("INSERT OR REPLACE INTO about VALUES (?, ?)", (KEY_EPOCH, str(number)))
        return number

    # -- tables and persistent actions

    def load_tables(self) -> dict[int, dict[str, float]]:
        """Return the weight of each entry, by slice and endpoint; a slice without entries has an empty table."""
        tables: dict[int, dict[str, float]] = {number: {} for number in range(self.slices)}
        for number, endpoint, weight in self.db.execute("SELECT slice, endpoint, weight FROM lines"):
            tables[number][endpoint] = weight
        return tables

    def load_persistent_actions(self) -> dict[str, float]:
        """Return withdrawals, admission levels and retry modes by key (see `persistent_actions`)."""
        return dict(self.db.execute("SELECT key, value FROM standing"))

    def save_tables(
        self, tables: Mapping[int, Mapping[str, float]], persistent_actions: Mapping[str, float] | None = None
    ) -> None:
        """Replace the tables of some slices and, if given, all persistent actions, in one transaction.

        Raises:
            sqlite3.Error: The write failed; the store is unchanged.
        """
        with self.transaction():
            for number, entries in tables.items():
                rows = [(number, endpoint, weight) for endpoint, weight in entries.items()]
                self.db.execute("DELETE FROM lines WHERE slice = ?", (number,))
                self.db.executemany("INSERT INTO lines VALUES (?, ?, ?)", rows)
            if persistent_actions is not None:
                self.db.execute("DELETE FROM standing")
                self.db.executemany("INSERT INTO standing VALUES (?, ?)", list(persistent_actions.items()))

    # -- leases (see leases.LeaseStore)

    def claim(self, owner: str, now: int, duration_ns: int) -> list[SliceLease]:
        """Claim all slices without an unexpired lease, and renew the owner's leases; return all leases of the owner."""
        lease_end = now + duration_ns
        with self.transaction():
            self.db.execute(
                "UPDATE slices SET owner = ?, until = ?, term = term + 1 "
                "WHERE owner != ? AND (owner = '' OR until <= ?)",
                (owner, lease_end, owner, now),
            )
            self.db.execute("UPDATE slices SET until = ? WHERE owner = ?", (lease_end, owner))
        return self._leases(owner)

    def renew(self, owner: str, now: int, duration_ns: int) -> list[SliceLease]:
        """Extend the owner's leases to `now` + `duration_ns`; return the leases that no other owner has claimed."""
        with self.transaction():
            self.db.execute("UPDATE slices SET until = ? WHERE owner = ?", (now + duration_ns, owner))
        return self._leases(owner)

    def release(self, owner: str) -> None:
        """Release all slices of an owner, at a graceful shutdown."""
        with self.transaction():
            self.db.execute("UPDATE slices SET owner = '', until = 0 WHERE owner = ?", (owner,))

    def _leases(self, owner: str) -> list[SliceLease]:
        rows = self.db.execute("SELECT slice, owner, term FROM slices WHERE owner = ? ORDER BY slice", (owner,))
        return [SliceLease(*row) for row in rows]

    # -- gateways and endpoint list

    def gateway_number(self, node: str) -> int:
        """Return the number of a node id; assign one if the node is new. It persists across restarts of the pilot.

        Raises:
            GatewayLimitError: The node is new, and `MAX_GATEWAYS` others are known.
        """
        row = self.db.execute("SELECT number FROM gateways WHERE node = ?", (node,)).fetchone()
        if row:
            return row[0]
        with self.transaction():
            last = self.db.execute("SELECT COALESCE(MAX(number), -1) FROM gateways").fetchone()[0]
            if last + 1 >= MAX_GATEWAYS:
                raise GatewayLimitError(MAX_GATEWAYS)
            self.db.execute("INSERT INTO gateways VALUES (?, ?)", (last + 1, node))
        return last + 1

    def load_endpoint_list(self) -> list[api.EndpointEntry]:
        """Return the endpoint list as last saved."""
        rows = self.db.execute("SELECT endpoint, zone, state, weight, started FROM listed")
        return [api.EndpointEntry(*row) for row in rows]

    def listed_at(self) -> dict[str, ListedAt]:
        """Return when and by which source each entry of the list was last listed, by endpoint."""
        rows = self.db.execute("SELECT endpoint, at, source FROM listed")
        return {endpoint: ListedAt(time, source) for endpoint, time, source in rows}

    def save_endpoint_list(
        self,
        entries: Iterable[api.EndpointEntry],
        listed: ListedAt = NEVER_LISTED,
        held: Collection[str] = (),
    ) -> None:
        """Replace the endpoint list.

        Args:
            entries: Entries of the effective list.
            listed: Time and source of the list.
            held: Endpoints that stay effective although the list omits them; they keep their previous time and source.

        Raises:
            sqlite3.Error: The write failed; the store is unchanged.
        """
        former = self.listed_at() if held else {}
        rows = []
        for entry in entries:
            is_held = entry.endpoint in held
            entry_listed = former.get(entry.endpoint, NEVER_LISTED) if is_held else listed
            rows.append((*entry, *entry_listed))
        with self.transaction():
            self.db.execute("DELETE FROM listed")
            self.db.executemany("INSERT INTO listed VALUES (?, ?, ?, ?, ?, ?, ?)", rows)

    def close(self) -> None:
        """Close the database."""
        self.db.close()
