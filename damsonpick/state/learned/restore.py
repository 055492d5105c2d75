"""Restores learned state: from an aged snapshot to events for a new planner. Sans I/O.

Only what can be checked against the endpoint list is restored: of an endpoint whose process was restarted nothing is.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state.learned.list_confidence import EntryTimes
from damsonpick.state.learned.snapshot import Snapshot
from damsonpick.state.store.sqlite import NEVER_LISTED, ListedAt


class RestoredEvents(NamedTuple):
    """Events for a new planner, and the endpoints of which nothing is restored as their process was restarted."""

    events: list[api.Event]
    restarted_endpoints: list[str]


def settings_mismatch(snapshot: Snapshot, classes: tuple[str, ...], slice_count: int) -> str:
    """Why the slices of a snapshot do not fit the present settings; '': they fit."""
    if snapshot.slice_count != slice_count:
        return f"it knows {snapshot.slice_count} slices, there are {slice_count}"
    if snapshot.classes != classes:
        return f"it knows the classes {', '.join(snapshot.classes)}, there are {', '.join(classes)}"
    return ""


def restored_events(
    snapshot: Snapshot,
    entries: Mapping[str, api.EndpointEntry],
    owned_slices: Iterable[int],
    include_slices: bool = True,
) -> RestoredEvents:
    """The events that hand an aged snapshot to a new planner: endpoints first, then slices, in the snapshot's order.

    Args:
        snapshot: as it has aged.
        entries: the endpoint list in force, by endpoint.
        owned_slices: slices of other pilots are left out.
        include_slices: slices and classes are still the same. Capacity factors are restored in any case, as they
            belong to endpoints and not to settings.
    """
    events: list[api.Event] = []
    restarted: list[str] = []
    for learned in snapshot.endpoints:
        entry = entries.get(learned.endpoint)
        if entry is None:
            continue
        if entry.started != learned.started:
            restarted.append(learned.endpoint)
            continue
        events.append(api.EndpointRestored(learned.endpoint, learned.started, learned.capacity_factor))
    if include_slices:
        owned = set(owned_slices)
        for state in snapshot.slices:
            if state.number in owned:
                events.append(api.SliceRestored(state.number, state.rates, state.warmth))
    return RestoredEvents(events, restarted)


def entry_times(
    snapshot: Snapshot | None,
    now: int,
    downtime_ns: int | None,
    entries: Mapping[str, api.EndpointEntry],
    listed_at: Mapping[str, ListedAt],
) -> dict[str, EntryTimes]:
    """When each entry of a cached endpoint list was last confirmed and last responded, on this incarnation's clock.

    The store knows when each entry was listed. The snapshot may be newer: it knows when a source last confirmed the
    whole list, which counts for the entries of the newest list, but not for older ones that are only held.

    Args:
        snapshot: of the previous incarnation; None: there is none.
        now: the clock, ns.
        downtime_ns: since the snapshot was taken; None: not known.
        entries: the cached list.
        listed_at: when each of its entries was listed, by the clock.

    Returns:
        Times by endpoint, none of them later than `now`.
    """
    list_confirmed_at = 0
    last_success_at: dict[str, int] = {}
    if snapshot is not None and downtime_ns is not None and snapshot.clock_at:
        # from the previous incarnation's clock to this one's, whatever was done to the clock in between
        clock_shift_ns = now - downtime_ns - snapshot.clock_at
        if snapshot.list_confirmed_at:
            list_confirmed_at = snapshot.list_confirmed_at + clock_shift_ns
        last_success_at = _last_successes(snapshot, entries, clock_shift_ns)
    newest_listing = max((listed.time for listed in listed_at.values()), default=0)
    times: dict[str, EntryTimes] = {}
    for endpoint in entries:
        confirmed_at = listed_at.get(endpoint, NEVER_LISTED).time
        if confirmed_at == newest_listing:
            confirmed_at = max(confirmed_at, list_confirmed_at)
        times[endpoint] = EntryTimes(min(now, confirmed_at), min(now, last_success_at.get(endpoint, 0)))
    return times


def _last_successes(
    snapshot: Snapshot, entries: Mapping[str, api.EndpointEntry], clock_shift_ns: int
) -> dict[str, int]:
    """Last successful responses of those listed processes that the snapshot knew."""
    times: dict[str, int] = {}
    for learned in snapshot.endpoints:
        entry = entries.get(learned.endpoint)
        if learned.last_success_at and entry is not None and entry.started == learned.started:
            times[learned.endpoint] = learned.last_success_at + clock_shift_ns
    return times
