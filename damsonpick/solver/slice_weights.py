"""Weights among the endpoints of slices that are assigned to several: placement decides where, this divides.

Minimise lateness over servers plus what moves, over y[p,h]: the work of slice p that endpoint h gets. Slices with one
endpoint are given load. The same loss segments as in the whole program.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import highspy

from damsonpick.solver import latency
from damsonpick.solver.linear_program import INFINITY, LinearProgram, Term, new_highs
from damsonpick.solver.model import Costs, RequestClass, Server, Weights
from damsonpick.solver.program import patience

MIN_PART = 0.15  # of an even part that each entry keeps
MIN_CHANGE = 0.1  # of an even part, from which a change is worth an entry
OVERLOAD_SLOPE = 3.0  # past the last segment: given load may be above capacity, the program stays feasible


class NoOptimumError(ArithmeticError):
    """The program has no optimum; the text is the solver's status."""


class SliceLoad(NamedTuple):
    """A slice and the work that it brings.

    Attributes:
        number: of the slice.
        work: core-seconds a second that its requests bring.
        endpoints: that it is assigned to.
        weights: their present ones, in the order of `endpoints`.
    """

    number: int
    work: float
    endpoints: tuple[str, ...]
    weights: tuple[float, ...]


class SliceWeightsProblem(NamedTuple):
    """All that the weights depend on."""

    classes: tuple[RequestClass, ...]
    servers: tuple[Server, ...]
    slices: tuple[SliceLoad, ...]
    costs: Costs


class Placement(NamedTuple):
    """The column of a slice's work at an endpoint, and its work there by the present weights."""

    endpoint: str
    column: int
    present_work: float


def divide_slices(problem: SliceWeightsProblem) -> dict[int, Weights]:
    """New weights by slice, only of those that are worth sending; mean 1 over a slice's entries.

    Raises:
        NoOptimumError: the program has no optimum.
    """
    replicated = [slice_load for slice_load in problem.slices if len(slice_load.endpoints) > 1]
    if not replicated:
        return {}
    work_of_columns = iter(_solve(problem, replicated))
    changed = {}
    for slice_load in replicated:
        parts = [next(work_of_columns) for _ in slice_load.endpoints]
        weights = _weights(slice_load, parts)
        if _is_worth_sending(slice_load, weights):
            changed[slice_load.number] = weights
    return changed


def _weights(slice_load: SliceLoad, parts: list[float]) -> Weights:
    """Weights in proportion to parts of the work, none below `MIN_PART`."""
    relative = [max(MIN_PART, len(parts) * part / slice_load.work) for part in parts]
    scale = len(relative) / sum(relative)
    return tuple((name, round(part * scale, 3)) for name, part in zip(slice_load.endpoints, relative, strict=True))


def _is_worth_sending(slice_load: SliceLoad, weights: Weights) -> bool:
    total = sum(slice_load.weights)
    for (_, new), old in zip(weights, slice_load.weights, strict=True):
        if abs(new - old * len(weights) / total) > MIN_CHANGE:
            return True
    return False


def _solve(problem: SliceWeightsProblem, replicated: list[SliceLoad]) -> list[float]:
    """The work of each (slice, endpoint), in the order of the slices."""
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
    """Columns of a slice's endpoints, and the row by which they take all of its work if any is usable."""
    placements = []
    total_weight = sum(slice_load.weights)
    for name, weight in zip(slice_load.endpoints, slice_load.weights, strict=True):
        column = program.add_column(cost=0.0, upper=slice_load.work if name in servers else 0.0)
        placements.append(Placement(name, column, slice_load.work * weight / total_weight))
    is_usable = any(name in servers for name in slice_load.endpoints)
    columns = [placement.column for placement in placements]
    program.add_row(Term(columns, 1.0), lower=slice_load.work if is_usable else 0.0, upper=slice_load.work)
    return placements


def _given_work(problem: SliceWeightsProblem) -> dict[str, float]:
    """Work a second of slices with a single endpoint, by server."""
    given = dict.fromkeys((server.name for server in problem.servers), 0.0)
    for slice_load in problem.slices:
        if len(slice_load.endpoints) == 1 and slice_load.endpoints[0] in given:
            given[slice_load.endpoints[0]] += slice_load.work
    return given


def _add_servers(program: LinearProgram, problem: SliceWeightsProblem, columns_of: Mapping[str, list[int]]) -> None:
    """Loss segments of each server, filled by its slices and its given work."""
    given = _given_work(problem)
    max_wait = patience(problem.classes)
    for server in problem.servers:
        first = program.column_count
        for segment in latency.segments(server.cores, max_wait, problem.costs.demand_spread, 1.0):
            upper = segment.width * server.capacity * server.max_share
            program.add_column(segment.slope + server.failure_ratio, upper)
        program.add_column(OVERLOAD_SLOPE, INFINITY)
        load = range(first, program.column_count)
        given_work = given[server.name]
        program.add_row(Term(columns_of[server.name], 1.0), Term(load, -1.0), lower=-given_work, upper=-given_work)


def _add_moves(program: LinearProgram, placements: list[Placement], move_cost: float) -> None:
    """Charge work above that of the present weights."""
    for placement in placements:
        gained = program.add_column(move_cost, INFINITY)
        program.add_row(
            Term([placement.column], 1.0), Term([gained], -1.0), lower=-INFINITY, upper=placement.present_work
        )
