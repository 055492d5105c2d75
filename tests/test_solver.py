"""The solver: its optimum against an independent formulation, hard cases by name, random fleets."""

from __future__ import annotations

import math
import os
import random
import subprocess
import sys
from pathlib import Path

import numpy as np
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from scipy.optimize import linprog

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.settings import load
from damsonpick.solver import latency
from damsonpick.solver.advice import Advisor
from damsonpick.solver.model import Costs, Demand, Problem, RequestClass, Server
from damsonpick.solver.plan import keep_similar, normalise, plan
from damsonpick.solver.program import SHORTFALL_PENALTY, Program, max_spread_slope, patience
from damsonpick.solver.slice_weights import SliceLoad, SliceWeightsProblem, divide_slices
from damsonpick.state.load_reports import ClientReport, EndpointStats, LoadReports, SliceStats
from tests.pilots import SETTINGS

ROOT = Path(__file__).resolve().parent.parent
SECOND = 1_000_000_000
PAGE, TALLY = RequestClass("page", 1.0, 0.1, 0.3, 1.5), RequestClass("tally", 2.0, 0.2, 0.3, 1.5)


def fleet(*capacities, zones="ab", **more):
    return tuple(
        Server(f"s{k}", zones[k % len(zones)], float(c), max(1, round(c)), **more) for k, c in enumerate(capacities)
    )


def problem(servers, rate, zones="ab", kinds=(PAGE, TALLY), costs=None):
    demand = tuple(Demand(z, k.name, float(rate)) for z in zones for k in kinds)
    return Problem(kinds, servers, demand, costs or Costs())


def solve(p):
    return plan(Program(), p)


def loads(made):
    return {r.name: r.load for r in made.servers}


# -- against independent formulations


def independent(p: Problem) -> float:
    """The same optimum from a program written the long way: a flow for each zone, class and server."""
    kinds, servers, costs = {k.name: k for k in p.classes}, p.servers, p.costs
    work = {(z, c): r * kinds[c].mean_work_s for z, c, r in p.demand}
    total, top = sum(work.values()), max(k.priority_weight / k.mean_work_s for k in p.classes)
    dense = (
        sum((kinds[c].priority_weight - kinds[c].late_weight) / kinds[c].mean_work_s * w for (_, c), w in work.items())
        / total
    )
    wait = patience(p.classes)
    flows = [(z, c, j) for z, c in work for j, s in enumerate(servers) if s.zone == z or not kinds[c].own_zone_only]
    cuts = [
        (j, width * s.capacity / (1 + costs.headroom), slope)
        for j, s in enumerate(servers)
        for width, slope in latency.segments(s.cores, wait, costs.demand_spread, max_spread_slope(p.classes, dense))
    ]
    n, f, q = len(servers), len(flows), len(cuts)
    cost = (
        [
            -kinds[c].priority_weight / kinds[c].mean_work_s
            + costs.between(z, servers[j].zone)
            + top * servers[j].failure_ratio
            for z, c, j in flows
        ]
        + [dense * slope for _, _, slope in cuts]
        + [top * SHORTFALL_PENALTY] * n
    )
    room = [s.capacity * s.max_share / (1 + costs.headroom) for s in servers]
    even = total / sum(room)
    a, b = [], []
    for place, w in work.items():
        a.append([float((z, c) == place) for z, c, _ in flows] + [0.0] * (q + n))
        b.append(w)
    for j in range(n):
        mine = [float(k == j) for _, _, k in flows]
        a.append(mine + [-float(k == j) for k, _, _ in cuts] + [0.0] * n)
        b.append(0.0)
        a.append(mine + [0.0] * (q + n))
        b.append(room[j])
        a.append([-x for x in mine] + [0.0] * q + [-float(k == j) for k in range(n)])
        b.append(-costs.min_share * min(1.0, even) * room[j])
    bounds = [(0, None)] * f + [(0, w) for _, w, _ in cuts] + [(0, None)] * n
    return -linprog(cost, A_ub=np.array(a), b_ub=b, bounds=bounds, method="highs").fun


