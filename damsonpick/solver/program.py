"""The linear program of a whole plan for HiGHS, which keeps its basis between plans.

The program minimises, in priority weight per second,
    - value F + cross F + (density * loss slope + highest value * failure ratio) l + move t + penalties
over these variables:
    F[z,c,b]  flows: work of class c from gateways of zone z to servers of zone b
    l[s,k]    loads in the segments k of a server's loss curve
    t[s]      gains of a server over the last plan
    n[s]      shortfalls under a server's minimum share
    m         excess over the bound on moves
Here, value is the priority weight per core-second of a class, cross is the cost of work between two zones, and density
is the mean priority weight that a core-second of late work loses. Penalties apply to n and m.

All classes use a zone's servers in the same proportions, because a server is limited by its total load. The size of the
program therefore grows with servers plus zones squared, not with servers times zones times classes. The program is
always feasible: admitting no work satisfies all constraints.

Servers with equal properties share one group of columns. With separate columns, the solver would break the symmetry
between them arbitrarily. With groups, the same input gives the same weights on every machine, and equal servers get
equal weights.
"""

from __future__ import annotations

import time
from typing import NamedTuple

import highspy
import numpy as np

from damsonpick.solver import latency
from damsonpick.solver.latency import Segment
from damsonpick.solver.linear_program import INFINITY, LinearProgram, Term, new_highs
from damsonpick.solver.model import OPTIMAL, Limit, Problem, RequestClass, Server

SHORTFALL_PENALTY = 10.0  # factor on the highest value; a minimum share is missed only if it cannot be reached
EXCESS_MOVE_PENALTY = 5.0  # factor on the highest value, for work that moves beyond the bound on moves
TIE_BREAK_COST = 1e-7  # added cost of other zones and of smaller servers; selects one of several equal solutions
SPREAD_SLOPE_SHARE = 0.95  # fraction of the value of the cheapest work that bounds slopes raised by demand spread
RELATIVE_TOLERANCE = 1e-6  # for comparing a load with a limit
LOAD_TOLERANCE = 1e-12  # core-seconds per second, for comparing a load with a minimum load
GAIN_TOLERANCE = 1e-9  # absolute value of gains and row prices up to which they count as zero


class ServerGroup(NamedTuple):
    """Servers with equal properties except for their names; see `model.Server`."""

    zone: str
    capacity: float
    cores: int
    max_share: float
    failure_ratio: float
    work_share: float
    names: tuple[str, ...]


class Flow(NamedTuple):
    """Work of a class from the gateways of a zone to the servers of a zone."""

    zone: str
    request_class: str
    target_zone: str


class ClassWork(NamedTuple):
    """Work of a class from the gateways of a zone, core-seconds per second."""

    zone: str
    request_class: str
    work: float


class Shape(NamedTuple):
    """Structure of a program's columns. A basis can be reused for another program of the same shape."""

    flows: tuple[Flow, ...]
    segments: tuple[tuple[str, int], ...]  # zone and number of segments, by group


class Solution(NamedTuple):
    """Solution of a program.

    Attributes:
        status: `OPTIMAL`, or the reason why there is no optimum. In that case the other fields are empty or 0, except
            for `solve_s`.
        objective: Priority weight per second.
        flows: Work in core-seconds per second, by (zone, class, target zone).
        loads: Work in core-seconds per second, by server.
        prices: Value of one more core-second per second of capacity, by server.
        limits: Limits that bind a server, by server.
        zone_prices: Value of one more unit of work per second, by zone.
        solve_s: Duration of the solve, seconds.
        iterations: Iterations of the simplex method.
    """

    status: str
    objective: float
    flows: dict[tuple[str, str, str], float]
    loads: dict[str, float]
    prices: dict[str, float]
    limits: dict[str, tuple[Limit, ...]]
    zone_prices: dict[str, float]
    solve_s: float
    iterations: int


