"""One stream's subscription to one resource type: what the client has and what it must still receive. Sans I/O.

The watch tracks three sets by resource name. *Acknowledged* contains the versions that the client has accepted.
*Expected* contains the versions that the client will have if it accepts every response in flight. *Pending* contains
the names of the resources that must still be sent.

An answer is the client's ACK or NACK of a response.
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

# Size in bytes up to which resources are added to a response: about a quarter of the message size that a gRPC client
# accepts by default. A response exceeds this size if its first resource alone does. The size of a response is
# not limited if it contains clusters, replaces ranges or repeats a part of a rejected response.
MAX_RESPONSE_BYTES = 1_000_000
# Number of responses of a type that are kept after the client has answered them, because a late rejection must still
# take effect.
MAX_ANSWERED_RESPONSES = 32


class InFlightResponse(NamedTuple):
    """A response that was sent. It is kept in `in_flight` until the client answers it, and then in `answered`.

    Attributes:
        nonce: Identifier of the response.
        versions: Version by resource name; '' marks a removed resource.
        covered: The changes that the response contains.
        published_seq: Sequence number of the newest published change when the response was sent.
    """

    nonce: str
    versions: dict[str, str]
    covered: CoveredChanges
    published_seq: int


class ResourceWatch:
    """A stream's subscription to one resource type.

    Attributes:
        names: Names of the resources to which the client subscribes by name.
        wildcard: Whether the client subscribes to all resources.
        started: Whether the first request for this type has been received.
        acknowledged: Versions that the client has accepted, or that were passed to `reset`, by name.
        expected: Versions that the client will have once it has accepted all responses in flight, by name.
        digest: Digest of `expected`.
        rejected: By name, the version that the client rejected and that is not sent again.
        pending: Names that must be sent, each with the changes that its response covers.
        resend: Pending names that are sent even if the same version was sent before.
        isolated_batches: Parts of rejected responses; each is sent in a separate response.
        in_flight: Unanswered responses by nonce, in sending order.
        answered: The most recently answered responses by nonce.
        last_nonce: Nonce of the newest response.
        ranges_to_replace: Ranges of the digest that are sent completely once nothing is in flight. None if no
            replacement is scheduled.
        repairs: Number of replacements scheduled since the last accepted response.
        acknowledged_at: Time at which the client last accepted a response, ns; 0 if it never did.
    """

    def __init__(self, catalogue: Catalogue, type_url: str) -> None:
        """Create a watch without a subscription.

        Args:
            catalogue: The published resources.
            type_url: Type URL of the resources.
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
        """Return whether the client subscribes to a resource."""
        return self.wildcard or name in self.names

    def request(self, now: int, names: Iterable[str], resend: bool = False) -> None:
        """Mark requested resources as pending, except those that need not be sent.

        Args:
            now: Current time, ns.
            names: Names of the requested resources.
            resend: Whether to send the resources even if the same version was sent before.
        """
        for name in names:
            if resend:
                self.resend.add(name)
            if resend or self.needs(name):
                self.pending.setdefault(name, CoveredChanges(0, now, 0))

    def drop(self, name: str) -> None:
        """Remove a resource to which the client no longer subscribes from `expected`, `acknowledged` and `pending`.

        Its rejected version, if any, is kept.
        """
        self.expect(name, "")
        self.acknowledged.pop(name, None)
        self.pending.pop(name, None)

    def enqueue(self, name: str, covered: CoveredChanges) -> None:
        """Mark a changed resource as pending if the client subscribes to it."""
        if self.wants(name) and name not in self.pending:
            self.pending[name] = covered

    # -- versions

    def published_version(self, name: str) -> str:
        """Return the published version of a resource, or '' if the resource is not published."""
        resource = self.catalogue.get(self.type_url, name)
        return resource.version if resource else ""

    def needs(self, name: str) -> bool:
        """Return whether the published version must be sent to the client.

        It is not sent if the client is expected to have it or has rejected it. A version whose rollout was stopped is
        sent only to a client without any version.
        """
        version = self.published_version(name)
        if version and version == self.rejected.get(name):
            return False
        stopped = version and version == self.catalogue.stopped.get(name)
        if stopped and self.expected.get(name):
            return False  # the client keeps its earlier version; a client without a version receives the stopped one
        return self.expected.get(name, "") != version

    def expect(self, name: str, version: str) -> None:
        """Record the version of a resource that the client is expected to have; '' if it has none."""
        old = self.expected.get(name, "")
        if old != version:
            self.digest.change(name, old, version)
        if version:
            self.expected[name] = version
        else:
            self.expected.pop(name, None)

    def reset(self, versions: dict[str, str]) -> None:
        """Set the acknowledged and expected versions to these versions and discard the previous ones."""
        self.acknowledged = dict(versions)
        self.expected = dict(versions)
        self.digest = Digest(versions)

    # -- answers (ACK and NACK)

    def move_to_answered(self, nonce: str) -> list[InFlightResponse]:
        """Move a response and all earlier responses from `in_flight` to `answered`; return them in sending order."""
        answered: list[InFlightResponse] = []
        while not answered or answered[-1].nonce != nonce:
            _, response = self.in_flight.popitem(last=False)
            self.answered[response.nonce] = response
            answered.append(response)
        return answered

    def forget_old_answers(self) -> None:
        """Remove the oldest answered responses beyond `MAX_ANSWERED_RESPONSES`."""
        while len(self.answered) > MAX_ANSWERED_RESPONSES:
            self.answered.popitem(last=False)

    def accept(self, now: int, versions: dict[str, str]) -> None:
        """Record that the client accepted a response with these versions.

        Args:
            now: Current time, ns.
            versions: Versions by resource name; '' marks a removed resource.
        """
        self.repairs = 0
        self.acknowledged_at = now
        for name, version in versions.items():
            if version:
                self.acknowledged[name] = version
            else:
                self.acknowledged.pop(name, None)

    def revert(self, versions: dict[str, str]) -> None:
        """Expect the acknowledged versions again in place of the versions of a rejected response.

        A resource whose expected version a later response has changed keeps the version of that response.
        """
        for name, version in versions.items():
            if self.expected.get(name, "") == version:
                self.expect(name, self.acknowledged.get(name, ""))

    # -- responses

    def has_pending(self) -> bool:
        """Return whether any resource is pending or belongs to an isolated batch."""
        return bool(self.pending or self.isolated_batches)

    def next_batch(self) -> list[str]:
        """Return the names of the resources for the next response.

        Withdrawals are sent first and in a separate response, so that a client that rejects a table still applies them.
        An isolated batch is removed; other names stay pending until `pop_pending` is called.
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

    def pop_pending(self, names: Iterable[str]) -> list[CoveredChanges]:
        """Remove names from `pending`; return the changes of the names that were pending."""
        covered = []
        for name in names:
            changes = self.pending.pop(name, None)
            if changes is not None:
                covered.append(changes)
        return covered

    def oldest_unacknowledged(self) -> int | None:
        """Return the lowest sequence number of all changes in flight or pending, or None if there are none."""
        sequence_numbers = [response.covered.first_seq for response in self.in_flight.values()]
        sequence_numbers += [covered.first_seq for covered in self.pending.values()]
        return min(sequence_numbers, default=None)
