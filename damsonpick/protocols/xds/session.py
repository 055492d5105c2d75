"""One gateway's ADS stream as a state machine, for both variants. Sans I/O.

What follows the public specification (xDS REST and gRPC protocol) is listed clause by clause, with its
test, in docs/design/xds.md. Terms here: a *flight* is a response sent and not yet answered; *held* is what
the gateway acknowledged, *sent* what it will hold if it accepts all flights, *due* what it is to be sent.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

from envoy.service.discovery.v3 import discovery_pb2

from damsonpick.protocols.shared.session import CoveredChanges, RejectedVersion, SeqRange
from damsonpick.protocols.xds.names import CDS, EDS, ORDER, RDS, SHORT
from damsonpick.protocols.xds.resources import Catalogue, kind_of
from damsonpick.state.history import root_statement
from damsonpick.state.history.digest import RANGE_COUNT, Digest, names_in_ranges, range_of
from damsonpick.state.published_tables import FLEET

MOST_FLIGHTS = 4  # responses not yet answered; beyond, orders wait and are merged
MOST_BYTES = 1_000_000  # of resources in one response; a quarter of what a gRPC client takes by default
MOST_WHY = 1500  # characters of a gateway's refusal
RECENT = 32  # settled nonces remembered: a rejection that comes late still counts
REQUEST_RATE, REQUEST_BURST = 200.0, 4000.0  # a client that subscribes one by one to all slices may


class ProtocolError(Exception):
    """The stream breaks the protocol and is ended; the text says how, `code` is the gRPC status."""

    def __init__(self, text: str, code: str = "INVALID_ARGUMENT") -> None:
        super().__init__(text)
        self.code = code


class Note(NamedTuple):
    """Something worth a log line: what happened, on which type, and the details."""

    kind: str  # "rejected", "isolating", "stale", "unknown_type"
    type: str
    detail: dict[str, object]


class Flight:
    """One response on its way."""

    def __init__(self, nonce: str, versions: dict[str, str], due: CoveredChanges, upto: int) -> None:
        self.nonce, self.versions, self.due = nonce, versions, due
        self.upto = upto  # the newest change number when it was sent


class Watch:
    """What a stream has of one type."""

    def __init__(self) -> None:
        self.names: set[str] = set()
        self.wildcard = False
        self.begun = False
        self.held: dict[str, str] = {}
        self.sent: dict[str, str] = {}
        self.rejected: dict[str, str] = {}  # the version a gateway would not take: not sent again
        self.due: dict[str, CoveredChanges] = {}
        self.forced: set[str] = set()  # due although the same version was sent: it asked again
        self.apart: deque[list[str]] = deque()  # parts of a rejected response, each to go alone
        self.flights: OrderedDict[str, Flight] = OrderedDict()
        self.settled: OrderedDict[str, Flight] = OrderedDict()
        self.last = ""  # nonce of the newest response
        self.digest = Digest()  # over `sent`: the root that the gateway will have
        self.repair: list[int] | None = None  # ranges to be replaced once no flight is out
        self.repairs = 0  # without an acceptance between them
        self.since = 0  # ns: when the newest acceptance came

    def will_hold(self, name: str, version: str) -> None:
        """A gateway that accepts all flights holds this version; '' none."""
        old = self.sent.get(name, "")
        if old != version:
            self.digest.change(name, old, version)
        if version:
            self.sent[name] = version
        else:
            self.sent.pop(name, None)

    def begin_with(self, versions: dict[str, str]) -> None:
        """What a gateway says it holds at the start of its stream."""
        self.held, self.sent, self.digest = dict(versions), dict(versions), Digest(versions)

    def wants(self, name: str) -> bool:
        return self.wildcard or name in self.names


class Session:
    """Base of both variants.

    Args:
        catalogue: the resources.
        epoch: the pilot's start number, part of version_info.
    """

    variant = ""

    def __init__(self, catalogue: Catalogue, epoch: int) -> None:
        self.catalogue, self.epoch = catalogue, epoch
        self.watches: dict[str, Watch] = {}
        self.node, self.zone = "", ""
        self.verifies_roots = False  # the gateway checks roots
        self.fresh = True
        self.count = 0
        self.rejected_ranges: list[SeqRange] = []  # changes that a rejected response answered for
        self.rejections: dict[str, str] = {}  # resource: what the gateway said of it
        self.notes: list[Note] = []
        self.newly_rejected: list[RejectedVersion] = []
        self.allowance, self.metered = REQUEST_BURST, 0
        self.bytes = 0

    # -- requests

    def receive(self, now: int, request: object) -> None:
        """Take in one request.

        Raises:
            ProtocolError: no node id in the first request, or more requests than any client needs.
        """
        self._meter(now)
        if request.HasField("node") and not self.node:
            self.node, self.zone = request.node.id, request.node.locality.zone
            self.verifies_roots = root_statement.CLIENT_FEATURE in request.node.client_features
        if not self.node:
            raise ProtocolError("the first request names no node.id; set one for each gateway")
        if request.type_url not in ORDER:
            self.notes.append(Note("unknown_type", request.type_url[:200], {}))
            return
        watch = self.watches.setdefault(request.type_url, Watch())
        self._answer(now, watch, request)
        self._subscribe(now, request.type_url, watch, request)

    def _meter(self, now: int) -> None:
        gained = max(0, now - self.metered) / 1e9 * REQUEST_RATE if self.metered else 0.0
        self.allowance = min(REQUEST_BURST, self.allowance + gained) - 1
        self.metered = now
        if self.allowance < 0:
            raise ProtocolError(f"over {REQUEST_RATE:g} requests a second: no client needs that", "RESOURCE_EXHAUSTED")

    def _answer(self, now: int, watch: Watch, request: object) -> None:
        """ACK or NACK. A stream is read in order, so an answer settles what went before as accepted, unless
        it was rejected in a request of its own, before or after."""
        nonce = request.response_nonce
        bad = request.HasField("error_detail")
        if nonce in watch.flights:
            while True:
                _, flight = watch.flights.popitem(last=False)
                mine = flight.nonce == nonce
                watch.settled[flight.nonce] = flight
                if mine and bad:
                    self._reject(request, watch, flight)
                else:
                    self._accept(watch, flight.versions)
                    watch.since = now
                if mine:
                    break
            while len(watch.settled) > RECENT:
                watch.settled.popitem(last=False)
        elif nonce in watch.settled and bad:
            self._reject(request, watch, watch.settled.pop(nonce))
        elif nonce and nonce not in watch.settled:
            self.notes.append(Note("stale", SHORT[request.type_url], {"nonce": nonce[:80]}))

    def _accept(self, watch: Watch, versions: dict[str, str]) -> None:
        watch.repairs = 0
        for name, version in versions.items():
            if version:
                watch.held[name] = version
            else:
                watch.held.pop(name, None)
            self.rejections.pop(name, None)

    def _reject(self, request: object, watch: Watch, flight: Flight) -> None:
        """A rejection says that something in a response is bad, not what. The response is cut in halves until
        the bad resource stands alone; that text is never sent again, all others get through."""
        versions, why = flight.versions, request.error_detail.message[:MOST_WHY]
        self.rejected_ranges.append(SeqRange(flight.due.first_seq, flight.upto))
        for name, version in versions.items():
            if watch.sent.get(name, "") == version:
                watch.will_hold(name, watch.held.get(name, ""))
        theirs = root_statement.mismatch_range_sums(why)
        if theirs is not None:
            self._mismatch(request.type_url, watch, theirs, why)
            return
        names = [n for n, v in versions.items() if self._version(request.type_url, n) == v]
        if len(versions) > 1:
            half = (len(names) + 1) // 2
            watch.apart.extend(part for part in (names[:half], names[half:]) if part)
            self.notes.append(Note("isolating", SHORT[request.type_url], {"why": why, "among": len(versions)}))
            return
        for name, version in versions.items():
            watch.rejected[name] = version
            self.rejections[name] = why
            self.newly_rejected.append(RejectedVersion(name, version))
            self.notes.append(
                Note("rejected", SHORT[request.type_url], {"resource": name, "version": version, "why": why})
            )

    def _mismatch(self, kind: str, watch: Watch, theirs: str, why: str) -> None:
        """The gateway holds something else than it should. The ranges that differ from what it should hold are
        replaced once no flight is out; if that does not help, or its ranges cannot be read, all of them."""
        target = {n: v for n in self.catalogue.by[kind] if watch.wants(n) and (v := self._version(kind, n))}
        try:
            ranges = Digest(target).differing_ranges(theirs)
        except ValueError:
            ranges = []
        if not ranges or watch.repairs:
            ranges = list(range(RANGE_COUNT))
        if watch.repair is None:
            watch.repairs += 1
            self.notes.append(Note("roots_differ", SHORT[kind], {"why": why.partition(";")[0], "ranges": len(ranges)}))
        watch.repair = ranges
        chosen = set(ranges)  # outside of them it holds what it should
        watch.begin_with({n: v for n, v in target.items() if range_of(n) not in chosen})

    def _replace(self, now: int, kind: str, watch: Watch) -> bytes:
        """One response that replaces whole ranges, whatever the gateway holds in them."""
        ranges, watch.repair = watch.repair or [], None
        names = [n for n in names_in_ranges(self.catalogue.by[kind], ranges) if watch.wants(n)]
        dues = [watch.due.pop(n) for n in names if n in watch.due]
        for name in names:
            watch.rejected.pop(name, None)
        due = CoveredChanges(min((d.first_seq for d in dues), default=0), now, len(names))
        return self._send(now, kind, watch, {n: self._version(kind, n) for n in names}, due, tuple(ranges))

    def _version(self, kind: str, name: str) -> str:
        resource = self.catalogue.get(kind, name)
        return resource.version if resource else ""

    def _subscribe(self, now: int, kind: str, watch: Watch, request: object) -> None:
        raise NotImplementedError

    def _ask(self, now: int, kind: str, watch: Watch, names: Iterable[str], again: bool) -> None:
        """Names newly asked for; `again`: to be sent even if the same version went out before."""
        for name in names:
            if again:
                watch.forced.add(name)
            if again or self._stale(kind, watch, name):
                watch.due.setdefault(name, CoveredChanges(0, now, 0))

    def _stale(self, kind: str, watch: Watch, name: str) -> bool:
        """Whether the gateway neither has nor refused the present version."""
        version = self._version(kind, name)
        if version and version == watch.rejected.get(name):
            return False
        if version and version == self.catalogue.stopped.get(name) and watch.sent.get(name):
            return False  # it keeps the former one; who has none is sent it all the same
        return watch.sent.get(name, "") != version

    # -- orders

    def enqueue(self, units: Iterable[str], covered: CoveredChanges) -> None:
        """Resources that changed and whose turn it is."""
        for unit in units:
            watch = self.watches.get(kind_of(unit))
            if watch is not None and watch.wants(unit) and unit not in watch.due:
                watch.due[unit] = covered

    def subscribes_to(self, unit: str) -> bool:
        watch = self.watches.get(kind_of(unit))
        return watch is not None and watch.wants(unit)

    @property
    def joined(self) -> bool:
        """A gateway counts as joined once it has asked for tables."""
        return EDS in self.watches

    def ready(self) -> bool:
        """Whether another response may go: few enough are unanswered."""
        return all(len(w.flights) < MOST_FLIGHTS for w in self.watches.values())

    def busy(self) -> bool:
        return any(w.due or w.apart or w.repair is not None for w in self.watches.values())

    def unacknowledged_messages(self) -> int:
        return sum(len(w.flights) for w in self.watches.values())

    def acknowledged_versions(self) -> dict[str, str]:
        """Versions that the gateway has acknowledged, of tables and routes."""
        return {n: v for kind in (EDS, RDS) if kind in self.watches for n, v in self.watches[kind].held.items() if v}

    def acknowledged_at(self) -> int:
        return max((w.since for w in self.watches.values()), default=0)

    def held_counts(self) -> dict[str, int]:
        return {SHORT[kind]: len(w.held) for kind, w in self.watches.items()}

    def oldest_unacknowledged(self) -> int:
        """The lowest change number not yet answered for, or a number above all."""
        low = 1 << 62
        for watch in self.watches.values():
            for flight in watch.flights.values():
                low = min(low, flight.due.first_seq)
            for due in watch.due.values():
                low = min(low, due.first_seq)
        return low

    # -- responses

    def compose(self, now: int) -> bytes | None:
        """The next response, clusters first, or None: nothing is due or too much is unanswered."""
        for kind in ORDER:
            watch = self.watches.get(kind)
            if watch is None or len(watch.flights) >= MOST_FLIGHTS:
                continue
            if watch.repair is not None:
                if watch.flights:
                    continue  # they will be refused as well
                return self._replace(now, kind, watch)
            while watch.due or watch.apart:
                names = self._pick(kind, watch)
                response = self._compose(now, kind, watch, names)
                if response is not None:
                    self.bytes += len(response)
                    return response
        return None

    def _pick(self, kind: str, watch: Watch) -> list[str]:
        """Names for one response. Withdrawals go in a response of their own: a table that a gateway will
        not take must not take a drain with it."""
        if FLEET in watch.due and kind == EDS:
            return [FLEET]
        if watch.apart:
            return watch.apart.popleft()
        size, names = 0, []
        for name in watch.due:
            resource = self.catalogue.get(kind, name)
            size += len(resource.delta) if resource else 0
            if names and size > MOST_BYTES and kind != CDS:
                break
            names.append(name)
        return names

    def _compose(self, now: int, kind: str, watch: Watch, names: list[str]) -> bytes | None:
        dues = [watch.due.pop(name, None) for name in names]
        send = [n for n in names if watch.wants(n) and (n in watch.forced or self._stale(kind, watch, n))]
        send = self._whole(kind, watch, send)
        watch.forced.difference_update(names)
        if not send:
            return None
        given = [due for due in dues if due is not None]
        due = CoveredChanges(
            min((d.first_seq for d in given), default=0),
            min((d.ordered_at for d in given if d.ordered_at), default=now),
            max((d.entries for d in given), default=0),
        )
        return self._send(now, kind, watch, {name: self._version(kind, name) for name in send}, due)

    def _send(
        self,
        now: int,
        kind: str,
        watch: Watch,
        versions: dict[str, str],
        due: CoveredChanges,
        replaces: tuple[int, ...] = (),
    ) -> bytes:
        """One response under way."""
        self.count += 1
        nonce = f"{self.count}.{due.ordered_at}.{now}.{due.entries}"
        watch.flights[nonce] = Flight(nonce, versions, due, self.catalogue.published.seq)
        watch.last = nonce
        start = watch.digest.root() if self.verifies_roots else ""
        for name, version in versions.items():
            watch.will_hold(name, version)
        said = root_statement.RootStatement(start, watch.digest.root(), replaces).text() if self.verifies_roots else ""
        return self._render(kind, nonce, versions, said)

    def _whole(self, kind: str, watch: Watch, names: list[str]) -> list[str]:
        return names

    def _render(self, kind: str, nonce: str, versions: dict[str, str], said: str) -> bytes:
        raise NotImplementedError

    def version_info(self) -> str:
        return f"{self.epoch}.{self.catalogue.published.seq}"


class SotwSession(Session):
    """State of the world: DiscoveryRequest and DiscoveryResponse."""

    variant = "sotw"

    def _subscribe(self, now: int, kind: str, watch: Watch, request: discovery_pb2.DiscoveryRequest) -> None:
        if watch.begun and request.response_nonce and request.response_nonce != watch.last:
            return  # not the newest response's: the client will say again what it wants
        if not watch.begun and request.version_info:
            self.fresh = False
        names = set(request.resource_names)
        first, watch.begun = not watch.begun, True
        wildcard = "*" in names or (kind == CDS and not names and (first or watch.wildcard))
        names.discard("*")
        known = set(self.catalogue.by[kind])
        wanted = known if wildcard else names & known
        had = known if watch.wildcard and not first else watch.names & known
        for gone in (watch.names - names) if not wildcard else ():
            watch.will_hold(gone, "")
            watch.held.pop(gone, None)
            watch.due.pop(gone, None)
        watch.names, watch.wildcard = names, wildcard
        # A first request's version_info tells no version of single resources: all that it names is sent.
        self._ask(now, kind, watch, sorted(wanted) if first else sorted(wanted - had), again=False)

    def _whole(self, kind: str, watch: Watch, names: list[str]) -> list[str]:
        """Clusters come all at once: in this variant one that is left out is deleted."""
        if kind != CDS or not names:
            return names
        return [n for n in self.catalogue.by[CDS] if watch.wants(n)]

    def _render(self, kind: str, nonce: str, versions: dict[str, str], said: str) -> bytes:
        chunks = [self.catalogue.by[kind][name].sotw for name in versions if name in self.catalogue.by[kind]]
        head = discovery_pb2.DiscoveryResponse(version_info=self.version_info(), type_url=kind, nonce=nonce)
        if said:
            head.control_plane.identifier = said
        return b"".join([*chunks, head.SerializeToString()])


class DeltaSession(Session):
    """Incremental: DeltaDiscoveryRequest and DeltaDiscoveryResponse."""

    variant = "delta"

    def _subscribe(self, now: int, kind: str, watch: Watch, request: discovery_pb2.DeltaDiscoveryRequest) -> None:
        wanted = list(request.resource_names_subscribe)
        first, watch.begun = not watch.begun, True
        if first:
            held = dict(request.initial_resource_versions)
            watch.begin_with(held)
            if held:
                self.fresh = False
            if not wanted:
                wanted = ["*"]  # the older way to ask for all
        if "*" in wanted and not watch.wildcard:
            watch.wildcard = True
            self._ask(now, kind, watch, [*self.catalogue.by[kind], *(n for n in watch.sent)], again=False)
        for name in dict.fromkeys(wanted):
            if name != "*":
                known = name in watch.names
                watch.names.add(name)
                missing = not self._version(kind, name)
                self._ask(now, kind, watch, [name], again=known or missing)
        for name in request.resource_names_unsubscribe:
            self._leave(watch, name)

    def _leave(self, watch: Watch, name: str) -> None:
        if name == "*":
            watch.wildcard = False
            for other in [n for n in watch.sent if n not in watch.names]:
                watch.will_hold(other, "")
        else:
            watch.names.discard(name)
            if not watch.wildcard:
                watch.will_hold(name, "")
                watch.held.pop(name, None)
                watch.due.pop(name, None)

    def _render(self, kind: str, nonce: str, versions: dict[str, str], said: str) -> bytes:
        chunks = [self.catalogue.by[kind][name].delta for name, version in versions.items() if version]
        gone = [name for name, version in versions.items() if not version]
        head = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=self.version_info(), type_url=kind, nonce=nonce, removed_resources=gone
        )
        if said:
            head.control_plane.identifier = said
        return b"".join([*chunks, head.SerializeToString()])
