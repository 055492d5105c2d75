"""Slices that this instance gains and loses, and their stored table entries."""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.decisions import handover
from damsonpick.decisions.admission import AdmissionController
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.slice_state import SliceState


def apply_ownership(fleet: FleetState, admission: AdmissionController, event: api.SliceOwnershipChanged) -> None:
    """Create a new slice state when a slice is gained, and remove it when the slice is lost.

    The admission limit applies to the owned slices and is scaled with their number. At first, reports cover only part
    of the time since a slice was gained. They must not lower the limit, so overload cannot lower it for `LIMIT_HOLD_NS`
    after the gain.
    """
    count_before = len(fleet.slices)
    fleet.slices.pop(event.slice, None)
    fleet.unpublished.pop(event.slice, None)
    if event.owned:
        slice_state = SliceState(event.slice, list(fleet.mean_rates), fleet.now)
        slice_state.write_level_unknown = handover.stops_writes_first(fleet.settings)
        fleet.slices[event.slice] = slice_state
        admission.hold_limit()
    if count_before and fleet.slices:
        admission.scale_limit(len(fleet.slices), count_before)
    fleet.assignments_stale = True


def apply_stored_entry(fleet: FleetState, event: api.StoredEntry) -> None:
    """Apply a stored table entry of an owned slice. The entry counts as published, and its endpoint as warm."""
    slice_state = fleet.slices.get(event.slice)
    if slice_state is None or event.weight <= 0:
        return
    fleet.get_or_add_endpoint(event.endpoint)
    slice_state.published[event.endpoint] = event.weight
    slice_state.assigned.append(event.endpoint)
    slice_state.warmth[event.endpoint] = 1.0
    fleet.assignments_stale = True
