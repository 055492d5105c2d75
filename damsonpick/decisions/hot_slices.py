"""Further replicas of hot slices: a slice with more load than one endpoint should carry gets further table entries.

A further entry costs half of what a move costs (one entry is added, none removed) and keeps the warmth where it is.
Each entry is placed by the search like a slice of its own.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from damsonpick.decisions import capacity, slow_start
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.flow_control import FlowControl, Urgency
from damsonpick.decisions.placement import Placement
from damsonpick.decisions.slice_state import SliceState

HOT_LOAD_SHARE = 0.1  # load of a slice, against the fair load of the largest endpoint, above which it is replicated
FREE_REPLICAS = 3  # replicas that any hot slice may have; more only if it is hotter than an average slice's share
MESSAGES_PER_ROUND = 2.0  # messages that a round may fill with further entries
MIN_ENTRIES_PER_ROUND = 4
NON_ZERO = 1e-9  # keeps a ratio defined without load or capacity


@dataclass(frozen=True, slots=True)
class FairLoad:
    """Load of endpoints if it were spread evenly.

    Attributes:
        per_capacity: requests/s for each unit of capacity, of the owned slices.
        of_largest: requests/s of the endpoint with the largest capacity, of the owned slices.
        of_largest_in_all: as `of_largest`, with the slices of other instances counted in by their number.
    """

    per_capacity: float
    of_largest: float
    of_largest_in_all: float


def replicate_hot_slices(fleet: FleetState, flow_control: FlowControl) -> None:
    """Assign a further endpoint to hot slices, the hottest first, as many as the channel carries in a round.

    Never where a table has a sole owner.
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
    per_capacity = (sum(loads.values()) + NON_ZERO) / (sum(capacities.values()) + NON_ZERO)
    of_largest = per_capacity * max(capacities.values(), default=1.0)
    of_largest_in_all = of_largest * max(1.0, fleet.settings.slices / (len(fleet.slices) or 1))
    return FairLoad(per_capacity, of_largest, of_largest_in_all)


def _entries_per_round(flow_control: FlowControl) -> int:
    message_entries = flow_control.message_capacity(Urgency.REBALANCE, 0.0)
    return max(MIN_ENTRIES_PER_ROUND, int(MESSAGES_PER_ROUND * message_entries))


def _needs_replica(placement: Placement, fair: FairLoad, slice_state: SliceState) -> bool:
    """Whether a slice has fewer replicas than its load asks for, and one of them is on an endpoint above the mean."""
    replicas = len(slice_state.assigned)
    if slice_state.externally_assigned or replicas == 0 or replicas >= _replicas_for(slice_state.load, fair):
        return False
    return any(placement.loads[n] > fair.per_capacity * placement.capacities[n] for n in slice_state.assigned)


def _replicas_for(load: float, fair: FairLoad) -> int:
    """Number of replicas that a load asks for."""
    by_share = max(1, math.ceil(load / (HOT_LOAD_SHARE * fair.of_largest)))
    return min(by_share, max(FREE_REPLICAS, math.ceil(load / fair.of_largest_in_all)))


def _add_replica(placement: Placement, fair: FairLoad, slice_state: SliceState) -> bool:
    """Assign one more endpoint that is below the mean. Returns whether there was one."""
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
