"""Weights among the lines of slices that have several homes: the mechanism places, this divides.

Minimise lateness over servers plus what moves, over y[p,h]: the work of slice p that home h gets. Slices with
one home are given load. The same lateness pieces as in the whole program.
"""

from __future__ import annotations

from typing import NamedTuple

import highspy
import numpy as np

from damsonpick.solver import latency
from damsonpick.solver.model import Costs, Kind, Server
from damsonpick.solver.program import patience

LEAST = 0.15  # of an even part that each line keeps
BAND = 0.1  # change of a part that is not worth a line
OVERFULL = 3.0  # slope past the last piece: given load may be above capacity, the program stays feasible


class Piece(NamedTuple):
    """A slice: its work a second, homes, and their present weights."""

    number: int
    work: float
    homes: tuple[str, ...]
    weights: tuple[float, ...]


class LinesProblem(NamedTuple):
    kinds: tuple[Kind, ...]
    servers: tuple[Server, ...]
    pieces: tuple[Piece, ...]
    costs: Costs


def divide(problem: LinesProblem) -> dict[int, tuple[tuple[str, float], ...]]:
    """New weights by slice, only of those that are worth sending; mean 1 over a slice's lines.

    Raises:
        ArithmeticError: the program has no optimum.
    """
    split = [p for p in problem.pieces if len(p.homes) > 1]
    if not split:
        return {}
    servers = {s.name: s for s in problem.servers}
    given = dict.fromkeys(servers, 0.0)
    for piece in problem.pieces:
        if len(piece.homes) == 1 and piece.homes[0] in given:
            given[piece.homes[0]] += piece.work
    values = _solve(problem, split, servers, given)
    found, at = {}, 0
    for piece in split:
        parts = values[at : at + len(piece.homes)]
        at += len(piece.homes)
        new = [max(LEAST, len(parts) * v / piece.work) for v in parts]
        scale = len(new) / sum(new)
        weights = tuple((h, round(w * scale, 3)) for h, w in zip(piece.homes, new, strict=True))
        total = sum(piece.weights)
        if any(abs(w - old * len(new) / total) > BAND for (_, w), old in zip(weights, piece.weights, strict=True)):
            found[piece.number] = weights
    return found


def _solve(
    problem: LinesProblem, split: list[Piece], servers: dict[str, Server], given: dict[str, float]
) -> list[float]:
    cost, upper, rows, lower, high = [], [], [], [], []
    into: dict[str, list[int]] = {name: [] for name in servers}
    gains: list[tuple[int, float]] = []
    for piece in split:
        first, total = len(cost), sum(piece.weights)
        for home, weight in zip(piece.homes, piece.weights, strict=True):
            into.get(home, []).append(len(cost))
            gains.append((len(cost), piece.work * weight / total))
            cost.append(0.0)
            upper.append(piece.work if home in servers else 0.0)
        rows.append([(k, 1.0) for k in range(first, len(cost))])
        fits = any(home in servers for home in piece.homes)
        lower.append(piece.work if fits else 0.0)
        high.append(piece.work)
    wait, many = patience(problem.kinds), len(cost)
    for name, server in servers.items():
        first = len(cost)
        for width, slope in latency.pieces(server.cores, wait, problem.costs.spread, 1.0):
            cost.append(slope + server.failing)
            upper.append(width * server.capacity * server.most)
        cost.append(OVERFULL)
        upper.append(highspy.kHighsInf)
        rows.append([(k, 1.0) for k in into[name]] + [(k, -1.0) for k in range(first, len(cost))])
        lower.append(-given[name])
        high.append(-given[name])
    for k, past in gains:
        rows.append([(k, 1.0), (len(cost), -1.0)])
        cost.append(problem.costs.move)
        upper.append(highspy.kHighsInf)
        lower.append(-highspy.kHighsInf)
        high.append(past)
    lp = highspy.HighsLp()
    lp.num_col_, lp.num_row_ = len(cost), len(rows)
    lp.col_cost_, lp.col_lower_, lp.col_upper_ = np.array(cost), np.zeros(len(cost)), np.array(upper, dtype=float)
    lp.row_lower_, lp.row_upper_ = np.array(lower, dtype=float), np.array(high, dtype=float)
    lp.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
    lp.a_matrix_.start_ = np.cumsum([0, *map(len, rows)])
    lp.a_matrix_.index_ = np.array([k for row in rows for k, _ in row], dtype=np.int32)
    lp.a_matrix_.value_ = np.array([v for row in rows for _, v in row])
    highs = highspy.Highs()
    for option, value in (("output_flag", False), ("threads", 1), ("parallel", "off")):
        highs.setOptionValue(option, value)
    highs.passModel(lp)
    highs.run()
    if highs.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        raise ArithmeticError(highs.modelStatusToString(highs.getModelStatus()))
    return list(highs.getSolution().col_value)[:many]
