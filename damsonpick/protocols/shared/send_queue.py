"""Changes that wait for each client, under one budget of entries. Sans I/O: time comes in as nanoseconds.

What waits for a client is a set of entries by unit, not a list of messages: an entry that changes again before it left
is still one entry, so a client that does not read costs at most one entry for each of the published state. The budget
is a token bucket over all clients (entries, and the overhead of each message), first come first served; withdrawals go
before the rest, as the grace of a drain does not wait for balance.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from damsonpick.time_units import NS_PER_SECOND

BURST_S = 0.05  # seconds of the rate that an idle queue may send at once
REFILL_MARGIN_NS = 1_000_000  # added to the time until tokens are there, so that they are


class OutboundMessage(NamedTuple):
    """What leaves for one client now.

    Attributes:
        client: number of the client.
        units: changed entries by unit.
        ordered_at: ns; when the oldest of them was ordered.
        first_seq: the lowest sequence number of a change among them.
        entries: how many entries there are.
    """

    client: int
    units: dict[str, set[str]]
    ordered_at: int
    first_seq: int
    entries: int


class PendingChanges:
    """What waits for one client."""

    def __init__(self) -> None:
        """Start with nothing waiting."""
        self.units: dict[str, set[str]] = {}  # changed entries by unit
        self.ordered_at = 0  # ns; when the oldest of them was ordered
        self.first_seq = 0  # the lowest sequence number of a change among them
        self.entries = 0
        self.urgent = False  # a withdrawal is among them

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
    """The queues of all clients of one controller.

    Args:
        rate: entries a second over all clients; 0: no budget.
        message_overhead: entries that a message costs beside its own.
        limit: entries that may wait; exceeding it is reported, not acted on (the planner keeps within it).
        messages: to one client within `window`; 0: no such limit.
        window: ns.
    """

    def __init__(self, rate: float, message_overhead: float, limit: float, messages: int = 0, window: int = 0) -> None:
        """Start without clients."""
        self.rate = rate
        self.message_overhead = message_overhead
        self.limit = limit
        self.messages = messages
        self.window = window
        self.pending: dict[int, PendingChanges] = {}  # by client
        self.service_order: OrderedDict[int, None] = OrderedDict()  # clients with something waiting
        self.urgent: OrderedDict[int, None] = OrderedDict()  # those of them with a withdrawal
        self.blocked: set[int] = set()  # clients that take nothing now
        self.sent_at: dict[int, deque[int]] = {}  # by client: ns of the messages within the window
        self.tokens = 0.0  # entries that may leave; negative: paid in advance
        self.refilled_at = 0  # ns
        self.most_waiting = 0.0  # entries ever waiting at once, overhead included

    def join(self, client: int) -> None:
        """A client has connected."""
        self.pending[client] = PendingChanges()
        self.sent_at[client] = deque()
        self.blocked.discard(client)

    def leave(self, client: int) -> None:
        """A client has left: what waits for it is dropped."""
        for by_client in (self.pending, self.service_order, self.urgent, self.sent_at):
            by_client.pop(client, None)
        self.blocked.discard(client)

    def enqueue(self, now: int, client: int, seq: int, entries: Mapping[str, set[str]], urgent: bool) -> None:
        """Queue changed entries for a client; one that has left is ignored.

        Args:
            now: ns.
            client: number of the client.
            seq: sequence number of the change.
            entries: by unit.
            urgent: a withdrawal is among them.
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
        """Note whether a client takes another message: one that does not read or acknowledge delays nobody else."""
        if ready:
            self.blocked.discard(client)
        elif client in self.pending:
            self.blocked.add(client)

    def charge(self, entries: float) -> None:
        """Count entries of a message that turned out longer than what was queued: what follows waits for them."""
        if self.rate:
            self.tokens -= entries

    def waiting(self) -> float:
        """Entries that wait, overhead included."""
        return sum(self.pending[client].entries + self.message_overhead for client in self.service_order)

    def next_message(self, now: int) -> OutboundMessage | None:
        """Take the next message to leave; None: nothing waits, or the budget does not allow it yet."""
        self._refill(now)
        for client in list(self._clients_in_turn()):
            if client in self.blocked or not self._within_window(now, client):
                continue
            if self.rate and self.tokens <= 0:
                return None
            pending = self.pending[client]
            self.charge(pending.entries + self.message_overhead)
            return self._take(now, client, pending)
        return None

    def _clients_in_turn(self) -> Iterator[int]:
        yield from self.urgent
        for client in self.service_order:
            if client not in self.urgent:
                yield client

    def _take(self, now: int, client: int, pending: PendingChanges) -> OutboundMessage:
        self.pending[client] = PendingChanges()
        self.service_order.pop(client, None)
        self.urgent.pop(client, None)
        if self.messages:
            self.sent_at[client].append(now)
        return OutboundMessage(client, pending.units, pending.ordered_at, pending.first_seq, pending.entries)

    def _refill(self, now: int) -> None:
        """Add the tokens of the time since the last refill.

        A message may leave while tokens are above zero, and takes them below: so a large one is never stuck.
        """
        if self.rate:
            burst = self.rate * BURST_S
            gained = max(0, now - self.refilled_at) / NS_PER_SECOND * self.rate if self.refilled_at else burst
            self.tokens = min(burst, self.tokens + gained)
        self.refilled_at = max(self.refilled_at, now)

    def _within_window(self, now: int, client: int) -> bool:
        """Whether a client may be sent another message within the window."""
        if not self.messages:
            return True
        sent_at = self.sent_at[client]
        while sent_at and sent_at[0] <= now - self.window:
            sent_at.popleft()
        return len(sent_at) < self.messages

    def next_due(self, now: int) -> int | None:
        """ns until `next_message` may give something; None: nothing waits that could go."""
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
