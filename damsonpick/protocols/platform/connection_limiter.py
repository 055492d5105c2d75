"""Limits the number of open connections, so that the process does not run out of file descriptors. No I/O."""

from __future__ import annotations

from damsonpick.protocols.platform.connection import CollectorConnection

RESERVED_DESCRIPTORS = 64  # for the registry, discovery, the event loop and logs
MIN_CONNECTIONS = 8
MIN_CONNECTIONS_OF_SMALL_PROCESS = 4  # applies up to 2 * RESERVED_DESCRIPTORS descriptors
MAX_COLLECTORS_PER_ZONE = 2  # a collector may reconnect before the pilot detects that its previous connection is dead


def connection_limit(max_descriptors: int) -> int:
    """Return how many connections may be open in a process that may have `max_descriptors` file descriptors open."""
    if max_descriptors > 2 * RESERVED_DESCRIPTORS:
        return max(MIN_CONNECTIONS, max_descriptors - RESERVED_DESCRIPTORS)
    return max(MIN_CONNECTIONS_OF_SMALL_PROCESS, max_descriptors // 2)


class ConnectionLimiter:
    """Tracks the open connections and selects those that must be closed.

    Attributes:
        max_connections: Largest number of connections that may be open.
        connections: The open connections, oldest first.
    """

    def __init__(self, max_descriptors: int) -> None:
        """Create a limiter without connections.

        Args:
            max_descriptors: Largest number of file descriptors that the process may have open.
        """
        self.max_connections = connection_limit(max_descriptors)
        self.connections: dict[CollectorConnection, None] = {}

    def add(self, connection: CollectorConnection) -> CollectorConnection | None:
        """Add a new connection.

        Returns:
            The connection to close if the limit is exceeded, else None.
        """
        self.connections[connection] = None
        if len(self.connections) <= self.max_connections:
            return None
        return self.oldest_unjoined() or connection

    def remove(self, connection: CollectorConnection) -> None:
        """Remove a closed connection."""
        self.connections.pop(connection, None)

    def oldest_unjoined(self) -> CollectorConnection | None:
        """Return the oldest connection whose collector has not joined, or None if all have joined."""
        return next((connection for connection in self.connections if not connection.zone), None)

    def replaced_by(self, joined: CollectorConnection) -> list[CollectorConnection]:
        """Return the connections to close after a collector has joined.

        If a zone has more than `MAX_COLLECTORS_PER_ZONE` connections, some of them are dead and would keep their
        descriptors for ever. The connections above this number that have sent nothing for the longest time are
        returned, but never `joined` itself.
        """
        same_zone = [connection for connection in self.connections if connection.zone == joined.zone]
        same_zone.sort(key=lambda connection: connection.last_received_ns)
        return [connection for connection in same_zone[:-MAX_COLLECTORS_PER_ZONE] if connection is not joined]
