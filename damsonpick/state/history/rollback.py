"""Rollback: plans the actions that restore entries, levels and retry modes of an earlier version. Sans I/O.

Safety takes precedence over the operator's request. Rules for each entry of the version:

    unroutable endpoint            the entry is not restored
    endpoint warming up            its weight is not raised above the present one
    any other                      the entry is restored as in the version
    no entry remains for a slice   the slice keeps its present entries

Each entry that differs from the version is reported as a `KeptEntry`. For a slice that keeps its present entries, there
is only one `KeptEntry`, for the whole slice.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state.history.state_keys import has_levels, level_key, retry_key, slice_number
from damsonpick.state.history.version import State, slice_entries
from damsonpick.state.published_tables import FLEET, ROUTES

REASON_UNROUTABLE = "not routable now"
REASON_WARMING_UP = "still warming up: its weight is not raised"
REASON_NO_ROUTABLE_ENTRY = "the version has no routable entry: the present entries stay"

Table = Mapping[str, float]  # weight by endpoint


class KeptEntry(NamedTuple):
    """An entry that a rollback does not restore as in the version. The field names are keys of the reply.

    Attributes:
        slice: Number of the slice.
        endpoint: Endpoint of the entry; empty if the whole slice is meant.
        why: Reason, as text for the operator.
    """

    slice: int
    endpoint: str
    why: str


class RollbackPlan(NamedTuple):
    """Actions that roll the tables back, and the entries that will differ from the version."""

    actions: list[api.SetEntry]
    kept: list[KeptEntry]


class SlicePlan(NamedTuple):
    """New table of a slice, and the entries that differ from the version."""

    entries: Table
    kept: list[KeptEntry]


class ClassAdmission(NamedTuple):
    """Admission settings of one class: the admitted share, 0 to 1, and the retry mode."""

    level: float
    retry: int


def plan_rollback(
    target: State,
    tables: Mapping[int, Table],
    is_unroutable: Callable[[str], bool],
    is_warming_up: Callable[[str], bool],
) -> RollbackPlan:
    """Plan the actions that change the present tables to those of a version, as far as is safe.

    Args:
        target: State of the version.
        tables: Present weights, by slice and endpoint. Slices that are not in it are not changed.
        is_unroutable: Returns whether an endpoint is draining, gone, unlisted or withdrawn.
        is_warming_up: Returns whether an endpoint is still warming up.

    Returns:
        Actions by slice in ascending order; for each slice, first the entries of the version, then the removals.
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
    """Plan the table of one slice, by the rules in the module's docstring."""
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
    """Return the actions that change one table of a slice to another."""
    changed = [
        api.SetEntry(number, endpoint, weight) for endpoint, weight in wanted.items() if current.get(endpoint) != weight
    ]
    removed = [api.SetEntry(number, endpoint, 0.0) for endpoint in current if endpoint not in wanted]
    return changed + removed


def plan_admission(target: State, present: State, class_count: int) -> list[api.SetAdmission]:
    """Plan the actions that restore levels and retry modes of a version, only where they differ.

    Args:
        target: State of the version.
        present: Published state.
        class_count: Number of request classes.
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
    """Return level and retry mode of a class in a state.

    Levels are stored with their unit, retry modes with the routes. A missing key means the default.
    """
    level = state.get(unit, {}).get(level_key(class_index), 1.0)
    retry = state.get(ROUTES, {}).get(retry_key(table, class_index), 0.0)
    return ClassAdmission(level, int(retry))
