"""State of gateways and servers as the records show it. All rules except that of the send queue share it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from damsonpick.testing.rules.records import ResponseRead, ServerStarted, StreamChanged


@dataclass(slots=True)
class ObservedGateway:
    """State of a gateway as its stream shows it. Times are in ns.

    Attributes:
        connected_ns: Time at which the open stream was opened; 0 if no stream is open.
        last_response_ns: Time at which the gateway last read a response; 0 if it has read none.
        tables: Servers of each table, by slice.
        withdrawn: Servers that no slice may use.
        empty_since: Time since which a slice has had no usable server, for each such slice.
    """

    connected_ns: int = 0
    last_response_ns: int = 0
    tables: dict[int, set[str]] = field(default_factory=dict)
    withdrawn: set[str] = field(default_factory=set)
    empty_since: dict[int, int] = field(default_factory=dict)

    def has_no_server(self, slice_number: int) -> bool:
        """Return whether a slice has no usable server."""
        return not self.tables.get(slice_number, set()) - self.withdrawn

    def apply_stream(self, record: StreamChanged) -> None:
        """Update the state after the stream opened or closed. Closing ends the measurement of empty slices."""
        if not record.is_open:
            self.connected_ns = 0
            self.empty_since.clear()
            return
        self.connected_ns = record.time_ns
        if record.fresh:
            self.tables, self.withdrawn = {}, set()

    def apply_response(self, record: ResponseRead) -> None:
        """Update the tables and the withdrawn servers from a response."""
        self.last_response_ns = max(self.last_response_ns, record.time_ns)
        if record.withdrawn is not None:
            self.withdrawn = record.withdrawn
        self.tables.update(record.tables)
        for slice_number in record.removed_slices:
            self.tables.pop(slice_number, None)


class ReceivedWork(NamedTuple):
    """Work that a cold server received.

    Attributes:
        time_ns: Time at which the request arrived.
        work_ms: Work of the request.
        informed: Whether the sender could know that the server is cold.
    """

    time_ns: int
    work_ms: float
    informed: bool


@dataclass(slots=True)
class ObservedServer:
    """State of a server's process as the server's own records show it.

    Attributes:
        start: Record of the start of the process.
        recent_work: Work received while cold, within the overload window before the last request; oldest first.
    """

    start: ServerStarted
    recent_work: deque[ReceivedWork] = field(default_factory=deque)

    def warm_share(self, now: int) -> float:
        """Return the server's current capacity as a share of its warm capacity."""
        age = now - self.start.started_ns
        if not self.start.started_ns or age >= self.start.warm_up_ns:
            return 1.0
        return self.start.cold_share + (1 - self.start.cold_share) * age / self.start.warm_up_ns


class ObservedFleet:
    """All gateways and servers by name, in the order of their first records."""

    def __init__(self) -> None:
        """Create an empty fleet; the records add gateways and servers."""
        self.gateways: dict[str, ObservedGateway] = {}
        self.servers: dict[str, ObservedServer] = {}

    def gateway(self, name: str) -> ObservedGateway:
        """Return the gateway with this name; add it if it is new."""
        return self.gateways.setdefault(name, ObservedGateway())

    def connected_gateways(self) -> int:
        """Return the number of gateways with an open stream."""
        return sum(bool(gateway.connected_ns) for gateway in self.gateways.values())

    def zone(self, server: str) -> str:
        """Return a server's zone, or an empty string if the server is unknown."""
        return self.servers[server].start.zone if server in self.servers else ""