def group_servers(servers: tuple[Server, ...]) -> list[ServerGroup]:
    """Group servers with equal properties, in a deterministic order: by zone, larger servers first."""
    groups: dict[ServerGroup, list[str]] = {}
    for server in servers:
        key = ServerGroup(
            zone=server.zone,
            capacity=server.capacity,
            cores=server.cores,
            max_share=server.max_share,
            failure_ratio=server.failure_ratio,
            work_share=server.work_share,
            names=(),
        )
        groups.setdefault(key, []).append(server.name)
    ordered = sorted(groups.items(), key=lambda item: item[0]._replace(capacity=-item[0].capacity))
    return [group._replace(names=tuple(names)) for group, names in ordered]


def patience(classes: tuple[RequestClass, ...]) -> float:
    """Return the longest wait that every class accepts, in mean service times.

    A class accepts waits up to its latency objective minus its mean service time. The value is rounded, so that cached
    loss curves can be shared.
    """
    waits = [max(0.0, each.latency_objective_s / each.mean_work_s - 1.0) for each in classes]
    return round(min(waits), 2)


def max_spread_slope(classes: tuple[RequestClass, ...], density: float) -> float:
    """Return the upper bound of slopes that only the demand spread raises.

    It is slightly below the value of the cheapest work, relative to the mean loss `density`, or 0 if `density` is 0.
    """
    if not density:
        return 0.0
    cheapest = min(each.priority_weight / each.mean_work_s for each in classes)
    return round(SPREAD_SLOPE_SHARE * cheapest / density, 2)


class Program:
    """Solves problems. It keeps its last basis and starts from it as long as the shape of the program is unchanged.

    Args:
        time_limit: Time limit of one solve, seconds.
    """

    def __init__(self, time_limit: float = 5.0) -> None:
        """Create a solver without a basis."""
        self.highs = new_highs({"random_seed": 1, "time_limit": time_limit, "solver": "simplex"})
        self._shape: Shape | None = None  # shape of the program that the basis belongs to

    def solve(self, problem: Problem) -> Solution:
        """Return the optimum, or a solution whose status is the reason why there is none."""
        started = time.perf_counter()
        builder = ProgramBuilder(problem)
        model = builder.build().to_highs()
        basis = self.highs.getBasis() if self._shape == builder.shape else None
        self.highs.clearSolver()
        self.highs.passModel(model)
        if basis is not None and basis.valid:
            self.highs.setBasis(basis)
        self._shape = builder.shape
        self.highs.run()
        status = self.highs.getModelStatus()
        info = self.highs.getInfo()
        solve_s = time.perf_counter() - started
        if status != highspy.HighsModelStatus.kOptimal:
            self._shape = None
            return Solution(self.highs.modelStatusToString(status), 0.0, {}, {}, {}, {}, {}, solve_s, 0)
        return builder.read(self.highs.getSolution(), info, solve_s)


