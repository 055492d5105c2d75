"""Explains a plan as JSON values: the response to `damsonpick explain weights`."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from damsonpick.solver.model import Limit, Plan, ServerPlan

SIMILAR_SHARE = 0.02  # relative change of a share up to which it counts as unchanged
LIMIT_REASONS: dict[Limit, str] = {
    "capacity": "it is at its capacity",
    "cold": "it is still warming up",
    "least": "it is at its minimum share",
    "moves": "the bound on moves limits it",
}


def explain_nothing(status: str) -> dict[str, Any]:
    """Return the explanation for the case that there is no plan; `status` gives the reason."""
    return {"status": status, "servers": [], "buildings": [], "classes": []}


def explain_plan(plan: Plan, previous: Plan | None, status: str) -> dict[str, Any]:
    """Return loads, limits and prices of a plan, and its differences from the previous plan.

    Args:
        plan: The last plan that the solver found.
        previous: The plan before it, or None.
        status: Current status of the solver.
    """
    previous_shares = {row.name: row.share for row in previous.servers} if previous else {}
    return {
        "status": status,
        "value": round(plan.objective, 4),
        "solved_in_ms": round(plan.solve_s * 1e3, 2),
        "servers": [_explain_server(row, previous_shares) for row in plan.servers],
        "buildings": [
            {"building": zone, "price_of_work": round(price, 5)} for zone, price in sorted(plan.zone_prices.items())
        ],
        "cross": [
            {"from": source, "to": target, "price": round(price, 5)}
            for (source, target), price in sorted(plan.cross_zone_prices.items())
        ],
        "classes": [
            {"class": name, "let_in": round(share, 4), "shed_worth": round(plan.shed[name], 4)}
            for name, share in plan.admitted.items()
        ],
    }


def _explain_server(row: ServerPlan, previous_shares: Mapping[str, float]) -> dict[str, Any]:
    return {
        "server": row.name,
        "building": row.zone,
        "load": round(row.load, 4),
        "share": round(row.share, 5),
        "used": round(row.utilisation, 4),
        "limits": list(row.limits),
        "price_of_a_core": round(row.price, 5),
        "was": round(previous_shares.get(row.name, 0.0), 5),
        "why": _reason(row, previous_shares),
    }


def _reason(row: ServerPlan, previous_shares: Mapping[str, float]) -> str:
    """Return how a server's share has changed and what limits it."""
    if row.name not in previous_shares:
        return "new to the plan"
    previous = previous_shares[row.name]
    change = row.share - previous
    if abs(change) <= SIMILAR_SHARE * max(row.share, previous):
        return "as before"
    direction = "more" if change > 0 else "less"
    return "; ".join([f"{direction} than before", *(LIMIT_REASONS[limit] for limit in row.limits)])
