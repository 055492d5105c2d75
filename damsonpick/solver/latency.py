"""Lateness as a convex function of utilisation, cut into straight pieces.

The share of requests that wait past their aim on a server with c cores at utilisation u is taken from
M/M/c (Erlang's C formula; A. K. Erlang 1917, in any text on queues): P(wait > t) = C(c, u) exp(-c (1-u) t / m).
What a server loses is u times that share; its lower convex hull over a grid of u is what the linear
program charges, so that "in time" stands in the objective and not only as a hard cap.
"""

from __future__ import annotations

import math
from functools import lru_cache
from itertools import pairwise

GRID = tuple(k / 40 for k in range(41))  # utilisation; full at 1
MOST_PIECES = 8
FULL = 0.95  # utilisation at which the module's levels refuse the rest


def erlang_c(cores: int, used: float) -> float:
    """Probability that a request must wait; `used` from 0 to 1."""
    if used >= 1:
        return 1.0
    load, inverse = cores * used, 1.0
    for k in range(1, cores + 1):  # Erlang's B by its recursion, stable for any number of cores
        inverse = 1.0 + inverse * k / load if load > 0 else math.inf
    blocked = 1.0 / inverse
    return blocked / (1.0 - used * (1.0 - blocked))


def late_share(cores: int, used: float, patience: float) -> float:
    """Share of requests that wait longer than `patience` mean service times."""
    return erlang_c(cores, used) * math.exp(-cores * (1.0 - min(used, 1.0)) * max(0.0, patience))


def expected(cores: int, used: float, patience: float, spread: float) -> float:
    """Lost share of capacity where demand is below, at or above its estimate by `spread`, 1 : 2 : 1; what is above
    a nearly full server is refused, the rest is as late as there."""
    cases = ((1 - spread, 0.25), (1.0, 0.5), (1 + spread, 0.25)) if spread else ((1.0, 1.0),)
    total = 0.0
    for m, part in cases:
        kept = min(used * m, FULL) if spread else used
        total += part * (kept * late_share(cores, kept, patience) + used * m - kept)
    return total


@lru_cache(maxsize=4096)
def pieces(cores: int, patience: float, spread: float = 0.0, ceiling: float = 0.0) -> tuple[tuple[float, float], ...]:
    """(width, slope) of the pieces, slopes growing: lost share of capacity by utilisation.

    Estimates by zone are late and noisy: without `spread` a plan fills a building up to the knee of its lateness
    while the next one stands idle, and the first surge goes over it. That caution spreads work, and may not shed it:
    where it alone speaks, the slope stays under `ceiling`, the worth of the cheapest work.
    """
    steps = _steps(_hull([(u, expected(cores, u, patience, 0.0)) for u in GRID]))
    if spread:
        careful = _steps(_hull([(u, expected(cores, u, patience, spread)) for u in GRID]))
        steps = [max(n, min(c, ceiling)) for n, c in zip(steps, careful, strict=True)]
    hull, height = [(0.0, 0.0)], 0.0
    for (u, v), slope in zip(pairwise(GRID), steps, strict=True):
        height += slope * (v - u)
        hull.append((v, height))
    hull = _hull(hull)
    while len(hull) - 1 > MOST_PIECES:  # leave out the corner that matters least, keep it convex
        gaps = [_gap(*hull[k - 1 : k + 2]) for k in range(1, len(hull) - 1)]
        hull.pop(1 + gaps.index(min(gaps)))
    return tuple((b[0] - a[0], _slope(a, b)) for a, b in pairwise(hull))


def _hull(points: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """Lower convex hull, from left to right."""
    hull: list[tuple[float, float]] = []
    for point in points:
        while len(hull) > 1 and _slope(hull[-2], hull[-1]) >= _slope(hull[-1], point) - 1e-12:
            hull.pop()
        hull.append(point)
    return hull


def _steps(hull: list[tuple[float, float]]) -> list[float]:
    """A hull's slope over each step of the grid."""
    return [next(_slope(a, b) for a, b in pairwise(hull) if b[0] >= v - 1e-12) for v in GRID[1:]]


def _slope(a: tuple[float, float], b: tuple[float, float]) -> float:
    return (b[1] - a[1]) / (b[0] - a[0])


def _gap(a: tuple[float, float], b: tuple[float, float], c: tuple[float, float]) -> float:
    """How far the straight line from a to c lies above b."""
    return a[1] + _slope(a, c) * (b[0] - a[0]) - b[1]


def lost(cores: int, patience: float, used: float) -> float:
    """The cut-up function itself, without caution: lost share of capacity at a utilisation up to 1."""
    total = 0.0
    for width, slope in pieces(cores, patience):
        step = min(width, used)
        total += step * slope
        used -= step
        if used <= 0:
            break
    return total
