"""Queues changes for each client, under one budget of entries for all clients.

This module performs no I/O. The caller passes the time in nanoseconds.

The queue of a client is a set of entries by unit, not a list of messages. An entry that changes again before it is sent
is still one entry, so a client that does not read occupies at most one entry per entry of the published state. The
budget is a token bucket over all clients. It counts entries and the overhead of each message. Clients are served in the
order in which their oldest pending changes were queued, except that clients with a pending withdrawal are served first,
because the grace period of a drain does not wait for balancing.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from damsonpick.time_units import NS_PER_SECOND

BURST_S = 0.05  # an idle queue may send the budget of this time at once
REFILL_MARGIN_NS = 1_000_000  # added to the computed wait for tokens, so that tokens are available when it ends


class OutboundMessage(NamedTuple):
    """A message that may be sent to a client now.

    Attributes:
        client: Number of the client.
        units: Changed entries by unit.
        ordered_at: Time in ns at which the first of the changes was queued.
        first_seq: Sequence number of the change that was queued first.
        entries: Number of changed entries in all units.
    """

    client: int
    units: dict[str, set[str]]
    ordered_at: int
    first_seq: int
    entries: int


class PendingChanges:
    """Changes that wait to be sent to one client."""

    def __init__(self) -> None:
        """Initialize the object without changes."""
        self.units: dict[str, set[str]] = {}  # changed entries by unit
        self.ordered_at = 0  # time in ns at which the first change was queued
        self.first_seq = 0  # sequence number of the change that was queued first
        self.entries = 0  # number of changed entries in all units
        self.urgent = False  # whether the changes include a withdrawal

    def add(self, now: int, seq: int, entries: Mapping[str, set[str]], urgent: bool) -> None:
        """Merge the entries of one change."""
        if not self.units:
            self.ordered_at = now
            self.first_seq = seq
        for unit, keys in entries.items():
            waiting = self.units.setdefault(unit, set())
            before = len(waiting)
            waiting |= keys
            self.entries += len(waiting) - before
        self.urgent |= urgent


class SendQueue:
    """The send queues of all clients of one controller.

    Args:
        rate: Entries per second over all clients, or 0 for no limit.
        message_overhead: Entries that each message costs in addition to its own entries.
        limit: Most entries that may wait. The queue does not enforce the limit, because the planner stays within it.
            `most_waiting` shows whether it was exceeded.
        messages: Most messages to one client within `window`, or 0 for no limit.
        window: Length of the window in ns.
    """

    def __init__(self, rate: float, message_overhead: float, limit: float, messages: int = 0, window: int = 0) -> None:
        """Initialize the queue without clients."""
        self.rate = rate
        self.message_overhead = message_overhead
        self.limit = limit
        self.messages = messages
        self.window = window
        self.pending: dict[int, PendingChanges] = {}  # by client
        self.service_order: OrderedDict[int, None] = OrderedDict()  # clients with pending changes, longest wait first
        self.urgent: OrderedDict[int, None] = OrderedDict()  # clients whose pending changes include a withdrawal
        self.blocked: set[int] = set()  # clients that do not accept another message now
        self.sent_at: dict[int, deque[int]] = {}  # by client: times in ns of the messages within the window
        self.tokens = 0.0  # entries that may be sent; negative after a message that used the budget in advance
        self.refilled_at = 0  # time in ns of the last refill; 0 before the first refill
        self.most_waiting = 0.0  # most entries that ever waited at the same time, including overhead

    def join(self, client: int) -> None:
        """Add a client that has connected."""
        self.pending[client] = PendingChanges()
        self.sent_at[client] = deque()
        self.blocked.discard(client)

    def leave(self, client: int) -> None:
        """Remove a client that has disconnected and drop its pending changes."""
        for by_client in (self.pending, self.service_order, self.urgent, self.sent_at):
            by_client.pop(client, None)
        self.blocked.discard(client)

    def enqueue(self, now: int, client: int, seq: int, entries: Mapping[str, set[str]], urgent: bool) -> None:
        """Queue changed entries for a client. Entries for a disconnected client are ignored.

        Args:
            now: Current time in ns.
            client: Number of the client.
            seq: Sequence number of the change.
            entries: Changed entries by unit.
            urgent: Whether the change includes a withdrawal.
        """
        pending = self.pending.get(client)
        if pending is None or not entries:
            return
        pending.add(now, seq, entries, urgent)
        self.service_order.setdefault(client)
        if pending.urgent:
            self.urgent.setdefault(client)
        self.most_waiting = max(self.most_waiting, self.waiting())

    def set_ready(self, client: int, ready: bool) -> None:
        """Record whether a client accepts another message.

        A client that does not read or acknowledge must not delay other clients.
        """
        if ready:
            self.blocked.discard(client)
        elif client in self.pending:
            self.blocked.add(client)

    def charge(self, entries: float) -> None:
        """Charge entries to the budget. Later messages wait until the budget has recovered.

        `next_message` charges the queued entries of a message. The sender of a SASP push also charges the members in
        the push, which may be more than the entries that were queued.
        """
        if self.rate:
            self.tokens -= entries

    def waiting(self) -> float:
        """Return the number of waiting entries, including the overhead of their messages."""
        return sum(self.pending[client].entries + self.message_overhead for client in self.service_order)

    def next_message(self, now: int) -> OutboundMessage | None:
        """Dequeue the next message, or return None if no change can be sent now or the budget does not allow it yet."""
        self._refill(now)
        for client in list(self._clients_by_urgency()):
            if client in self.blocked or not self._within_window(now, client):
                continue
            if self.rate and self.tokens <= 0:
                return None
            pending = self.pending[client]
            self.charge(pending.entries + self.message_overhead)
            return self._dequeue(now, client, pending)
        return None

    def _clients_by_urgency(self) -> Iterator[int]:
        yield from self.urgent
        for client in self.service_order:
            if client not in self.urgent:
                yield client

    def _dequeue(self, now: int, client: int, pending: PendingChanges) -> OutboundMessage:
        self.pending[client] = PendingChanges()
        self.service_order.pop(client, None)
        self.urgent.pop(client, None)
        if self.messages:
            self.sent_at[client].append(now)
        return OutboundMessage(client, pending.units, pending.ordered_at, pending.first_seq, pending.entries)

    def _refill(self, now: int) -> None:
        """Add the tokens for the time since the last refill.

        A message may be sent while the number of tokens is above zero, and may reduce it below zero. Therefore a large
        message never waits forever.
        """
        if self.rate:
            burst = self.rate * BURST_S
            gained = max(0, now - self.refilled_at) / NS_PER_SECOND * self.rate if self.refilled_at else burst
            self.tokens = min(burst, self.tokens + gained)
        self.refilled_at = max(self.refilled_at, now)

    def _within_window(self, now: int, client: int) -> bool:
        """Return whether another message to a client is allowed within the window."""
        if not self.messages:
            return True
        sent_at = self.sent_at[client]
        while sent_at and sent_at[0] <= now - self.window:
            sent_at.popleft()
        return len(sent_at) < self.messages

    def next_due(self, now: int) -> int | None:
        """Return the time in ns until `next_message` may return a message.

        Returns:
            The time, or None if no client that accepts messages has pending changes.
        """
        ready = [client for client in self.service_order if client not in self.blocked]
        if not ready:
            return None
        pause = 0
        if self.rate and self.tokens <= 0:
            pause = int(-self.tokens / self.rate * NS_PER_SECOND) + REFILL_MARGIN_NS
        if self.messages and not any(self._within_window(now, client) for client in ready):
            window_ends = min(self.sent_at[client][0] for client in ready) + self.window
            pause = max(pause, window_ends - now)
        return max(0, pause)
