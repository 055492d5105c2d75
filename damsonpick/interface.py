"""The planner's vocabulary: the settings it starts with, the events it receives, the actions it orders.

Types only. Times and durations are integer nanoseconds. A *slice* is a fixed part of the key space with one table; a
*table* holds entries, each an endpoint with its weight; a *sync token* asks proxies to acknowledge what came before it.

The interface covers the simulator's wire in full. The planner neither reads nor emits `ProbeResult`, `PeerMessage`,
`ProxyDemand`, `BindTable`, `FetchEndpointList`, `Probe` and `SendToPeer`, and of the settings it does not read
`instance`, `instances`, `zone`, `load_fields`, `balancing_policy` and those about writes.
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
    """One class of requests; classes keep the order of the settings.

    `latency_objective`, `deadline` and `key_window` are in nanoseconds. `effect` says whether a request may be executed
    twice: always, with the same key within `key_window` and `key_scope`, or never. `priority_weight` is what a served
    request of the class counts beside those of others.
    """

    name: str
    latency_objective: int
    deadline: int
    effect: Effect
    key_scope: KeyScope
    key_window: int
    priority_weight: float


class Settings(NamedTuple):
    """What a planner is given once, at its start. Durations are in nanoseconds."""

    instance: int
    instances: int
    zone: str
    classes: tuple[RequestClass, ...]
    slices: int  # 0: no slices, tables are bound to proxies
    proxies: int
    sole_owner: bool
    admission: AdmissionMode
    list_on_request: bool  # the endpoint list is sent after `SubscribeEndpointList` only
    poll_interval: int  # between requests for the endpoint list
    channel_rate: float  # table entries a second, over all proxies
    channel_limit: float  # table entries that may wait to be sent
    message_overhead: float  # entries that each message costs beside its own
    messages_per_window: int  # to one proxy; 0: unlimited
    message_window: int  # in which `messages_per_window` counts
    max_transit: int  # longest way of a message to a proxy
    report_period: int  # between load reports
    drain_grace: int  # within which no proxy may send to a draining endpoint any more
    cold_capacity_share: float  # of its warm capacity that a newly started endpoint has
    warm_up_time: int  # from a start to full capacity
    write_linger: int  # how long a proxy may hold a write before it forwards it
    write_lease: int  # how long a proxy that lost its stream goes on writing
    load_fields: tuple[str, ...]
    balancing_policy: BalancingPolicy


# -- events


class EndpointEntry(NamedTuple):
    """One endpoint as discovery lists it."""

    endpoint: str
    zone: str
    state: EndpointStatus
    weight: float
    started: int  # time of the last start; 0: long ago


class EndpointListChanged(NamedTuple):
    """The endpoint list has changed, or could not be had (`unavailable`, without entries).

    `update` names the entries that changed; `replace` is the full list, and endpoints it does not name are gone;
    `restored` is the list that was kept over a restart and may be old.
    """

    kind: ListChangeKind
    entries: tuple[EndpointEntry, ...]


class TimerFired(NamedTuple):
    """A timer ordered by `SetTimer` is due."""

    token: int


class ProbeResult(NamedTuple):
    """The outcome of a health check ordered by `Probe`; latency in nanoseconds."""

    endpoint: str
    outcome: str
    latency: int
    load: tuple[float, ...]


class PeerMessage(NamedTuple):
    """A message from another instance of the controller."""

    sender: int
    payload: bytes


class ProxyJoined(NamedTuple):
    """A proxy has opened its stream; `rate` is its expected request rate, requests a second."""

    proxy: int
    zone: str
    rate: float
    fresh: bool  # it holds nothing of earlier streams but its persistent tables


class ProxyLeft(NamedTuple):
    """The stream of a proxy has ended."""

    proxy: int


class EndpointReport(NamedTuple):
    """A load report: what the joined proxies of one zone met at one endpoint during one period (ns)."""

    zone: str
    endpoint: str
    attempts: int
    failures: int
    latency: int  # ns, mean of the successful answers; 0: there was none
    period: int
    load: tuple[float, ...]  # as the endpoint states it; empty: not stated


class ProxyDemand(NamedTuple):
    """Requests of a class that reached one proxy during one period (ns), on sites without slices."""

    proxy: int
    request_class: str
    requests: int
    failures: int
    period: int


class SliceDemand(NamedTuple):
    """Requests of a class that came for one slice during one period (ns)."""

    slice: int
    request_class: str
    requests: int
    failures: int
    period: int


class SliceOwnershipChanged(NamedTuple):
    """This instance has become the owner of a slice, or is no longer."""

    slice: int
    owned: bool


class StoredEntry(NamedTuple):
    """An entry of a slice's table as the store holds it; follows the `SliceOwnershipChanged` that gives the slice."""

    slice: int
    endpoint: str
    weight: float


