"""The linear program, built for HiGHS and kept warm between plans.

Minimise, in worth a second,
    - value F + cross F + density * (lateness slope + failing) l + move t + penalties
over flows F[z,c,b] (work of class c from gateways of zone z to building b), loads l[s,k] in the pieces of a
server's lateness, gains t[s] over the last plan, shortfalls n[s] under the least share, and m over the
bound on moves. Classes share a building's servers alike, as what binds a server is its whole load: the program
grows with servers plus zones squared, not with servers times zones times classes. It is always feasible:
nothing let in satisfies it.

Servers that are alike in everything are one column block: symmetry would be broken by luck, so the same
input gives the same weights everywhere, and like servers get like weights.
"""

from __future__ import annotations

import time
from typing import NamedTuple

import highspy
import numpy as np

from damsonpick.solver import latency
from damsonpick.solver.model import Kind, Problem, Server

SHORT_PENALTY = 10.0  # times the dearest worth: a least share is missed only where it cannot be had
MOVE_PENALTY = 5.0
TIE = 1e-7  # worth by which an own building, then a larger server, is dearer: ties are broken on purpose


class Group(NamedTuple):
    """Servers alike in all that matters."""

    zone: str
    capacity: float
    cores: int
    most: float
    failing: float
    share: float
    names: tuple[str, ...]


class Solved(NamedTuple):
    status: str
    value: float
    flows: dict[tuple[str, str, str], float]
    loads: dict[str, float]
    prices: dict[str, float]
    zone_prices: dict[str, float]
    admit_prices: dict[tuple[str, str], float]
    bindings: dict[str, tuple[str, ...]]
    seconds: float
    iterations: int
    gained: float


def group(servers: tuple[Server, ...]) -> list[Group]:
    """Blocks in a settled order: by building, larger ones first."""
    alike: dict[tuple, list[str]] = {}
    for s in servers:
        alike.setdefault((s.zone, -s.capacity, s.cores, s.most, s.failing, s.share), []).append(s.name)
    return [Group(key[0], -key[1], *key[2:], tuple(names)) for key, names in sorted(alike.items())]


def patience(kinds: tuple[Kind, ...]) -> float:
    """Mean service times that a request may wait, over the classes by their aims; coarse, so pieces are shared."""
    return round(min(max(0.0, k.aim / k.work - 1.0) for k in kinds), 2)


def ceiling(kinds: tuple[Kind, ...], density: float) -> float:
    """Slope under which caution stays: just below the worth of the cheapest work, against the mean."""
    return round(0.95 * min(k.worth / k.work for k in kinds) / density, 2) if density else 0.0


class Program:
    """Builds, solves and reads. One instance keeps its last basis and starts from it while the shape holds."""

    def __init__(self, time_limit: float = 5.0) -> None:
        self.highs = highspy.Highs()
        for name, value in (
            ("output_flag", False),
            ("threads", 1),
            ("random_seed", 1),
            ("time_limit", time_limit),
            ("parallel", "off"),
            ("solver", "simplex"),
        ):
            self.highs.setOptionValue(name, value)
        self.shape: tuple | None = None
        self.warm = True

    def solve(self, problem: Problem) -> Solved:
        """The optimum, or a status that says why there is none."""
        start = time.perf_counter()
        build = Build(problem)
        model = build.model()
        basis = self.highs.getBasis() if self.warm and self.shape == build.shape else None
        self.highs.clearSolver()
        self.highs.passModel(model)
        if basis is not None and basis.valid:
            self.highs.setBasis(basis)
        self.shape = build.shape
        self.highs.run()
        status = self.highs.getModelStatus()
        info = self.highs.getInfo()
        took = time.perf_counter() - start
        if status != highspy.HighsModelStatus.kOptimal:
            self.shape = None
            text = self.highs.modelStatusToString(status)
            return Solved(text, 0.0, {}, {}, {}, {}, {}, {}, took, 0, 0.0)
        return build.read(self.highs.getSolution(), info, took)


