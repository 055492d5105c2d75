"""The planner's interface: the settings it starts with, the events it receives, and the actions it orders.

This module defines types only. Times and durations are integer nanoseconds. A *slice* is a fixed part of the key space
and has one table. A *table* holds entries, each of which is an endpoint with its weight. A *sync token* identifies a
request to the proxies to acknowledge all orders sent before it.

The interface covers the simulator's protocol in full. The planner ignores the events `ProbeResult`, `PeerMessage` and
`ProxyDemand`, and never emits the actions `BindTable`, `FetchEndpointList`, `Probe` and `SendToPeer`. It does not read
the settings `instance`, `instances`, `zone`, `channel_rate`, `load_fields` and `balancing_policy`.
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
    """One request class. Classes are numbered in the order of the settings.

    `latency_objective`, `deadline` and `key_window` are in nanoseconds. `effect` defines whether a request may be
    executed twice: always, only with the same idempotency key within `key_window` and `key_scope`, or never.
    `priority_weight` is the value of one served request of the class relative to requests of other classes. `writes`
    is whether its requests write, which matters where a slice has a sole owner.
    """

    name: str
    latency_objective: int
    deadline: int
    effect: Effect
    key_scope: KeyScope
    key_window: int
    priority_weight: float
    writes: bool = True


class Settings(NamedTuple):
    """Configuration that a planner receives once, at its start. Durations are in nanoseconds."""

    instance: int
    instances: int
    zone: str
    classes: tuple[RequestClass, ...]
    slices: int  # number of slices; 0 if the site has none, so that its tables are bound to proxies instead
    proxies: int
    sole_owner: bool  # whether each slice is served by only one endpoint
    admission: AdmissionMode
    list_on_request: bool  # whether the endpoint list is sent only after `SubscribeEndpointList`
    poll_interval: int  # interval between requests for the endpoint list
    channel_rate: float  # throughput of the channel in table entries per second, over all proxies
    channel_limit: float  # maximum number of table entries that may wait to be sent
    message_overhead: float  # cost of each message in addition to its entries, in table entries
    messages_per_window: int  # maximum number of messages to one proxy per `message_window`; 0 if unlimited
    message_window: int  # window to which `messages_per_window` applies
    max_transit: int  # longest transit time of a message to a proxy
    report_period: int  # interval between load reports
    drain_grace: int  # time within which every proxy must stop sending to a draining endpoint
    cold_capacity_share: float  # share of its warm capacity that a newly started endpoint has
    warm_up_time: int  # time from the start of an endpoint to its full capacity
    write_linger: int  # time within which a write that a proxy has accepted ends
    write_lease: int  # time for which a proxy goes on writing after its stream broke or the slice changed its instance
    load_fields: tuple[str, ...]
    balancing_policy: BalancingPolicy
    unserved_limit: int = 0  # longest time for which a joined proxy may lack an entry for a slice; 0 if not limited
    report_rate: float = 0.0  # most load reports of all kinds that arrive per second; 0 if not stated


# -- events


class EndpointEntry(NamedTuple):
    """One endpoint as discovery lists it."""

    endpoint: str
    zone: str
    state: EndpointStatus
    weight: float
    started: int  # time of the last start; 0 if it was long ago


class EndpointListChanged(NamedTuple):
    """The endpoint list has changed, or could not be fetched (`unavailable`, without entries).

    `update` contains the entries that changed. `replace` is the full list, and endpoints missing from it have been
    removed. `restored` is the list that was stored across a restart of the controller and may be outdated.
    """

    kind: ListChangeKind
    entries: tuple[EndpointEntry, ...]


class TimerFired(NamedTuple):
    """A timer ordered by `SetTimer` has expired."""

    token: int


class ProbeResult(NamedTuple):
    """The outcome of a health check ordered by `Probe`. The latency is in nanoseconds."""

    endpoint: str
    outcome: str
    latency: int
    load: tuple[float, ...]


class PeerMessage(NamedTuple):
    """A message from another instance of the controller."""

    sender: int
    payload: bytes


class ProxyJoined(NamedTuple):
    """A proxy has opened its stream. `rate` is its expected request rate in requests per second."""

    proxy: int
    zone: str
    rate: float
    fresh: bool  # whether the proxy has no state from earlier streams except its persistent tables


class ProxyLeft(NamedTuple):
    """The stream of a proxy has ended."""

    proxy: int


class EndpointReport(NamedTuple):
    """A load report: outcomes that the joined proxies of one zone observed at one endpoint during one period (ns)."""

    zone: str
    endpoint: str
    attempts: int
    failures: int
    latency: int  # mean latency of the successful responses, ns; 0 if there was none
    period: int
    load: tuple[float, ...]  # load that the endpoint itself reports; empty if it reports none


class ProxyDemand(NamedTuple):
    """Requests of a class that reached one proxy during one period (ns), on sites without slices."""

    proxy: int
    request_class: str
    requests: int
    failures: int
    period: int


class SliceDemand(NamedTuple):
    """Requests of a class that arrived for one slice during one period (ns)."""

    slice: int
    request_class: str
    requests: int
    failures: int
    period: int


class SliceOwnershipChanged(NamedTuple):
    """This instance has become the owner of a slice, or no longer owns it."""

    slice: int
    owned: bool


class StoredEntry(NamedTuple):
    """A stored entry of a slice's table. It follows the `SliceOwnershipChanged` event by which the slice is gained."""

    slice: int
    endpoint: str
    weight: float


