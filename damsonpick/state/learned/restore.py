"""Restores learned state: converts an aged snapshot to events for a new planner. Sans I/O.

State of an endpoint is restored only if the endpoint list contains the process from which it was learned. If that
process was restarted, no state of the endpoint is restored.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state.learned.list_confidence import EntryTimes
from damsonpick.state.learned.snapshot import Snapshot
from damsonpick.state.store.sqlite import NEVER_LISTED, ListedAt


class RestoredEvents(NamedTuple):
    """Events for a new planner, and the endpoints that are not restored because their process was restarted."""

    events: list[api.Event]
    restarted_endpoints: list[str]


def settings_mismatch(snapshot: Snapshot, classes: tuple[str, ...], slice_count: int) -> str:
    """Return why the slices of a snapshot do not match the present settings, or an empty string if they match."""
    if snapshot.slice_count != slice_count:
        return f"it has {snapshot.slice_count} slices, the settings have {slice_count}"
    if snapshot.classes != classes:
        return f"it has the classes {', '.join(snapshot.classes)}, the settings have {', '.join(classes)}"
    return ""


def restored_events(
    snapshot: Snapshot,
    entries: Mapping[str, api.EndpointEntry],
    owned_slices: Iterable[int],
    include_slices: bool = True,
) -> RestoredEvents:
    """Return the events that restore an aged snapshot in a new planner.

    The events of endpoints come first, then those of slices, each in the order of the snapshot.

    Args:
        snapshot: The snapshot, already decayed by its age.
        entries: Effective endpoint list, by endpoint.
        owned_slices: Slices of this pilot; slices of other pilots are not restored.
        include_slices: Whether to restore slices; false if the settings now have other slices or classes. Capacity
            factors are restored in any case, because they depend on endpoints and not on settings.
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
    """Return when each entry of a cached endpoint list was last confirmed and last responded, by the pilot's clock.

    The store contains the time when each entry was last in a stored list. If the active source was reachable when the
    snapshot was taken, the snapshot contains the time at which this source confirmed the whole list. If that time is
    later, it applies to the entries of the list that was stored last, but not to entries that were only held, because
    the list omitted them.

    Args:
        snapshot: Snapshot of the previous incarnation, or None if there is none.
        now: Clock time of this incarnation, ns.
        downtime_ns: Time since the snapshot was taken, or None if unknown.
        entries: Cached list, by endpoint.
        listed_at: Clock time and source of the last listing of each entry.

    Returns:
        Times by endpoint, none of them later than `now`.
    """
    list_confirmed_at = 0
    last_success_at: dict[str, int] = {}
    if snapshot is not None and downtime_ns is not None and snapshot.clock_at:
        # Converts clock times of the previous incarnation to this one's, even if the clock was set in between.
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
    """Return the times of the last successful responses in the snapshot, for processes that are still listed."""
    times: dict[str, int] = {}
    for learned in snapshot.endpoints:
        entry = entries.get(learned.endpoint)
        if learned.last_success_at and entry is not None and entry.started == learned.started:
            times[learned.endpoint] = learned.last_success_at + clock_shift_ns
    return times
