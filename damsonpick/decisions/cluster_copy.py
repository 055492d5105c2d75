"""The copy of the assignments on which the search tries moves: the virtual cluster of HBase's balancer.

Endpoints and replicas (a slice's place at one of its assigned endpoints) are numbered from 0 and described by parallel
lists, as the search reads them some million times a minute.
"""

from __future__ import annotations

from typing import NamedTuple

from damsonpick.decisions import slow_start
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.slice_state import SliceState

MIN_CAPACITY = 1e-6


class Replica(NamedTuple):
    """A slice's place at one of its assigned endpoints.

    Attributes:
        slice_state: the slice.
        position: index in the slice's list of assigned endpoints.
    """

    slice_state: SliceState
    position: int


class Move(NamedTuple):
    """A replica and the endpoint it goes to, by number."""

    replica: int
    endpoint: int


class CostTerms(NamedTuple):
    """Sums from which the cost follows.

    Attributes:
        load_squares: sum of squared load over capacity.
        count_squares: sum of squared number of replicas over capacity.
        warmth_lost: load of moved replicas, times the warmth they lose, requests/s.
        moved: number of replicas away from the endpoint they started at.
    """

    load_squares: float
    count_squares: float
    warmth_lost: float
    moved: int


class ClusterCopy:
    """Endpoints and replicas as they would be after the moves so far.

    Attributes:
        names: endpoint names.
        capacities: present capacity by endpoint.
        warming: whether an endpoint is warming up.
        endpoint_loads: load by endpoint, requests/s.
        load_ratios: load over capacity by endpoint.
        replicas_on: replicas by endpoint.
        replicas: what each replica stands for.
        replica_loads: load by replica, requests/s.
        endpoint_of: endpoint by replica.
        start_of: endpoint by replica before any move.
        warmest_first: endpoints by replica, those warmest to its slice first.
        total_load: load of all endpoints, requests/s; 1 where there is none.
        total_capacity: capacity of all endpoints; 1 where there is none.
        warming_limit: most load of a warming endpoint for each unit of capacity, requests/s.
        terms: cost terms of the present state.
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
        """Copy the assignments to the endpoints of `capacities`."""
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
        """Cost terms after moves between two endpoints, in constant time. Changes nothing: most moves are dropped.

        Args:
            moves: one move, or two that swap replicas.
        """
        load_squares, count_squares, warmth_lost, moved = self.terms
        endpoint_of, start_of, replica_loads = self.endpoint_of, self.start_of, self.replica_loads
        source, target = endpoint_of[moves[0].replica], moves[0].endpoint
        load_change = count_change = 0.0  # of the target, and with the opposite sign of the source
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
        """Make moves whose cost terms are known."""
        self.terms = terms
        for replica, endpoint in moves:
            old = self.endpoint_of[replica]
            self.replicas_on[old].remove(replica)
            self.replicas_on[endpoint].append(replica)
            self.endpoint_of[replica] = endpoint
            self._add_load(old, -self.replica_loads[replica])
            self._add_load(endpoint, self.replica_loads[replica])

    def _add_slice(self, slice_state: SliceState, numbers: dict[str, int]) -> None:
        """Add a slice's load, and its replicas unless it was assigned from outside."""
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
        """Load of a replica times the warmth that it has at its first endpoint and not at this one, requests/s."""
        start = self.start_of[replica]
        if endpoint == start:
            return 0.0
        warmth, names = self.replicas[replica].slice_state.warmth, self.names
        lost = warmth.get(names[start], 0.0) - warmth.get(names[endpoint], 0.0)
        return self.replica_loads[replica] * max(0.0, lost)


def _warmest_first(slice_state: SliceState, numbers: dict[str, int]) -> list[int]:
    by_warmth = sorted(slice_state.warmth.items(), key=lambda item: -item[1])
    return [numbers[name] for name, _ in by_warmth if name in numbers]
