"""Flow control of the channel to the proxies: unacknowledged messages and the remaining capacity of the channel.

Message sizes are measured in table entries, the unit of the channel's configured limit.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import IntEnum

from damsonpick import interface as api
from damsonpick.decisions.time_units import NS_PER_SECOND

SYNC_TOKEN_MODULUS = 65536
SYNC_ENTRIES = 2  # size of the sync request at the end of each message, in table entries
MIN_CRITICAL_ENTRIES = 2  # critical entries allowed in an empty channel even if its limit is below one message
WINDOW_MARGIN_NS = NS_PER_SECOND // 10  # by which the times between order and sending may differ
UNSPACED_DIVISOR = 4  # critical messages need no spacing until more than 1/4 of a window's messages are used


class Urgency(IntEnum):
    """Urgency of an order. A lower value is more urgent."""

    CRITICAL = 0  # withdrawals, and changes of tables without a routable entry
    CONTROL = 1  # admission levels, and withdrawal states sent again because a proxy has rejoined
    REBALANCE = 2  # moves: changes of tables that are neither critical nor cleanup
    CLEANUP = 3  # removal of the entries of withdrawn endpoints from tables that need no other change


# Share of the channel's limit that orders of each urgency may use. It is below half, because a message whose outcome is
# unknown is sent again and both copies may wait in the channel. Less urgent orders leave capacity for more urgent ones.
LIMIT_SHARE = {
    Urgency.CRITICAL: 0.49,
    Urgency.CONTROL: 0.49,
    Urgency.REBALANCE: 0.48,
    Urgency.CLEANUP: 0.4,
}
# Share of the messages allowed in a window that orders of each urgency may use.
MESSAGE_SHARE = {
    Urgency.CRITICAL: 1.0,
    Urgency.CONTROL: 0.8,
    Urgency.REBALANCE: 0.75,
    Urgency.CLEANUP: 0.75,
}


@dataclass(slots=True, eq=False)
class InFlightMessage:
    """A message in flight: fewer than half of its recipients have acknowledged it.

    A recipient that has left counts as one that has acknowledged the message.

    Attributes:
        token: Sync token that the recipients acknowledge.
        cost: Total size over all recipients, in table entries.
        recipients: Number of proxies to which the message was sent.
        unacknowledged: Zone by proxy, for the recipients that have neither acknowledged the message nor left.
    """

    token: int
    cost: float
    recipients: int
    unacknowledged: dict[int, str]

    def outstanding_cost(self) -> float:
        """Return the unacknowledged part of the cost, in table entries."""
        return self.cost * len(self.unacknowledged) / self.recipients

    def is_acknowledged_by_half(self) -> bool:
        """Return whether at least half of the recipients have acknowledged the message or left.

        Waiting for all recipients would let one stalled proxy block all others.
        """
        return 2 * len(self.unacknowledged) <= self.recipients


@dataclass(slots=True, eq=False)
class FlowControl:
    """Bounds the entries that wait in the channel, even if the channel is slower than configured.

    Attributes:
        settings: Settings with the limits of the channel.
        proxies: Zone by joined proxy.
        in_flight: Messages sent after the newest message that half of its recipients have acknowledged, oldest first.
        sent_at: Send times of the messages in the last `Settings.message_window`, ns, oldest first.
        last_sent_at: Send time of the newest message, ns.
        last_token: Sync token of the newest message.
        last_move_token: Sync token of the newest message that contained more than cleanup.
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
        """Size of a message in addition to its orders, in table entries."""
        return self.settings.message_overhead + SYNC_ENTRIES

    def available(self, now: int, urgency: Urgency) -> int:
        """Return the number of entries that a message may contain now. Below 1, no message may be sent."""
        if not self._window_admits(now, urgency):
            return 0
        room = self.available_beside(urgency)
        if urgency == Urgency.CRITICAL and not self.in_flight:
            return max(room, MIN_CRITICAL_ENTRIES)
        # A message smaller than half of the maximum must wait, since small messages fill the channel with overhead.
        return room if 2 * room >= self.message_capacity(urgency, 0.0) else 0

    def available_beside(self, urgency: Urgency) -> int:
        """Return the number of entries that a message which is sent for more urgent orders may contain.

        Only the channel limits it: the limit on messages in a window does not depend on their contents.
        """
        return self.message_capacity(urgency, sum(message.outstanding_cost() for message in self.in_flight))

    def message_capacity(self, urgency: Urgency, outstanding: float) -> int:
        """Return the number of entries that a message to all proxies may contain. It may be negative.

        Args:
            urgency: Urgency of the orders in the message.
            outstanding: Unacknowledged entries in the channel over all proxies.
        """
        proxies = max(1, len(self.proxies))
        share = LIMIT_SHARE[urgency] * self.settings.channel_limit
        return int((share - outstanding) / proxies - self.message_overhead)

    def moves_acknowledged(self) -> bool:
        """Return whether no message with moves is in flight.

        A message is in flight until half of its recipients have acknowledged it, or until half of the recipients of a
        later message have acknowledged that one. Cleanup may be in flight, since it need not delay a round.
        """
        return all(message.token != self.last_move_token for message in self.in_flight)

    def send(self, now: int, entries: int, moves: bool) -> api.RequestSync:
        """Record a message to all joined proxies. At least one proxy must have joined.

        Args:
            now: Current time, ns.
            entries: Number of entries in the message.
            moves: Whether the message contains more than cleanup.

        Returns:
            The sync request that ends the message. It is addressed to all proxies, since a withdrawal alone may concern
            no proxy and would then never be acknowledged.
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
        """Record that a proxy has applied the message with a token, or that it has left if the token is None.

        A message is no longer in flight once at least half of its recipients have acknowledged it or left. Proxies
        apply messages in order, so all earlier messages are then no longer in flight either.
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
        """Return whether the limit on messages in a window allows one more message.

        Messages are evenly spaced, since a burst would use up the messages that later withdrawals and admission levels
        need. The first critical messages of a window need no spacing. What they use up is made up for by the spacing of
        the rest, so that critical messages never wait for the end of the window.
        """
        window = self.settings.message_window
        while self.sent_at and self.sent_at[0] <= now - window - WINDOW_MARGIN_NS:
            self.sent_at.popleft()
        if not self.settings.messages_per_window:
            return True
        allowed = MESSAGE_SHARE[urgency] * self.settings.messages_per_window
        if len(self.sent_at) + 1 > allowed:
            return False
        if urgency == Urgency.CRITICAL:
            return now >= self.critical_admitted_at()
        return now - self.last_sent_at >= window / allowed

    def critical_admitted_at(self) -> int:
        """Return the time (ns) from which the limit on messages in a window allows the next critical message.

        The messages that the window still admits are spread over the time until the next one is free again.
        """
        settings = self.settings
        if not settings.messages_per_window or not self.sent_at:
            return 0
        next_free_at = self.sent_at[0] + settings.message_window + WINDOW_MARGIN_NS
        unused = settings.messages_per_window - len(self.sent_at)
        if unused <= 0:
            return next_free_at
        if UNSPACED_DIVISOR * len(self.sent_at) <= settings.messages_per_window:
            return 0
        return self.last_sent_at + (next_free_at - self.last_sent_at) // (unused + 1)
