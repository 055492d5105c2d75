"""Flow control of the channel to the proxies: messages sent and not yet acknowledged, and the room that is left.

The sizes of messages are counted in table entries, the unit of the channel's stated limit.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum

from damsonpick import interface as api

SYNC_TOKEN_MODULUS = 65536
SYNC_ENTRIES = 2  # size of the sync request that ends each message
MIN_CRITICAL_ENTRIES = 2  # room for critical entries in an empty channel whose limit is below one message
UNSPACED_PART = 4  # critical messages up to one in this many of those allowed leave without spacing


class Urgency(IntEnum):
    """How urgent an order is; the lower, the more urgent."""

    CRITICAL = 0  # withdrawals, and tables without a routable entry
    CONTROL = 1  # admission levels, and withdrawals sent again to a proxy that came back
    REBALANCE = 2  # tables that gain or lose an endpoint in service
    CLEANUP = 3  # entries of withdrawn endpoints to be removed


# Share of the channel's limit that may be taken. It stays below half, as a message whose outcome is unknown is
# sent again and both copies may wait, and the less urgent leave room for the more urgent.
LIMIT_SHARE = {
    Urgency.CRITICAL: 0.49,
    Urgency.CONTROL: 0.49,
    Urgency.REBALANCE: 0.48,
    Urgency.CLEANUP: 0.4,
}
# Share of the messages allowed in a window.
MESSAGE_SHARE = {
    Urgency.CRITICAL: 1.0,
    Urgency.CONTROL: 0.8,
    Urgency.REBALANCE: 0.75,
    Urgency.CLEANUP: 0.75,
}


@dataclass(slots=True, eq=False)
class InFlightMessage:
    """A message that not all of its recipients have acknowledged.

    Attributes:
        token: sync token that the recipients acknowledge.
        cost: size over all recipients, entries.
        recipients: number of proxies it was sent to.
        unacknowledged: recipients that have not acknowledged it, and their zones.
    """

    token: int
    cost: float
    recipients: int
    unacknowledged: dict[int, str]

    def outstanding_cost(self) -> float:
        """Part of the cost that is not acknowledged, entries."""
        return self.cost * len(self.unacknowledged) / self.recipients

    def is_acknowledged_by_half(self) -> bool:
        """Whether half of the recipients have acknowledged it. Waiting for all would let one stalled proxy stop all."""
        return 2 * len(self.unacknowledged) <= self.recipients


@dataclass(slots=True, eq=False)
class FlowControl:
    """Bounds what waits in the channel, also where it is slower than stated.

    Attributes:
        settings: hold the limits of the channel.
        proxies: joined proxies and their zones.
        in_flight: messages sent after the newest one that half of its recipients have acknowledged, in the order sent.
        sent_at: times of the messages in the present window, ns.
        last_sent_at: time of the newest message, ns.
        last_token: sync token of the newest message.
        last_move_token: sync token of the newest message that held more than cleanup.
    """

    settings: api.Settings
    proxies: dict[int, str] = field(default_factory=dict)
    in_flight: deque[InFlightMessage] = field(default_factory=deque)
    sent_at: deque[int] = field(default_factory=deque)
    last_sent_at: int = 0
    last_token: int = 0
    last_move_token: int = 0

    @property
    def message_overhead(self) -> float:
        """Size of a message beside its orders, entries."""
        return self.settings.message_overhead + SYNC_ENTRIES

    def available(self, now: int, urgency: Urgency) -> int:
        """Number of entries that a message may hold now; below 1 where none may be sent."""
        if not self._window_admits(now, urgency):
            return 0
        room = self.message_capacity(urgency, sum(message.outstanding_cost() for message in self.in_flight))
        if urgency == Urgency.CRITICAL and not self.in_flight:
            return max(room, MIN_CRITICAL_ENTRIES)
        # Many small messages would fill the channel with overhead.
        return room if 2 * room >= self.message_capacity(urgency, 0.0) else 0

    def message_capacity(self, urgency: Urgency, outstanding: float) -> int:
        """Number of entries of a message to all proxies.

        Args:
            urgency: of what the message holds.
            outstanding: what waits in the channel, entries over all proxies.
        """
        proxies = max(1, len(self.proxies))
        share = LIMIT_SHARE[urgency] * self.settings.channel_limit
        return int((share - outstanding) / proxies - self.message_overhead)

    def moves_acknowledged(self) -> bool:
        """Whether no moves are in flight; cleanup may be, as it need not hold up a round."""
        return all(message.token != self.last_move_token for message in self.in_flight)

    def send(self, now: int, entries: int, moves: bool) -> api.RequestSync:
        """Record a message to all joined proxies, of which there must be one.

        Args:
            now: present time, ns.
            entries: number of entries it holds.
            moves: it holds more than cleanup.

        Returns:
            The sync request that ends the message. It goes to all proxies, since a withdrawal alone may reach none and
            would never be acknowledged.
        """
        self.last_token = (self.last_token + 1) % SYNC_TOKEN_MODULUS
        if moves:
            self.last_move_token = self.last_token
        cost = len(self.proxies) * (self.message_overhead + entries)
        self.in_flight.append(InFlightMessage(self.last_token, cost, len(self.proxies), dict(self.proxies)))
        self.sent_at.append(now)
        self.last_sent_at = now
        return api.RequestSync(self.last_token, True)

    def acknowledge(self, proxy: int, token: int | None) -> None:
        """Record that a proxy has applied the message with a token, or with None that it has left.

        Messages are applied in order, so that one acknowledged by half stands for those before it.
        """
        acknowledged_count = 0
        for position, message in enumerate(self.in_flight, start=1):
            if token is None or token == message.token:
                message.unacknowledged.pop(proxy, None)
            if message.is_acknowledged_by_half():
                acknowledged_count = position
        for _ in range(acknowledged_count):
            self.in_flight.popleft()

    def _window_admits(self, now: int, urgency: Urgency) -> bool:
        """Whether the limit on messages in a window admits one more.

        Messages are evenly spaced, since a burst would use up what later withdrawals and levels need. The first
        critical ones of a window need no spacing.
        """
        window = self.settings.message_window
        while self.sent_at and self.sent_at[0] <= now - window:
            self.sent_at.popleft()
        if not self.settings.messages_per_window:
            return True
        allowed = MESSAGE_SHARE[urgency] * self.settings.messages_per_window
        if len(self.sent_at) + 1 > allowed:
            return False
        spaced = urgency != Urgency.CRITICAL or UNSPACED_PART * len(self.sent_at) > allowed
        return not spaced or now - self.last_sent_at >= window / allowed
