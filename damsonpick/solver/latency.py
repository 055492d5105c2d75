"""Lateness as a convex function of utilisation, cut into linear segments.

The share of requests that wait past their latency objective on a server with c cores at utilisation u is taken from
M/M/c (Erlang's C formula; A. K. Erlang 1917, in any text on queues): P(wait > t) = C(c, u) exp(-c (1-u) t / m).
What a server loses is u times that share; its lower convex hull over a grid of u is what the linear program charges,
so that latency stands in the objective and not only as a hard limit.
"""

from __future__ import annotations

import math
from functools import lru_cache
from itertools import pairwise
from typing import NamedTuple

GRID_STEPS = 40
UTILISATION_GRID = tuple(k / GRID_STEPS for k in range(GRID_STEPS + 1))
MAX_SEGMENTS = 8
FULL_UTILISATION = 0.95  # at which load shedding refuses the rest
EPSILON = 1e-12
MAX_CACHED_CURVES = 4096


class Point(NamedTuple):
    """A point of a loss curve: lost share of capacity at a utilisation."""

    utilisation: float
    loss: float


class Segment(NamedTuple):
    """A linear segment of a loss curve.

    Attributes:
        width: in utilisation.
        slope: lost share of capacity for each unit of utilisation.
    """

    width: float
    slope: float


class DemandScenario(NamedTuple):
    """Demand as a multiple of its estimate, and how probable it is."""

    factor: float
    probability: float


def erlang_c(cores: int, utilisation: float) -> float:
    """Probability that a request must wait; `utilisation` from 0 to 1."""
    if utilisation >= 1:
        return 1.0
    load = cores * utilisation
    inverse = 1.0
    for k in range(1, cores + 1):  # Erlang's B by its recursion, stable for any number of cores
        inverse = 1.0 + inverse * k / load if load > 0 else math.inf
    blocked = 1.0 / inverse
    return blocked / (1.0 - utilisation * (1.0 - blocked))


def late_share(cores: int, utilisation: float, patience: float) -> float:
    """Share of requests that wait longer than `patience` mean service times."""
    idle = 1.0 - min(utilisation, 1.0)
    return erlang_c(cores, utilisation) * math.exp(-cores * idle * max(0.0, patience))


def expected_loss(cores: int, utilisation: float, patience: float, spread: float) -> float:
    """Lost share of capacity, expected over demand.

    Demand is below, at or above its estimate by the share `spread`, 1 : 2 : 1. What is above a nearly full server is
    refused, the rest is as late as there.

    Args:
        cores: of the server.
        utilisation: at the estimated demand.
        patience: mean service times that a request may wait.
        spread: 0: demand is as estimated.
    """
    total = 0.0
    for scenario in _demand_scenarios(spread):
        offered = utilisation * scenario.factor
        admitted = min(offered, FULL_UTILISATION) if spread else offered
        total += scenario.probability * (admitted * late_share(cores, admitted, patience) + offered - admitted)
    return total


def _demand_scenarios(spread: float) -> tuple[DemandScenario, ...]:
    if not spread:
        return (DemandScenario(1.0, 1.0),)
    return (DemandScenario(1 - spread, 0.25), DemandScenario(1.0, 0.5), DemandScenario(1 + spread, 0.25))


@lru_cache(maxsize=MAX_CACHED_CURVES)
def segments(cores: int, patience: float, spread: float = 0.0, max_slope: float = 0.0) -> tuple[Segment, ...]:
    """The loss curve of a server as segments with growing slopes.

    Estimates by zone are late and noisy: without `spread` a plan fills a zone up to the knee of its lateness while the
    next one stands idle, and the first surge goes over it. That caution spreads work, and may not shed it.

    Args:
        cores: of the server.
        patience: mean service times that a request may wait.
        spread: how far demand may be from its estimate, as a share.
        max_slope: under which the slope stays where the spread alone raises it; the value of the cheapest work.
    """
    slopes = _grid_slopes(_loss_curve(cores, patience, 0.0))
    if spread:
        cautious = _grid_slopes(_loss_curve(cores, patience, spread))
        slopes = [max(plain, min(careful, max_slope)) for plain, careful in zip(slopes, cautious, strict=True)]
    curve = _simplified(_hull(_integrated(slopes)))
    return tuple(Segment(right.utilisation - left.utilisation, _slope(left, right)) for left, right in pairwise(curve))


def _loss_curve(cores: int, patience: float, spread: float) -> list[Point]:
    """The lower convex hull of the expected loss over the grid."""
    return _hull([Point(u, expected_loss(cores, u, patience, spread)) for u in UTILISATION_GRID])


def _integrated(slopes: list[float]) -> list[Point]:
    """The curve with these slopes over the steps of the grid."""
    curve = [Point(0.0, 0.0)]
    loss = 0.0
    for (left, right), slope in zip(pairwise(UTILISATION_GRID), slopes, strict=True):
        loss += slope * (right - left)
        curve.append(Point(right, loss))
    return curve


def _simplified(curve: list[Point]) -> list[Point]:
    """Leaves out the corners that matter least until `MAX_SEGMENTS` are left; the curve stays convex."""
    points = list(curve)
    while len(points) - 1 > MAX_SEGMENTS:
        gaps = [_gap(points[k - 1], points[k], points[k + 1]) for k in range(1, len(points) - 1)]
        points.pop(1 + gaps.index(min(gaps)))
    return points


def _hull(points: list[Point]) -> list[Point]:
    """Lower convex hull, from left to right."""
    hull: list[Point] = []
    for point in points:
        while len(hull) > 1 and _slope(hull[-2], hull[-1]) >= _slope(hull[-1], point) - EPSILON:
            hull.pop()
        hull.append(point)
    return hull


def _grid_slopes(hull: list[Point]) -> list[float]:
    """A hull's slope over each step of the grid."""
    return [_slope_at(hull, utilisation) for utilisation in UTILISATION_GRID[1:]]


def _slope_at(hull: list[Point], utilisation: float) -> float:
    """The slope of the first segment that reaches a utilisation."""
    for left, right in pairwise(hull):
        if right.utilisation >= utilisation - EPSILON:
            return _slope(left, right)
    raise ValueError(f"the hull ends before utilisation {utilisation}")


def _slope(left: Point, right: Point) -> float:
    return (right.loss - left.loss) / (right.utilisation - left.utilisation)


def _gap(left: Point, middle: Point, right: Point) -> float:
    """How far the straight line from `left` to `right` lies above `middle`."""
    return left.loss + _slope(left, right) * (middle.utilisation - left.utilisation) - middle.loss


def loss(cores: int, patience: float, utilisation: float) -> float:
    """Lost share of capacity at a utilisation up to 1, by the segments without caution."""
    total = 0.0
    remaining = utilisation
    for segment in segments(cores, patience):
        step = min(segment.width, remaining)
        total += step * segment.slope
        remaining -= step
        if remaining <= 0:
            break
    return total