class TableAdvised(NamedTuple):
    """Weights for a table's entries, computed by the solver.

    If `complete` is true, the table must contain these entries and no others.
    """

    table: int
    entries: tuple[tuple[str, float], ...]
    complete: bool


class CapacityAdvised(NamedTuple):
    """Requests per second that the fleet can answer in time, computed by the solver.

    The rate is 0 if it is unknown or if the fleet can answer all demand.
    """

    rate: float


class EndpointRestored(NamedTuple):
    """What an earlier incarnation learned about the endpoint process that started at `started`, discounted for its age.

    `capacity_factor` is the learned capacity relative to the fleet's median, which is 1.
    """

    endpoint: str
    started: int
    capacity_factor: float


class SliceRestored(NamedTuple):
    """What an earlier incarnation learned about a slice, discounted for its age.

    `rates` holds requests per second by class, and `warmth` holds the warmth by endpoint (0 to 1).
    """

    slice: int
    rates: tuple[float, ...]
    warmth: tuple[tuple[str, float], ...]


class FleetRestored(NamedTuple):
    """Orders of an earlier incarnation that are still in effect, and its observed throughput, discounted for its age.

    The proxies apply `levels` (admission level by class) and the withdrawals. `best_throughput` is in responses per
    second, `throughput_per_capacity` in responses per second and unit of capacity. Either is 0 if unknown.
    """

    levels: tuple[float, ...]
    withdrawn: tuple[str, ...]
    best_throughput: float
    throughput_per_capacity: float


class EndpointConfidenceChanged(NamedTuple):
    """The confidence in what an endpoint list that may be stale states about one endpoint has changed.

    With confidence 1 the endpoint is used as listed. With confidence 0 it is used only if no other endpoint is left.
    """

    endpoint: str
    confidence: float


class SyncAcknowledged(NamedTuple):
    """A proxy has applied the message with this sync token, `delay` nanoseconds after the planner ordered it."""

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
    """Set the weight of an endpoint in a table. Weight 0 removes its entry."""

    table: int
    endpoint: str
    weight: float


class ClearTable(NamedTuple):
    """Remove every entry of a table."""

    table: int


class BindTable(NamedTuple):
    """Let a proxy use a table for some classes. An empty tuple selects all classes."""

    proxy: int
    table: int
    classes: tuple[int, ...]


class SetWithdrawn(NamedTuple):
    """Withdraw an endpoint, or readmit it.

    The joined proxies do not send to a withdrawn endpoint, even if their tables contain it.
    """

    endpoint: str
    withdrawn: bool


class SetAdmission(NamedTuple):
    """Set the admission level (share of requests admitted) and the retry mode of some classes.

    If `table` is None, the order applies to all tables of this instance. If `classes` is empty, it applies to all
    classes.
    """

    table: int | None
    classes: tuple[int, ...]
    level: float
    retry: int  # 0: never, 1: once if the request was provably not executed, 2: once after any failure, 3: twice


class RequestSync(NamedTuple):
    """Ask proxies to acknowledge all orders before this one.

    If `all_proxies` is true, proxies that none of these orders concerns must acknowledge too.
    """

    token: int
    all_proxies: bool


class SubscribeEndpointList(NamedTuple):
    """Start or end the subscription to the endpoint list."""

    subscribe: bool


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

    to: int | None  # None for every peer
    payload: bytes


class Log(NamedTuple):
    """Write a line to the log."""

    text: str


# Orders that a front end publishes to proxies.
TableOrder = SetEntry | ClearTable | SetWithdrawn | SetAdmission | RequestSync

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
