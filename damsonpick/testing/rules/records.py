"""The records that the rules read, with one type per kind of event.

The fakes write the records as JSON objects (see `damsonpick.testing.fakes.record`). Within the package, only this
module reads their JSON keys other than the time `t` and the kind `e`; some benchmarks read them too. Times are in ns of
the scenario's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

SLICE_PREFIX = "slice/"
FLEET_RESOURCE = "fleet"
ENDPOINT_TYPE = "ClusterLoadAssignment"
NONCE_PARTS = 4


class ListedServer(NamedTuple):
    """A server in the endpoint list.

    Attributes:
        state: State of the server in the list, for example `in_service` or `terminating`.
        started_ns: Start time of the server's process; 0 if it started before the scenario.
    """

    state: str
    started_ns: int


@dataclass(frozen=True, slots=True)
class ListSent:
    """The list server sent the complete endpoint list to the pilot."""

    time_ns: int
    servers: dict[str, ListedServer]

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> ListSent:
        """Create the record from a `list` JSON object."""
        servers = {name: ListedServer(entry[0], entry[1]) for name, entry in record["entries"].items()}
        return cls(record["t"], servers)


@dataclass(frozen=True, slots=True)
class StreamChanged:
    """A gateway's stream to the pilot opened or closed.

    Attributes:
        time_ns: Time of the event.
        gateway: Name of the gateway.
        is_open: Whether the stream opened; False if it closed.
        fresh: Whether the gateway has no tables when the stream opens.
    """

    time_ns: int
    gateway: str
    is_open: bool
    fresh: bool

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> StreamChanged:
        """Create the record from a `stream` JSON object."""
        return cls(record["t"], record["gw"], bool(record["up"]), bool(record.get("fresh")))


class SendInfo(NamedTuple):
    """The pilot's accounting of a response in its send queue.

    Attributes:
        queued_ns: Time at which the pilot queued the response.
        sent_ns: Time at which the pilot sent the response.
        entries: Number of table entries that the pilot counted for the response.
    """

    queued_ns: int
    sent_ns: int
    entries: float


@dataclass(frozen=True, slots=True)
class ResponseRead:
    """A gateway read a response.

    Attributes:
        send_info: Accounting of the response, parsed from the nonce `count.queued.sent.entries`. None if the nonce has
            another form or counts no entries. The first tables of a stream count as no entries, because the pilot sends
            them as stored.
        is_endpoints: Whether the response has the type `ClusterLoadAssignment` and the gateway accepted it. Otherwise
            `tables` and `removed_slices` are empty and `withdrawn` is None.
        tables: Servers of each table in the response, by slice.
        withdrawn: Servers that no slice may use; None if the response does not contain this set.
        removed_slices: Slices whose table the response removes.
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
        """Create the record from a `got` JSON object."""
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
        """Create the record from a `try` JSON object."""
        return cls(record["t"], record["gw"], record["id"], record["kind"], record["slice"], record["server"])


@dataclass(frozen=True, slots=True)
class ServerStarted:
    """A server's process started.

    Attributes:
        started_ns: Start time of the process; 0 if the server is warm from the beginning.
        capacity: Work that the warm server completes, in ms of work per ms.
        cold_share: Share of the capacity that the server has right after its start.
        warm_up_ns: Time from the start until the server has its full capacity.
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
        """Create the record from an `up` JSON object."""
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
    """A server received a request; `work_ms` is the request's work in ms."""

    time_ns: int
    server: str
    request_id: str
    slice_number: int
    work_ms: float

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> RequestReceived:
        """Create the record from an `in` JSON object."""
        return cls(record["t"], record["server"], record["id"], record["slice"], record["work"])


@dataclass(frozen=True, slots=True)
class RequestRan:
    """A server started to run a request."""

    time_ns: int
    server: str
    request_id: str
    request_class: str
    slice_number: int

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> RequestRan:
        """Create the record from a `ran` JSON object."""
        return cls(record["t"], record["server"], record["id"], record["kind"], record["slice"])


Record = ListSent | StreamChanged | ResponseRead | RequestSent | ServerStarted | RequestReceived | RequestRan
