"""The copy of the assignments on which the search tries moves, like the virtual cluster of HBase's balancer.

A replica is the assignment of a slice to one of its endpoints. Endpoints and replicas are numbered from 0 and described
by parallel lists, since the search reads them about a million times per minute.
"""

from __future__ import annotations

from typing import NamedTuple

from damsonpick.decisions import slow_start
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.slice_state import SliceState

MIN_CAPACITY = 1e-6  # keeps load ratios defined if a capacity is 0


class Replica(NamedTuple):
    """The assignment of a slice to one of its endpoints.

    Attributes:
        slice_state: The slice.
        position: Index in the slice's list of assigned endpoints.
    """

    slice_state: SliceState
    position: int


class Move(NamedTuple):
    """The numbers of a replica and of the endpoint to which it moves."""

    replica: int
    endpoint: int


class CostTerms(NamedTuple):
    """Sums from which the cost is computed.

    Attributes:
        load_squares: Sum of load ** 2 / capacity over all endpoints.
        count_squares: Sum of (number of replicas) ** 2 / capacity over all endpoints.
        warmth_lost: Sum of load * lost warmth over the moved replicas, requests/s.
        moved: Number of replicas that are not on their initial endpoint.
    """

    load_squares: float
    count_squares: float
    warmth_lost: float
    moved: int


class ClusterCopy:
    """Endpoints and replicas as they would be after the moves so far.

    Attributes:
        names: Endpoint names.
        capacities: Current capacity by endpoint.
        warming: Whether an endpoint is warming up, by endpoint.
        endpoint_loads: Load by endpoint, requests/s.
        load_ratios: Load / capacity by endpoint.
        replicas_on: Numbers of the replicas by endpoint.
        replicas: Slice and position of each replica.
        replica_loads: Load by replica, requests/s.
        endpoint_of: Endpoint by replica.
        start_of: Endpoint by replica before any move.
        warmest_first: Endpoints that have warmth for the slice of a replica, the warmest first, by replica.
        total_load: Load of all endpoints, requests/s; 1 if there is no load.
        total_capacity: Capacity of all endpoints; 1 if there is no capacity.
        warming_limit: Maximum load of a warming endpoint per unit of capacity, requests/s.
        terms: Cost terms of the current state.
    """

    __slots__ = (
        "capacities",
        "endpoint_loads",
        "endpoint_of",
        "load_ratios",
        "names",
        "replica_loads",
        "replicas",
        "replicas_on",
        "start_of",
        "terms",
        "total_capacity",
        "total_load",
        "warmest_first",
        "warming",
        "warming_limit",
    )

    def __init__(self, fleet: FleetState, capacities: dict[str, float]) -> None:
        """Copy the assignments whose endpoint is in `capacities`."""
        self.names = list(capacities)
        self.capacities = [max(MIN_CAPACITY, capacities[name]) for name in self.names]
        self.warming = [slow_start.is_warming_up(fleet, name) for name in self.names]
        self.endpoint_loads = [0.0] * len(self.names)
        self.replicas_on: list[list[int]] = [[] for _ in self.names]
        self.replicas: list[Replica] = []
        self.replica_loads: list[float] = []
        self.endpoint_of: list[int] = []
        numbers = {name: number for number, name in enumerate(self.names)}
        for slice_state in fleet.slices.values():
            self._add_slice(slice_state, numbers)
        self.start_of = list(self.endpoint_of)
        self.warmest_first = [_warmest_first(replica.slice_state, numbers) for replica in self.replicas]
        self.total_load = sum(self.endpoint_loads) or 1.0
        self.total_capacity = sum(self.capacities) or 1.0
        self.warming_limit = slow_start.warming_load_limit(fleet, self.total_load, self.total_capacity)
        by_endpoint = list(zip(self.endpoint_loads, self.replicas_on, self.capacities, strict=True))
        self.load_ratios = [load / capacity for load, _, capacity in by_endpoint]
        load_squares = sum(load * load / capacity for load, _, capacity in by_endpoint)
        count_squares = sum(len(replicas) ** 2 / capacity for _, replicas, capacity in by_endpoint)
        self.terms = CostTerms(load_squares, count_squares, 0.0, 0)

    def terms_after(self, moves: list[Move]) -> CostTerms:
        """Compute the cost terms after moves between two endpoints, in constant time.

        The copy is left unchanged, since most candidate moves are rejected.

        Args:
            moves: One move, or two moves that swap replicas.
        """
        load_squares, count_squares, warmth_lost, moved = self.terms
        endpoint_of, start_of, replica_loads = self.endpoint_of, self.start_of, self.replica_loads
        source, target = endpoint_of[moves[0].replica], moves[0].endpoint
        load_change = count_change = 0.0  # change at the target; the change at the source has the opposite sign
        for replica, endpoint in moves:
            load_change += replica_loads[replica] if endpoint == target else -replica_loads[replica]
            count_change += 1 if endpoint == target else -1
            old, start = endpoint_of[replica], start_of[replica]
            warmth_lost += self._warmth_lost(replica, endpoint) - self._warmth_lost(replica, old)
            moved += (endpoint != start) - (old != start)
        for endpoint, load, count in ((source, -load_change, -count_change), (target, load_change, count_change)):
            capacity = self.capacities[endpoint]
            load_squares += load * (2 * self.endpoint_loads[endpoint] + load) / capacity
            count_squares += count * (2 * len(self.replicas_on[endpoint]) + count) / capacity
        return CostTerms(load_squares, count_squares, warmth_lost, moved)

    def apply(self, moves: list[Move], terms: CostTerms) -> None:
        """Apply moves, and store the cost terms that `terms_after` returned for them."""
        self.terms = terms
        for replica, endpoint in moves:
            old = self.endpoint_of[replica]
            self.replicas_on[old].remove(replica)
            self.replicas_on[endpoint].append(replica)
            self.endpoint_of[replica] = endpoint
            self._add_load(old, -self.replica_loads[replica])
            self._add_load(endpoint, self.replica_loads[replica])

    def _add_slice(self, slice_state: SliceState, numbers: dict[str, int]) -> None:
        """Add a slice's load, and its replicas unless its whole table was calculated by the solver."""
        for position, name in enumerate(slice_state.assigned):
            endpoint = numbers.get(name)
            if endpoint is None:
                continue
            load = slice_state.load_share(name)
            self.endpoint_loads[endpoint] += load
            if not slice_state.externally_assigned:
                self.replicas_on[endpoint].append(len(self.replicas))
                self.replicas.append(Replica(slice_state, position))
                self.replica_loads.append(load)
                self.endpoint_of.append(endpoint)

    def _add_load(self, endpoint: int, load: float) -> None:
        self.endpoint_loads[endpoint] += load
        self.load_ratios[endpoint] = self.endpoint_loads[endpoint] / self.capacities[endpoint]

    def _warmth_lost(self, replica: int, endpoint: int) -> float:
        """Return the load of a replica times the warmth lost by moving it from its initial endpoint, requests/s."""
        start = self.start_of[replica]
        if endpoint == start:
            return 0.0
        warmth, names = self.replicas[replica].slice_state.warmth, self.names
        lost = warmth.get(names[start], 0.0) - warmth.get(names[endpoint], 0.0)
        return self.replica_loads[replica] * max(0.0, lost)


def _warmest_first(slice_state: SliceState, numbers: dict[str, int]) -> list[int]:
    by_warmth = sorted(slice_state.warmth.items(), key=lambda item: -item[1])
    return [numbers[name] for name, _ in by_warmth if name in numbers]
