"""Connections to the SQLite databases of a state folder, all in WAL mode.

A process killed at any point leaves the last whole transaction (SQLite's own guarantee in WAL mode). With
`synchronous = NORMAL` a power cut may lose the newest transactions but never tears one.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

LOCK_TIMEOUT_S = 2.0


def connect(path: Path, check_same_thread: bool = True) -> sqlite3.Connection:
    """Open a database in WAL mode without implicit transactions; its folder is created if it does not exist.

    Raises:
        sqlite3.Error, OSError: the file or its folder cannot be used.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    connection = sqlite3.connect(
        path, isolation_level=None, check_same_thread=check_same_thread, timeout=LOCK_TIMEOUT_S
    )
    connection.execute("PRAGMA journal_mode = WAL")
    connection.execute("PRAGMA synchronous = NORMAL")
    return connection


def has_column(connection: sqlite3.Connection, table: str, column: str) -> bool:
    """Whether a table has a column; a database of an earlier release may lack one."""
    return column in {row[1] for row in connection.execute(f"PRAGMA table_info({table})")}


@contextmanager
def transaction(connection: sqlite3.Connection) -> Iterator[None]:
    """A write transaction: committed at the end of the block, rolled back on an error in it."""
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
    except BaseException:
        connection.execute("ROLLBACK")
        raise
    connection.execute("COMMIT")
