"""Connections to servers: how many, which one, and who waits. Sans I/O; connections are opaque.

A slow or hung server holds its own connections and its own queue, both bounded, and nobody else's. New connections
to one server come at a bounded rate (a token bucket), so that a server which closes after each answer is not flooded
with handshakes.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, NamedTuple, TypeVar

from damsonpick.time_units import NS_PER_SECOND

Connection = TypeVar("Connection")
Waiter = TypeVar("Waiter")


class ConnectionCounts(NamedTuple):
    """Connections and queue of one server."""

    open: int
    idle: int
    waiting: int


class ServerConnections(Generic[Connection, Waiter]):
    """What one server has. `open` counts connections in use or being opened."""

    def __init__(self, tokens: float) -> None:
        """Begin without connections.

        Args:
            tokens: connections that may be opened at once.
        """
        self.idle: deque[tuple[int, Connection]] = deque()  # since when (ns); newest last
        self.open = 0
        self.waiting: deque[Waiter] = deque()
        self.tokens = tokens
        self.refilled_at = 0  # ns


class ConnectionPool(Generic[Connection, Waiter]):
    """Connections of one proxy to all servers."""

    def __init__(self, per_server: int, waiting: int, opening_rate: float, idle_ns: int) -> None:
        """Begin without connections.

        Args:
            per_server: connections to one server.
            waiting: requests that may wait for a connection to one server.
            opening_rate: new connections a second to one server.
            idle_ns: how long an idle connection is kept.
        """
        self.per_server = per_server
        self.max_waiting = waiting
        self.opening_rate = opening_rate
        self.idle_ns = idle_ns
        self._servers: dict[str, ServerConnections[Connection, Waiter]] = {}

    def _server(self, name: str) -> ServerConnections[Connection, Waiter]:
        server = self._servers.get(name)
        if server is None:
            server = self._servers[name] = ServerConnections(self.opening_rate)
        return server

    def acquire_idle(self, now: int, name: str, max_idle_ns: int) -> Connection | None:
        """The idle connection used last, if that was within `max_idle_ns`; the caller checks that it still lives."""
        server = self._server(name)
        if not server.idle:
            return None
        since, connection = server.idle.pop()
        if now - since > min(max_idle_ns, self.idle_ns):
            server.idle.append((since, connection))
            return None
        server.open += 1
        return connection

    def reserve_new(self, now: int, name: str) -> bool:
        """Whether a new connection may be opened now; it then counts as open."""
        server = self._server(name)
        self._refill_tokens(now, server)
        if server.open + len(server.idle) >= self.per_server and server.idle:
            return False  # an idle one has to be evicted first
        if server.open >= self.per_server or server.tokens < 1:
            return False
        server.tokens -= 1
        server.open += 1
        return True

    def _refill_tokens(self, now: int, server: ServerConnections[Connection, Waiter]) -> None:
        if server.refilled_at:
            gained = max(0, now - server.refilled_at) / NS_PER_SECOND * self.opening_rate
            server.tokens = min(self.opening_rate, server.tokens + gained)
        else:
            server.tokens = self.opening_rate
        server.refilled_at = now

    def evict_idle(self, name: str) -> Connection | None:
        """The oldest idle connection, where it stands in the way of a new one; the caller closes it."""
        server = self._server(name)
        if server.idle and server.open + len(server.idle) >= self.per_server:
            return server.idle.popleft()[1]
        return None

    def enqueue(self, name: str, waiter: Waiter) -> bool:
        """Wait for a connection; False: the queue is full and the request is given up."""
        server = self._server(name)
        if len(server.waiting) >= self.max_waiting:
            return False
        server.waiting.append(waiter)
        return True

    def cancel_wait(self, name: str, waiter: Waiter) -> None:
        """Leave the queue; nothing happens to one that was woken already."""
        server = self._servers.get(name)
        if server is not None and waiter in server.waiting:
            server.waiting.remove(waiter)

    def release(self, now: int, name: str, connection: Connection | None) -> Waiter | None:
        """A connection is free again (None: it is closed); returns the waiter that should try now."""
        server = self._server(name)
        server.open = max(0, server.open - 1)
        if connection is not None:
            server.idle.append((now, connection))
        return server.waiting.popleft() if server.waiting else None

    def pop_expired(self, now: int) -> list[Connection]:
        """Idle connections past their time, for the caller to close; servers with nothing left are forgotten."""
        expired = []
        for name, server in list(self._servers.items()):
            while server.idle and now - server.idle[0][0] > self.idle_ns:
                expired.append(server.idle.popleft()[1])
            if not (server.idle or server.open or server.waiting):
                del self._servers[name]
        return expired

    def pop_idle(self, name: str) -> list[Connection]:
        """All idle connections of a server that was withdrawn, for the caller to close; those in use go on."""
        server = self._servers.get(name)
        if server is None:
            return []
        connections = [connection for _, connection in server.idle]
        server.idle.clear()
        return connections

    def counts(self) -> dict[str, ConnectionCounts]:
        """Connections and queues by server."""
        return {
            name: ConnectionCounts(server.open, len(server.idle), len(server.waiting))
            for name, server in self._servers.items()
        }
