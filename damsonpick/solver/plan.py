"""From a solved program to tables: weights by zone and class, what is let in, and what need not be sent."""

from __future__ import annotations

from damsonpick.solver.model import Plan, Problem, ServerPlan
from damsonpick.solver.program import Program, Solved

KEEP = 0.08  # relative change of a line that is not worth sending
DRIFT = 0.03  # share of a table's weight that may be off before all of it is sent


def plan(program: Program, problem: Problem) -> Plan:
    """Solve and read. A program without an optimum gives a plan without weights and the reason as status."""
    if not problem.servers:
        return empty("no server may be used")
    solved = program.solve(problem)
    if solved.status != "optimal":
        return empty(solved.status, solved.seconds)
    total = sum(solved.loads.values())
    capacity = {s.name: s.capacity for s in problem.servers}
    rows = tuple(
        ServerPlan(
            s.name,
            s.zone,
            solved.loads[s.name],
            solved.loads[s.name] / total if total else 0.0,
            solved.loads[s.name] / capacity[s.name],
            solved.prices[s.name],
            solved.bindings[s.name],
        )
        for s in problem.servers
    )
    let_in, shed = _admission(problem, solved)
    cross = {
        (z, b): max(0.0, solved.zone_prices.get(b, 0.0) - solved.zone_prices.get(z, 0.0))
        for z in solved.zone_prices
        for b in solved.zone_prices
        if z != b
    }
    return Plan(
        "optimal",
        rows,
        _weights(problem, solved),
        let_in,
        shed,
        solved.zone_prices,
        cross,
        solved.value,
        solved.seconds,
        solved.iterations,
    )


def empty(status: str, seconds: float = 0.0) -> Plan:
    return Plan(status, (), {}, {}, {}, {}, {}, 0.0, seconds)


def _admission(problem: Problem, solved: Solved) -> tuple[dict[str, float], dict[str, float]]:
    let_in, shed = {}, {}
    for kind in problem.kinds:
        asked = sum(rate * kind.work for _, c, rate in problem.demand if c == kind.name)
        given = sum(work for (_, c, _), work in solved.flows.items() if c == kind.name)
        let_in[kind.name] = min(1.0, given / asked) if asked > 0 else 1.0
        shed[kind.name] = max(0.0, asked - given) * kind.worth / kind.work
    return let_in, shed


def _weights(problem: Problem, solved: Solved) -> dict[tuple[str, str], tuple[tuple[str, float], ...]]:
    """A table for each zone and class: a building's flow over its servers by their loads. Where nothing flows,
    by capacity: a table is never empty while a server may be used."""
    own = {k.name: k.own_zone for k in problem.kinds}
    inside: dict[str, float] = {}
    for s in problem.servers:
        inside[s.zone] = inside.get(s.zone, 0.0) + solved.loads[s.name]
    tables = {}
    for zone, kind, _ in problem.demand:
        flow = {b: solved.flows.get((zone, kind, b), 0.0) for b in inside}
        fit = [s for s in problem.servers if s.zone == zone or not own[kind]]
        raw = {s.name: flow[s.zone] * solved.loads[s.name] / inside[s.zone] for s in fit if inside[s.zone] > 0}
        if sum(raw.values()) <= 1e-9:
            raw = {s.name: s.capacity * s.most for s in fit}
        tables[zone, kind] = normal(raw)
    return tables


def normal(raw: dict[str, float]) -> tuple[tuple[str, float], ...]:
    """Weights with mean 1 over the lines that have any; dust under a thousandth is left out."""
    mean = sum(raw.values()) / (sum(v > 0 for v in raw.values()) or 1)
    return tuple((n, round(v / mean, 4)) for n, v in raw.items() if mean > 0 and v / mean >= 0.001)


def keep(new: tuple[tuple[str, float], ...], old: dict[str, float]) -> tuple[tuple[str, float], ...]:
    """What is worth sending: lines that barely change stay as they are, unless the table drifts for it."""
    if not old or not new:
        return new
    scale = sum(w for _, w in new) / sum(old.values())
    kept = {n: old[n] * scale if n in old and abs(old[n] * scale - w) <= KEEP * max(w, 1e-9) else w for n, w in new}
    total, wanted = sum(kept.values()), sum(w for _, w in new)
    off = sum(abs(kept[n] / total - w / wanted) for n, w in new) / 2
    if off > DRIFT:
        return new
    return tuple((n, round(w / scale, 4)) for n, w in kept.items())
