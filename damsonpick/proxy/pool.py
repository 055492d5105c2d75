"""Connections to servers: how many, which one, and who waits. Sans I/O; connections are opaque.

A slow or hung server holds its own connections and its own queue, both bounded, and nobody else's. New connections
to one server come at a bounded rate (a token bucket), so a server that closes after each answer is not drowned in
handshakes.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

C = TypeVar("C")
W = TypeVar("W")


class Line(Generic[C, W]):
    """What one server has."""

    def __init__(self, churn: float) -> None:
        self.idle: deque[tuple[int, C]] = deque()  # since when; newest last
        self.open = 0  # in use or being made
        self.waiting: deque[W] = deque()
        self.tokens, self.at = churn, 0


class Pool(Generic[C, W]):
    """Args: per_server, waiting: bounds; churn: new ones a second; idle_ns: how long one is kept."""

    def __init__(self, per_server: int, waiting: int, churn: float, idle_ns: int) -> None:
        self.per_server, self.most, self.churn, self.idle_ns = per_server, waiting, churn, idle_ns
        self.lines: dict[str, Line[C, W]] = {}

    def _line(self, server: str) -> Line[C, W]:
        line = self.lines.get(server)
        if line is None:
            line = self.lines[server] = Line(self.churn)
        return line

    def take(self, now: int, server: str, freshest: int) -> C | None:
        """An idle connection used within `freshest` ns, the newest; the caller sees whether it still lives."""
        line = self._line(server)
        while line.idle:
            since, wire = line.idle.pop()
            if now - since > min(freshest, self.idle_ns):
                line.idle.append((since, wire))
                return None
            line.open += 1
            return wire
        return None

    def make(self, now: int, server: str) -> bool:
        """Whether a new connection may be opened now; it then counts as open."""
        line = self._line(server)
        line.tokens = min(self.churn, line.tokens + max(0, now - line.at) / 1e9 * self.churn) if line.at else self.churn
        line.at = now
        if line.open + len(line.idle) >= self.per_server and line.idle:
            return False  # room must be made first, see `spare`
        if line.open >= self.per_server or line.tokens < 1:
            return False
        line.tokens -= 1
        line.open += 1
        return True

    def spare(self, server: str) -> C | None:
        """The oldest idle connection, where it stands in the way of a new one; the caller closes it."""
        line = self._line(server)
        if line.idle and line.open + len(line.idle) >= self.per_server:
            return line.idle.popleft()[1]
        return None

    def wait(self, server: str, who: W) -> bool:
        """Queue up for a connection; False: the queue is full and the request is given up."""
        line = self._line(server)
        if len(line.waiting) >= self.most:
            return False
        line.waiting.append(who)
        return True

    def leave(self, server: str, who: W) -> None:
        line = self.lines.get(server)
        if line is not None and who in line.waiting:
            line.waiting.remove(who)

    def give(self, now: int, server: str, wire: C | None) -> W | None:
        """A connection is free again (None: it is gone); returns who of those that wait should try now."""
        line = self._line(server)
        line.open = max(0, line.open - 1)
        if wire is not None:
            line.idle.append((now, wire))
        return line.waiting.popleft() if line.waiting else None

    def expired(self, now: int) -> list[C]:
        """Idle connections past their time, to be closed; lines with nothing left are forgotten."""
        gone = []
        for server, line in list(self.lines.items()):
            while line.idle and now - line.idle[0][0] > self.idle_ns:
                gone.append(line.idle.popleft()[1])
            if not (line.idle or line.open or line.waiting):
                del self.lines[server]
        return gone

    def drop(self, server: str) -> list[C]:
        """All idle connections of a server that is barred; those in use go on."""
        line = self.lines.get(server)
        gone = [wire for _, wire in line.idle] if line else []
        if line:
            line.idle.clear()
        return gone

    def counts(self) -> dict[str, tuple[int, int, int]]:
        """(open, idle, waiting) by server."""
        return {n: (line.open, len(line.idle), len(line.waiting)) for n, line in self.lines.items()}