class Build:
    """The columns and rows of one problem."""

    def __init__(self, problem: Problem) -> None:
        self.problem = problem
        self.kinds = {k.name: k for k in problem.kinds}
        self.groups = group(problem.servers)
        self.buildings = sorted({g.zone for g in self.groups})
        self.demand = [(z, c, rate * self.kinds[c].work) for z, c, rate in problem.demand]
        self.total = sum(work for *_, work in self.demand)
        self.value = {k.name: k.worth / k.work for k in problem.kinds}
        top = max(self.value.values(), default=1.0)
        late = {k.name: (k.worth - k.late_worth) / k.work for k in problem.kinds}
        weight = sum(work for *_, work in self.demand)
        self.density = (sum(late[c] * work for _, c, work in self.demand) / weight) if weight else top
        self.top, self.patience = top, patience(problem.kinds)
        self.ceiling = ceiling(problem.kinds, self.density)
        self.flows = [
            (z, c, b) for z, c, _ in self.demand for b in self.buildings if b == z or not self.kinds[c].own_zone
        ]
        self.cuts = [latency.pieces(g.cores, self.patience, problem.costs.spread, self.ceiling) for g in self.groups]
        self.shape = (tuple(self.flows), tuple((g.zone, len(c)) for g, c in zip(self.groups, self.cuts, strict=True)))
        self._past()

    def _past(self) -> None:
        """The last plan scaled to present demand and to what is possible now; what must leave is no move."""
        room = self.problem.costs.margin
        self.room = [len(g.names) * g.capacity * g.most / (1 + room) for g in self.groups]
        known = sum(g.share * len(g.names) for g in self.groups)
        wanted = [g.share * len(g.names) * self.total for g in self.groups]
        self.past = [min(w, r) for w, r in zip(wanted, self.room, strict=True)]
        forced = max(0.0, self.total - sum(self.past)) if known > 0 else self.total
        self.bound = self.problem.costs.bound * self.total + forced if known > 0 else np.inf
        even = self.total / (sum(self.room) or 1.0)
        self.least = [self.problem.costs.least * min(1.0, even) * r for r in self.room]

    def model(self) -> highspy.HighsLp:
        """Columns: flows, pieces, gains, shortfalls, over. Rows: demand, buildings, gains, least, bound."""
        costs, inf = self.problem.costs, highspy.kHighsInf
        cost, upper = [], []
        for z, c, b in self.flows:
            tie = 0.0 if z == b else TIE * (1 + self.buildings.index(b))
            cost.append(-self.value[c] + costs.between(z, b) + tie)
            upper.append(inf)
        self.first_piece = len(cost)
        for rank, (g, cut, room) in enumerate(zip(self.groups, self.cuts, self.room, strict=True)):
            whole, left = len(g.names) * g.capacity / (1 + costs.margin), room
            for width, slope in cut:
                span = min(width * whole, left)
                left -= span
                cost.append(self.density * slope + self.top * g.failing + TIE * rank / len(self.groups))
                upper.append(span)
        n = len(self.groups)
        self.first_gain, self.first_short, self.over = len(cost), len(cost) + n, len(cost) + 2 * n
        cost += [costs.move] * n + [self.top * SHORT_PENALTY] * n + [self.top * MOVE_PENALTY]
        upper += [inf] * n + list(self.least) + [inf]
        return self._rows(cost, upper)

    def _rows(self, cost: list[float], upper: list[float]) -> highspy.HighsLp:
        inf, rows, n = highspy.kHighsInf, [], len(self.groups)
        place: dict[tuple[str, str], list[int]] = {}
        into: dict[str, list[int]] = {b: [] for b in self.buildings}
        for k, (z, c, b) in enumerate(self.flows):
            place.setdefault((z, c), []).append(k)
            into[b].append(k)
        lower, high = [], []
        for z, c, work in self.demand:
            rows.append([(k, 1.0) for k in place.get((z, c), [])])
            lower.append(-inf)
            high.append(work)
        spans = self._spans()
        for b in self.buildings:
            inside = [k for g, span in zip(self.groups, spans, strict=True) if g.zone == b for k in span]
            rows.append([(k, 1.0) for k in into[b]] + [(k, -1.0) for k in inside])
            lower.append(0.0)
            high.append(0.0)
        for g in range(n):
            rows.append([(k, 1.0) for k in spans[g]] + [(self.first_gain + g, -1.0)])
            lower.append(-inf)
            high.append(self.past[g] if self.bound < np.inf else inf)
        for g in range(n):
            rows.append([(k, 1.0) for k in spans[g]] + [(self.first_short + g, 1.0)])
            lower.append(self.least[g])
            high.append(inf)
        rows.append([(self.first_gain + g, 1.0) for g in range(n)] + [(self.over, -1.0)])
        lower.append(-inf)
        high.append(self.bound if self.bound < np.inf else inf)
        return self._lp(cost, upper, rows, lower, high)

    def _lp(
        self,
        cost: list[float],
        upper: list[float],
        rows: list[list[tuple[int, float]]],
        lower: list[float],
        high: list[float],
    ) -> highspy.HighsLp:
        lp = highspy.HighsLp()
        lp.num_col_, lp.num_row_ = len(cost), len(rows)
        lp.col_cost_, lp.col_lower_ = np.array(cost), np.zeros(len(cost))
        lp.col_upper_ = np.array(upper, dtype=float)
        lp.row_lower_, lp.row_upper_ = np.array(lower, dtype=float), np.array(high, dtype=float)
        lp.a_matrix_.format_ = highspy.MatrixFormat.kRowwise
        lp.a_matrix_.start_ = np.cumsum([0, *map(len, rows)])
        lp.a_matrix_.index_ = np.array([k for row in rows for k, _ in row], dtype=np.int32)
        lp.a_matrix_.value_ = np.array([v for row in rows for _, v in row])
        return lp

    def _spans(self) -> list[range]:
        spans, at = [], self.first_piece
        for cut in self.cuts:
            spans.append(range(at, at + len(cut)))
            at += len(cut)
        return spans

    def read(self, solution: highspy.HighsSolution, info: highspy.HighsInfo, took: float) -> Solved:
        value, reduced, dual = np.array(solution.col_value), np.array(solution.col_dual), np.array(solution.row_dual)
        flows = {key: max(0.0, float(value[k])) for k, key in enumerate(self.flows)}
        loads, prices, bindings = {}, {}, {}
        for g, (block, span) in enumerate(zip(self.groups, self._spans(), strict=True)):
            count = len(block.names)
            load = float(sum(value[k] for k in span)) / count
            price = self._price(g, span, reduced)
            binding = self._binding(g, load * count, float(value[self.first_gain + g]), float(dual[-1]))
            for name in block.names:
                loads[name], prices[name], bindings[name] = max(0.0, load), price, binding
        first = len(self.demand)
        zone_prices = {b: max(0.0, float(dual[first + k])) for k, b in enumerate(self.buildings)}
        admit = {(z, c): max(0.0, -float(dual[k])) for k, (z, c, _) in enumerate(self.demand)}
        gained = float(sum(value[self.first_gain : self.first_short]))
        return Solved(
            "optimal",
            -float(info.objective_function_value),
            flows,
            loads,
            prices,
            zone_prices,
            admit,
            bindings,
            took,
            int(info.simplex_iteration_count),
            gained,
        )

    def _price(self, g: int, span: range, reduced: np.ndarray) -> float:
        """Worth of one more unit of capacity: what its full pieces, each a part of it, would bring."""
        block, margin = self.groups[g], 1 + self.problem.costs.margin
        left, price = block.most, 0.0
        for k, (width, _) in zip(span, self.cuts[g], strict=True):
            part = min(width, left)
            left -= part
            price += max(0.0, -float(reduced[k])) * part / margin
        return price

    def _binding(self, g: int, load: float, gain: float, bound: float) -> tuple[str, ...]:
        block, room, found = self.groups[g], self.room[g], []
        if load >= room * (1 - 1e-6):
            found.append("cold" if block.most < 1 else "capacity")
        if load <= self.least[g] * (1 + 1e-6) + 1e-12:
            found.append("least")
        if gain > 1e-9 and bound < -1e-9:
            found.append("moves")
        return tuple(found)
