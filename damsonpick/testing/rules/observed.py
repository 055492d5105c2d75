"""What the records show of gateways and servers; the rules share it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from damsonpick.testing.rules.records import ResponseRead, ServerStarted, StreamChanged


@dataclass(slots=True)
class ObservedGateway:
    """A gateway as its stream shows it; times in ns, 0: never.

    Attributes:
        connected_ns: since when its stream is open.
        last_response_ns: when it last read a response.
        tables: servers by slice.
        withdrawn: servers that no slice may use.
        empty_since: slices without a usable server, and since when.
    """

    connected_ns: int = 0
    last_response_ns: int = 0
    tables: dict[int, set[str]] = field(default_factory=dict)
    withdrawn: set[str] = field(default_factory=set)
    empty_since: dict[int, int] = field(default_factory=dict)

    def has_no_server(self, slice_number: int) -> bool:
        """Whether a slice has no usable server."""
        return not self.tables.get(slice_number, set()) - self.withdrawn

    def apply_stream(self, record: StreamChanged) -> None:
        """Apply an opened or closed stream."""
        if not record.is_open:
            self.connected_ns = 0
            self.empty_since.clear()
            return
        self.connected_ns = record.time_ns
        if record.fresh:
            self.tables, self.withdrawn = {}, set()

    def apply_response(self, record: ResponseRead) -> None:
        """Apply the tables of a response."""
        self.last_response_ns = max(self.last_response_ns, record.time_ns)
        if record.withdrawn is not None:
            self.withdrawn = record.withdrawn
        self.tables.update(record.tables)
        for slice_number in record.removed_slices:
            self.tables.pop(slice_number, None)


class ReceivedWork(NamedTuple):
    """Work that reached a cold server; `informed`: its sender could know that the server is cold."""

    time_ns: int
    work_ms: float
    informed: bool


@dataclass(slots=True)
class ObservedServer:
    """A server's process as its own records show it."""

    start: ServerStarted
    recent_work: deque[ReceivedWork] = field(default_factory=deque)

    def warm_share(self, now: int) -> float:
        """Present share of the warm capacity."""
        age = now - self.start.started_ns
        if not self.start.started_ns or age >= self.start.warm_up_ns:
            return 1.0
        return self.start.cold_share + (1 - self.start.cold_share) * age / self.start.warm_up_ns


class ObservedFleet:
    """All gateways and servers by name, in the order in which they were first seen."""

    def __init__(self) -> None:
        """Start without any."""
        self.gateways: dict[str, ObservedGateway] = {}
        self.servers: dict[str, ObservedServer] = {}

    def gateway(self, name: str) -> ObservedGateway:
        """The gateway of this name, added if it is new."""
        return self.gateways.setdefault(name, ObservedGateway())

    def connected_gateways(self) -> int:
        """How many gateways have an open stream."""
        return sum(bool(gateway.connected_ns) for gateway in self.gateways.values())

    def zone(self, server: str) -> str:
        """A server's zone; empty if the server is unknown."""
        return self.servers[server].start.zone if server in self.servers else ""
