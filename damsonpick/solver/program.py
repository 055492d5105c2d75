"""The linear program of a whole plan, built for HiGHS and kept warm between plans.

Minimise, in priority weight a second,
    - value F + cross F + (density * loss slope + highest value * failure ratio) l + move t + penalties
over flows F[z,c,b] (work of class c from gateways of zone z to servers of zone b), loads l[s,k] in the segments of a
server's loss curve, gains t[s] over the last plan, shortfalls n[s] under the least share, and m over the bound on
moves. Classes share a zone's servers alike, as what limits a server is its whole load: the program grows with servers
plus zones squared, not with servers times zones times classes. It is always feasible: nothing admitted satisfies it.

Servers that are alike in everything are one block of columns: symmetry would be broken by luck, so the same input
gives the same weights everywhere, and like servers get like weights.
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

SHORTFALL_PENALTY = 10.0  # times the highest value: a least share is missed only where it cannot be had
EXCESS_MOVE_PENALTY = 5.0  # times the highest value
TIE_BREAK_COST = 1e-7  # by which another zone, then a smaller server, is dearer: decides between equal solutions
CAUTION_SHARE = 0.95  # of the value of the cheapest work, under which caution stays
RELATIVE_TOLERANCE = 1e-6
LOAD_TOLERANCE = 1e-12
GAIN_TOLERANCE = 1e-9


class ServerGroup(NamedTuple):
    """Servers alike in all that matters; see `model.Server`."""

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
    """Core-seconds a second that a class brings from the gateways of a zone."""

    zone: str
    request_class: str
    work: float


class Shape(NamedTuple):
    """The columns of a program. A basis fits another program of the same shape."""

    flows: tuple[Flow, ...]
    segments: tuple[tuple[str, int], ...]  # zone and number of segments, by group


class Solution(NamedTuple):
    """What the solver found.

    Attributes:
        status: `OPTIMAL`, or why there is no optimum; the rest is empty then.
        objective: priority weight a second.
        flows: core-seconds a second.
        loads: core-seconds a second, by server.
        prices: of one more core-second a second of capacity, by server.
        limits: that bind a server.
        zone_prices: of one more unit of work a second, by zone.
        solve_s: seconds.
        iterations: of the simplex method.
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
    """Groups in a settled order: by zone, larger servers first."""
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
    """Mean service times that a request may wait, by the most impatient class; coarse, so curves are shared."""
    waits = [max(0.0, each.latency_objective_s / each.mean_work_s - 1.0) for each in classes]
    return round(min(waits), 2)


def max_caution_slope(classes: tuple[RequestClass, ...], density: float) -> float:
    """Slope under which caution stays: just below the value of the cheapest work, against the mean `density`."""
    if not density:
        return 0.0
    cheapest = min(each.priority_weight / each.mean_work_s for each in classes)
    return round(CAUTION_SHARE * cheapest / density, 2)


