"""Stored keys of a published state: one for each table entry, level, withdrawal and retry mode of a unit.

A unit is the smallest part of the state that a gateway receives: the table of a slice, the withdrawals and levels of
the fleet, or the retry routes. The keys are stored with each version, so their text must not change.
"""

from __future__ import annotations

from damsonpick.state.published_tables import FLEET

ENTRY_PREFIX = "line "
WITHDRAWN_PREFIX = "out "
FLEET_TABLE = "-"  # replaces the table number in the key of a retry mode of the fleet
SLICE_KIND = "slice"


def entry_key(endpoint: str) -> str:
    """Return the key of a table entry; its value is the weight."""
    return ENTRY_PREFIX + endpoint


def entry_endpoint(key: str) -> str | None:
    """Return the endpoint in the key of a table entry, or None if the key is of another kind."""
    return key.removeprefix(ENTRY_PREFIX) if key.startswith(ENTRY_PREFIX) else None


def withdrawn_key(endpoint: str) -> str:
    """Return the key of a withdrawal; its value is 1."""
    return WITHDRAWN_PREFIX + endpoint


def level_key(class_index: int) -> str:
    """Return the key of an admission level; its value is the admitted share, 0 to 1."""
    return f"level {class_index}"


def retry_key(table: int | None, class_index: int) -> str:
    """Return the key of a retry mode of a slice's table, or of the fleet if `table` is None; its value is the mode."""
    return f"retry {FLEET_TABLE if table is None else table} {class_index}"


def slice_number(unit: str) -> int | None:
    """Return the slice number of a unit, or None if it is the unit of the fleet or the routes."""
    kind, _, number = unit.partition("/")
    return int(number) if kind == SLICE_KIND else None


def has_levels(unit: str) -> bool:
    """Return whether a unit has admission levels. The units of the fleet and of the slices have them."""
    return unit == FLEET or slice_number(unit) is not None
