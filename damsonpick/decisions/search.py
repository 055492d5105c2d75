"""The stochastic search of a round, modelled on HBase's StochasticLoadBalancer.

Slices correspond to its regions and endpoints to its region servers. The search tries random candidate moves on a copy
of the assignments. A candidate is accepted if it lowers the cost by more than the minimum gain and if the number of
replicas away from their initial endpoint stays within the move cap.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator

from damsonpick.decisions import capacity, handover, slice_demand
from damsonpick.decisions.cluster_copy import ClusterCopy, CostTerms, Move
from damsonpick.decisions.fleet_state import FleetState

SLOP = 0.3  # share of the mean by which load or replicas per unit of capacity may deviate without a search
STEPS_PER_REPLICA_AND_ENDPOINT = 1.0  # steps of a search / (replicas * endpoints)
MAX_STEPS = 20_000  # upper bound on the steps of a search
STEPS_PER_PART = 1000  # steps after which the search pauses so that other events can be handled
MOVE_CAP_SHARE = 0.02  # maximum of replicas moved by a search / owned slices; one replica may always move
MIN_GAIN = 0.032  # an accepted step lowers the cost by more than this / endpoints, since it changes only two endpoints

COUNT_COST_WEIGHT = 0.025
LOAD_COST_WEIGHT = 1.0  # load, not the number of replicas, causes queues
WARMTH_COST_WEIGHT = 1.5

SWAP_PROBABILITY = 0.5  # probability that a move is combined with a move in the opposite direction


def is_skewed(copy: ClusterCopy) -> bool:
    """Return whether any endpoint's load or replica count per capacity deviates by more than `SLOP` from the mean.

    It is False if there are fewer than two endpoints or no replicas, since no move is possible then.
    """
    if len(copy.names) < 2 or not copy.replicas:
        return False
    counts = [len(replicas) for replicas in copy.replicas_on]
    return _exceeds_slop(copy.endpoint_loads, copy.capacities, copy.total_load / copy.total_capacity) or _exceeds_slop(
        counts, copy.capacities, len(copy.replicas) / copy.total_capacity
    )


def _exceeds_slop(values: Iterable[float], capacities: list[float], mean: float) -> bool:
    return any(abs(v / c - mean) > SLOP * mean for v, c in zip(values, capacities, strict=True))


def cost(copy: ClusterCopy, terms: CostTerms) -> float:
    """Compute the cost from the spread of the number of replicas, the spread of load and the warmth lost by moves."""
    return (
        COUNT_COST_WEIGHT * spread(terms.count_squares, len(copy.replicas), copy.total_capacity)
        + LOAD_COST_WEIGHT * spread(terms.load_squares, copy.total_load, copy.total_capacity)
        + WARMTH_COST_WEIGHT * terms.warmth_lost / copy.total_load
    )


def spread(squares: float, total: float, total_capacity: float) -> float:
    """Compute the standard deviation / mean of a value per unit of capacity. It is 0 for an even distribution.

    HBase's balancer scales a spread to 1 for the case that everything is on the smallest endpoint. With that scaling,
    the gain of a move would shrink faster with the size of the fleet than the cost of its lost warmth, and no move
    would be accepted in a large fleet.

    Args:
        squares: Sum of value ** 2 / capacity.
        total: Sum of the values.
        total_capacity: Sum of the capacities.
    """
    return math.sqrt(max(0.0, squares * total_capacity / (total * total) - 1))


def random_swap(copy: ClusterCopy, rng: random.Random) -> list[Move]:
    """Generate a candidate move or swap between two random endpoints."""
    endpoint_count = len(copy.names)
    source = rng.randrange(endpoint_count)
    target = rng.randrange(endpoint_count)
    return _move_or_swap(copy, rng, source, target)


def most_to_least_loaded(copy: ClusterCopy, rng: random.Random) -> list[Move]:
    """Generate a candidate from the endpoint with the highest load per capacity to the one with the lowest."""
    ratios = copy.load_ratios
    return _move_or_swap(copy, rng, ratios.index(max(ratios)), ratios.index(min(ratios)))


def to_warmest_endpoint(copy: ClusterCopy, rng: random.Random) -> list[Move]:
    """Generate a move of a random replica to the other endpoint with the highest warmth for its slice.

    This corresponds to the locality of HBase's balancer.
    """
    replica = rng.randrange(len(copy.replicas))
    current_endpoint = copy.endpoint_of[replica]
    for endpoint in copy.warmest_first[replica]:
        if endpoint != current_endpoint:
            return [Move(replica, endpoint)]
    return []


def _move_or_swap(copy: ClusterCopy, rng: random.Random, source: int, target: int) -> list[Move]:
    if source == target or not copy.replicas_on[source]:
        return []
    moves = [Move(rng.choice(copy.replicas_on[source]), target)]
    if copy.replicas_on[target] and rng.random() < SWAP_PROBABILITY:
        moves.append(Move(rng.choice(copy.replicas_on[target]), source))
    return moves


CANDIDATE_GENERATORS = (random_swap, most_to_least_loaded, to_warmest_endpoint)


class Search:
    """One search for better assignments, starting from the current ones."""

    __slots__ = ("copy", "fleet", "rng")

    def __init__(self, fleet: FleetState) -> None:
        """Copy the assignments whose endpoint is usable."""
        self.fleet = fleet
        self.rng = fleet.random
        self.copy = ClusterCopy(fleet, capacity.usable_capacities(fleet))

    def is_needed(self) -> bool:
        """Return whether the assignments are uneven enough for a search."""
        return is_skewed(self.copy)

    def run(self) -> Iterator[None]:
        """Search in parts, between which the caller handles other events. The moves are applied after the last part."""
        copy = self.copy
        max_moved = max(1, int(MOVE_CAP_SHARE * len(self.fleet.slices)))
        min_gain = MIN_GAIN / max(1, len(copy.names))
        current_cost = cost(copy, copy.terms)
        for step in range(self._step_count()):
            if step % STEPS_PER_PART == STEPS_PER_PART - 1:
                yield
            moves = self.pick()
            if not moves or not all(map(self._is_allowed, moves)):
                continue
            terms = copy.terms_after(moves)
            if terms.moved > max_moved:
                continue
            new_cost = cost(copy, terms)
            if new_cost < current_cost - min_gain:
                current_cost = new_cost
                copy.apply(moves, terms)
        self._apply_moves()

    def pick(self) -> list[Move]:
        """Return a candidate of a random generator: no move, one move, or two moves that swap replicas."""
        generate = CANDIDATE_GENERATORS[self.rng.randrange(len(CANDIDATE_GENERATORS))]
        return generate(self.copy, self.rng)

    def _step_count(self) -> int:
        steps = int(len(self.copy.replicas) * len(self.copy.names) * STEPS_PER_REPLICA_AND_ENDPOINT)
        return min(MAX_STEPS, steps)

    def _is_allowed(self, move: Move) -> bool:
        """Return whether a replica may move to an endpoint.

        An endpoint may have at most one replica of a slice, and none of a slice of which it is a former sole owner. A
        warming endpoint accepts load up to its limit, and no slice whose demand is not known yet.
        """
        copy = self.copy
        replica, target = move
        slice_state = copy.replicas[replica].slice_state
        if copy.warming[target]:
            load = copy.endpoint_loads[target] + copy.replica_loads[replica]
            if load > copy.warming_limit * copy.capacities[target]:
                return False
            if slice_demand.is_newly_owned(self.fleet, slice_state):
                return False
        if target == copy.start_of[replica]:
            return True
        name = copy.names[target]
        return name not in slice_state.assigned and handover.may_be_given(self.fleet, slice_state, name)

    def _apply_moves(self) -> None:
        """Apply the moves to the assignments.

        A move is skipped if the slice is no longer owned, if its assignment has changed since the copy was made, if the
        solver has calculated its whole table in the meantime, or if the target is no longer usable or is already
        assigned to the slice.
        """
        copy, fleet = self.copy, self.fleet
        usable = capacity.usable_capacities(fleet)
        for number, (slice_state, position) in enumerate(copy.replicas):
            start, target = copy.names[copy.start_of[number]], copy.names[copy.endpoint_of[number]]
            owned = fleet.slices.get(slice_state.number) is slice_state
            unchanged = slice_state.assigned[position : position + 1] == [start]
            if not owned or not unchanged or slice_state.externally_assigned:
                continue
            if target in usable and target not in slice_state.assigned:
                slice_state.assigned[position] = target
