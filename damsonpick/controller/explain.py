"""Describes the state of each endpoint, and the reasons for it, from the planner's state. Changes nothing."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

from damsonpick.decisions.planner import Planner
from damsonpick.state.published_tables import PublishedTables

SLOW_CAPACITY_FACTOR = 0.75  # below this factor `why` calls the endpoint slow; no decision depends on it


def endpoint_rows(planner: Planner, published: PublishedTables) -> Iterator[dict[str, object]]:
    """Yield one row per endpoint for `damsonpick status`. The keys are part of the command's interface.

    Args:
        planner: The running planner.
        published: The published tables and withdrawals.
    """
    entry_counts = Counter(name for table in published.tables.values() for name in table)
    for name, endpoint in sorted(planner.endpoints.items()):
        yield {
            "endpoint": name,
            "state": endpoint.state,
            "withdrawn": name in published.withdrawn,
            "lines": entry_counts[name],
            "weight": endpoint.weight,
            "speed": round(endpoint.capacity_factor, 3),
            "ramp": round(planner.warm_up_share(endpoint), 3),
            "tries": round(endpoint.attempts, 1),
            "why": "; ".join(_limitations(planner, published, name)) or "in full service",
        }


def _limitations(planner: Planner, published: PublishedTables, name: str) -> Iterator[str]:
    """Yield the reasons why an endpoint does not receive its full share of requests."""
    endpoint = planner.endpoints[name]
    if planner.is_unroutable(name):
        yield f"unroutable: the endpoint list says {endpoint.state}"
    elif name in published.withdrawn:  # the value may be 0: the change number of a withdrawal before this start
        yield "withdrawn: not all tables have dropped it yet"
    warm_up_share = planner.warm_up_share(endpoint)
    if warm_up_share < 1:
        age_s = (planner.now - endpoint.started) / 1e9
        yield f"warming up: started {age_s:.1f} s ago, counted at {warm_up_share:.0%}"
    if endpoint.capacity_factor < SLOW_CAPACITY_FACTOR:
        latency_ms = endpoint.latency / 1e6
        yield f"slow: responds in {latency_ms:.0f} ms, {endpoint.success_ratio:.0%} succeed"


def withdrawal_reason(planner: Planner, name: str) -> str:
    """Return why an endpoint was withdrawn or readmitted."""
    endpoint = planner.endpoints.get(name)
    if endpoint is None:
        return "not in the endpoint list"
    if planner.is_unroutable(name):
        return f"the endpoint list says {endpoint.state}"
    return "listed as in service, and no published table has an outdated entry for it"
