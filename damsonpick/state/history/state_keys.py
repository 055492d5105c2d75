"""The stored keys of a published state: one for each entry, level, withdrawal and retry mode of a unit.

A unit is what a gateway is sent whole: the table of a slice, the fleet's withdrawals and levels, or the retry routes.
These texts are stored with each version; they must not change.
"""

from __future__ import annotations

from damsonpick.state.published_tables import FLEET

ENTRY_PREFIX = "line "
WITHDRAWN_PREFIX = "out "
FLEET_TABLE = "-"
SLICE_KIND = "slice"


def entry_key(endpoint: str) -> str:
    """The key of a table entry; its value is the weight."""
    return ENTRY_PREFIX + endpoint


def entry_endpoint(key: str) -> str | None:
    """The endpoint of an entry's key; None: it is the key of something else."""
    return key.removeprefix(ENTRY_PREFIX) if key.startswith(ENTRY_PREFIX) else None


def withdrawn_key(endpoint: str) -> str:
    """The key of a withdrawal; its value is 1."""
    return WITHDRAWN_PREFIX + endpoint


def level_key(class_index: int) -> str:
    """The key of an admission level; its value is the admitted share, 0 to 1."""
    return f"level {class_index}"


def retry_key(table: int | None, class_index: int) -> str:
    """The key of a retry mode, of a slice's table or (None) the fleet's; its value is the mode."""
    return f"retry {FLEET_TABLE if table is None else table} {class_index}"


def slice_number(unit: str) -> int | None:
    """The slice of a unit; None: it is the fleet's or the routes'."""
    kind, _, number = unit.partition("/")
    return int(number) if kind == SLICE_KIND else None


def has_levels(unit: str) -> bool:
    """Whether admission levels belong to a unit: the fleet's and each slice's have some."""
    return unit == FLEET or slice_number(unit) is not None
