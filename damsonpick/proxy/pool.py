"""Pool of connections to servers: bounds their number, selects one, and queues waiting requests. Sans I/O.

Connections are opaque to the pool. Each server has its own bounded set of connections and its own bounded queue, so a
slow or hung server does not use up those of other servers. A token bucket limits the rate of new connections to one
server, so that a server which closes the connection after each response is not flooded with handshakes.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, NamedTuple, TypeVar

from damsonpick.time_units import NS_PER_SECOND

Connection = TypeVar("Connection")
Waiter = TypeVar("Waiter")


class ConnectionCounts(NamedTuple):
    """Numbers of connections and of queued requests of one server."""

    open: int
    idle: int
    waiting: int


class ServerConnections(Generic[Connection, Waiter]):
    """Connections and queue of one server. `open` is the number of connections that are in use or being opened."""

    def __init__(self, tokens: float) -> None:
        """Create the record of a server that has no connections.

        Args:
            tokens: Initial balance of the token bucket, in connections.
        """
        self.idle: deque[tuple[int, Connection]] = deque()  # time of release in ns and connection; newest last
        self.open = 0
        self.waiting: deque[Waiter] = deque()
        self.tokens = tokens
        self.refilled_at = 0  # time of the last refill in ns, 0 before the first


class ConnectionPool(Generic[Connection, Waiter]):
    """Connections of one proxy to all its servers."""

    def __init__(self, per_server: int, waiting: int, opening_rate: float, idle_ns: int) -> None:
        """Create an empty pool.

        Args:
            per_server: Maximum number of connections to one server.
            waiting: Maximum number of requests that may wait for a connection to one server.
            opening_rate: Maximum average number of new connections to one server per second. It is also the size of
                the token bucket.
            idle_ns: Time in ns for which an idle connection is kept.
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
        """Take the most recently used idle connection of a server.

        Returns:
            The connection, or None if there is none that was idle for at most `max_idle_ns` and the pool's own idle
            time. The caller checks that the connection is still open.
        """
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
        """Return whether a new connection may be opened now. If so, it uses up one token and counts as open."""
        server = self._server(name)
        self._refill_tokens(now, server)
        if server.open + len(server.idle) >= self.per_server and server.idle:
            return False  # an idle connection has to be evicted first
        if server.open >= self.per_server or server.tokens < 1:
            return False
        server.tokens -= 1
        server.open += 1
        return True

    def _refill_tokens(self, now: int, server: ServerConnections[Connection, Waiter]) -> None:
        if server.refilled_at:
            new_tokens = max(0, now - server.refilled_at) / NS_PER_SECOND * self.opening_rate
            server.tokens = min(self.opening_rate, server.tokens + new_tokens)
        else:
            server.tokens = self.opening_rate
        server.refilled_at = now

    def evict_idle(self, name: str) -> Connection | None:
        """Remove and return the oldest idle connection if the limit leaves no room for a new one, otherwise None.

        The caller closes the returned connection.
        """
        server = self._server(name)
        if server.idle and server.open + len(server.idle) >= self.per_server:
            return server.idle.popleft()[1]
        return None

    def enqueue(self, name: str, waiter: Waiter) -> bool:
        """Add a waiter for a connection to the queue. Return False if the queue is full, so that the attempt fails."""
        server = self._server(name)
        if len(server.waiting) >= self.max_waiting:
            return False
        server.waiting.append(waiter)
        return True

    def cancel_wait(self, name: str, waiter: Waiter) -> None:
        """Remove a waiter from the queue. A waiter that was woken has already left the queue."""
        server = self._servers.get(name)
        if server is not None and waiter in server.waiting:
            server.waiting.remove(waiter)

    def release(self, now: int, name: str, connection: Connection | None) -> Waiter | None:
        """Return a connection to the pool.

        Args:
            now: Time in ns.
            name: Server of the connection.
            connection: The connection, or None if it was closed or never opened.

        Returns:
            The first waiter of the queue, which leaves the queue and should try to get a connection now. None if no
            waiter is queued.
        """
        server = self._server(name)
        server.open = max(0, server.open - 1)
        if connection is not None:
            server.idle.append((now, connection))
        return server.waiting.popleft() if server.waiting else None

    def pop_expired(self, now: int) -> list[Connection]:
        """Remove and return the connections that exceeded the idle time. The caller closes them.

        Servers that have neither connections nor waiters are removed as well.
        """
        expired = []
        for name, server in list(self._servers.items()):
            while server.idle and now - server.idle[0][0] > self.idle_ns:
                expired.append(server.idle.popleft()[1])
            if not (server.idle or server.open or server.waiting):
                del self._servers[name]
        return expired

    def pop_idle(self, name: str) -> list[Connection]:
        """Remove and return all idle connections of a server. The caller closes them. Connections in use stay open."""
        server = self._servers.get(name)
        if server is None:
            return []
        connections = [connection for _, connection in server.idle]
        server.idle.clear()
        return connections

    def counts(self) -> dict[str, ConnectionCounts]:
        """Return the numbers of connections and queued requests by server."""
        return {
            name: ConnectionCounts(server.open, len(server.idle), len(server.waiting))
            for name, server in self._servers.items()
        }
