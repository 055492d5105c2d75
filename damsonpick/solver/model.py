"""Input and output types of the solver.

Work is measured in core-seconds per second at capacity factor 1. The value of a plan is measured in priority weight per
second: a request that is answered in time contributes the priority weight of its class.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

# Limits that can bind a server: its usable capacity ("cold" while it warms up, else "capacity"), its minimum share
# ("least") and the bound on moves ("moves").
Limit = Literal["capacity", "cold", "least", "moves"]
OPTIMAL = "optimal"


class RequestClass(NamedTuple):
    """A request class.

    Attributes:
        name: Name of the class.
        priority_weight: Value of a request that is answered in time.
        late_weight: Value of a request that is answered late.
        mean_work_s: Mean core time of a request, seconds.
        latency_objective_s: Time within which a response counts as in time, seconds.
        own_zone_only: Whether its requests may go only to servers in the gateway's zone.
    """

    name: str
    priority_weight: float
    late_weight: float
    mean_work_s: float
    latency_objective_s: float
    own_zone_only: bool = False


class Server(NamedTuple):
    """Current estimate of a server.

    Attributes:
        name: Endpoint of the server.
        zone: Zone of the server.
        capacity: Work per second that it can do now, including the effects of warm-up and the learned capacity factor;
            greater than 0.
        cores: Number of requests that it processes concurrently.
        max_share: Largest share of its capacity that a plan may use; less than 1 while it warms up.
        failure_ratio: Share of its responses that are failures.
        work_share: Share of all work that the last plan assigned to it; 0 if none.
    """

    name: str
    zone: str
    capacity: float
    cores: int
    max_share: float = 1.0
    failure_ratio: float = 0.0
    work_share: float = 0.0


class Costs(NamedTuple):
    """Costs in priority weight per core-second of work, and the limits of a plan.

    Attributes:
        cross_zone: Cost of work that goes to another zone, for pairs of zones that are not in `zone_pairs`.
        zone_pairs: Costs of pairs of zones as (from, to, cost).
        move: Cost of work that moves to a different server than in the last plan.
        min_share: Minimum load of a server, as a fraction of its load if all work were distributed by usable capacity.
            The minimum keeps load reports on the server coming.
        max_move_share: Share of all work that may move in one plan, in addition to work that must move.
        headroom: Capacity that is kept free on every server, as a share of the largest load that a plan may assign.
        demand_spread: Largest deviation of a zone's demand from its estimate, as a share of the estimate. Lateness is
            the expected value over this range.
    """

    cross_zone: float = 0.02
    zone_pairs: tuple[tuple[str, str, float], ...] = ()
    move: float = 0.05
    min_share: float = 0.1
    max_move_share: float = 0.2
    headroom: float = 0.1
    demand_spread: float = 0.35

    def between(self, source: str, target: str) -> float:
        """Return the cost of work from gateways of one zone to servers of another; 0 within a zone."""
        if source == target:
            return 0.0
        for pair_source, pair_target, cost in self.zone_pairs:
            if (pair_source, pair_target) == (source, target):
                return cost
        return self.cross_zone


class Demand(NamedTuple):
    """Requests per second of a class from the gateways of a zone."""

    zone: str
    request_class: str
    rate: float


class Problem(NamedTuple):
    """Complete input for a plan.

    Attributes:
        classes: Request classes.
        servers: Servers that may be used.
        demand: Demand by zone and class; each pair occurs once.
        costs: Costs and limits of the plan.
    """

    classes: tuple[RequestClass, ...]
    servers: tuple[Server, ...]
    demand: tuple[Demand, ...]
    costs: Costs = Costs()


class ServerPlan(NamedTuple):
    """Work that a plan assigns to one server, and the limits that bind it.

    Attributes:
        name: Endpoint of the server.
        zone: Zone of the server.
        load: Assigned work per second.
        share: Share of all work.
        utilisation: Load as a share of its current capacity.
        price: Priority weight per second gained by one more core-second per second of capacity on this server.
        limits: Limits that the server has reached.
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
        status: `OPTIMAL`, or the reason why there is no plan. In that case the other fields are empty or 0, except for
            `solve_s`.
        servers: Assigned work by server.
        weights: Weights by (zone, class).
        admitted: Share of each class's demand that the plan serves, by class.
        shed: Priority weight per second of the rejected demand, by class.
        zone_prices: Priority weight gained by one more unit of work per second in a zone, by zone.
        cross_zone_prices: Priority weight gained by one unit of cross-zone work without cost, by (from, to).
        objective: Value of the plan minus its costs, priority weight per second; a higher objective is better.
        solve_s: Duration of the solve, seconds.
        iterations: Iterations of the simplex method.
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
