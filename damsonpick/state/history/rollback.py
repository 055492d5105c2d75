"""Rollback: which entries, levels and retry modes bring the published tables back to a version. Sans I/O.

Safety goes before the operator's wish. Rules for each entry of the version:

    unroutable endpoint            it is left out
    endpoint warming up            it gets no more than its present weight
    any other                      as the version has it
    no entry is left for a slice   the slice keeps its present entries

Whatever differs from the version is reported as a `KeptEntry`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state.history.state_keys import has_levels, level_key, retry_key, slice_number
from damsonpick.state.history.version import State, slice_entries
from damsonpick.state.published_tables import FLEET, ROUTES

REASON_UNROUTABLE = "may not be routed to now"
REASON_WARMING_UP = "still warming up: no more than it has"
REASON_NO_ROUTABLE_ENTRY = "the version has no entry that may be routed to: the present entries stay"

Table = Mapping[str, float]  # weight by endpoint


class KeptEntry(NamedTuple):
    """An entry that a rollback did not set as the version had it. The field names are keys of the reply.

    Attributes:
        slice: its number.
        endpoint: '': the slice as a whole.
        why: for the operator.
    """

    slice: int
    endpoint: str
    why: str


class RollbackPlan(NamedTuple):
    """Actions that roll the tables back, and the entries that differ from the version."""

    actions: list[api.SetEntry]
    kept: list[KeptEntry]


class SlicePlan(NamedTuple):
    """The table that a slice gets, and the entries that differ from the version."""

    entries: Table
    kept: list[KeptEntry]


class ClassAdmission(NamedTuple):
    """Admission of one class: the admitted share, 0 to 1, and the retry mode."""

    level: float
    retry: int


def plan_rollback(
    target: State,
    tables: Mapping[int, Table],
    is_unroutable: Callable[[str], bool],
    is_warming_up: Callable[[str], bool],
) -> RollbackPlan:
    """Actions that bring the present tables to those of a version, as far as is safe.

    Args:
        target: the state of the version.
        tables: the present weights, by slice and endpoint; other slices are not touched.
        is_unroutable: whether an endpoint is draining, gone, unlisted or withdrawn.
        is_warming_up: whether an endpoint is still warming up.

    Returns:
        Actions by slice in ascending order, in each first the entries of the version, then removals.
    """
    actions: list[api.SetEntry] = []
    kept: list[KeptEntry] = []
    for number, current in sorted(tables.items()):
        slice_plan = _plan_slice(number, slice_entries(target, number), current, is_unroutable, is_warming_up)
        actions += _actions(number, current, slice_plan.entries)
        kept += slice_plan.kept
    return RollbackPlan(actions, kept)


def _plan_slice(
    number: int,
    target: Table,
    current: Table,
    is_unroutable: Callable[[str], bool],
    is_warming_up: Callable[[str], bool],
) -> SlicePlan:
    """The table to set for one slice, by the rules in the module's docstring."""
    entries: dict[str, float] = {}
    kept: list[KeptEntry] = []
    for endpoint, weight in target.items():
        if is_unroutable(endpoint):
            kept.append(KeptEntry(number, endpoint, REASON_UNROUTABLE))
        elif is_warming_up(endpoint) and weight > current.get(endpoint, 0.0):
            kept.append(KeptEntry(number, endpoint, REASON_WARMING_UP))
            if endpoint in current:
                entries[endpoint] = current[endpoint]
        else:
            entries[endpoint] = weight
    if not entries:
        return SlicePlan(current, [KeptEntry(number, "", REASON_NO_ROUTABLE_ENTRY)])
    return SlicePlan(entries, kept)


def _actions(number: int, current: Table, wanted: Table) -> list[api.SetEntry]:
    """Actions that turn one table of a slice into another."""
    changed = [
        api.SetEntry(number, endpoint, weight) for endpoint, weight in wanted.items() if current.get(endpoint) != weight
    ]
    removed = [api.SetEntry(number, endpoint, 0.0) for endpoint in current if endpoint not in wanted]
    return changed + removed


def plan_admission(target: State, present: State, class_count: int) -> list[api.SetAdmission]:
    """Actions that set levels and retry modes as a version had them; none where they are so already.

    Args:
        target: the state of the version.
        present: the published state.
        class_count: number of request classes.
    """
    actions: list[api.SetAdmission] = []
    for unit in {**present, **target}:
        if not has_levels(unit):
            continue
        table = None if unit == FLEET else slice_number(unit)
        for class_index in range(class_count):
            wanted = _admission(target, unit, table, class_index)
            if wanted != _admission(present, unit, table, class_index):
                actions.append(api.SetAdmission(table, (class_index,), wanted.level, wanted.retry))
    return actions


def _admission(state: State, unit: str, table: int | None, class_index: int) -> ClassAdmission:
    """Levels are stored with their unit, retry modes with the routes; what is not stored has its default."""
    level = state.get(unit, {}).get(level_key(class_index), 1.0)
    retry = state.get(ROUTES, {}).get(retry_key(table, class_index), 0.0)
    return ClassAdmission(level, int(retry))
