"""Why an endpoint is treated as it is, in words, from what the module believes. Read only."""

from __future__ import annotations

from collections.abc import Iterable

from damsonpick.decisions.planner import Planner
from damsonpick.state.published_tables import PublishedTables

SLOW = 0.75  # learned speed below which an operator is told; a word for people, no decision


def endpoints(planner: Planner, published: PublishedTables) -> Iterable[dict[str, object]]:
    """One row an endpoint: state, what holds it back, and the evidence."""
    lines: dict[str, int] = {}
    for table in published.tables.values():
        for name in table:
            lines[name] = lines.get(name, 0) + 1
    for name, ep in sorted(planner.endpoints.items()):
        why = []
        if planner.is_unroutable(name):
            why.append(f"barred: the list says {ep.state}")
        elif published.withdrawn.get(name):
            why.append("withdrawn: old lines have not left all tables")
        ramp = planner.warm_up_share(ep)
        if ramp < 1:
            why.append(f"cold: started {(planner.now - ep.started) / 1e9:.1f} s ago, counted at {ramp:.0%}")
        if ep.capacity_factor < SLOW:
            why.append(f"slow: answers in {ep.latency / 1e6:.0f} ms, {ep.success_ratio:.0%} answered")
        yield {
            "endpoint": name,
            "state": ep.state,
            "withdrawn": name in published.withdrawn,
            "lines": lines.get(name, 0),
            "weight": ep.weight,
            "speed": round(ep.capacity_factor, 3),
            "ramp": round(ramp, 3),
            "tries": round(ep.attempts, 1),
            "why": "; ".join(why) or "in full service",
        }


def reason(planner: Planner, name: str) -> str:
    """Why an endpoint was withdrawn or let in again."""
    ep = planner.endpoints.get(name)
    if ep is None:
        return "unknown to the module"
    if planner.is_unroutable(name):
        return f"the list says {ep.state}"
    return "listed as ready and no old line is left"
