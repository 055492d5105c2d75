"""Connections to the SQLite databases of a state folder, all in WAL mode.

If the process is killed at any point, the database contains the last complete transaction; SQLite guarantees this in
WAL mode. With `synchronous = NORMAL`, a power cut may lose the newest transactions but never leaves a partial one.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

LOCK_TIMEOUT_S = 2.0  # longest wait of a statement for a lock of another connection


def connect(path: Path, check_same_thread: bool = True) -> sqlite3.Connection:
    """Open a database in WAL mode without implicit transactions; create its folder if it does not exist.

    Raises:
        sqlite3.Error, OSError: The file or its folder cannot be used.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    connection = sqlite3.connect(
        path, isolation_level=None, check_same_thread=check_same_thread, timeout=LOCK_TIMEOUT_S
    )
    connection.execute("PRAGMA journal_mode = WAL")
    connection.execute("PRAGMA synchronous = NORMAL")
    return connection


def has_column(connection: sqlite3.Connection, table: str, column: str) -> bool:
    """Return whether a table has a column; databases of earlier releases lack some columns."""
    return column in {row[1] for row in connection.execute(f"PRAGMA table_info({table})")}


@contextmanager
def transaction(connection: sqlite3.Connection) -> Iterator[None]:
    """Run the block in a write transaction. Commit after the block, or roll back if the block raises an exception."""
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
    except BaseException:
        connection.execute("ROLLBACK")
        raise
    connection.execute("COMMIT")
