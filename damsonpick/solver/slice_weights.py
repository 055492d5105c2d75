"""Computes the weights of slices that are assigned to several endpoints. Placement chooses the endpoints.

The program minimises the lateness and the failures of all servers plus the cost of moved work. Its variables are
y[p,h], the work of slice p that endpoint h receives. The work of slices with one endpoint is fixed. The loss segments
are computed as in the linear program of a whole plan, except that the slopes raised by the demand spread are at most 1.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import highspy

from damsonpick.solver import latency
from damsonpick.solver.linear_program import INFINITY, LinearProgram, Term, new_highs
from damsonpick.solver.model import Costs, RequestClass, Server, Weights
from damsonpick.solver.program import patience

MIN_WEIGHT = 0.15  # least part of a slice's work for an entry before scaling, as a fraction of an even distribution
MIN_CHANGE = 0.1  # change up to which all weights of a slice are kept, as a fraction of an even distribution
# Slope of a server's loss beyond its last segment. The additional column keeps the program feasible if fixed work
# exceeds the capacity of a server.
OVERLOAD_SLOPE = 3.0


class NoOptimumError(ArithmeticError):
    """Raised if the program has no optimum; the message is the solver's status."""


class SliceLoad(NamedTuple):
    """A slice, its work and its endpoints.

    Attributes:
        number: Number of the slice.
        work: Work of its requests, core-seconds per second.
        endpoints: Endpoints that it is assigned to.
        weights: Current weights, in the order of `endpoints`.
    """

    number: int
    work: float
    endpoints: tuple[str, ...]
    weights: tuple[float, ...]


class SliceWeightsProblem(NamedTuple):
    """Complete input for the weights of slices."""

    classes: tuple[RequestClass, ...]
    servers: tuple[Server, ...]
    slices: tuple[SliceLoad, ...]
    costs: Costs


class Placement(NamedTuple):
    """The column for the work of a slice at an endpoint, and the work that the current weights assign there."""

    endpoint: str
    column: int
    current_work: float


def solve_slice_weights(problem: SliceWeightsProblem) -> dict[int, Weights]:
    """Return new weights by slice, with mean 1 over a slice's entries.

    Slices with a single endpoint, and slices whose weights change by at most `MIN_CHANGE`, are left out.

    Raises:
        NoOptimumError: The program has no optimum.
    """
    replicated = [slice_load for slice_load in problem.slices if len(slice_load.endpoints) > 1]
    if not replicated:
        return {}
    work_of_columns = iter(_solve(problem, replicated))
    changed = {}
    for slice_load in replicated:
        parts = [next(work_of_columns) for _ in slice_load.endpoints]
        weights = _weights(slice_load, parts)
        if _has_significant_change(slice_load, weights):
            changed[slice_load.number] = weights
    return changed


def _weights(slice_load: SliceLoad, parts: list[float]) -> Weights:
    """Return weights in proportion to parts of the work, after raising each relative part to at least `MIN_WEIGHT`."""
    relative = [max(MIN_WEIGHT, len(parts) * part / slice_load.work) for part in parts]
    scale = len(relative) / sum(relative)
    return tuple((name, round(part * scale, 3)) for name, part in zip(slice_load.endpoints, relative, strict=True))


def _has_significant_change(slice_load: SliceLoad, weights: Weights) -> bool:
    total = sum(slice_load.weights)
    for (_, new), old in zip(weights, slice_load.weights, strict=True):
        if abs(new - old * len(weights) / total) > MIN_CHANGE:
            return True
    return False


def _solve(problem: SliceWeightsProblem, replicated: list[SliceLoad]) -> list[float]:
    """Return the work of each (slice, endpoint) pair, in the order of the slices and their endpoints."""
    servers = {server.name: server for server in problem.servers}
    program = LinearProgram()
    placements: list[Placement] = []
    columns_of: dict[str, list[int]] = {name: [] for name in servers}
    for slice_load in replicated:
        placements += _add_slice(program, slice_load, servers)
    for placement in placements:
        if placement.endpoint in columns_of:
            columns_of[placement.endpoint].append(placement.column)
    placement_count = program.column_count
    _add_servers(program, problem, columns_of)
    _add_moves(program, placements, problem.costs.move)
    highs = new_highs({})
    highs.passModel(program.to_highs())
    highs.run()
    if highs.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        raise NoOptimumError(highs.modelStatusToString(highs.getModelStatus()))
    return list(highs.getSolution().col_value)[:placement_count]


def _add_slice(program: LinearProgram, slice_load: SliceLoad, servers: Mapping[str, Server]) -> list[Placement]:
    """Add a column for each endpoint of a slice and a row that assigns all its work if any endpoint is usable."""
    placements = []
    total_weight = sum(slice_load.weights)
    for name, weight in zip(slice_load.endpoints, slice_load.weights, strict=True):
        column = program.add_column(cost=0.0, upper=slice_load.work if name in servers else 0.0)
        placements.append(Placement(name, column, slice_load.work * weight / total_weight))
    is_usable = any(name in servers for name in slice_load.endpoints)
    columns = [placement.column for placement in placements]
    program.add_row(Term(columns, 1.0), lower=slice_load.work if is_usable else 0.0, upper=slice_load.work)
    return placements


def _fixed_work(problem: SliceWeightsProblem) -> dict[str, float]:
    """Return the work per second of slices with a single endpoint, by server."""
    fixed = dict.fromkeys((server.name for server in problem.servers), 0.0)
    for slice_load in problem.slices:
        if len(slice_load.endpoints) == 1 and slice_load.endpoints[0] in fixed:
            fixed[slice_load.endpoints[0]] += slice_load.work
    return fixed


def _add_servers(program: LinearProgram, problem: SliceWeightsProblem, columns_of: Mapping[str, list[int]]) -> None:
    """Add columns for the loss segments of each server, and a row that equates their load with the server's work.

    The work of a server consists of the columns of slices with several endpoints and of its fixed work.
    """
    fixed = _fixed_work(problem)
    max_wait = patience(problem.classes)
    for server in problem.servers:
        first = program.column_count
        for segment in latency.segments(server.cores, max_wait, problem.costs.demand_spread, 1.0):
            upper = segment.width * server.capacity * server.max_share
            program.add_column(segment.slope + server.failure_ratio, upper)
        program.add_column(OVERLOAD_SLOPE, INFINITY)
        load = range(first, program.column_count)
        fixed_work = fixed[server.name]
        program.add_row(Term(columns_of[server.name], 1.0), Term(load, -1.0), lower=-fixed_work, upper=-fixed_work)


def _add_moves(program: LinearProgram, placements: list[Placement], move_cost: float) -> None:
    """Charge the cost of moves for the work that a placement gains over its current work."""
    for placement in placements:
        gained = program.add_column(move_cost, INFINITY)
        program.add_row(
            Term([placement.column], 1.0), Term([gained], -1.0), lower=-INFINITY, upper=placement.current_work
        )
