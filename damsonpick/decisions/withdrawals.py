"""Withdrawals: orders that stop all proxies from sending to an endpoint, and their repetition for proxies that join.

One order withdraws an endpoint from all tables. Changing the tables instead would take up to two entries for each
slice and exceed the drain grace in a large fleet. The entries of a withdrawn endpoint are removed later, as cleanup.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions.fleet_state import FleetState

# Share of the drain grace for which missed withdrawals wait for further joins, as most proxies join together.
REPEAT_DELAY_SHARE = 0.125


@dataclass(slots=True, eq=False)
class WithdrawalPublisher:
    """Adds withdrawals and readmissions to messages, and records what they publish in `FleetState.withdrawn`.

    Attributes:
        fleet: State that is published.
        missed: Withdrawn endpoints, as keys, whose withdrawal a joined proxy may not have received.
        repeat_at: Time from which missed withdrawals are repeated even if no new one is sent, ns.
        resync: Endpoints, as keys, whose withdrawal state must be sent again, since a proxy may apply another one.
    """

    fleet: FleetState
    missed: dict[str, None] = field(default_factory=dict)
    repeat_at: int = 0
    resync: dict[str, None] = field(default_factory=dict)

    def apply_proxy_joined(self, event: api.ProxyJoined) -> None:
        """Schedule the withdrawal states that a joined proxy needs.

        It may lack any withdrawal. Those of the endpoints that a table names now or, after a takeover, later are as
        urgent as new ones: the proxy reads the stored tables, or still has its earlier ones.

        A proxy that is not fresh may also apply a withdrawal that is no longer in effect, so all withdrawal states are
        sent again. If the proxy joins this incarnation for the first time, it may apply withdrawals of earlier
        incarnations that this one does not know. The withdrawal state of every known endpoint is therefore sent then,
        and that of each further endpoint when it may be used (see `apply_endpoints_named`).
        """
        fleet = self.fleet
        self._record_missed()
        if event.fresh:
            return
        if event.proxy not in fleet.known_proxies:
            fleet.may_lack_withdrawals = True
            fleet.withdrawn = dict.fromkeys(fleet.endpoints, False) | fleet.withdrawn
        self.resync = dict.fromkeys(name for name in fleet.withdrawn if name in fleet.endpoints)

    def apply_endpoints_named(self, names: Iterable[str]) -> None:
        """Schedule readmissions of endpoints that a list or a stored table has just named, if a proxy may need them.

        A proxy may still apply a withdrawal that this incarnation does not know. It would use no entry of the endpoint.
        """
        fleet = self.fleet
        if not fleet.may_lack_withdrawals:
            return
        for name in names:
            if name not in fleet.withdrawn and not fleet.is_unroutable(name):
                fleet.withdrawn[name] = False
                self.resync[name] = None

    def to_readmit(self) -> list[str]:
        """Return the withdrawn endpoints that are routable again."""
        return [name for name, out in self.fleet.withdrawn.items() if out and not self.fleet.is_unroutable(name)]

    def add_withdrawals(self, message: list[api.Action], limit: int, replaced: Sequence[str]) -> None:
        """Withdraw as many endpoints of `replaced` as fit: those newly unroutable, then those that a proxy has missed.

        Args:
            message: Orders of the message, to which the withdrawals are appended.
            limit: Largest number of orders in the message.
            replaced: Endpoints that are published in a table but no longer assigned to its slice.
        """
        withdrawn = self.fleet.withdrawn
        new = [n for n in replaced if self.fleet.is_unroutable(n) and not withdrawn.get(n)]
        missed = [n for n in replaced if withdrawn.get(n) and n in self.missed]
        if not new and self.fleet.now < self.repeat_at:
            return
        self._send(message, (new + missed)[: max(0, limit - len(message))], True)

    def add_resync(self, message: list[api.Action], limit: float) -> None:
        """Send scheduled withdrawal states again until the message has `limit` orders."""
        while self.resync and len(message) < limit:
            name, _ = self.resync.popitem()
            if name in self.fleet.withdrawn:
                self._send(message, [name], self.fleet.withdrawn[name])

    def add_readmissions(self, message: list[api.Action], limit: int, names: list[str]) -> None:
        """Readmit as many of the endpoints as fit."""
        self._send(message, names[: max(0, limit - len(message))], False)

    def _record_missed(self) -> None:
        if self.fleet.now >= self.repeat_at:
            self.repeat_at = self.fleet.now + int(REPEAT_DELAY_SHARE * self.fleet.settings.drain_grace)
        self.missed.update((name, None) for name, withdrawn in self.fleet.withdrawn.items() if withdrawn)

    def _send(self, message: list[api.Action], names: list[str], withdrawn: bool) -> None:
        for name in names:
            message.append(api.SetWithdrawn(name, withdrawn))
            self.missed.pop(name, None)
            self.resync.pop(name, None)
            if self.fleet.withdrawn.get(name) != withdrawn:
                self.fleet.withdrawn[name] = withdrawn
                self.fleet.assignments_stale = True
