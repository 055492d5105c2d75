"""The records that the rules read, one type a kind of event.

The fakes write them as JSON objects (see `damsonpick.testing.fakes.record`); the keys on file stand only here. Times
are ns of the scenario's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

SLICE_PREFIX = "slice/"
FLEET_RESOURCE = "fleet"
ENDPOINT_TYPE = "ClusterLoadAssignment"
NONCE_PARTS = 4


class ListedServer(NamedTuple):
    """A server in the endpoint list: its state and when its process started (0: before the scenario)."""

    state: str
    started_ns: int


@dataclass(frozen=True, slots=True)
class ListSent:
    """The list server sent the whole endpoint list to the pilot."""

    time_ns: int
    servers: dict[str, ListedServer]

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> ListSent:
        """Read a `list` record."""
        servers = {name: ListedServer(entry[0], entry[1]) for name, entry in record["entries"].items()}
        return cls(record["t"], servers)


@dataclass(frozen=True, slots=True)
class StreamChanged:
    """A gateway's stream to the pilot opened or closed; `fresh`: the gateway starts without tables."""

    time_ns: int
    gateway: str
    is_open: bool
    fresh: bool

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> StreamChanged:
        """Read a `stream` record."""
        return cls(record["t"], record["gw"], bool(record["up"]), bool(record.get("fresh")))


class SendInfo(NamedTuple):
    """How the pilot counted a response in its send queue: when queued, when sent, and its table entries."""

    queued_ns: int
    sent_ns: int
    entries: float


@dataclass(frozen=True, slots=True)
class ResponseRead:
    """A gateway read a response.

    Attributes:
        send_info: from the nonce `count.queued.sent.entries`; None for the first tables of a stream, which are sent as
            read from a store and counted as no entries.
        is_endpoints: whether the response holds tables, and the gateway accepted it.
        tables: servers by slice.
        withdrawn: servers that no slice may use, if the response says so.
        removed_slices: slices whose table was removed.
    """

    time_ns: int
    gateway: str
    send_info: SendInfo | None
    is_endpoints: bool
    tables: dict[int, set[str]]
    withdrawn: set[str] | None
    removed_slices: list[int]

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> ResponseRead:
        """Read a `got` record."""
        send_info = _send_info(record["nonce"])
        if record["nack"] or record["type"] != ENDPOINT_TYPE:
            return cls(record["t"], record["gw"], send_info, False, {}, None, [])
        resources = record["res"]
        tables = {
            int(name.removeprefix(SLICE_PREFIX)): set(resource["lines"])
            for name, resource in resources.items()
            if name.startswith(SLICE_PREFIX)
        }
        withdrawn = set(resources[FLEET_RESOURCE]["lines"]) if FLEET_RESOURCE in resources else None
        removed = [int(n.removeprefix(SLICE_PREFIX)) for n in record["removed"] if n.startswith(SLICE_PREFIX)]
        return cls(record["t"], record["gw"], send_info, True, tables, withdrawn, removed)


def _send_info(nonce: str) -> SendInfo | None:
    parts = nonce.split(".")
    if len(parts) != NONCE_PARTS or not float(parts[3]):
        return None
    return SendInfo(int(parts[1]), int(parts[2]), float(parts[3]))


@dataclass(frozen=True, slots=True)
class RequestSent:
    """A gateway sent a request to a server."""

    time_ns: int
    gateway: str
    request_id: str
    request_class: str
    slice_number: int
    server: str

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> RequestSent:
        """Read a `try` record."""
        return cls(record["t"], record["gw"], record["id"], record["kind"], record["slice"], record["server"])


@dataclass(frozen=True, slots=True)
class ServerStarted:
    """A server's process started.

    Attributes:
        started_ns: 0 if it is warm from the beginning.
        capacity: ms of work each ms when warm.
        cold_share: share of the capacity right after the start.
        warm_up_ns: time until the whole capacity is there.
    """

    time_ns: int
    server: str
    zone: str
    capacity: float
    started_ns: int
    cold_share: float
    warm_up_ns: int

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> ServerStarted:
        """Read an `up` record."""
        return cls(
            time_ns=record["t"],
            server=record["server"],
            zone=record.get("zone", ""),
            capacity=record["capacity"],
            started_ns=record["started"],
            cold_share=record["cold_share"],
            warm_up_ns=record["cold_time"],
        )


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """A request reached a server, with its work in ms."""

    time_ns: int
    server: str
    request_id: str
    slice_number: int
    work_ms: float

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> RequestReceived:
        """Read an `in` record."""
        return cls(record["t"], record["server"], record["id"], record["slice"], record["work"])


@dataclass(frozen=True, slots=True)
class RequestRan:
    """A server began to run a request."""

    time_ns: int
    server: str
    request_id: str
    request_class: str
    slice_number: int

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> RequestRan:
        """Read a `ran` record."""
        return cls(record["t"], record["server"], record["id"], record["kind"], record["slice"])


Record = ListSent | StreamChanged | ResponseRead | RequestSent | ServerStarted | RequestReceived | RequestRan
