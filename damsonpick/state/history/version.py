"""A published state as values by unit and key, the difference between two states, and a version. Sans I/O.

The keys are defined in `state_keys`. A version stores only its difference against its parent, so its size depends on
the number of changes and not on the size of the tables.
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

UnitContent = dict[str, float]  # values of one unit by key
State = dict[str, UnitContent]  # content by unit
Cause = Literal["module", "solver", "operator", "rollback", "restart", "list", "gateways"]


class ValueChange(NamedTuple):
    """Value of a key before and after a change. None means that the key does not exist."""

    before: float | None
    after: float | None


Difference = dict[str, dict[str, ValueChange]]  # changes by unit and key


class VersionOrigin(NamedTuple):
    """Origin of a published state.

    Attributes:
        time: Clock time of the change, ns.
        root: Root of the digest over all resources.
        cause: Component or act that caused the change.
        note: Remark for operators; may be empty.
    """

    time: int
    root: str
    cause: Cause
    note: str = ""


class Version(NamedTuple):
    """One published state. All fields except the difference are stored unchanged and in this order.

    Attributes:
        number: Version number; 1 for the first version, and one more for each later version.
        root: Root of the digest over all resources.
        parent: Number of the preceding version; 0 for the first version.
        published_at: Clock time of the publication, ns; never before that of the parent.
        cause: Component or act that caused the change.
        note: Remark for operators; may be empty.
        difference: Changes against the parent.
    """

    number: int
    root: str
    parent: int
    published_at: int
    cause: Cause
    note: str
    difference: Difference

    def summary(self) -> dict[str, object]:
        """Return a row of `damsonpick versions list`, by JSON key."""
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
    """Return the present content of a unit, without levels of 1 and retry modes of 0, which are the defaults."""
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
    """Return the table of one slice in a state, as weight by endpoint."""
    entries = {}
    for key, value in state.get(slice_unit(number), {}).items():
        endpoint = entry_endpoint(key)
        if endpoint is not None:
            entries[endpoint] = value
    return entries


def changed_values(before: Mapping[str, float], after: Mapping[str, float]) -> dict[str, ValueChange]:
    """Return the changes of one unit, for the keys whose values differ."""
    changed = {}
    for key in {**before, **after}:
        if before.get(key) != after.get(key):
            changed[key] = ValueChange(before.get(key), after.get(key))
    return changed


def state_difference(before: State, after: State) -> Difference:
    """Return the difference between two states."""
    difference = {}
    for unit in {**before, **after}:
        changed = changed_values(before.get(unit, {}), after.get(unit, {}))
        if changed:
            difference[unit] = changed
    return difference


def copy_state(state: State) -> State:
    """Return an independent copy of a state."""
    return {unit: dict(content) for unit, content in state.items()}


def apply_difference(state: State, difference: Difference) -> None:
    """Apply a difference to a state in place."""
    for unit, changes in difference.items():
        content = state.setdefault(unit, {})
        for key, change in changes.items():
            _set_value(content, key, change.after)


def revert_difference(state: State, difference: Difference) -> None:
    """Revert a difference in a state, in place."""
    for unit, changes in difference.items():
        content = state.setdefault(unit, {})
        for key, change in changes.items():
            _set_value(content, key, change.before)


def _set_value(content: UnitContent, key: str, value: float | None) -> None:
    if value is None:
        content.pop(key, None)
    else:
        content[key] = value
