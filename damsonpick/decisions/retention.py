"""Retention: removal of endpoints terminated long ago and of the oldest withdrawals, to keep the state bounded."""

from __future__ import annotations

from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.time_units import NS_PER_SECOND

MAX_PROXY_ABSENCE_NS = 300 * NS_PER_SECOND  # longest time after which a disconnected proxy may return with old tables
MAX_WITHDRAWALS = 2000  # upper bound on the withdrawal states kept, including those of readmitted endpoints


def remove_terminated_endpoints(fleet: FleetState) -> None:
    """Remove endpoints that have been terminated and in no table for longer than `MAX_PROXY_ABSENCE_NS`.

    Until then, a proxy may return with an entry of such an endpoint and must be sent its withdrawal.
    """
    in_tables = {n: True for s in fleet.slices.values() for n in (*s.published, *s.assigned)}
    terminated = [n for n, e in fleet.endpoints.items() if e.state == "terminated" and n not in in_tables]
    fleet.terminated_since = {n: fleet.terminated_since.get(n, fleet.now) for n in terminated}
    expired = {n: True for n, since in fleet.terminated_since.items() if fleet.now - since > MAX_PROXY_ABSENCE_NS}
    fleet.endpoints = {n: e for n, e in fleet.endpoints.items() if n not in expired}
    for name in expired:
        _remove_withdrawal(fleet, name)


def remove_oldest_withdrawals(fleet: FleetState) -> None:
    """Remove the oldest withdrawal states until at most `MAX_WITHDRAWALS` remain."""
    while len(fleet.withdrawn) > MAX_WITHDRAWALS:
        _remove_withdrawal(fleet, next(iter(fleet.withdrawn)))


def _remove_withdrawal(fleet: FleetState, name: str) -> None:
    """Forget the withdrawal state of an endpoint; proxies may go on applying it."""
    if fleet.withdrawn.pop(name, None) is not None:
        fleet.may_lack_withdrawals = True