@pytest.mark.parametrize("seed", range(25))
def test_optimum_agrees_with_an_independent_formulation(seed):
    rng = random.Random(seed)
    kinds = (PAGE, TALLY._replace(own_zone_only=rng.random() < 0.3))
    servers = tuple(
        Server(
            f"s{k}",
            rng.choice("abc"),
            rng.uniform(0.5, 8),
            rng.randint(1, 8),
            rng.choice((1.0, 1.0, 0.4)),
            rng.choice((0.0, 0.0, 0.3)),
        )
        for k in range(rng.randint(1, 7))
    )
    p = Problem(
        kinds,
        servers,
        tuple(Demand(z, k.name, rng.uniform(0, 30)) for z in "abc" for k in kinds),
        Costs(cross_zone=rng.uniform(0, 0.5), headroom=rng.choice((0.0, 0.2))),
    )
    made = solve(p)
    assert made.status == "optimal"
    assert made.objective == pytest.approx(independent(p), rel=1e-6, abs=2e-5)


def test_two_servers_by_brute_force():
    p = problem(fleet(4, 2, zones="a"), 6.0, zones="a", costs=Costs(headroom=0.0, min_share=0.0, demand_spread=0.0))
    wait, total = patience(p.classes), 2 * 6.0 * 0.3
    dense = (0.9 + 1.8) / 0.3 / 2

    def worth(x):
        return 6.0 * 3 - dense * (4 * latency.loss(4, wait, x / 4) + 2 * latency.loss(2, wait, (total - x) / 2))

    best = max(worth(total * k / 20_000) for k in range(20_001) if total * k / 20_000 <= 4)
    assert solve(p).objective == pytest.approx(best, abs=1e-3)


def test_price_of_a_core_is_what_one_more_brings():
    servers = fleet(4, 4, 3, zones="ab")
    p = problem(servers, 12.0, costs=Costs(min_share=0.0))
    made, step = solve(p), 1e-4
    for row, server in zip(made.servers, servers, strict=True):
        more = tuple(s._replace(capacity=s.capacity + step) if s is server else s for s in servers)
        gain = (solve(p._replace(servers=more)).objective - made.objective) / step
        assert row.price == pytest.approx(gain, rel=0.02, abs=0.02)


def test_erlang_and_its_segments():
    assert latency.erlang_c(1, 0.5) == pytest.approx(0.5)
    assert latency.erlang_c(2, 0.5) == pytest.approx(1 / 3)
    for cores in (1, 4, 16, 64):
        cut = latency.segments(cores, 4.0)
        assert sum(w for w, _ in cut) == pytest.approx(1.0)
        slopes = [s for _, s in cut]
        assert slopes == sorted(slopes) and min(slopes) >= -1e-12
        for used in (0.3, 0.7, 0.95):
            assert latency.loss(cores, 4.0, used) <= used * latency.late_share(cores, used, 4.0) + 0.03


# -- hard cases


def test_demand_above_all_capacity_is_feasible_and_sheds_by_worth():
    made = solve(problem(fleet(4, 4), 40.0))
    assert made.status == "optimal" and made.admitted["tally"] > 3 * made.admitted["page"]
    assert made.shed["page"] > 0 and all(r.utilisation <= 1 for r in made.servers)
    assert all(r.price > 0 for r in made.servers)


def test_zero_demand_gives_weights_by_capacity():
    made = solve(problem(fleet(4, 2, zones="a"), 0.0, zones="a"))
    assert dict(made.weights["a", "page"])["s0"] == pytest.approx(2 * dict(made.weights["a", "page"])["s1"], rel=1e-3)


def test_one_server_takes_all():
    made = solve(problem(fleet(4, zones="a"), 2.0))
    assert made.weights["b", "tally"] == (("s0", 1.0),) and made.admitted == {"page": 1.0, "tally": 1.0}


def test_a_zone_with_gateways_and_no_servers_crosses_and_an_own_zone_class_is_shed_there():
    kinds = (PAGE, TALLY._replace(own_zone_only=True))
    made = solve(problem(fleet(4, 4, zones="a"), 3.0, kinds=kinds))
    assert made.weights["b", "page"] and made.weights["b", "tally"] == ()
    assert made.admitted["tally"] == pytest.approx(0.5) and made.admitted["page"] == pytest.approx(1.0)


def test_capacities_spread_a_hundredfold():
    made = solve(problem(fleet(0.5, 50, zones="a"), 30.0, zones="a"))
    got = loads(made)
    assert got["s0"] <= 0.5 and got["s1"] > 15 and made.admitted["page"] > 0.99


