"""A published state as a map of values by unit and key, the difference of two states, and a version. Sans I/O.

The keys are in `state_keys`. A version keeps only what it changed, so it costs what changed and not the table.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Literal, NamedTuple

from damsonpick.state.history.state_keys import (
    entry_endpoint,
    entry_key,
    level_key,
    retry_key,
    slice_number,
    withdrawn_key,
)
from damsonpick.state.published_tables import ROUTES, PublishedTables, slice_unit

UnitContent = dict[str, float]  # value by key
State = dict[str, UnitContent]  # by unit
Cause = Literal["module", "solver", "operator", "rollback", "restart", "list", "gateways"]


class ValueChange(NamedTuple):
    """The value of a key before and after a change; None: it has none."""

    before: float | None
    after: float | None


Difference = dict[str, dict[str, ValueChange]]  # by unit and key


class VersionOrigin(NamedTuple):
    """What a published state comes from.

    Attributes:
        time: clock time, ns.
        root: of the digest over all resources.
        cause: what set it off.
        note: for operators; '': none.
    """

    time: int
    root: str
    cause: Cause
    note: str = ""


class Version(NamedTuple):
    """One published state. Its fields, but the difference, are stored as they stand here.

    Attributes:
        number: grows by one with each version.
        root: of the digest over all resources.
        parent: number of the version before; 0: none.
        published_at: clock time, ns; never before that of the parent.
        cause: what set it off.
        note: for operators; '': none.
        difference: against the parent.
    """

    number: int
    root: str
    parent: int
    published_at: int
    cause: Cause
    note: str
    difference: Difference

    def summary(self) -> dict[str, object]:
        """A row of `damsonpick versions list`, by its JSON keys."""
        return {
            "version": self.number,
            "root": self.root,
            "parent": self.parent,
            "at": self.published_at,
            "cause": self.cause,
            "note": self.note,
            "units": len(self.difference),
            "lines": sum(map(len, self.difference.values())),
        }


def unit_content(published: PublishedTables, unit: str) -> UnitContent:
    """What a unit holds now. Levels of 1 and retry modes of 0 are the default and are left out."""
    if unit == ROUTES:
        return {retry_key(*place): float(mode) for place, mode in published.retries.items() if mode}
    table = slice_number(unit)
    if table is None:
        content = {withdrawn_key(endpoint): 1.0 for endpoint in published.withdrawn}
    else:
        content = {entry_key(endpoint): weight for endpoint, weight in published.tables[table].items()}
    for class_index in range(len(published.classes)):
        level = published.levels.get((table, class_index), 1.0)
        if level != 1.0:
            content[level_key(class_index)] = level
    return content


def slice_entries(state: State, number: int) -> dict[str, float]:
    """The table of one slice in a state: weight by endpoint."""
    entries = {}
    for key, value in state.get(slice_unit(number), {}).items():
        endpoint = entry_endpoint(key)
        if endpoint is not None:
            entries[endpoint] = value
    return entries


def changed_values(before: Mapping[str, float], after: Mapping[str, float]) -> dict[str, ValueChange]:
    """Keys of one unit whose values differ."""
    changed = {}
    for key in {**before, **after}:
        if before.get(key) != after.get(key):
            changed[key] = ValueChange(before.get(key), after.get(key))
    return changed


def state_difference(before: State, after: State) -> Difference:
    """What differs between two states."""
    difference = {}
    for unit in {**before, **after}:
        changed = changed_values(before.get(unit, {}), after.get(unit, {}))
        if changed:
            difference[unit] = changed
    return difference


def copy_state(state: State) -> State:
    """An independent copy of a state."""
    return {unit: dict(content) for unit, content in state.items()}


def apply_difference(state: State, difference: Difference) -> None:
    """Bring a state from before a difference to after it."""
    for unit, changes in difference.items():
        content = state.setdefault(unit, {})
        for key, change in changes.items():
            _set_value(content, key, change.after)


def revert_difference(state: State, difference: Difference) -> None:
    """Bring a state from after a difference to before it."""
    for unit, changes in difference.items():
        content = state.setdefault(unit, {})
        for key, change in changes.items():
            _set_value(content, key, change.before)


def _set_value(content: UnitContent, key: str, value: float | None) -> None:
    if value is None:
        content.pop(key, None)
    else:
        content[key] = value
