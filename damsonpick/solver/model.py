"""What the solver is asked and what it answers. Work is counted in core-seconds a second at speed 1."""

from __future__ import annotations

from typing import NamedTuple


class Kind(NamedTuple):
    """A request class. `work` is the mean core time of a request in seconds, `aim` in seconds."""

    name: str
    worth: float
    late_worth: float
    work: float
    aim: float
    own_zone: bool = False


class Server(NamedTuple):
    """A server as it is believed to be.

    Attributes:
        capacity: work a second that it can do at present, cold ramp and learned speed in it; above 0.
        cores: how many requests it works on at once.
        most: the share of its capacity it may be given (a cold server's part); at most 1.
        failing: share of its answers that fail.
        share: part of all work that the last plan gave it, 0 if none.
    """

    name: str
    zone: str
    capacity: float
    cores: int
    most: float = 1.0
    failing: float = 0.0
    share: float = 0.0


class Costs(NamedTuple):
    """What is charged, in worth for each unit of work a second.

    Attributes:
        cross: between buildings, for pairs not named.
        pairs: by (from, to).
        move: work that goes to another server than by the last plan.
        least: share of an even part that each server keeps, so that its evidence does not die out.
        bound: share of all work that may move in one plan, beyond what must.
        margin: part of demand for which room is kept free under every server's capacity.
        spread: how far demand of a zone may be from its estimate, as a share; lateness is expected over it.
    """

    cross: float = 0.02
    pairs: tuple[tuple[str, str, float], ...] = ()
    move: float = 0.05
    least: float = 0.1
    bound: float = 0.2
    margin: float = 0.1
    spread: float = 0.35

    def between(self, one: str, other: str) -> float:
        if one == other:
            return 0.0
        return next((price for a, b, price in self.pairs if (a, b) == (one, other)), self.cross)


class Problem(NamedTuple):
    """All that a plan depends on. `demand` is requests a second by (zone of gateways, class)."""

    kinds: tuple[Kind, ...]
    servers: tuple[Server, ...]
    demand: tuple[tuple[str, str, float], ...]
    costs: Costs = Costs()


class ServerPlan(NamedTuple):
    """One server's part, and what binds it.

    Attributes:
        load: work a second; share: of all work; used: of its present capacity.
        price: worth a second that one more core-second a second of capacity there would bring.
        binding: limits it stands at: "capacity", "cold", "least", "moves".
    """

    name: str
    zone: str
    load: float
    share: float
    used: float
    price: float
    binding: tuple[str, ...]


class Plan(NamedTuple):
    """A solved plan.

    Attributes:
        status: "optimal", or why the last good plan stands.
        weights: by (zone, class): (server, weight), the mean weight of a table being 1.
        let_in: share of each class that fits.
        shed: worth a second that is refused, by class.
        zone_prices: worth of one more unit of work a second in each building.
        cross_price: worth of one unit of cross-building traffic for free, by (from, to).
        value: the objective, worth a second; lower is worse.
        seconds: how long the solve took.
    """

    status: str
    servers: tuple[ServerPlan, ...]
    weights: dict[tuple[str, str], tuple[tuple[str, float], ...]]
    let_in: dict[str, float]
    shed: dict[str, float]
    zone_prices: dict[str, float]
    cross_price: dict[tuple[str, str], float]
    value: float
    seconds: float
    iterations: int = 0