class ProgramBuilder:
    """Builds the columns and rows for one problem, and converts the result of HiGHS to a solution.

    Args:
        problem: The problem to solve.

    Attributes:
        shape: Shape of the program.
    """

    def __init__(self, problem: Problem) -> None:
        """Compute the values that columns and rows are built from."""
        self.problem = problem
        self.costs = problem.costs
        self.classes = {each.name: each for each in problem.classes}
        self.groups = group_servers(problem.servers)
        self.zones = sorted({group.zone for group in self.groups})
        self.demand = [
            ClassWork(zone, name, rate * self.classes[name].mean_work_s) for zone, name, rate in problem.demand
        ]
        self.total_work = sum(each.work for each in self.demand)
        self.value = {each.name: each.priority_weight / each.mean_work_s for each in problem.classes}
        self.highest_value = max(self.value.values(), default=1.0)
        self.density = self._loss_density()
        self.flows = self._allowed_flows()
        self.segments = self._segments()
        segment_counts = [
            (group.zone, len(segments)) for group, segments in zip(self.groups, self.segments, strict=True)
        ]
        self.shape = Shape(tuple(self.flows), tuple(segment_counts))
        self.usable_capacities = [
            len(group.names) * group.capacity * group.max_share / (1 + self.costs.headroom) for group in self.groups
        ]
        self.min_load = self._min_loads()
        self._compute_move_bound()

    def _loss_density(self) -> float:
        """Return the priority weight that a core-second of late work loses, as a mean over the demand.

        Without demand, this is the highest value of any class.
        """
        if not self.total_work:
            return self.highest_value
        lost = {
            each.name: (each.priority_weight - each.late_weight) / each.mean_work_s for each in self.problem.classes
        }
        return sum(lost[each.request_class] * each.work for each in self.demand) / self.total_work

    def _allowed_flows(self) -> list[Flow]:
        flows = []
        for zone, name, _ in self.demand:
            for target in self.zones:
                if target == zone or not self.classes[name].own_zone_only:
                    flows.append(Flow(zone, name, target))
        return flows

    def _segments(self) -> list[tuple[Segment, ...]]:
        """Return the segments of the loss curve of each group's servers."""
        max_wait = patience(self.problem.classes)
        max_slope = max_spread_slope(self.problem.classes, self.density)
        spread = self.costs.demand_spread
        return [latency.segments(group.cores, max_wait, spread, max_slope) for group in self.groups]

    def _min_loads(self) -> list[float]:
        """Return the minimum load of each group."""
        even_utilisation = self.total_work / (sum(self.usable_capacities) or 1.0)
        return [
            self.costs.min_share * min(1.0, even_utilisation) * usable_capacity
            for usable_capacity in self.usable_capacities
        ]

    def _compute_move_bound(self) -> None:
        """Scale the last plan to the current demand and capacities, and compute the bound on moves.

        The bound includes the work that must leave its servers, so that it does not use up the share that may move.
        Without a last plan, moves are not bounded.
        """
        planned_loads = [group.work_share * len(group.names) * self.total_work for group in self.groups]
        self.previous_loads = [
            min(work, usable_capacity)
            for work, usable_capacity in zip(planned_loads, self.usable_capacities, strict=True)
        ]
        self.has_previous_plan = sum(group.work_share * len(group.names) for group in self.groups) > 0
        forced_moves = max(0.0, self.total_work - sum(self.previous_loads))
        self.max_moved = (
            self.costs.max_move_share * self.total_work + forced_moves if self.has_previous_plan else INFINITY
        )

    # -- building the program

    def build(self) -> LinearProgram:
        """Build the program.

        Columns, in this order: flows, segments, gains, shortfalls, excess moves. Rows, in this order: demand, zones,
        gains, minimum loads, bound on moves.
        """
        program = LinearProgram()
        self._add_flow_columns(program)
        self.spans = self._add_segment_columns(program)
        self.gains = [program.add_column(self.costs.move, INFINITY) for _ in self.groups]
        shortfall_cost = self.highest_value * SHORTFALL_PENALTY
        self.shortfalls = [program.add_column(shortfall_cost, min_load) for min_load in self.min_load]
        self.excess_moves = program.add_column(self.highest_value * EXCESS_MOVE_PENALTY, INFINITY)
        self._add_demand_rows(program)
        self._add_zone_rows(program)
        self._add_group_rows(program)
        program.add_row(Term(self.gains, 1.0), Term([self.excess_moves], -1.0), lower=-INFINITY, upper=self.max_moved)
        return program

    def _add_flow_columns(self, program: LinearProgram) -> None:
        for zone, name, target in self.flows:
            tie_break = 0.0 if zone == target else TIE_BREAK_COST * (1 + self.zones.index(target))
            cost = -self.value[name] + self.costs.between(zone, target) + tie_break
            program.add_column(cost, INFINITY)

    def _add_segment_columns(self, program: LinearProgram) -> list[range]:
        """Add columns for the segments of each group, whose total width is the usable capacity of the group.

        Returns:
            The range of columns of each group.
        """
        spans = []
        for rank, (group, segments) in enumerate(zip(self.groups, self.segments, strict=True)):
            first = program.column_count
            capacity = len(group.names) * group.capacity / (1 + self.costs.headroom)
            remaining = self.usable_capacities[rank]
            failure_cost = self.highest_value * group.failure_ratio
            tie_break = TIE_BREAK_COST * rank / len(self.groups)
            for segment in segments:
                width = min(segment.width * capacity, remaining)
                remaining -= width
                program.add_column(self.density * segment.slope + failure_cost + tie_break, width)
            spans.append(range(first, program.column_count))
        return spans

    def _add_demand_rows(self, program: LinearProgram) -> None:
        """Add rows that limit the flows of each zone and class to its demand."""
        columns: dict[tuple[str, str], list[int]] = {}
        for column, flow in enumerate(self.flows):
            columns.setdefault((flow.zone, flow.request_class), []).append(column)
        for zone, name, work in self.demand:
            program.add_row(Term(columns.get((zone, name), []), 1.0), lower=-INFINITY, upper=work)

    def _add_zone_rows(self, program: LinearProgram) -> None:
        """Add rows that equate the flow into a zone with the load of its servers."""
        columns: dict[str, list[int]] = {zone: [] for zone in self.zones}
        for column, flow in enumerate(self.flows):
            columns[flow.target_zone].append(column)
        for zone in self.zones:
            load: list[int] = []
            for group, span in zip(self.groups, self.spans, strict=True):
                if group.zone == zone:
                    load.extend(span)
            program.add_row(Term(columns[zone], 1.0), Term(load, -1.0), lower=0.0, upper=0.0)

    def _add_group_rows(self, program: LinearProgram) -> None:
        """Add rows for the gains over the last plan, then rows for the minimum loads."""
        for span, gain, previous_load in zip(self.spans, self.gains, self.previous_loads, strict=True):
            max_load = previous_load if self.has_previous_plan else INFINITY
            program.add_row(Term(span, 1.0), Term([gain], -1.0), lower=-INFINITY, upper=max_load)
        for span, shortfall, min_load in zip(self.spans, self.shortfalls, self.min_load, strict=True):
            program.add_row(Term(span, 1.0), Term([shortfall], 1.0), lower=min_load, upper=INFINITY)

    # -- reading the solution

    def read(self, solution: highspy.HighsSolution, info: highspy.HighsInfo, solve_s: float) -> Solution:
        """Convert the result of HiGHS to a solution. `build` must have been called before."""
        values = np.array(solution.col_value)
        reduced_costs = np.array(solution.col_dual)
        row_prices = np.array(solution.row_dual)
        loads: dict[str, float] = {}
        prices: dict[str, float] = {}
        limits: dict[str, tuple[Limit, ...]] = {}
        for index, group in enumerate(self.groups):
            count = len(group.names)
            load = float(sum(values[column] for column in self.spans[index])) / count
            is_move_bound = float(values[self.gains[index]]) > GAIN_TOLERANCE and row_prices[-1] < -GAIN_TOLERANCE
            loads.update(dict.fromkeys(group.names, max(0.0, load)))
            prices.update(dict.fromkeys(group.names, self._price(index, reduced_costs)))
            limits.update(dict.fromkeys(group.names, self._limits(index, load * count, is_move_bound)))
        first_zone_row = len(self.demand)
        return Solution(
            status=OPTIMAL,
            objective=-float(info.objective_function_value),
            flows={flow: max(0.0, float(values[column])) for column, flow in enumerate(self.flows)},
            loads=loads,
            prices=prices,
            limits=limits,
            zone_prices={zone: max(0.0, float(row_prices[first_zone_row + k])) for k, zone in enumerate(self.zones)},
            solve_s=solve_s,
            iterations=int(info.simplex_iteration_count),
        )

    def _price(self, index: int, reduced_costs: np.ndarray) -> float:
        """Return the value of one more unit of capacity in a group.

        It is the sum of the values of the group's full segments, weighted by each segment's part of the capacity.
        """
        remaining = self.groups[index].max_share
        price = 0.0
        for column, segment in zip(self.spans[index], self.segments[index], strict=True):
            part = min(segment.width, remaining)
            remaining -= part
            price += max(0.0, -float(reduced_costs[column])) * part / (1 + self.costs.headroom)
        return price

    def _limits(self, index: int, load: float, is_move_bound: bool) -> tuple[Limit, ...]:
        """Return the limits that bind a group with a total load of `load`."""
        limits: list[Limit] = []
        if load >= self.usable_capacities[index] * (1 - RELATIVE_TOLERANCE):
            limits.append("cold" if self.groups[index].max_share < 1 else "capacity")
        if load <= self.min_load[index] * (1 + RELATIVE_TOLERANCE) + LOAD_TOLERANCE:
            limits.append("least")
        if is_move_bound:
            limits.append("moves")
        return tuple(limits)