class TableAdvised(NamedTuple):
    """Weights for a table's entries, computed outside the decision package; `complete`: these entries and no others."""

    table: int
    entries: tuple[tuple[str, float], ...]
    complete: bool


class CapacityAdvised(NamedTuple):
    """Requests a second that the fleet can answer in time, computed outside the decision package; 0: not known."""

    rate: float


class EndpointRestored(NamedTuple):
    """What an earlier incarnation learned of the endpoint process that started then, aged.

    `capacity_factor` is learned capacity against the fleet's median; 1 is usual.
    """

    endpoint: str
    started: int
    capacity_factor: float


class SliceRestored(NamedTuple):
    """What an earlier incarnation learned of a slice, aged: requests a second by class, warmth by endpoint (0 to 1)."""

    slice: int
    rates: tuple[float, ...]
    warmth: tuple[tuple[str, float], ...]


class FleetRestored(NamedTuple):
    """Orders of an earlier incarnation that are in force, and the throughput it saw, aged.

    Proxies hold `levels` by class and the withdrawals. `best_throughput` is in answers a second,
    `throughput_per_capacity` in answers a second for each unit of capacity; 0: not known.
    """

    levels: tuple[float, ...]
    withdrawn: tuple[str, ...]
    best_throughput: float
    throughput_per_capacity: float


class EndpointConfidenceChanged(NamedTuple):
    """How far an endpoint list that may be stale is believed on one endpoint.

    1: as listed; 0: use it only if no other endpoint is left.
    """

    endpoint: str
    confidence: float


class SyncAcknowledged(NamedTuple):
    """A proxy has applied the message that carried this sync token, `delay` nanoseconds after it was ordered."""

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

# -- actions


class SetEntry(NamedTuple):
    """Give an endpoint this weight in a table; 0 removes its entry."""

    table: int
    endpoint: str
    weight: float


class ClearTable(NamedTuple):
    """Remove every entry of a table."""

    table: int


class BindTable(NamedTuple):
    """Let a proxy use a table for some classes; an empty tuple means all classes."""

    proxy: int
    table: int
    classes: tuple[int, ...]


class SetWithdrawn(NamedTuple):
    """Stop joined proxies from sending to an endpoint, whatever their tables say, or end that."""

    endpoint: str
    withdrawn: bool


class SetAdmission(NamedTuple):
    """Admission level (share of requests admitted) and retry mode of some classes.

    `table` None: all tables of this instance; `classes` empty: all classes.
    """

    table: int | None
    classes: tuple[int, ...]
    level: float
    retry: int  # 0 never, 1 on proof it never ran, 2 once after any failure, 3 twice


class RequestSync(NamedTuple):
    """Ask proxies to acknowledge all orders before it; `all_proxies`: also those that none of them concerns."""

    token: int
    all_proxies: bool


class SubscribeEndpointList(NamedTuple):
    """Start or end the subscription to the endpoint list."""

    on: bool


class FetchEndpointList(NamedTuple):
    """Ask for the endpoint list once."""


class SetTimer(NamedTuple):
    """Send `TimerFired` with this token after `delay` nanoseconds."""

    delay: int
    token: int


class Probe(NamedTuple):
    """Send a health check to an endpoint."""

    endpoint: str


class SendToPeer(NamedTuple):
    """Send a message to another instance of the controller."""

    to: int | None  # None: every peer
    payload: bytes


class Log(NamedTuple):
    """A line for the log."""

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
