"""Placement outside the balancing rounds: invalid assignments are repaired at once.

Slices are removed from endpoints that must not serve them, and from warming endpoints whose load exceeds their limit. A
slice without an endpoint is assigned the endpoint with the lowest load ratio (load per unit of capacity).
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from damsonpick.decisions import capacity, handover, slice_demand, slow_start
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.slice_state import SliceState


@dataclass(slots=True, eq=False)
class Placement:
    """Capacity and load of the usable endpoints while slices are being placed.

    Attributes:
        fleet: State of the fleet.
        capacities: Current capacity by usable endpoint.
        loads: Load by usable endpoint, requests/s. Callers update it when they change an assignment.
        warming_limit: Maximum load of a warming endpoint per unit of capacity, requests/s.
    """

    fleet: FleetState
    capacities: dict[str, float]
    loads: dict[str, float]
    warming_limit: float

    def candidates(self, slice_state: SliceState) -> dict[str, float]:
        """Return the endpoints to which a slice may be assigned, with their capacities.

        A slice whose demand is not known yet may be hot. It is not assigned to a warming endpoint unless all endpoints
        are warming up. A slice with a sole owner is not given back to a former one unless there is no other.
        """
        allowed = {n: c for n, c in self.capacities.items() if handover.may_be_given(self.fleet, slice_state, n)}
        allowed = allowed or self.capacities
        if not slice_demand.is_newly_owned(self.fleet, slice_state):
            return allowed
        warm = {n: c for n, c in allowed.items() if not slow_start.is_warming_up(self.fleet, n)}
        return warm or allowed

    def least_loaded(self, candidates: dict[str, float], added_load: float) -> str:
        """Return the candidate that would have the lowest load ratio if it received the added load.

        A warming endpoint that would exceed its limit is returned only if all candidates are such endpoints.

        Args:
            candidates: Capacity by endpoint, for at least one endpoint.
            added_load: Requests/s to be placed.
        """
        ratios = self._ratios(candidates, added_load, ())
        return min(self._within_limit(ratios) or ratios, key=ratios.__getitem__)

    def least_loaded_within_limit(
        self, candidates: dict[str, float], added_load: float, excluded: Collection[str]
    ) -> str | None:
        """Select an endpoint as `least_loaded` does, but neither an excluded one nor one that would exceed its limit.

        Returns:
            Name of the endpoint; None if no candidate remains.
        """
        ratios = self._ratios(candidates, added_load, excluded)
        return min(self._within_limit(ratios), key=ratios.__getitem__, default=None)

    def _ratios(self, candidates: dict[str, float], added_load: float, excluded: Collection[str]) -> dict[str, float]:
        """Return the load ratio that each candidate would have if it received the added load, by endpoint."""
        return {n: (self.loads[n] + added_load) / c for n, c in candidates.items() if n not in excluded}

    def _within_limit(self, ratios: dict[str, float]) -> list[str]:
        return [
            name
            for name, ratio in ratios.items()
            if ratio <= self.warming_limit or not slow_start.is_warming_up(self.fleet, name)
        ]


def repair_assignments(fleet: FleetState) -> None:
    """Make all assignments valid at once, without the imbalance threshold and the move cap of the rounds.

    Slices are removed from endpoints that are not usable, and from warming endpoints whose load exceeds their limit.
    Slices without an endpoint are assigned one. Slices whose published table is now out of sync are added to
    `fleet.unpublished`.
    """
    capacities = capacity.usable_capacities(fleet)
    loads = fleet.endpoint_loads(capacities)
    limit = slow_start.warming_load_limit(fleet, sum(loads.values()), sum(capacities.values()))
    placement = Placement(fleet, capacities, loads, limit)
    for slice_state in fleet.slices_by_load():
        slice_state.assigned = [name for name in slice_state.assigned if name in capacities]
        _relieve_warming_endpoints(placement, slice_state)
        _assign_if_unassigned(placement, slice_state)
        if slice_state.is_out_of_sync():
            fleet.unpublished[slice_state.number] = slice_state


def _relieve_warming_endpoints(placement: Placement, slice_state: SliceState) -> None:
    """Remove a slice from warming endpoints whose load exceeds their limit, if other endpoints can serve its load."""
    for name in list(slice_state.assigned):
        if not slow_start.is_warming_up(placement.fleet, name):
            continue
        load = slice_state.load_share(name)
        overloaded = placement.loads[name] > placement.warming_limit * placement.capacities[name]
        if overloaded and _can_be_relieved(placement, slice_state, load):
            slice_state.assigned.remove(name)
            placement.loads[name] -= load


def _can_be_relieved(placement: Placement, slice_state: SliceState, load: float) -> bool:
    # The solver calculated the whole table, so the slice is not moved to an endpoint outside it. The other endpoints of
    # the table take over the load, which requires at least one of them.
    if slice_state.externally_assigned:
        return len(slice_state.assigned) > 1
    target = placement.least_loaded_within_limit(placement.capacities, load, slice_state.assigned)
    return target is not None


def _assign_if_unassigned(placement: Placement, slice_state: SliceState) -> None:
    """Assign an endpoint to a slice that has none.

    The slice stays without an endpoint if no endpoint is usable, or if the solver advised an empty table.
    """
    meant_empty = slice_state.externally_assigned and not slice_state.advised_weights
    if slice_state.assigned or not placement.capacities or meant_empty:
        return
    target = placement.least_loaded(placement.candidates(slice_state), slice_state.load)
    slice_state.assigned = [target]
    placement.loads[target] += slice_state.load
