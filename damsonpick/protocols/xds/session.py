"""The state machine of one client's ADS stream: the part that both variants share. Sans I/O.

docs/design/xds.md lists each clause of the public specification (xDS REST and gRPC protocol) that this code follows,
with the test for it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeAlias

from envoy.service.discovery.v3 import discovery_pb2

from damsonpick.protocols.shared.session import CoveredChanges
from damsonpick.protocols.xds.errors import MissingNodeIdError, NodeIdTooLongError
from damsonpick.protocols.xds.names import EDS, RDS, SEND_ORDER, SHORT_NAMES
from damsonpick.protocols.xds.rejections import RejectionHandler
from damsonpick.protocols.xds.request_rate import RequestRateLimit
from damsonpick.protocols.xds.resource_watch import InFlightResponse, ResourceWatch
from damsonpick.protocols.xds.resources import Catalogue, type_url_of
from damsonpick.protocols.xds.session_events import SessionEvent, SessionEventKind
from damsonpick.state.history import root_statement
from damsonpick.state.history.digest import names_in_ranges

MAX_IN_FLIGHT = 4  # responses per resource type; while that many are unanswered, further changes wait and are merged
MAX_TYPE_URL_CHARS = 200  # a longer type URL that is unknown is cut to this length in the log
MAX_NODE_ID_CHARS = 256
MAX_NONCE_CHARS = 80  # a longer nonce that is unknown is cut to this length in the log
SEQ_UPPER_BOUND = 1 << 62  # greater than every sequence number

Request: TypeAlias = discovery_pb2.DiscoveryRequest | discovery_pb2.DeltaDiscoveryRequest


def check_node_id(node: str) -> None:
    """Check the id with which a client identifies itself.

    Raises:
        MissingNodeIdError: It is empty.
        NodeIdTooLongError: It is longer than `MAX_NODE_ID_CHARS`.
    """
    if not node:
        raise MissingNodeIdError
    if len(node) > MAX_NODE_ID_CHARS:
        raise NodeIdTooLongError(MAX_NODE_ID_CHARS)


class Session:
    """Base class of both variants. `protocols.shared.session.Session` documents the public attributes.

    Attributes:
        watches: The client's subscriptions by type URL.
        events: Events for the log that the server has not written yet.
    """

    variant = ""

    def __init__(self, catalogue: Catalogue, epoch: int) -> None:
        """Create the session of a new stream.

        Args:
            catalogue: The published resources.
            epoch: Number of starts of the control service so far; part of version_info.
        """
        self.catalogue = catalogue
        self.epoch = epoch
        self.watches: dict[str, ResourceWatch] = {}
        self.events: list[SessionEvent] = []
        self.node = ""
        self.zone = ""
        self.verifies_roots = False
        self.fresh = True
        self._rejections = RejectionHandler(self.events)
        self.rejected_ranges = self._rejections.seq_ranges
        self.rejections = self._rejections.reasons
        self.newly_rejected = self._rejections.new_versions
        self._request_rate = RequestRateLimit()
        self._response_count = 0

    # -- requests

    def receive(self, now: int, request: Request) -> None:
        """Process one request.

        Args:
            now: Current time, ns.
            request: Request of the session's variant.

        Raises:
            MissingNodeIdError, NodeIdTooLongError: The first request has no node id, or one that is too long.
            RequestRateError: The client exceeds the request rate limit of the stream.
        """
        self._request_rate.count_request(now)
        self._identify(request)
        type_url = request.type_url
        if type_url not in SEND_ORDER:
            self._report(SessionEventKind.UNKNOWN_TYPE_REQUESTED, type_url[:MAX_TYPE_URL_CHARS])
            return
        watch = self.watches.get(type_url)
        if watch is None:
            watch = self.watches[type_url] = ResourceWatch(self.catalogue, type_url)
        self._apply_answer(now, watch, request)
        self._subscribe(now, watch, request)

    def _identify(self, request: Request) -> None:
        if request.HasField("node") and not self.node:
            self.node = request.node.id
            self.zone = request.node.locality.zone
            self.verifies_roots = root_statement.CLIENT_FEATURE in request.node.client_features
        check_node_id(self.node)

    def _apply_answer(self, now: int, watch: ResourceWatch, request: Request) -> None:
        """Process the answer (ACK or NACK) in a request.

        A client reads a stream in order, so an answer also accepts all earlier responses in flight. An earlier response
        counts as rejected only if a separate request rejects it, before or after this one.
        """
        nonce = request.response_nonce
        rejected = request.HasField("error_detail")
        if nonce in watch.in_flight:
            for response in watch.move_to_answered(nonce):
                if rejected and response.nonce == nonce:
                    self._rejections.reject(watch, response, request.error_detail.message)
                else:
                    watch.accept(now, response.versions)
                    self._rejections.accept(response.versions)
            watch.forget_old_answers()
        elif nonce in watch.answered:
            if rejected:
                self._rejections.reject(watch, watch.answered.pop(nonce), request.error_detail.message)
        elif nonce:
            type_name = SHORT_NAMES[watch.type_url]
            self._report(SessionEventKind.STALE_NONCE_RECEIVED, type_name, nonce=nonce[:MAX_NONCE_CHARS])

    def _subscribe(self, now: int, watch: ResourceWatch, request: Request) -> None:
        """Update the client's subscription from a request."""
        raise NotImplementedError

    def _report(self, kind: SessionEventKind, type_name: str, **fields: str | int) -> None:
        self.events.append(SessionEvent(kind, type_name, fields))

    # -- changes, and queries of the session manager

    def enqueue(self, units: Iterable[str], covered: CoveredChanges) -> None:
        """Mark the resources of changed units as pending, except those to which the client does not subscribe."""
        for unit in units:
            watch = self.watches.get(type_url_of(unit))
            if watch is not None:
                watch.enqueue(unit, covered)

    def subscribes_to(self, unit: str) -> bool:
        """Return whether the client subscribes to the resource of a unit."""
        watch = self.watches.get(type_url_of(unit))
        return watch is not None and watch.wants(unit)

    @property
    def joined(self) -> bool:
        """Whether the client counts as joined, which is the case once it has requested tables (EDS)."""
        return EDS in self.watches

    def ready(self) -> bool:
        """Return whether fewer than `MAX_IN_FLIGHT` responses of each type are unanswered."""
        return all(len(watch.in_flight) < MAX_IN_FLIGHT for watch in self.watches.values())

    def unacknowledged_messages(self) -> int:
        """Return the number of responses in flight."""
        return sum(len(watch.in_flight) for watch in self.watches.values())

    def acknowledged_versions(self) -> dict[str, str]:
        """Return the versions of tables and routes that the client has acknowledged, by resource name."""
        versions: dict[str, str] = {}
        for type_url in (EDS, RDS):
            watch = self.watches.get(type_url)
            if watch is not None:
                versions.update((name, version) for name, version in watch.acknowledged.items() if version)
        return versions

    def acknowledged_at(self) -> int:
        """Return the time at which the client last accepted a response, ns; 0 if it never did."""
        return max((watch.acknowledged_at for watch in self.watches.values()), default=0)

    def state_counts(self) -> dict[str, int]:
        """Return the number of resources that the client has acknowledged, by short type name."""
        return {SHORT_NAMES[type_url]: len(watch.acknowledged) for type_url, watch in self.watches.items()}

    def oldest_unacknowledged(self) -> int:
        """Return the lowest sequence number not acknowledged by the client, or `SEQ_UPPER_BOUND` if there is none."""
        oldest = SEQ_UPPER_BOUND
        for watch in self.watches.values():
            seq = watch.oldest_unacknowledged()
            if seq is not None:
                oldest = min(oldest, seq)
        return oldest

    # -- responses

    def compose(self, now: int) -> bytes | None:
        """Build the next response; clusters precede endpoints, and endpoints precede routes.

        Args:
            now: Current time, ns.

        Returns:
            A serialized response, or None if no response of any type can be sent now. A type has no response if nothing
            is pending, if `MAX_IN_FLIGHT` of its responses are unanswered, or if ranges must be replaced but responses
            are still in flight.
        """
        for type_url in SEND_ORDER:
            watch = self.watches.get(type_url)
            if watch is None or len(watch.in_flight) >= MAX_IN_FLIGHT:
                continue
            if watch.ranges_to_replace is None:
                response = self._compose_pending(now, watch)
            elif watch.in_flight:
                response = None  # the responses in flight start from the same wrong root and will be rejected as well
            else:
                response = self._compose_replacement(now, watch, watch.ranges_to_replace)
            if response is not None:
                return response
        return None

    def _compose_pending(self, now: int, watch: ResourceWatch) -> bytes | None:
        """Build a response from the next batch that contains a resource to send; return None if there is none."""
        while watch.has_pending():
            response = self._compose_batch(now, watch, watch.next_batch())
            if response is not None:
                return response
        return None

    def _compose_batch(self, now: int, watch: ResourceWatch, names: list[str]) -> bytes | None:
        """Build a response with the resources of a batch that must still be sent; return None if there are none."""
        parts = watch.pop_pending(names)
        to_send = [name for name in names if watch.wants(name) and (name in watch.resend or watch.needs(name))]
        to_send = self._required_names(watch, to_send)
        watch.resend.difference_update(names)
        if not to_send:
            return None
        covered = CoveredChanges(
            first_seq=min((part.first_seq for part in parts), default=0),
            ordered_at=min((part.ordered_at for part in parts if part.ordered_at), default=now),
            entries=max((part.entries for part in parts), default=0),
        )
        versions = {name: watch.published_version(name) for name in to_send}
        return self._send(now, watch, versions, covered)

    def _compose_replacement(self, now: int, watch: ResourceWatch, ranges: list[int]) -> bytes:
        """Build a response that replaces complete ranges, regardless of what the client has or has rejected in them."""
        watch.ranges_to_replace = None
        known = self.catalogue.by_type[watch.type_url]
        names = [name for name in names_in_ranges(known, ranges) if watch.wants(name)]
        parts = watch.pop_pending(names)
        for name in names:
            watch.rejected.pop(name, None)
        first_seq = min((part.first_seq for part in parts), default=0)
        covered = CoveredChanges(first_seq, ordered_at=now, entries=len(names))
        versions = {name: watch.published_version(name) for name in names}
        return self._send(now, watch, versions, covered, tuple(ranges))

    def _send(
        self,
        now: int,
        watch: ResourceWatch,
        versions: dict[str, str],
        covered: CoveredChanges,
        replaces: tuple[int, ...] = (),
    ) -> bytes:
        """Record a response as in flight and return it serialized."""
        self._response_count += 1
        nonce = f"{self._response_count}.{covered.ordered_at}.{now}.{covered.entries}"
        watch.in_flight[nonce] = InFlightResponse(nonce, versions, covered, self.catalogue.published.seq)
        watch.last_nonce = nonce
        start_root = watch.digest.root() if self.verifies_roots else ""
        for name, version in versions.items():
            watch.expect(name, version)
        statement = ""
        if self.verifies_roots:
            statement = root_statement.RootStatement(start_root, watch.digest.root(), replaces).text()
        return self._serialize(watch.type_url, nonce, versions, statement)

    def _required_names(self, watch: ResourceWatch, names: list[str]) -> list[str]:
        """Return the names that a response must contain if it contains the given names."""
        return names

    def _serialize(self, type_url: str, nonce: str, versions: dict[str, str], statement: str) -> bytes:
        """Serialize a response of the session's variant.

        Args:
            type_url: Type URL of all resources in the response.
            nonce: Identifier of the response.
            versions: Versions by resource name; '' marks a removed resource.
            statement: Root statement of the response, or '' for a client that does not check roots.
        """
        raise NotImplementedError

    def _version_info(self) -> str:
        """Return the version of the complete published state."""
        return f"{self.epoch}.{self.catalogue.published.seq}"
