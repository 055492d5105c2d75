"""Approximates lateness as a convex, piecewise linear function of utilisation.

The share of requests that wait longer than t on a server with c cores at utilisation u follows the M/M/c queue
(Erlang's C formula; A. K. Erlang 1917, in any textbook on queueing): P(wait > t) = C(c, u) exp(-c (1-u) t / m), where m
is the mean service time. The lost share of the server's capacity is u times this share, because late requests use it.
The linear program charges the lower convex hull of this loss over a grid of u, so that latency is part of the objective
and not only a hard limit.
"""

from __future__ import annotations

import math
from functools import lru_cache
from itertools import pairwise
from typing import NamedTuple

GRID_STEPS = 40  # number of equal steps into which utilisation from 0 to 1 is divided
UTILISATION_GRID = tuple(k / GRID_STEPS for k in range(GRID_STEPS + 1))
MAX_SEGMENTS = 8  # maximum number of segments to which a loss curve is simplified
FULL_UTILISATION = 0.95  # utilisation up to which load is admitted under uncertain demand; load above it is rejected
EPSILON = 1e-12  # tolerance for comparing slopes and utilisations
MAX_CACHED_CURVES = 4096  # maximum number of cached results of `segments`


class Point(NamedTuple):
    """A point of a loss curve: the lost share of capacity at a utilisation."""

    utilisation: float
    loss: float


class Segment(NamedTuple):
    """A linear segment of a loss curve.

    Attributes:
        width: Width of the segment in utilisation.
        slope: Lost share of capacity per unit of utilisation.
    """

    width: float
    slope: float


class DemandScenario(NamedTuple):
    """Demand as a multiple of its estimate, and its probability."""

    factor: float
    probability: float


def erlang_c(cores: int, utilisation: float) -> float:
    """Return the probability that a request must wait; 1 for a utilisation of 1 or more."""
    if utilisation >= 1:
        return 1.0
    load = cores * utilisation
    inverse = 1.0
    for k in range(1, cores + 1):  # recursion for Erlang's B formula, numerically stable for any number of cores
        inverse = 1.0 + inverse * k / load if load > 0 else math.inf
    blocked = 1.0 / inverse
    return blocked / (1.0 - utilisation * (1.0 - blocked))


def late_share(cores: int, utilisation: float, patience: float) -> float:
    """Return the share of requests that wait longer than `patience` mean service times."""
    idle = 1.0 - min(utilisation, 1.0)
    return erlang_c(cores, utilisation) * math.exp(-cores * idle * max(0.0, patience))


def expected_loss(cores: int, utilisation: float, patience: float, spread: float) -> float:
    """Return the expected value of the lost share of capacity over uncertain demand.

    Demand is below, at or above its estimate by the share `spread`, with probabilities in the ratio 1 : 2 : 1. If the
    spread is above 0, load above `FULL_UTILISATION` is rejected and counts as lost. The lateness of the admitted load
    is that at the utilisation of this load.

    Args:
        cores: Number of cores of the server.
        utilisation: Utilisation at the estimated demand.
        patience: Longest acceptable wait in mean service times.
        spread: Largest deviation of demand from its estimate, as a share; 0 if demand is as estimated.
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
    """Return the loss curve of a server as segments with increasing slopes.

    Estimates of demand by zone are delayed and noisy. Without `spread`, a plan would load one zone up to the knee of
    its lateness curve while the next zone is idle, and the first surge would exceed it. The spread must distribute
    work more evenly but must not cause work to be shed.

    Args:
        cores: Number of cores of the server.
        patience: Longest acceptable wait in mean service times.
        spread: Largest deviation of demand from its estimate, as a share.
        max_slope: Upper bound to which the spread may raise slopes. For a whole plan, it is derived from the value of
            the cheapest work; for the weights of slices, it is 1.
    """
    slopes = _grid_slopes(_loss_curve(cores, patience, 0.0))
    if spread:
        spread_slopes = _grid_slopes(_loss_curve(cores, patience, spread))
        slopes = [
            max(base_slope, min(spread_slope, max_slope))
            for base_slope, spread_slope in zip(slopes, spread_slopes, strict=True)
        ]
    curve = _simplified(_hull(_integrated(slopes)))
    return tuple(Segment(right.utilisation - left.utilisation, _slope(left, right)) for left, right in pairwise(curve))


def _loss_curve(cores: int, patience: float, spread: float) -> list[Point]:
    """Return the lower convex hull of the expected loss over the grid."""
    return _hull([Point(u, expected_loss(cores, u, patience, spread)) for u in UTILISATION_GRID])


def _integrated(slopes: list[float]) -> list[Point]:
    """Return the curve that starts at 0 and has these slopes over the steps of the grid."""
    curve = [Point(0.0, 0.0)]
    loss = 0.0
    for (left, right), slope in zip(pairwise(UTILISATION_GRID), slopes, strict=True):
        loss += slope * (right - left)
        curve.append(Point(right, loss))
    return curve


def _simplified(curve: list[Point]) -> list[Point]:
    """Remove points with the smallest effect until the curve has at most `MAX_SEGMENTS` segments; it stays convex."""
    points = list(curve)
    while len(points) - 1 > MAX_SEGMENTS:
        gaps = [_gap(points[k - 1], points[k], points[k + 1]) for k in range(1, len(points) - 1)]
        points.pop(1 + gaps.index(min(gaps)))
    return points


def _hull(points: list[Point]) -> list[Point]:
    """Return the lower convex hull of points that are ordered from left to right."""
    hull: list[Point] = []
    for point in points:
        while len(hull) > 1 and _slope(hull[-2], hull[-1]) >= _slope(hull[-1], point) - EPSILON:
            hull.pop()
        hull.append(point)
    return hull


def _grid_slopes(hull: list[Point]) -> list[float]:
    """Return the slope of a hull over each step of the grid."""
    return [_slope_at(hull, utilisation) for utilisation in UTILISATION_GRID[1:]]


def _slope_at(hull: list[Point], utilisation: float) -> float:
    """Return the slope of the first segment that reaches a utilisation."""
    for left, right in pairwise(hull):
        if right.utilisation >= utilisation - EPSILON:
            return _slope(left, right)
    raise ValueError(f"the convex hull ends before utilisation {utilisation}")


def _slope(left: Point, right: Point) -> float:
    return (right.loss - left.loss) / (right.utilisation - left.utilisation)


def _gap(left: Point, middle: Point, right: Point) -> float:
    """Return the vertical distance of the line from `left` to `right` above `middle`."""
    return left.loss + _slope(left, right) * (middle.utilisation - left.utilisation) - middle.loss


def loss(cores: int, patience: float, utilisation: float) -> float:
    """Return the lost share of capacity at a utilisation up to 1, from the segments without demand spread."""
    total = 0.0
    remaining = utilisation
    for segment in segments(cores, patience):
        step = min(segment.width, remaining)
        total += step * segment.slope
        remaining -= step
        if remaining <= 0:
            break
    return total
