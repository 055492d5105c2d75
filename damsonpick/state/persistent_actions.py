"""Encodes persistent actions for the store: withdrawals, admission levels and retry modes as keys and numbers.

The keys are part of the stored format:

    out ENDPOINT         always 1: the endpoint is withdrawn
    level TABLE CLASS    admitted share of a class
    retry TABLE CLASS    retry mode of a class

TABLE is the number of a table, or `-` for all tables. CLASS is the position of a class in the settings.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

WITHDRAWN, LEVEL, RETRY = "out", "level", "retry"  # kinds of keys
ALL_TABLES = "-"
FULL_LEVEL = 1.0  # default level, which is not stored


class Scope(NamedTuple):
    """Table and class that an admission setting applies to. `table` is None for all tables."""

    table: int | None
    class_index: int


class StoredWithdrawal(NamedTuple):
    """Stored action that withdraws an endpoint."""

    endpoint: str


class StoredLevel(NamedTuple):
    """Stored action that sets the admitted share of a class, 0 to 1."""

    scope: Scope
    level: float


class StoredRetryMode(NamedTuple):
    """Stored action that sets the retry mode of a class."""

    scope: Scope
    mode: int


StoredAction = StoredWithdrawal | StoredLevel | StoredRetryMode


def encode(
    withdrawn: Iterable[str],
    levels: Mapping[tuple[int | None, int], float],
    retry_modes: Mapping[tuple[int | None, int], int],
) -> dict[str, float]:
    """Return the keys and numbers of the present actions, without levels and retry modes that have their default."""
    stored = {f"{WITHDRAWN} {endpoint}": 1.0 for endpoint in withdrawn}
    for scope, level in levels.items():
        if level != FULL_LEVEL:
            stored[_scope_key(LEVEL, *scope)] = level
    for scope, mode in retry_modes.items():
        if mode:
            stored[_scope_key(RETRY, *scope)] = float(mode)
    return stored


def decode(stored: Mapping[str, float]) -> Iterator[StoredAction]:
    """Yield the actions of stored keys, in the order of the keys; ignore keys of unknown kinds.

    Raises:
        ValueError: A table or class in a key is not a number.
    """
    for key, value in stored.items():
        kind, _, rest = key.partition(" ")
        if kind == WITHDRAWN:
            yield StoredWithdrawal(rest)
        elif kind == RETRY:
            yield StoredRetryMode(_scope(rest), int(value))
        elif kind == LEVEL:
            yield StoredLevel(_scope(rest), value)


def _scope_key(kind: str, table: int | None, class_index: int) -> str:
    return f"{kind} {ALL_TABLES if table is None else table} {class_index}"


def _scope(text: str) -> Scope:
    table, _, class_index = text.partition(" ")
    return Scope(None if table == ALL_TABLES else int(table), int(class_index))
