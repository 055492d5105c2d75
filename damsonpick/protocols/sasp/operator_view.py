"""JSON view of the registrations for operators: the response to `damsonpick sasp balancers`."""

from __future__ import annotations

from typing import Any

from damsonpick.protocols.sasp.layout import LbFlag
from damsonpick.protocols.sasp.registry import Balancer, RegisteredGroup, Registry
from damsonpick.time_units import NS_PER_SECOND


def describe_registry(registry: Registry, port: int, now: int) -> dict[str, Any]:
    """Return all load balancers with their groups as JSON values; `now` is in nanoseconds."""
    balancers = [
        _describe_balancer(lb, balancer, registry.trusts_members(lb), now)
        for lb, balancer in registry.balancers.items()
    ]
    return {"port": port, "balancers": balancers}


def _describe_balancer(lb: bytes, balancer: Balancer, trusted: bool, now: int) -> dict[str, Any]:
    sessions = balancer.sessions
    last_sent_at = max((session.acknowledged_at() for session in sessions), default=0)
    return {
        "balancer": _text(lb),
        "health": balancer.health,
        "sessions": len(sessions),
        "pushes": any(flags & LbFlag.PUSH for flags in sessions.values()),
        "trusted": trusted,
        "groups": {_text(group.key.name): _describe_group(group) for group in balancer.groups.values()},
        "seen": max((session.seen_seq for session in sessions), default=None),
        "last_told_s": round((now - last_sent_at) / NS_PER_SECOND, 1) if last_sent_at else None,
    }


def _describe_group(group: RegisteredGroup) -> dict[str, Any]:
    quiesced = [member.endpoint for member, registration in group.members.items() if registration.quiesced]
    return {"covers": group.coverage, "members": len(group.members), "quiesced": quiesced}


def _text(name: bytes) -> str:
    return name.decode("utf-8", "backslashreplace")
