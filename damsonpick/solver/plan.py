"""Converts a solved program to a plan: table weights by zone and class, admitted shares and shed demand.

Also keeps table entries whose weight barely changes, so that they need not be sent.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from damsonpick.solver.model import OPTIMAL, Plan, Problem, ServerPlan, Weights
from damsonpick.solver.program import Program, Solution

ENTRY_CHANGE_TOLERANCE = 0.08  # relative change up to which an entry keeps its weight and is not sent
MAX_TABLE_DRIFT = 0.03  # share of a table's weight that kept entries may shift; above it, the whole table is sent
MIN_WEIGHT = 0.001  # fraction of the mean weight below which an entry is left out
MIN_FLOW = 1e-9  # core-seconds per second up to which a flow counts as zero
SMALLEST_WEIGHT = 1e-9  # lower bound of the weight that a change of an entry is relative to


class Admission(NamedTuple):
    """Admitted shares and shed priority weight by class; see `model.Plan`."""

    admitted: dict[str, float]
    shed: dict[str, float]


def plan(program: Program, problem: Problem) -> Plan:
    """Solve a problem and return its plan.

    If the program has no optimum, the plan has no weights and its status is the reason.
    """
    if not problem.servers:
        return empty_plan("no server may be used")
    solution = program.solve(problem)
    if solution.status != OPTIMAL:
        return empty_plan(solution.status, solution.solve_s)
    admission = _admission(problem, solution)
    return Plan(
        status=OPTIMAL,
        servers=_server_plans(problem, solution),
        weights=_weights(problem, solution),
        admitted=admission.admitted,
        shed=admission.shed,
        zone_prices=solution.zone_prices,
        cross_zone_prices=_cross_zone_prices(solution.zone_prices),
        objective=solution.objective,
        solve_s=solution.solve_s,
        iterations=solution.iterations,
    )


def empty_plan(status: str, solve_s: float = 0.0) -> Plan:
    """Return a plan without weights; `status` gives the reason."""
    return Plan(status, (), {}, {}, {}, {}, {}, 0.0, solve_s)


def _server_plans(problem: Problem, solution: Solution) -> tuple[ServerPlan, ...]:
    total = sum(solution.loads.values())
    plans = []
    for server in problem.servers:
        load = solution.loads[server.name]
        plans.append(
            ServerPlan(
                name=server.name,
                zone=server.zone,
                load=load,
                share=load / total if total else 0.0,
                utilisation=load / server.capacity,
                price=solution.prices[server.name],
                limits=solution.limits[server.name],
            )
        )
    return tuple(plans)


def _cross_zone_prices(zone_prices: Mapping[str, float]) -> dict[tuple[str, str], float]:
    prices = {}
    for source, source_price in zone_prices.items():
        for target, target_price in zone_prices.items():
            if source != target:
                prices[source, target] = max(0.0, target_price - source_price)
    return prices


def _admission(problem: Problem, solution: Solution) -> Admission:
    admitted = {}
    shed = {}
    for each in problem.classes:
        asked = sum(rate * each.mean_work_s for _, name, rate in problem.demand if name == each.name)
        admitted_work = sum(work for (_, name, _), work in solution.flows.items() if name == each.name)
        admitted[each.name] = min(1.0, admitted_work / asked) if asked > 0 else 1.0
        shed[each.name] = max(0.0, asked - admitted_work) * each.priority_weight / each.mean_work_s
    return Admission(admitted, shed)


def _weights(problem: Problem, solution: Solution) -> dict[tuple[str, str], Weights]:
    """Return a table for each zone and class.

    The flow into a target zone is divided among the zone's servers in proportion to their loads. If there is no flow,
    weights are in proportion to usable capacity, so that a table is never empty while any server may be used.
    """
    own_zone_only = {each.name: each.own_zone_only for each in problem.classes}
    zone_loads: dict[str, float] = {}
    for server in problem.servers:
        zone_loads[server.zone] = zone_loads.get(server.zone, 0.0) + solution.loads[server.name]
    tables = {}
    for zone, name, _ in problem.demand:
        usable = [server for server in problem.servers if server.zone == zone or not own_zone_only[name]]
        flows = {target: solution.flows.get((zone, name, target), 0.0) for target in zone_loads}
        work = {
            server.name: flows[server.zone] * solution.loads[server.name] / zone_loads[server.zone]
            for server in usable
            if zone_loads[server.zone] > 0
        }
        if sum(work.values()) <= MIN_FLOW:
            work = {server.name: server.capacity * server.max_share for server in usable}
        tables[zone, name] = normalise(work)
    return tables


def normalise(raw: Mapping[str, float]) -> Weights:
    """Scale weights to a mean of 1 over the entries above 0, and leave out entries below `MIN_WEIGHT`.

    The result is empty if no entry is above 0.
    """
    positive_count = sum(value > 0 for value in raw.values())
    mean = sum(raw.values()) / (positive_count or 1)
    if mean <= 0:
        return ()
    return tuple((name, round(value / mean, 4)) for name, value in raw.items() if value / mean >= MIN_WEIGHT)


def keep_similar(new: Weights, old: Mapping[str, float]) -> Weights:
    """Return the new weights, but keep old entries that barely change.

    All entries are replaced if the kept ones would make the table deviate by more than `MAX_TABLE_DRIFT`.
    """
    if not old or not new:
        return new
    new_total = sum(weight for _, weight in new)
    scale = new_total / sum(old.values())
    kept = dict(new)
    for name, weight in new:
        if name in old and abs(old[name] * scale - weight) <= ENTRY_CHANGE_TOLERANCE * max(weight, SMALLEST_WEIGHT):
            kept[name] = old[name] * scale
    kept_total = sum(kept.values())
    drift = sum(abs(kept[name] / kept_total - weight / new_total) for name, weight in new) / 2
    if drift > MAX_TABLE_DRIFT:
        return new
    return tuple((name, round(weight / scale, 4)) for name, weight in kept.items())
