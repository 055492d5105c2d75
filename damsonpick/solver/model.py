"""What the solver is asked and what it answers.

Work is counted in core-seconds a second at capacity factor 1. Objectives and prices are in priority weight a second: a
request that is answered in time is worth its class's priority weight.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

Limit = Literal["capacity", "cold", "least", "moves"]
OPTIMAL = "optimal"


class RequestClass(NamedTuple):
    """A request class.

    Attributes:
        name: of the class.
        priority_weight: worth of a request that is answered in time.
        late_weight: worth of a request that is answered late.
        mean_work_s: mean core time of a request, seconds.
        latency_objective_s: within which an answer is in time, seconds.
        own_zone_only: its requests may go only to servers in the gateway's zone.
    """

    name: str
    priority_weight: float
    late_weight: float
    mean_work_s: float
    latency_objective_s: float
    own_zone_only: bool = False


class Server(NamedTuple):
    """A server as it is believed to be.

    Attributes:
        name: its endpoint.
        zone: where it stands.
        capacity: work a second that it can do at present, warm-up and learned capacity factor in it; above 0.
        cores: how many requests it works on at once.
        max_share: the share of its capacity that it may be given (less than 1 while it warms up).
        failure_ratio: share of its answers that fail.
        work_share: part of all work that the last plan gave it, 0 if none.
    """

    name: str
    zone: str
    capacity: float
    cores: int
    max_share: float = 1.0
    failure_ratio: float = 0.0
    work_share: float = 0.0


class Costs(NamedTuple):
    """What is charged, in priority weight for each unit of work a second, and the limits of a plan.

    Attributes:
        cross_zone: for work that goes to another zone, for pairs that are not named.
        zone_pairs: (from, to, cost).
        move: for work that goes to another server than by the last plan.
        min_share: share of an even part that each server keeps, so that load reports go on coming from it.
        max_move_share: share of all work that may move in one plan, beyond what must.
        headroom: part of demand for which room is kept free under every server's capacity.
        demand_spread: how far demand of a zone may be from its estimate, as a share; lateness is expected over it.
    """

    cross_zone: float = 0.02
    zone_pairs: tuple[tuple[str, str, float], ...] = ()
    move: float = 0.05
    min_share: float = 0.1
    max_move_share: float = 0.2
    headroom: float = 0.1
    demand_spread: float = 0.35

    def between(self, source: str, target: str) -> float:
        """The cost of work from gateways of one zone to servers of another; 0 within a zone."""
        if source == target:
            return 0.0
        for pair_source, pair_target, cost in self.zone_pairs:
            if (pair_source, pair_target) == (source, target):
                return cost
        return self.cross_zone


class Demand(NamedTuple):
    """Requests a second of a class from the gateways of a zone."""

    zone: str
    request_class: str
    rate: float


class Problem(NamedTuple):
    """All that a plan depends on.

    Attributes:
        classes: of requests.
        servers: that may be used.
        demand: by zone and class, each pair once.
        costs: what is charged.
    """

    classes: tuple[RequestClass, ...]
    servers: tuple[Server, ...]
    demand: tuple[Demand, ...]
    costs: Costs = Costs()


class ServerPlan(NamedTuple):
    """One server's part, and what limits it.

    Attributes:
        name: its endpoint.
        zone: where it stands.
        load: work a second.
        share: of all work.
        utilisation: load as a share of its present capacity.
        price: priority weight a second that one more core-second a second of capacity there would bring.
        limits: that it stands at.
    """

    name: str
    zone: str
    load: float
    share: float
    utilisation: float
    price: float
    limits: tuple[Limit, ...]


Weights = tuple[tuple[str, float], ...]  # (server, weight); the mean weight of a table is 1


class Plan(NamedTuple):
    """A solved plan.

    Attributes:
        status: `OPTIMAL`, or why there is no plan; the other fields are then empty or 0.
        servers: their parts.
        weights: by (zone, class).
        admitted: share of each class that fits.
        shed: priority weight a second that is refused, by class.
        zone_prices: priority weight that one more unit of work a second in each zone would bring.
        cross_zone_prices: priority weight of one unit of cross-zone work for free, by (from, to).
        objective: priority weight a second; lower is worse.
        solve_s: how long the solve took, seconds.
        iterations: of the simplex method.
    """

    status: str
    servers: tuple[ServerPlan, ...]
    weights: dict[tuple[str, str], Weights]
    admitted: dict[str, float]
    shed: dict[str, float]
    zone_prices: dict[str, float]
    cross_zone_prices: dict[tuple[str, str], float]
    objective: float
    solve_s: float
    iterations: int = 0
