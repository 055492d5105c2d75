"""Persistent actions as the store keeps them: withdrawals, admission levels and retry modes as keys and numbers.

The keys are part of the stored format:

    out ENDPOINT         1: the endpoint is withdrawn
    level TABLE CLASS    the share of a class that is admitted
    retry TABLE CLASS    the retry mode of a class

TABLE is `-` for all tables, CLASS the position of a class in the settings.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

WITHDRAWN, LEVEL, RETRY = "out", "level", "retry"  # kinds of keys
ALL_TABLES = "-"
FULL_LEVEL = 1.0  # needs no action


class Scope(NamedTuple):
    """Where an action on admission holds. `table` None: in all tables."""

    table: int | None
    class_index: int


class StoredWithdrawal(NamedTuple):
    """An endpoint is withdrawn."""

    endpoint: str


class StoredLevel(NamedTuple):
    """The share of a class that is admitted."""

    scope: Scope
    level: float


class StoredRetryMode(NamedTuple):
    """How requests of a class are retried."""

    scope: Scope
    mode: int


StoredAction = StoredWithdrawal | StoredLevel | StoredRetryMode


def encode(
    withdrawn: Iterable[str],
    levels: Mapping[tuple[int | None, int], float],
    retry_modes: Mapping[tuple[int | None, int], int],
) -> dict[str, float]:
    """Keys and numbers of the actions in force; what needs no action is left out."""
    stored = {f"{WITHDRAWN} {endpoint}": 1.0 for endpoint in withdrawn}
    for scope, level in levels.items():
        if level != FULL_LEVEL:
            stored[_scope_key(LEVEL, *scope)] = level
    for scope, mode in retry_modes.items():
        if mode:
            stored[_scope_key(RETRY, *scope)] = float(mode)
    return stored


def decode(stored: Mapping[str, float]) -> Iterator[StoredAction]:
    """The actions behind stored keys, in their order.

    Raises:
        ValueError: a table or class in a key is no number.
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
