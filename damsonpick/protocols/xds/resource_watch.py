"""One stream's subscription to one resource type: what the client has, and what it is to be sent. Sans I/O.

Three sets of versions by resource name are kept apart. *Acknowledged* is what the client has accepted, *expected* is
what it will hold if it accepts every response in flight, *pending* names what is to be sent.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from typing import NamedTuple

from damsonpick.protocols.shared.session import CoveredChanges
from damsonpick.protocols.xds.names import CDS, EDS
from damsonpick.protocols.xds.resources import Catalogue
from damsonpick.state.history.digest import Digest
from damsonpick.state.published_tables import FLEET

MAX_RESPONSE_BYTES = 1_000_000  # of resources; a quarter of what a gRPC client accepts by default
MAX_ANSWERED_RESPONSES = 32  # remembered after their answer: a rejection that comes late still counts


class InFlightResponse(NamedTuple):
    """A response that was sent and is not yet answered.

    Attributes:
        nonce: its identifier.
        versions: version by resource name; '' stands for a removed resource.
        covered: the changes that it brings.
        published_seq: the newest change when it was sent.
    """

    nonce: str
    versions: dict[str, str]
    covered: CoveredChanges
    published_seq: int


class ResourceWatch:
    """A subscription to one type.

    Attributes:
        names: resources subscribed to by name.
        wildcard: all resources are subscribed to.
        started: a request has set the subscription.
        acknowledged: versions that the client has accepted, by name.
        expected: versions that it holds once it accepts all responses in flight.
        digest: over `expected`.
        rejected: a version of each name that the client rejected; it is not sent again.
        pending: names to be sent, with the changes that their response covers.
        resend: pending names that are sent although the same version was sent before.
        isolated_batches: parts of a rejected response, each to be sent in a response of its own.
        in_flight: responses without an answer, by nonce, in the order of sending.
        answered: the newest answered responses.
        last_nonce: of the newest response.
        ranges_to_replace: ranges of the digest to be sent whole once nothing is in flight; None: there is no mismatch.
        repairs: mismatches since the last accepted response.
        acknowledged_at: ns; when the client last accepted a response.
    """

    def __init__(self, catalogue: Catalogue, type_url: str) -> None:
        """Begin without a subscription.

        Args:
            catalogue: the published resources.
            type_url: the type.
        """
        self.catalogue = catalogue
        self.type_url = type_url
        self.names: set[str] = set()
        self.wildcard = False
        self.started = False
        self.acknowledged: dict[str, str] = {}
        self.expected: dict[str, str] = {}
        self.digest = Digest()
        self.rejected: dict[str, str] = {}
        self.pending: dict[str, CoveredChanges] = {}
        self.resend: set[str] = set()
        self.isolated_batches: deque[list[str]] = deque()
        self.in_flight: OrderedDict[str, InFlightResponse] = OrderedDict()
        self.answered: OrderedDict[str, InFlightResponse] = OrderedDict()
        self.last_nonce = ""
        self.ranges_to_replace: list[int] | None = None
        self.repairs = 0
        self.acknowledged_at = 0

    # -- subscription

    def wants(self, name: str) -> bool:
        """Whether the client subscribes to a resource."""
        return self.wildcard or name in self.names

    def request(self, now: int, names: Iterable[str], resend: bool = False) -> None:
        """Make newly requested names pending.

        Args:
            now: ns.
            names: requested resources.
            resend: they are sent even if the same version was sent before.
        """
        for name in names:
            if resend:
                self.resend.add(name)
            if resend or self.needs(name):
                self.pending.setdefault(name, CoveredChanges(0, now, 0))

    def drop(self, name: str) -> None:
        """Forget a name that the client does not subscribe to any longer."""
        self.expect(name, "")
        self.acknowledged.pop(name, None)
        self.pending.pop(name, None)

    def enqueue(self, name: str, covered: CoveredChanges) -> None:
        """Make a changed resource pending if it concerns the client."""
        if self.wants(name) and name not in self.pending:
            self.pending[name] = covered

    # -- versions

    def published_version(self, name: str) -> str:
        """The published version of a resource; '' if there is none."""
        resource = self.catalogue.get(self.type_url, name)
        return resource.version if resource else ""

    def needs(self, name: str) -> bool:
        """Whether the published version is to be sent: the client neither has it nor rejected it."""
        version = self.published_version(name)
        if version and version == self.rejected.get(name):
            return False
        stopped = version and version == self.catalogue.stopped.get(name)
        if stopped and self.expected.get(name):
            return False  # it keeps the former version; a client that has none is sent the stopped one
        return self.expected.get(name, "") != version

    def expect(self, name: str, version: str) -> None:
        """Set the version that the client will hold of a resource; '' for none."""
        old = self.expected.get(name, "")
        if old != version:
            self.digest.change(name, old, version)
        if version:
            self.expected[name] = version
        else:
            self.expected.pop(name, None)

    def reset(self, versions: dict[str, str]) -> None:
        """Take these versions as what the client holds, whatever was known of it."""
        self.acknowledged = dict(versions)
        self.expected = dict(versions)
        self.digest = Digest(versions)

    # -- answers

    def take_answered(self, nonce: str) -> list[InFlightResponse]:
        """Move a response and those sent before it from in flight to answered; returns them in order."""
        answered: list[InFlightResponse] = []
        while not answered or answered[-1].nonce != nonce:
            _, response = self.in_flight.popitem(last=False)
            self.answered[response.nonce] = response
            answered.append(response)
        return answered

    def forget_old_answers(self) -> None:
        """Limit the number of remembered answered responses."""
        while len(self.answered) > MAX_ANSWERED_RESPONSES:
            self.answered.popitem(last=False)

    def accept(self, now: int, versions: dict[str, str]) -> None:
        """Record that the client accepted a response with these versions.

        Args:
            now: ns.
            versions: by resource name; '' stands for a removed resource.
        """
        self.repairs = 0
        self.acknowledged_at = now
        for name, version in versions.items():
            if version:
                self.acknowledged[name] = version
            else:
                self.acknowledged.pop(name, None)

    def revert(self, versions: dict[str, str]) -> None:
        """Expect the acknowledged versions again where a rejected response would have brought others."""
        for name, version in versions.items():
            if self.expected.get(name, "") == version:
                self.expect(name, self.acknowledged.get(name, ""))

    # -- responses

    def has_waiting(self) -> bool:
        """Whether names wait for a response."""
        return bool(self.pending or self.isolated_batches)

    def next_batch(self) -> list[str]:
        """Names for the next response.

        Withdrawals go in a response of their own: a client that rejects a table must still apply a withdrawal.
        """
        if self.type_url == EDS and FLEET in self.pending:
            return [FLEET]
        if self.isolated_batches:
            return self.isolated_batches.popleft()
        size_bytes = 0
        names: list[str] = []
        for name in self.pending:
            resource = self.catalogue.get(self.type_url, name)
            size_bytes += len(resource.delta) if resource else 0
            if names and size_bytes > MAX_RESPONSE_BYTES and self.type_url != CDS:
                break
            names.append(name)
        return names

    def take_pending(self, names: Iterable[str]) -> list[CoveredChanges]:
        """Remove names from those pending; returns the changes of those that were."""
        covered = []
        for name in names:
            changes = self.pending.pop(name, None)
            if changes is not None:
                covered.append(changes)
        return covered

    def oldest_unacknowledged(self) -> int | None:
        """The lowest sequence number of what is in flight or pending; None if there is nothing."""
        sequence_numbers = [response.covered.first_seq for response in self.in_flight.values()]
        sequence_numbers += [covered.first_seq for covered in self.pending.values()]
        return min(sequence_numbers, default=None)
