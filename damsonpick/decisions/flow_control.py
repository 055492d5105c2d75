"""Flow control of the channel to the proxies: unacknowledged messages and the remaining capacity of the channel.

Message sizes are measured in table entries, the unit of the channel's configured limit.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions.message_window import MessageWindow
from damsonpick.decisions.urgency import LIMIT_SHARE, Urgency

SYNC_TOKEN_MODULUS = 65536
SYNC_ENTRIES = 2  # size of the sync request at the end of each message, in table entries
MIN_CRITICAL_ENTRIES = 2  # critical entries allowed in an empty channel even if its limit is below one message


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
        window: Limit on the messages in a window.
        message_number: Number of messages sent, which numbers the newest one. Its sync token is the number modulo
            `SYNC_TOKEN_MODULUS`.
        acknowledged: Number of the newest message whose effect each joined proxy is known to have, by proxy.
        newest_acknowledged: Number of the newest message that any proxy has acknowledged.
        unaddressed: Joined proxies, as keys, to which no message was sent since they joined.
        last_move_token: Sync token of the newest message that contained more than cleanup.
    """

    settings: api.Settings
    proxies: dict[int, str] = field(default_factory=dict)
    in_flight: deque[InFlightMessage] = field(default_factory=deque)
    window: MessageWindow = field(init=False)
    message_number: int = 0
    acknowledged: dict[int, int] = field(default_factory=dict)
    newest_acknowledged: int = 0
    unaddressed: dict[int, None] = field(default_factory=dict)
    last_move_token: int = 0

    def __post_init__(self) -> None:
        """Create an empty window."""
        self.window = MessageWindow(self.settings)

    @property
    def last_token(self) -> int:
        """Sync token of the newest message."""
        return self.message_number % SYNC_TOKEN_MODULUS

    @property
    def message_overhead(self) -> float:
        """Size of a message in addition to its orders, in table entries."""
        return self.settings.message_overhead + SYNC_ENTRIES

    def add_proxy(self, proxy: int, zone: str) -> None:
        """Add a joined proxy to the recipients of messages."""
        self.proxies[proxy] = zone
        self.acknowledged[proxy] = 0
        self.unaddressed[proxy] = None

    def remove_proxy(self, proxy: int) -> None:
        """Remove a proxy that has left from the recipients of messages, and stop waiting for its acknowledgements."""
        self.proxies.pop(proxy, None)
        self.acknowledged.pop(proxy, None)
        self.unaddressed.pop(proxy, None)
        self.acknowledge(proxy, None)

    def acknowledged_by_all(self) -> int:
        """Return the number of the newest message whose effect all joined proxies have.

        It is the number of the newest message if no proxy has joined.
        """
        return min(self.acknowledged.values(), default=self.message_number)

    def acknowledge_implicitly(self, proxy: int, number: int) -> None:
        """Record that a joined proxy has the effect of a message because it has read the stored tables after it."""
        self.acknowledged[proxy] = max(number, self.acknowledged[proxy])

    def available(self, now: int, urgency: Urgency) -> int:
        """Return the number of entries that a message may contain now. Below 1, no message may be sent."""
        if not self.window.admits(now, urgency):
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
        self.message_number += 1
        if moves:
            self.last_move_token = self.last_token
        cost = len(self.proxies) * (self.message_overhead + entries)
        self.in_flight.append(InFlightMessage(self.last_token, cost, len(self.proxies), dict(self.proxies)))
        self.window.record(now)
        self.unaddressed.clear()
        return api.RequestSync(self.last_token, True)

    def acknowledge(self, proxy: int, token: int | None) -> None:
        """Record that a proxy has applied the message with a token, or that it has left if the token is None.

        A message is no longer in flight once at least half of its recipients have acknowledged it or left. Proxies
        apply messages in order, so all earlier messages are then no longer in flight either.
        """
        if token is not None and proxy in self.acknowledged:
            number = self.message_number - (self.message_number - token) % SYNC_TOKEN_MODULUS
            self.acknowledged[proxy] = max(number, self.acknowledged[proxy])
            self.newest_acknowledged = max(number, self.newest_acknowledged)
        acknowledged_count = 0
        for position, message in enumerate(self.in_flight, start=1):
            if token is None or token == message.token:
                message.unacknowledged.pop(proxy, None)
            if message.is_acknowledged_by_half():
                acknowledged_count = position
        for _ in range(acknowledged_count):
            self.in_flight.popleft()