def test_least_share_keeps_load_reports_of_every_server():
    made = solve(problem(fleet(8, 8, 1, zones="aab"), 3.0, zones="a", costs=Costs(cross_zone=5.0, min_share=0.1)))
    assert all(load > 0 for load in loads(made).values())
    assert "least" in made.servers[2].limits


def test_own_building_is_preferred_until_it_is_full():
    calm = solve(problem(fleet(8, 8), 5.0, costs=Costs(min_share=0.0)))
    assert {n for n, w in calm.weights["a", "page"] if w > 0.02} == {"s0"}
    servers = (Server("s0", "a", 2.0, 2), Server("s1", "b", 8.0, 8))
    full = solve(problem(servers, 5.0, costs=Costs(min_share=0.0)))
    assert dict(full.weights["a", "page"]).get("s1", 0) > 0 and full.admitted["page"] == 1.0


def test_what_fails_is_charged():
    servers = (Server("s0", "a", 4.0, 4), Server("s1", "a", 4.0, 4, failure_ratio=0.5))
    got = loads(solve(problem(servers, 4.0, zones="a")))
    assert got["s0"] > 2 * got["s1"]


def test_moves_are_bounded_in_one_plan():
    servers = (Server("s0", "a", 4.0, 4, work_share=0.9), Server("s1", "a", 40.0, 40, work_share=0.1))
    p = problem(servers, 5.0, zones="a", costs=Costs(max_move_share=0.1, move=0.0, headroom=0.0))
    made = solve(p)
    total = sum(loads(made).values())
    assert total == pytest.approx(3.0) and made.servers[1].share <= 0.1 + 0.1 + 1e-6
    assert "moves" in made.servers[1].limits
    gone = solve(p._replace(servers=servers[1:]))
    assert gone.servers[0].share == pytest.approx(1.0), "what must move is not bounded"


def test_half_a_building_lost_is_planned_in_one_round_without_overload():
    servers = fleet(*[4.0] * 16, zones="abcd")
    before = solve(problem(servers, 17.0, zones="abcd"))
    share = {r.name: r.share for r in before.servers}
    left = tuple(s._replace(work_share=share[s.name]) for s in servers if s.name not in ("s0", "s4"))
    made = solve(problem(left, 17.0, zones="abcd"))
    assert made.admitted == {"page": pytest.approx(1.0), "tally": pytest.approx(1.0)}
    assert max(r.utilisation for r in made.servers) <= 1 / 1.1 + 1e-9
    cold = tuple(
        s._replace(capacity=0.8, max_share=0.6, work_share=0.0) if s.name in ("s0", "s4") else s for s in servers
    )
    back = solve(
        problem(
            tuple(c._replace(work_share=share.get(c.name, 0)) if c.max_share == 1 else c for c in cold),
            17.0,
            zones="abcd",
        )
    )
    assert all(r.load <= 0.8 * 0.6 + 1e-9 for r in back.servers if r.name in ("s0", "s4"))


def test_no_server_and_odd_numbers_never_raise():
    assert solve(problem((), 5.0)).status == "no server may be used"
    assert solve(problem(fleet(1e-3, 1e6), 5.0)).status == "optimal"


def test_time_limit_is_a_status_not_an_exception():
    rng = random.Random(1)
    servers = tuple(
        Server(f"s{k}", f"z{k % 16}", rng.uniform(1, 8), 4, work_share=rng.random() / 400) for k in range(1200)
    )
    p = problem(servers, 40.0, zones=[f"z{k}" for k in range(16)])
    made = plan(Program(time_limit=1e-4), p)
    assert made.status == "Time limit reached" and not made.weights


def test_same_input_same_weights_in_any_order_and_process():
    script = (
        "import random\nfrom tests.test_solver import *\n"
        "servers = list(fleet(4, 4, 4, 2, 2, 7))\nrandom.Random({0}).shuffle(servers)\n"
        "made = solve(problem(tuple(servers), 9.0))\n"
        "print(sorted((k, sorted(v)) for k, v in made.weights.items()))"
    )
    outputs = {
        subprocess.run(
            [sys.executable, "-c", script.replace("{0}", seed)],
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONHASHSEED": seed},
        ).stdout.splitlines()[-1]
        for seed in ("0", "1", "7")
    }
    assert len(outputs) == 1
    alike = loads(solve(problem(fleet(4, 4, 4, 4, zones="a"), 5.0, zones="a")))
    assert len({round(v, 9) for v in alike.values()}) == 1, "servers alike get like parts"


