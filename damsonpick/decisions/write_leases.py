"""Write leases: how long proxies without a stream, and proxies that join again, may write by tables that have changed.

A proxy whose stream has broken, or whose slice has changed its instance, goes on writing for `Settings.write_lease`.
After that it sends no write before it has read the stored tables.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.flow_control import FlowControl
from damsonpick.decisions.time_units import NS_PER_SECOND

MAX_STORE_READ_NS = NS_PER_SECOND  # longest time after which a proxy that joins has read the stored tables


class DepartedProxy(NamedTuple):
    """A proxy that has left.

    Attributes:
        left_at: Time at which it left, ns.
        acknowledged: Number of the newest message whose effect it had.
    """

    left_at: int
    acknowledged: int


class ReturningProxy(NamedTuple):
    """A proxy that has joined.

    Attributes:
        current_at: Time from which it writes by no tables other than stored ones, ns.
        message: Number of the newest message that is known to have been executed before it joined.
    """

    current_at: int
    message: int


@dataclass(slots=True, eq=False)
class WriteLeases:
    """Tracks the write leases of all proxies.

    Attributes:
        fleet: State with the time, the settings and the known proxies.
        flow_control: Flow control, which tracks the joined proxies and the messages that they have acknowledged.
        started_at: Time of the first update, ns; the proxies that have not joined yet lost an earlier incarnation
            before it. None until then.
        departed: The proxies that have left and not joined again, by number.
        returning: The proxies that may still write by the tables that they had before they joined, by number.
        leased: The departed proxies that had a write lease at the last update.
    """

    fleet: FleetState
    flow_control: FlowControl
    started_at: int | None = None
    departed: dict[int, DepartedProxy] = field(default_factory=dict)
    returning: dict[int, ReturningProxy] = field(default_factory=dict)
    leased: list[DepartedProxy] = field(default_factory=list)

    def apply_proxy_joined(self, event: api.ProxyJoined) -> None:
        """Wait until a joined proxy has read the stored tables, as it has when it acknowledges a message."""
        self.returning[event.proxy] = ReturningProxy(self._current_at(event), self.flow_control.newest_acknowledged)
        self.departed.pop(event.proxy, None)

    def apply_proxy_left(self, proxy: int) -> None:
        """Wait for the end of the write lease of a proxy that leaves. It must not be removed from flow control yet."""
        self.returning.pop(proxy, None)
        self.departed[proxy] = DepartedProxy(self.fleet.now, self.flow_control.acknowledged.get(proxy, 0))

    def update(self) -> None:
        """Determine which leases have ended.

        A returning proxy without a lease has read the stored tables before it writes. It then has the effect of all
        messages that were executed before it joined, as each one was that another proxy had acknowledged.
        """
        now = self.fleet.now
        self.started_at = now if self.started_at is None else self.started_at
        current = [proxy for proxy, returning in self.returning.items() if now >= returning.current_at]
        for proxy in current:
            self.flow_control.acknowledge_implicitly(proxy, self.returning.pop(proxy).message)
        self.leased = [d for d in self.departed.values() if now < d.left_at + self.fleet.settings.write_lease]

    def have_ended(self, owned_since: int, message: int) -> bool:
        """Return whether no proxy without a stream may write to an endpoint that a message has replaced.

        Args:
            owned_since: Time at which this instance became the owner of the slice, ns.
            message: Number of the message. Proxies that had its effect when they left have no such lease.
        """
        lost_at = max([owned_since, *(d.left_at for d in self.leased if d.acknowledged < message)])
        return self.fleet.now >= max(lost_at + self.fleet.settings.write_lease, self._unknown_end_at())

    def all_have_ended(self) -> bool:
        """Return whether no proxy without a stream has a lease."""
        return not self.leased and self.fleet.now >= self._unknown_end_at()

    def _unknown_end_at(self) -> int:
        """Return the time at which the leases end of the proxies that have never joined, ns; 0 if there are none."""
        expected = self.fleet.settings.proxies
        if expected and len(self.fleet.known_proxies) >= expected:
            return 0
        started_at = self.fleet.now if self.started_at is None else self.started_at
        return started_at + self.fleet.settings.write_lease

    def _current_at(self, event: api.ProxyJoined) -> int:
        now = self.fleet.now
        lease_ends_at = now if event.fresh else self._lost_at(event.proxy) + self.fleet.settings.write_lease
        return now if lease_ends_at <= now else max(lease_ends_at, now + MAX_STORE_READ_NS)

    def _lost_at(self, proxy: int) -> int:
        """Return the time at which a proxy that joins was lost, ns."""
        if proxy in self.departed:
            return self.departed[proxy].left_at
        if proxy in self.fleet.known_proxies or self.started_at is None:
            return self.fleet.now
        return self.started_at
