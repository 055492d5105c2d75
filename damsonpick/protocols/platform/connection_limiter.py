"""Keeps the number of open connections within what the process's descriptors leave room for. No I/O."""

from __future__ import annotations

from damsonpick.protocols.platform.connection import CollectorConnection

RESERVED_DESCRIPTORS = 64  # for registry, discovery, the event loop and logs
MIN_CONNECTIONS = 8
MIN_CONNECTIONS_OF_SMALL_PROCESS = 4
MAX_COLLECTORS_PER_ZONE = 2  # a collector may come back before its former connection is seen to be gone


def connection_limit(max_descriptors: int) -> int:
    """Return how many connections may be open in a process with so many descriptors."""
    if max_descriptors > 2 * RESERVED_DESCRIPTORS:
        return max(MIN_CONNECTIONS, max_descriptors - RESERVED_DESCRIPTORS)
    return max(MIN_CONNECTIONS_OF_SMALL_PROCESS, max_descriptors // 2)


class ConnectionLimiter:
    """The open connections, and which of them have to go.

    Attributes:
        max_connections: that may be open.
        connections: the open ones, the oldest first.
    """

    def __init__(self, max_descriptors: int) -> None:
        """Start with no connection.

        Args:
            max_descriptors: that the process may hold.
        """
        self.max_connections = connection_limit(max_descriptors)
        self.connections: dict[CollectorConnection, None] = {}

    def add(self, connection: CollectorConnection) -> CollectorConnection | None:
        """Add a new connection; return one to close for it if there are too many."""
        self.connections[connection] = None
        if len(self.connections) <= self.max_connections:
            return None
        return self.oldest_unjoined() or connection

    def remove(self, connection: CollectorConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)

    def oldest_unjoined(self) -> CollectorConnection | None:
        """Return the oldest connection that has not joined; None if all have."""
        return next((connection for connection in self.connections if not connection.zone), None)

    def replaced_by(self, joined: CollectorConnection) -> list[CollectorConnection]:
        """Return the connections to close for a collector that has just joined.

        More than `MAX_COLLECTORS_PER_ZONE` mean that some are dead and would hold their descriptors for ever: those
        that have been silent longest go.
        """
        same_zone = [connection for connection in self.connections if connection.zone == joined.zone]
        same_zone.sort(key=lambda connection: connection.last_received_ns)
        return [connection for connection in same_zone[:-MAX_COLLECTORS_PER_ZONE] if connection is not joined]