def test_warm_and_cold_starts_agree():
    program, rng = Program(), random.Random(5)
    p = problem(fleet(*(rng.uniform(2, 8) for _ in range(30)), zones="abcd"), 40.0, zones="abcd")
    for _ in range(6):
        p = p._replace(servers=tuple(s._replace(capacity=s.capacity * rng.uniform(0.9, 1.1)) for s in p.servers))
        assert plan(program, p).objective == pytest.approx(solve(p).objective, rel=1e-7)


numbers = st.floats(0.05, 20)
servers_ = st.lists(
    st.tuples(
        st.sampled_from("abc"),
        numbers,
        st.integers(1, 16),
        st.sampled_from((1.0, 0.5, 0.1)),
        st.sampled_from((0.0, 0.4)),
        st.floats(0, 0.3),
    ),
    min_size=1,
    max_size=14,
)


@settings(max_examples=120, deadline=None, derandomize=True)
@given(servers_, st.lists(st.floats(0, 60), min_size=6, max_size=6), st.floats(0.01, 1))
def test_random_fleets(rows, rates, bound):
    """Weights finite and not negative, nothing over what it may be given, cold shares kept, all fed that can be."""
    fleet_ = tuple(Server(f"s{k}", *row) for k, row in enumerate(rows))
    demand = tuple(
        Demand(z, k.name, rates[2 * i + j]) for i, z in enumerate("abc") for j, k in enumerate((PAGE, TALLY))
    )
    p = Problem((PAGE, TALLY), fleet_, demand, Costs(max_move_share=bound))
    made = solve(p)
    assert made.status == "optimal"
    for row, server in zip(made.servers, fleet_, strict=True):
        assert 0 <= row.load <= server.capacity * server.max_share / 1.1 * (1 + 1e-6) + 1e-9
        assert math.isfinite(row.price) and row.price >= 0
    for table in made.weights.values():
        assert table and all(math.isfinite(w) and w > 0 for _, w in table)
        assert {n for n, _ in table} <= {s.name for s in fleet_}
    room = sum(s.capacity * s.max_share / 1.1 for s in fleet_)
    work = sum(r * 0.3 for *_, r in demand)
    assert sum(r.load for r in made.servers) <= min(room, work) * (1 + 1e-6) + 1e-6
    assert all(0 <= v <= 1 for v in made.admitted.values())


def test_entries_that_barely_change_are_kept():
    old = dict(normalise({"a": 1.0, "b": 2.0, "c": 3.0}))
    assert dict(keep_similar(normalise({"a": 1.02, "b": 2.0, "c": 3.0}), old)) == pytest.approx(old, rel=0.02)
    assert dict(keep_similar(normalise({"a": 3.0, "b": 2.0, "c": 1.0}), old)) == dict(
        normalise({"a": 3.0, "b": 2.0, "c": 1.0})
    )


def test_work_of_slices_is_divided_among_unlike_endpoints_by_what_they_can_do():
    servers = (Server("s0", "a", 6.0, 6), Server("s1", "a", 2.0, 2))
    p = SliceWeightsProblem(
        (PAGE,),
        servers,
        (SliceLoad(0, 5.0, ("s0", "s1"), (1.0, 1.0)), SliceLoad(1, 0.5, ("s1",), (1.0,))),
        Costs(move=0.0),
    )
    got = dict(divide_slices(p)[0])
    assert got["s0"] > 2 * got["s1"]
    assert divide_slices(p._replace(slices=p.slices[1:])) == {}
    assert divide_slices(p._replace(slices=(SliceLoad(0, 50.0, ("gone", "s1"), (1.0, 1.0)),)))


# -- through the module


