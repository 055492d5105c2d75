"""Warm restart: the state that an earlier incarnation learned is used until reports replace it.

Reports replace restored values faster than values that this incarnation learned itself. A wrong restored value
overloads or underuses its endpoint for some seconds.
"""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.decisions.admission import AdmissionController
from damsonpick.decisions.capacity import MAX_CAPACITY_FACTOR, MIN_CAPACITY_FACTOR
from damsonpick.decisions.endpoint_state import EndpointState
from damsonpick.decisions.fleet_state import FleetState


def restore_endpoint(fleet: FleetState, event: api.EndpointRestored) -> None:
    """Restore the capacity factor of an endpoint without reports, if the snapshot describes its current process."""
    endpoint = fleet.endpoints.get(event.endpoint)
    if endpoint is None or endpoint.started != event.started or endpoint.last_report_at:
        return
    endpoint.capacity_factor = min(MAX_CAPACITY_FACTOR, max(MIN_CAPACITY_FACTOR, event.capacity_factor))
    endpoint.restored_share = 1.0


def restore_slice(fleet: FleetState, event: api.SliceRestored) -> None:
    """Restore the rates and the warmth of an owned slice that has no reports.

    The first report of a class counts as a surge and replaces most of the restored rate. While the slice is newly
    owned, however, a report below the current rate does not lower it. Only after that time can reports lower the rate.
    """
    slice_state = fleet.slices.get(event.slice)
    if slice_state is None or any(slice_state.last_reports_at) or len(event.rates) != len(slice_state.rates):
        return
    slice_state.rates = list(event.rates)
    slice_state.rates_assumed = False
    slice_state.warmth.update(event.warmth)


def restore_fleet(fleet: FleetState, admission: AdmissionController, event: api.FleetRestored) -> None:
    """Restore the levels and withdrawals that proxies still apply, and the throughput from which levels are computed.

    The restored levels stay in effect until reports are received. If all levels started at 1, an overloaded fleet would
    admit all demand at once. A withdrawn endpoint that no list contains stays withdrawn.
    """
    fleet.published_levels = fleet.desired_levels = event.levels
    fleet.withdrawn.update(dict.fromkeys(event.withdrawn, True))
    fleet.throughput_per_capacity = event.throughput_per_capacity
    admission.best_throughput = event.best_throughput
    admission.levels_restored = True
    for name in event.withdrawn:
        fleet.endpoints.setdefault(name, EndpointState(name, "terminated", fleet.now))
    fleet.assignments_stale = True