class Program:
    """Builds, solves and reads. One instance keeps its last basis and starts from it while the shape holds.

    Args:
        time_limit: seconds for one solve.
    """

    def __init__(self, time_limit: float = 5.0) -> None:
        """Begin without a basis."""
        self.highs = new_highs({"random_seed": 1, "time_limit": time_limit, "solver": "simplex"})
        self._shape: Shape | None = None  # of the program whose basis is kept

    def solve(self, problem: Problem) -> Solution:
        """The optimum, or a status that says why there is none."""
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
    """The columns and rows of one problem.

    Args:
        problem: what is asked.

    Attributes:
        shape: of the program.
    """

    def __init__(self, problem: Problem) -> None:
        """Work out what columns and rows rest on."""
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
        self.flows = self._possible_flows()
        self.segments = self._segments()
        segment_counts = [
            (group.zone, len(segments)) for group, segments in zip(self.groups, self.segments, strict=True)
        ]
        self.shape = Shape(tuple(self.flows), tuple(segment_counts))
        self.room = [
            len(group.names) * group.capacity * group.max_share / (1 + self.costs.headroom) for group in self.groups
        ]
        self.min_load = self._min_loads()
        self._work_out_moves()

    def _loss_density(self) -> float:
        """Priority weight that a unit of late work loses, over the demand."""
        if not self.total_work:
            return self.highest_value
        lost = {
            each.name: (each.priority_weight - each.late_weight) / each.mean_work_s for each in self.problem.classes
        }
        return sum(lost[each.request_class] * each.work for each in self.demand) / self.total_work

    def _possible_flows(self) -> list[Flow]:
        flows = []
        for zone, name, _ in self.demand:
            for target in self.zones:
                if target == zone or not self.classes[name].own_zone_only:
                    flows.append(Flow(zone, name, target))
        return flows

    def _segments(self) -> list[tuple[Segment, ...]]:
        """The loss curve of each group's servers."""
        max_wait = patience(self.problem.classes)
        max_slope = max_caution_slope(self.problem.classes, self.density)
        spread = self.costs.demand_spread
        return [latency.segments(group.cores, max_wait, spread, max_slope) for group in self.groups]

    def _min_loads(self) -> list[float]:
        """What each group keeps at least."""
        even = self.total_work / (sum(self.room) or 1.0)
        return [self.costs.min_share * min(1.0, even) * room for room in self.room]

    def _work_out_moves(self) -> None:
        """The last plan scaled to present demand and to what is possible now; what must leave is no move."""
        planned = [group.work_share * len(group.names) * self.total_work for group in self.groups]
        self.past = [min(work, room) for work, room in zip(planned, self.room, strict=True)]
        self.has_past = sum(group.work_share * len(group.names) for group in self.groups) > 0
        forced = max(0.0, self.total_work - sum(self.past))
        self.max_moved = self.costs.max_move_share * self.total_work + forced if self.has_past else INFINITY

    # -- building

    def build(self) -> LinearProgram:
        """Columns: flows, segments, gains, shortfalls, excess. Rows: demand, zones, gains, least loads, bound."""
        program = LinearProgram()
        self._add_flow_columns(program)
        self.spans = self._add_segment_columns(program)
        self.gains = [program.add_column(self.costs.move, INFINITY) for _ in self.groups]
        shortfall_cost = self.highest_value * SHORTFALL_PENALTY
        self.shortfalls = [program.add_column(shortfall_cost, min_load) for min_load in self.min_load]
        self.excess = program.add_column(self.highest_value * EXCESS_MOVE_PENALTY, INFINITY)
        self._add_demand_rows(program)
        self._add_zone_rows(program)
        self._add_group_rows(program)
        program.add_row(Term(self.gains, 1.0), Term([self.excess], -1.0), lower=-INFINITY, upper=self.max_moved)
        return program

    def _add_flow_columns(self, program: LinearProgram) -> None:
        for zone, name, target in self.flows:
            tie_break = 0.0 if zone == target else TIE_BREAK_COST * (1 + self.zones.index(target))
            cost = -self.value[name] + self.costs.between(zone, target) + tie_break
            program.add_column(cost, INFINITY)

    def _add_segment_columns(self, program: LinearProgram) -> list[range]:
        """The columns of each group's segments, together no wider than its room."""
        spans = []
        for rank, (group, segments) in enumerate(zip(self.groups, self.segments, strict=True)):
            first = program.column_count
            capacity = len(group.names) * group.capacity / (1 + self.costs.headroom)
            remaining = self.room[rank]
            failing = self.highest_value * group.failure_ratio
            tie_break = TIE_BREAK_COST * rank / len(self.groups)
            for segment in segments:
                width = min(segment.width * capacity, remaining)
                remaining -= width
                program.add_column(self.density * segment.slope + failing + tie_break, width)
            spans.append(range(first, program.column_count))
        return spans

    def _add_demand_rows(self, program: LinearProgram) -> None:
        """No more flows than is asked for."""
        columns: dict[tuple[str, str], list[int]] = {}
        for column, flow in enumerate(self.flows):
            columns.setdefault((flow.zone, flow.request_class), []).append(column)
        for zone, name, work in self.demand:
            program.add_row(Term(columns.get((zone, name), []), 1.0), lower=-INFINITY, upper=work)

    def _add_zone_rows(self, program: LinearProgram) -> None:
        """What flows into a zone is the load of its servers."""
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
        """Gains over the last plan, then least loads."""
        for span, gain, past in zip(self.spans, self.gains, self.past, strict=True):
            max_load = past if self.has_past else INFINITY
            program.add_row(Term(span, 1.0), Term([gain], -1.0), lower=-INFINITY, upper=max_load)
        for span, shortfall, min_load in zip(self.spans, self.shortfalls, self.min_load, strict=True):
            program.add_row(Term(span, 1.0), Term([shortfall], 1.0), lower=min_load, upper=INFINITY)

    # -- reading

    def read(self, solution: highspy.HighsSolution, info: highspy.HighsInfo, solve_s: float) -> Solution:
        """What HiGHS found for the program that was built."""
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
        """Value of one more unit of capacity: what the group's full segments, each a part of it, would bring."""
        remaining = self.groups[index].max_share
        price = 0.0
        for column, segment in zip(self.spans[index], self.segments[index], strict=True):
            part = min(segment.width, remaining)
            remaining -= part
            price += max(0.0, -float(reduced_costs[column])) * part / (1 + self.costs.headroom)
        return price

    def _limits(self, index: int, load: float, is_move_bound: bool) -> tuple[Limit, ...]:
        """What binds a group with a load in all."""
        limits: list[Limit] = []
        if load >= self.room[index] * (1 - RELATIVE_TOLERANCE):
            limits.append("cold" if self.groups[index].max_share < 1 else "capacity")
        if load <= self.min_load[index] * (1 + RELATIVE_TOLERANCE) + LOAD_TOLERANCE:
            limits.append("least")
        if is_move_bound:
            limits.append("moves")
        return tuple(limits)
