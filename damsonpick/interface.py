"""The planner's vocabulary: the settings it starts with, the events it receives, the actions it orders.

Types only. Times and durations are integer nanoseconds. A *slice* is a fixed part of the key space with one table; a
*table* holds entries, each an endpoint with its weight; a *sync token* asks proxies to acknowledge what came before it.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

EndpointStatus = Literal["in_service", "terminating", "terminated"]
ListChangeKind = Literal["update", "replace", "restored", "unavailable"]
AdmissionMode = Literal["ratio", "rps", "none"]
BalancingPolicy = Literal["lottery", "wheel", "pair"]  # weighted random, weighted round robin, power of two choices
Effect = Literal["read_like", "idempotency_key", "non_idempotent"]
KeyScope = Literal["all", "zone", "cell"]


class RequestClass(NamedTuple):
    """One kind of request and what it is worth, in the order the settings list them."""

    name: str
    latency_objective: int
    deadline: int
    effect: Effect
    key_scope: KeyScope
    key_window: int
    priority_weight: float


class Settings(NamedTuple):
    """What a planner is told once, at its start."""

    instance: int
    instances: int
    zone: str
    classes: tuple[RequestClass, ...]
    slices: int  # 0: no slices, tables are bound to proxies
    proxies: int
    sole_owner: bool
    admission: AdmissionMode
    subscribe: bool  # the endpoint list must be asked for
    poll_interval: int
    channel_rate: float  # lines a second
    channel_limit: float  # lines that may wait
    message_overhead: float  # lines added to each message
    messages_per_window: int  # to one proxy; 0: unlimited
    message_window: int
    max_transit: int
    report_period: int
    drain_grace: int
    cold_capacity_share: float
    warm_up_time: int
    write_linger: int  # how long a write a proxy took in may stay in hand
    write_lease: int  # how long a proxy that lost its stream keeps writing
    load_fields: tuple[str, ...]
    balancing_policy: BalancingPolicy


# ---- events -------------------------------------------------------------------------------------


class EndpointEntry(NamedTuple):
    """One endpoint as discovery lists it."""

    endpoint: str
    zone: str
    state: EndpointStatus
    weight: float
    started: int  # clock time of the last start; 0: long ago


class EndpointListChanged(NamedTuple):
    """News of the endpoint list."""

    kind: ListChangeKind
    entries: tuple[EndpointEntry, ...]


class TimerFired(NamedTuple):
    token: int


class ProbeResult(NamedTuple):
    endpoint: str
    outcome: str
    latency: int
    load: tuple[float, ...]


class PeerMessage(NamedTuple):
    sender: int
    payload: bytes


class ProxyJoined(NamedTuple):
    proxy: int
    zone: str
    rate: float
    fresh: bool  # holds only its standing tables


class ProxyLeft(NamedTuple):
    proxy: int


class EndpointReport(NamedTuple):
    """What the joined proxies of one zone met at one endpoint during one period."""

    zone: str
    endpoint: str
    attempts: int
    failures: int
    latency: int  # mean of the good answers; 0: none
    period: int
    load: tuple[float, ...]  # empty: no load report


class ProxyDemand(NamedTuple):
    """Requests of a class that reached one proxy (sites without slices)."""

    proxy: int
    request_class: str
    requests: int
    failures: int
    period: int


class SliceDemand(NamedTuple):
    """Requests of a class that came for one slice."""

    slice: int
    request_class: str
    requests: int
    failures: int
    period: int


class SliceOwnershipChanged(NamedTuple):
    slice: int
    owned: bool


class StoredEntry(NamedTuple):
    """A line of a slice's table as the store holds it."""

    slice: int
    endpoint: str
    weight: float


class TableAdvised(NamedTuple):
    """Weights for a table's lines, reckoned outside the module; `whole`: these lines and no others."""

    table: int
    entries: tuple[tuple[str, float], ...]
    complete: bool


class CapacityAdvised(NamedTuple):
    """Requests a second that the fleet can answer in time, reckoned outside the module; 0: not known."""

    rate: float


class EndpointRestored(NamedTuple):
    """What an earlier life learned of the process that started then, aged. Speed is against the fleet's; 1: usual."""

    endpoint: str
    started: int
    capacity_factor: float


class SliceRestored(NamedTuple):
    """What an earlier life learned of a slice, aged: requests a second by class, warmth by endpoint (0 to 1)."""

    slice: int
    rates: tuple[float, ...]
    warmth: tuple[tuple[str, float], ...]


class FleetRestored(NamedTuple):
    """Orders of an earlier life that are in force, and its aged pace.

    `levels` by class and `shut` (withdrawn endpoints) are what proxies hold; `best` answers a second were seen, `pace`
    of them for each unit of capacity. 0: not known.
    """

    levels: tuple[float, ...]
    withdrawn: tuple[str, ...]
    best_throughput: float
    throughput_per_capacity: float


class EndpointConfidenceChanged(NamedTuple):
    """How far a list that may be old is believed in naming an endpoint: 1 as listed, 0 only if no other is left."""

    endpoint: str
    confidence: float


class SyncAcknowledged(NamedTuple):
    """A proxy has applied the message that carried this mark."""

    token: int
    proxy: int
    delay: int


Event = (
    EndpointListChanged
    | TimerFired
    | ProbeResult
    | PeerMessage
    | ProxyJoined
    | ProxyLeft
    | EndpointReport
    | ProxyDemand
    | SliceDemand
    | SliceOwnershipChanged
    | StoredEntry
    | TableAdvised
    | CapacityAdvised
    | EndpointRestored
    | SliceRestored
    | FleetRestored
    | EndpointConfidenceChanged
    | SyncAcknowledged
)

# ---- actions ------------------------------------------------------------------------------------


class SetEntry(NamedTuple):
    """Give an endpoint this weight in a table; 0 removes the line."""

    table: int
    endpoint: str
    weight: float


class ClearTable(NamedTuple):
    table: int


class BindTable(NamedTuple):
    """Put a proxy on a table for some classes; an empty tuple means all classes."""

    proxy: int
    table: int
    classes: tuple[int, ...]


class SetWithdrawn(NamedTuple):
    """Stop (or let again) joined proxies sending to an endpoint, whatever their tables say."""

    endpoint: str
    withdrawn: bool


class SetAdmission(NamedTuple):
    """Admission level and retry mode of some classes; table None: all tables of this instance."""

    table: int | None
    classes: tuple[int, ...]
    level: float
    retry: int  # 0 never, 1 on proof it never ran, 2 once after any failure, 3 twice


class RequestSync(NamedTuple):
    token: int
    all_proxies: bool


class SubscribeEndpointList(NamedTuple):
    on: bool


class FetchEndpointList(NamedTuple):
    pass


class SetTimer(NamedTuple):
    delay: int
    token: int


class Probe(NamedTuple):
    endpoint: str


class SendToPeer(NamedTuple):
    to: int | None  # None: every peer
    payload: bytes


class Log(NamedTuple):
    text: str


TableOrder = SetEntry | ClearTable | SetWithdrawn | SetAdmission | RequestSync  # what a front end publishes

Action = (
    SetEntry
    | ClearTable
    | BindTable
    | SetWithdrawn
    | SetAdmission
    | RequestSync
    | SubscribeEndpointList
    | FetchEndpointList
    | SetTimer
    | Probe
    | SendToPeer
    | Log
)
