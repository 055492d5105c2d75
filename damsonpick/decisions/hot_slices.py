"""Replication of hot slices: a slice with more load than one endpoint should serve gets additional table entries.

An additional entry costs half as much as a move (one entry is added, none is removed) and preserves the warmth of the
existing endpoints. The search then moves each replica independently, like a separate slice.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from damsonpick.decisions import capacity, slow_start
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.flow_control import FlowControl, Urgency
from damsonpick.decisions.placement import Placement
from damsonpick.decisions.slice_state import SliceState

HOT_LOAD_SHARE = 0.1  # a slice is replicated if its load / fair load of the largest endpoint is above this
BASE_REPLICA_LIMIT = 3  # maximum number of replicas, unless load / `FairLoad.of_largest_in_all` is higher
MESSAGES_PER_ROUND = 2.0  # number of messages that a round may fill with additional entries
MIN_ENTRIES_PER_ROUND = 4  # additional entries that a round may assign even if fewer fit in its messages
EPSILON = 1e-9  # keeps a ratio defined if load or capacity is 0


@dataclass(frozen=True, slots=True)
class FairLoad:
    """Load of endpoints if all load were spread evenly.

    Attributes:
        per_capacity: Requests/s from the owned slices per unit of capacity.
        of_largest: Requests/s from the owned slices at the endpoint with the largest capacity.
        of_largest_in_all: Like `of_largest`, scaled up by the number of slices to the slices of all instances.
    """

    per_capacity: float
    of_largest: float
    of_largest_in_all: float


def replicate_hot_slices(fleet: FleetState, flow_control: FlowControl) -> None:
    """Assign one additional endpoint to each hot slice, hottest first.

    A round assigns no more endpoints than the channel can publish in `MESSAGES_PER_ROUND` messages, but at least
    `MIN_ENTRIES_PER_ROUND`. Nothing is assigned if each slice has only one endpoint (`sole_owner`).
    """
    if fleet.settings.sole_owner:
        return
    capacities = capacity.usable_capacities(fleet)
    loads = fleet.endpoint_loads(capacities)
    fair = _fair_load(fleet, capacities, loads)
    placement = Placement(fleet, capacities, loads, slow_start.warming_load_limit(fleet, fair.per_capacity, 1.0))
    entries_left = _entries_per_round(flow_control)
    for slice_state in fleet.slices_by_load():
        if entries_left == 0:
            break
        if _needs_replica(placement, fair, slice_state) and _add_replica(placement, fair, slice_state):
            entries_left -= 1


def _fair_load(fleet: FleetState, capacities: dict[str, float], loads: dict[str, float]) -> FairLoad:
    per_capacity = (sum(loads.values()) + EPSILON) / (sum(capacities.values()) + EPSILON)
    of_largest = per_capacity * max(capacities.values(), default=1.0)
    of_largest_in_all = of_largest * max(1.0, fleet.settings.slices / (len(fleet.slices) or 1))
    return FairLoad(per_capacity, of_largest, of_largest_in_all)


def _entries_per_round(flow_control: FlowControl) -> int:
    message_entries = flow_control.message_capacity(Urgency.REBALANCE, 0.0)
    return max(MIN_ENTRIES_PER_ROUND, int(MESSAGES_PER_ROUND * message_entries))


def _needs_replica(placement: Placement, fair: FairLoad, slice_state: SliceState) -> bool:
    """Return whether a slice has too few replicas for its load, and one of its endpoints has more than its fair load.

    Slices without an endpoint, and slices whose whole table was calculated by the solver, need no replica.
    """
    replicas = len(slice_state.assigned)
    if slice_state.externally_assigned or replicas == 0 or replicas >= _replicas_for(slice_state.load, fair):
        return False
    return any(placement.loads[n] > fair.per_capacity * placement.capacities[n] for n in slice_state.assigned)


def _replicas_for(load: float, fair: FairLoad) -> int:
    """Return the number of replicas that a load requires."""
    by_share = max(1, math.ceil(load / (HOT_LOAD_SHARE * fair.of_largest)))
    return min(by_share, max(BASE_REPLICA_LIMIT, math.ceil(load / fair.of_largest_in_all)))


def _add_replica(placement: Placement, fair: FairLoad, slice_state: SliceState) -> bool:
    """Assign one more endpoint that has less than its fair load. Return whether there was such an endpoint."""
    replicas, loads = len(slice_state.assigned), placement.loads
    new_share = slice_state.load / (replicas + 1)
    candidates = placement.candidates(slice_state)
    target = placement.least_loaded_within_limit(candidates, new_share, slice_state.assigned)
    if target is None or loads[target] >= fair.per_capacity * placement.capacities[target]:
        return False
    for name in slice_state.assigned:
        loads[name] -= slice_state.load / replicas / (replicas + 1)
    slice_state.assigned.append(target)
    loads[target] += new_share
    return True
