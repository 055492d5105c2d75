"""Handovers where each slice has a sole owner: the former owner's writes end before another endpoint gets a write.

A table is never changed from one owner to another. It is cleared first, in the store as well. The new owner's entry
follows when no proxy can send a write to the former owner any more, and when the writes that were sent have ended (see
`HandoverTracker`). A stored entry therefore always shows the only endpoint that may have writes, for proxies that join,
for a restarted pilot and for one that takes the slice over. An empty stored table shows nothing: it is cleared again,
and the same times apply.

A proxy whose table is empty has no endpoint for reads either. Where the writes in progress may take a large part of the
time for which that is allowed, a level of 0 for the table stops its writes first, and the table is cleared when the
writes have ended, or when the drain grace requires it.
"""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.message_window import critical_send_limit
from damsonpick.decisions.retention import MAX_PROXY_ABSENCE_NS
from damsonpick.decisions.slice_state import SliceState
from damsonpick.decisions.time_units import NS_PER_SECOND

FORMER_OWNER_EXCLUSION_NS = MAX_PROXY_ABSENCE_NS  # time for which a slice is not given back to a former owner
LONG_LINGER_SHARE = 0.25  # share of `Settings.unserved_limit` above which a linger time is long
# Share of the time for which proxies may lack an entry after which a handover is given up if that is possible; the old
# entry still has to wait for its turn and to reach the proxies.
LONGEST_WAIT_SHARE = 0.5
PUBLISH_DELAY_NS = NS_PER_SECOND // 4  # longest time after which the planner notices that a change is due


def is_required(settings: api.Settings) -> bool:
    """Return whether tables change their owner by handovers: slices have a sole owner, and there are writes."""
    return settings.sole_owner and any(request_class.writes for request_class in settings.classes)


def stops_writes_first(settings: api.Settings) -> bool:
    """Return whether writes are stopped by a level before a table is cleared."""
    if not is_required(settings) or settings.admission == "none" or not settings.unserved_limit:
        return False
    return settings.write_linger > LONG_LINGER_SHARE * settings.unserved_limit


def longest_wait(settings: api.Settings) -> int:
    """Return the time (ns) after an order of a handover at which it is given up if the former owner can go on serving.

    Writes in progress take their linger time in any case.
    """
    return settings.write_linger + int(LONGEST_WAIT_SHARE * (settings.unserved_limit or settings.drain_grace))


def write_classes(settings: api.Settings) -> tuple[int, ...]:
    """Return the positions of the request classes that write."""
    return tuple(index for index, request_class in enumerate(settings.classes) if request_class.writes)


def may_be_given(fleet: FleetState, slice_state: SliceState, endpoint: str) -> bool:
    """Return whether an endpoint is no recent former owner of a slice.

    A write that reaches a former owner after a later one took a write would take effect in the wrong order.
    """
    since = slice_state.former_owners.get(endpoint)
    return since is None or fleet.now - since >= FORMER_OWNER_EXCLUSION_NS


def must_withdraw(fleet: FleetState, name: str, message_spacing: int) -> bool:
    """Return whether an unroutable endpoint must be withdrawn now. Until then its tables serve reads.

    Args:
        fleet: State with the settings.
        name: The endpoint.
        message_spacing: Time for which the next critical message has to wait if one is sent now, ns.
    """
    if not stops_writes_first(fleet.settings):
        return True
    endpoint = fleet.endpoints.get(name)
    unroutable_since = endpoint.unroutable_since if endpoint is not None else 0
    send_limit = critical_send_limit(fleet.settings) - PUBLISH_DELAY_NS
    return fleet.now + message_spacing >= unroutable_since + send_limit


def must_clear(fleet: FleetState, slice_state: SliceState, message_spacing: int) -> bool:
    """Return whether a table that changes its owner must be cleared now, whether or not its writes have ended.

    Args:
        fleet: State with the settings.
        slice_state: The slice, whose owner is not the assigned one.
        message_spacing: Time for which the next critical message has to wait if one is sent now, ns.
    """
    if not slice_state.published or not stops_writes_first(fleet.settings):
        return True
    return any(
        fleet.is_unroutable(name) and must_withdraw(fleet, name, message_spacing) for name in slice_state.published
    )
