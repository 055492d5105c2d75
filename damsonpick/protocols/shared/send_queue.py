"""Per-gateway queues under one budget of lines. Sans I/O: time comes in as nanoseconds.

A gateway's queue is a set of lines by unit, not a list of messages: a line overtaken before it left is
still one line, so a gateway that does not read costs at most one entry a line of the published state.
The budget is a token bucket over all gateways (lines and the head of each message), first come first
served; withdrawals go before the rest, as the grace of a drain does not wait for balance.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import NamedTuple

BURST = 0.05  # s of the pace that an idle channel may send at once


class OutboundMessage(NamedTuple):
    """What leaves for one gateway now."""

    gateway: int
    units: dict[str, set[str]]
    ordered: int  # ns: when the oldest of it was ordered
    first: int  # the lowest change number it answers for
    lines: int


class Waiting:
    """What waits for one gateway."""

    def __init__(self) -> None:
        self.units: dict[str, set[str]] = {}
        self.ordered = self.first = self.lines = 0
        self.urgent = False

    def add(self, now: int, seq: int, lines: dict[str, set[str]], urgent: bool) -> None:
        if not self.units:
            self.ordered, self.first = now, seq
        for unit, names in lines.items():
            have = self.units.setdefault(unit, set())
            before = len(have)
            have |= names
            self.lines += len(have) - before
        self.urgent |= urgent


class Channel:
    """Queues of all gateways of one pilot.

    Args:
        rate: lines a second over all gateways; 0 for no budget.
        head: lines that a message costs beside its own.
        limit: lines that may wait; passing it is counted, not acted on (the module keeps it).
        messages, window: messages to one gateway within so many ns; 0 for no such limit.
    """

    def __init__(self, rate: float, head: float, limit: float, messages: int = 0, window: int = 0) -> None:
        self.rate, self.head, self.limit = rate, head, limit
        self.messages, self.window = messages, window
        self.waits: dict[int, Waiting] = {}
        self.line: OrderedDict[int, None] = OrderedDict()  # gateways in turn
        self.rush: OrderedDict[int, None] = OrderedDict()  # those with a withdrawal
        self.shut: set[int] = set()  # gateways that take nothing now
        self.sent: dict[int, deque[int]] = {}
        self.tokens, self.at = 0.0, 0
        self.most = 0.0  # lines ever waiting at once, heads included

    def join(self, gateway: int) -> None:
        self.waits[gateway] = Waiting()
        self.sent[gateway] = deque()
        self.shut.discard(gateway)

    def leave(self, gateway: int) -> None:
        for place in (self.waits, self.line, self.rush, self.sent):
            place.pop(gateway, None)
        self.shut.discard(gateway)

    def order(self, now: int, gateway: int, seq: int, lines: dict[str, set[str]], urgent: bool) -> None:
        """Queue lines for a gateway; an unknown one is ignored, as it has left."""
        wait = self.waits.get(gateway)
        if wait is None or not lines:
            return
        wait.add(now, seq, lines, urgent)
        self.line.setdefault(gateway)
        if wait.urgent:
            self.rush.setdefault(gateway)
        self.most = max(self.most, self.waiting())

    def open(self, gateway: int, ready: bool) -> None:
        """Whether a gateway takes another message: one that does not read or acknowledge holds up nobody."""
        if ready:
            self.shut.discard(gateway)
        elif gateway in self.waits:
            self.shut.add(gateway)

    def charge(self, lines: float) -> None:
        """Lines of a message that turned out longer than what was ordered: what follows waits for them."""
        self.tokens -= lines if self.rate else 0

    def waiting(self) -> float:
        """Lines that wait, heads included."""
        return sum(self.waits[g].lines + self.head for g in self.line)

    def take(self, now: int) -> OutboundMessage | None:
        """The next message to leave, or None: nothing waits, or the pace does not allow it yet."""
        self._refill(now)
        for gateway in [*self.rush, *(g for g in self.line if g not in self.rush)]:
            if gateway in self.shut or not self._may(now, gateway):
                continue
            wait = self.waits[gateway]
            cost = wait.lines + self.head
            if self.rate and self.tokens <= 0:
                return None
            self.tokens -= cost if self.rate else 0
            return self._pop(now, gateway, wait)
        return None

    def _pop(self, now: int, gateway: int, wait: Waiting) -> OutboundMessage:
        self.waits[gateway] = Waiting()
        self.line.pop(gateway, None)
        self.rush.pop(gateway, None)
        if self.messages:
            self.sent[gateway].append(now)
        return OutboundMessage(gateway, wait.units, wait.ordered, wait.first, wait.lines)

    def _refill(self, now: int) -> None:
        """A message may leave while tokens are above nought, and takes them below: large ones are not stuck."""
        if self.rate:
            gained = max(0, now - self.at) / 1e9 * self.rate if self.at else self.rate * BURST
            self.tokens = min(self.rate * BURST, self.tokens + gained)
        self.at = max(self.at, now)

    def _may(self, now: int, gateway: int) -> bool:
        if not self.messages:
            return True
        sent = self.sent[gateway]
        while sent and sent[0] <= now - self.window:
            sent.popleft()
        return len(sent) < self.messages

    def wake(self, now: int) -> int | None:
        """Nanoseconds until `take` may give something, None while nothing waits that could go."""
        ready = [g for g in self.line if g not in self.shut]
        if not ready:
            return None
        pause = 0
        if self.rate and self.tokens <= 0:
            pause = int(-self.tokens / self.rate * 1e9) + 1_000_000
        if self.messages and not any(self._may(now, g) for g in ready):
            pause = max(pause, min(self.sent[g][0] for g in ready) + self.window - now)
        return max(0, pause)