class DecisionLoop:
    """The module and the advisor on a fleet that answers as its true speeds let it."""

    def __init__(self, tmp_path, speeds, rate, seed=1, late=(1.0, 3.0), noise=0.3):
        text = SETTINGS.format(slices=0, rate=0).replace("aim = 1.5 s", "work = 300 ms\naim = 1.5 s")
        (tmp_path / "pilot.ini").write_text(text)
        self.settings = load(tmp_path / "pilot.ini")
        self.zones = {f"10.0.0.{k}:80": "ab"[k % 2] for k in range(len(speeds))}
        self.speeds = dict(zip(self.zones, speeds, strict=True))
        self.advisor = Advisor(self.settings, self.zones.get)
        self.planner = Planner(self.settings.planner(), seed)
        self.program, self.rng, self.rate = Program(), random.Random(seed), rate
        self.now, self.late, self.noise = 100 * SECOND, late, noise
        self.states = dict.fromkeys(self.zones, "in_service")
        self.started = dict.fromkeys(self.zones, 0)
        self.tables: dict[int, dict[str, float]] = {n: {} for n in range(4)}
        self.shut: dict[str, bool] = {}
        self.pending: list[tuple[int, list[api.Event]]] = []
        self.moved: list[float] = []
        self.handle(
            api.EndpointListChanged("restored", ()),
            self.listed(),
            api.ProxyJoined(0, "a", 1.0, True),
            api.ProxyJoined(1, "b", 1.0, True),
            *(api.SliceOwnershipChanged(n, True) for n in range(4)),
        )
        self.handle(*self.advisor.initial_tables(self.planner))

    def listed(self):
        return api.EndpointListChanged(
            "replace",
            tuple(api.EndpointEntry(n, z, self.states[n], 4.0, self.started[n]) for n, z in self.zones.items()),
        )

    def handle(self, *events):
        for order in self.planner.handle(self.now, list(events)):
            if isinstance(order, api.SetEntry):
                self.tables[order.table][order.endpoint] = order.weight
                if order.weight <= 0:
                    del self.tables[order.table][order.endpoint]
            elif isinstance(order, api.SetWithdrawn):
                self.shut[order.endpoint] = order.withdrawn
            elif isinstance(order, api.RequestSync):
                self.pending.append((self.now, [api.SyncAcknowledged(order.token, p, SECOND // 10) for p in (0, 1)]))

    def used(self):
        """True utilisation by server, from the tables."""
        load = dict.fromkeys(self.zones, 0.0)
        for table in self.tables.values():
            fit = {n: w for n, w in table.items() if not self.shut.get(n)}
            for n, w in fit.items():
                load[n] += self.rate * 0.3 * w / sum(fit.values())
        return {n: load[n] / (4.0 * self.speeds[n]) for n in load}

    def report(self):
        events = []
        for n, used in self.used().items():
            wait = latency.erlang_c(4, min(used, 0.98)) / (4 * (1 - min(used, 0.98)))
            ms = 300 / self.speeds[n] * (1 + wait) * math.exp(self.rng.gauss(0, self.noise))
            tries = max(1, round(used * 4 * self.speeds[n] / 0.3))
            events.append(api.EndpointReport("ab"[len(events) % 2], n, tries, 0, round(ms * 1e6), SECOND, ()))
        for number in range(4):
            rate = max(0, round(self.rng.gauss(self.rate, self.rate**0.5)))
            events.append(api.SliceDemand(number, ("page", "tally")[number % 2], rate, 0, SECOND))
        return events

    def run(self, seconds, plans=True):
        for step in range(int(seconds * 4)):
            self.now += SECOND // 4
            due = [e for t, es in self.pending if t <= self.now for e in es]
            self.pending = [(t, es) for t, es in self.pending if t > self.now]
            if step % 4 == 0:
                self.pending.append((self.now + int(self.rng.uniform(*self.late) * SECOND), self.report()))
            self.handle(api.TimerFired(0), *due)
            self.handle(*self.advisor.repaired_tables(self.planner))
            if plans and self.advisor.is_due(self.now, self.planner):
                self.advisor.begin_solve(self.now, self.planner)
                made = plan(self.program, self.advisor.problem(self.planner))
                if made.status == "optimal":
                    before = {r.name: r.share for r in self.advisor.last_plan.servers} if self.advisor.last_plan else {}
                    self.moved.append(sum(abs(r.share - before.get(r.name, 0.0)) for r in made.servers) / 2)
                    self.handle(*self.advisor.accept(made, self.planner))


def test_weights_settle_and_do_not_swing(tmp_path):
    """Reports 1 to 3 s late, noise 0.3: once settled, the mean part of the weight that moves in a round."""
    loop = DecisionLoop(tmp_path, [1.0, 1.0, 0.5, 1.5, 1.0, 0.8, 1.2, 1.0], rate=12.0)
    loop.run(90)
    tail = loop.moved[-20:]
    assert sum(tail) / len(tail) < 0.03 and max(tail) < 0.10, tail
    used = loop.used()
    assert max(used.values()) < 0.95 and min(used.values()) > 0.1, used


def test_a_server_that_misreports_its_load_as_low_is_not_poured_onto(tmp_path):
    """It answers four times slower and says it is idle. Its answers count: within a report period nothing more
    goes there, and then it loses."""
    loop = DecisionLoop(tmp_path, [1.0] * 8, rate=12.0, noise=0.1)
    loop.run(30)
    liar = next(iter(loop.zones))
    share = [sum(t.get(liar, 0) / sum(t.values()) for t in loop.tables.values()) / 4]
    loop.speeds[liar] = 0.25
    idle = loop.report

    def lying():
        return [
            e._replace(load=(0.0, 1.0)) if isinstance(e, api.EndpointReport) and e.endpoint == liar else e
            for e in idle()
        ]

    loop.report = lying
    for _ in range(10):
        loop.run(1)
        share.append(sum(t.get(liar, 0) / sum(t.values()) for t in loop.tables.values()) / 4)
    assert max(share[1:4]) <= share[0] * 1.1
    loop.run(20)
    assert sum(t.get(liar, 0) / sum(t.values()) for t in loop.tables.values()) / 4 < 0.6 * share[0]


def test_an_unroutable_server_has_no_entry_and_a_warming_one_its_part(tmp_path):
    loop = DecisionLoop(tmp_path, [1.0] * 6, rate=10.0)
    loop.run(20)
    one, two = list(loop.zones)[:2]
    loop.states[one] = "terminating"
    loop.started[two] = loop.now
    loop.handle(loop.listed())
    assert loop.shut[one]
    loop.run(0.5)
    warm = 1 / 5
    for table in loop.tables.values():
        fit = {n: w for n, w in table.items() if not loop.shut.get(n)}
        assert one not in fit and fit.get(two, 0.0) / sum(fit.values()) < 0.75 * warm
    loop.run(30)
    share = sum(t.get(two, 0) / sum(t.values()) for t in loop.tables.values()) / 4
    assert share > 0.1 and not any(one in t for t in loop.tables.values()), "warm again, it has its part"


def test_stale_and_contradictory_reports_do_no_harm(tmp_path):
    loop = DecisionLoop(tmp_path, [1.0] * 4, rate=6.0)
    loop.run(10)
    name = next(iter(loop.zones))
    load_reports = LoadReports(("page", "tally"), 4, SECOND, 10 * SECOND)
    load_reports.known_endpoints = set(loop.zones)
    for g, (tries, bad) in enumerate(((5, 50), (0, 0), (10**15, 3))):
        load_reports.join(loop.now, g)
        load_reports.add(
            loop.now,
            ClientReport(
                g, "a", SECOND, (EndpointStats(name, tries, bad, 9, -3),), (SliceStats(0, "page", 10**15, 0),)
            ),
        )
    loop.handle(*load_reports.flush())
    made = plan(loop.program, loop.advisor.problem(loop.planner))
    assert made.status == "optimal" and all(math.isfinite(w) for t in made.weights.values() for _, w in t)
    loop.run(15)
    assert all(loop.tables.values())


def test_failures_of_the_solver_leave_the_last_weights_and_tries_grow_rarer(tmp_path):
    loop = DecisionLoop(tmp_path, [1.0] * 4, rate=6.0)
    loop.run(10)
    told, gaps = dict(loop.advisor.advised_weights), []
    for _ in range(6):
        loop.advisor.note_failure(loop.now, "told to")
        gaps.append(loop.advisor.due_at - loop.now)
    assert gaps == sorted(gaps) and gaps[-1] <= 30 * SECOND and loop.advisor.advised_weights == told
    assert loop.advisor.explain()["status"] == "told to" and loop.advisor.explain()["servers"]
