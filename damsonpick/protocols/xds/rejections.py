"""Handling of a client's rejection (NACK) of a response. Sans I/O.

A rejection states that something in a response is invalid, but not which resource. The session therefore splits the
response in halves until the invalid resource is alone in a response. The client thereby receives all other resources.
The rejected version is not sent again, unless a delta request repeats the subscription to the resource or the digest
range of the resource is replaced. Splitting does not isolate an invalid cluster in the state-of-the-world variant,
because each of its responses with clusters contains all of them.

A client that checks roots also rejects a response if the state that it has differs from the state that it should have.
The session then resends the differing ranges of the digest completely.
"""

from __future__ import annotations

from damsonpick.protocols.shared.session import RejectedVersion, SeqRange
from damsonpick.protocols.xds.names import SHORT_NAMES
from damsonpick.protocols.xds.resource_watch import InFlightResponse, ResourceWatch
from damsonpick.protocols.xds.session_events import SessionEvent, SessionEventKind
from damsonpick.state.history import root_statement
from damsonpick.state.history.digest import RANGE_COUNT, Digest, range_of

# Length to which error texts are cut before they are parsed. It must exceed the length of the text for a wrong root, so
# that the 1024 digits of range sums at the end of that text are not cut.
MAX_REASON_CHARS = 1500


class RejectionHandler:
    """Handles and records the rejections on one stream.

    Attributes:
        seq_ranges: For each rejected response, the range of sequence numbers of the changes that it may contain.
        reasons: The client's error text, by name of the resource whose version it rejected.
        new_versions: Versions that were rejected since the session manager last read this list.
        events: Events for the log.
    """

    def __init__(self, events: list[SessionEvent]) -> None:
        """Create a handler without rejections.

        Args:
            events: Event list of the stream, to which this handler appends.
        """
        self.seq_ranges: list[SeqRange] = []
        self.reasons: dict[str, str] = {}
        self.new_versions: list[RejectedVersion] = []
        self.events = events

    def accept(self, versions: dict[str, str]) -> None:
        """Remove the rejection reasons of resources that the client has now accepted."""
        for name in versions:
            self.reasons.pop(name, None)

    def reject(self, watch: ResourceWatch, response: InFlightResponse, error_text: str) -> None:
        """Process the rejection of a response.

        Args:
            watch: Subscription to the response's resource type.
            response: The rejected response.
            error_text: The error text that the client sent.
        """
        reason = error_text[:MAX_REASON_CHARS]
        self.seq_ranges.append(SeqRange(response.covered.first_seq, response.published_seq))
        watch.revert(response.versions)
        range_sums = root_statement.mismatch_range_sums(reason)
        if range_sums is not None:
            self._repair_mismatch(watch, range_sums, reason)
        elif len(response.versions) > 1:
            self._split(watch, response, reason)
        else:
            self._reject_versions(watch, response, reason)

    def _split(self, watch: ResourceWatch, response: InFlightResponse, reason: str) -> None:
        """Schedule new responses for the resources whose rejected version is still published.

        Each response contains half of these resources. A half without resources is not sent.
        """
        names = [name for name, version in response.versions.items() if watch.published_version(name) == version]
        middle = (len(names) + 1) // 2
        watch.isolated_batches.extend(half for half in (names[:middle], names[middle:]) if half)
        self._report(SessionEventKind.RESPONSE_SPLIT, watch, reason=reason, resource_count=len(response.versions))

    def _reject_versions(self, watch: ResourceWatch, response: InFlightResponse, reason: str) -> None:
        """Record the version of the only resource in the response as rejected, so that it is not sent again."""
        for name, version in response.versions.items():
            watch.rejected[name] = version
            self.reasons[name] = reason
            self.new_versions.append(RejectedVersion(name, version))
            self._report(SessionEventKind.RESOURCE_REJECTED, watch, resource=name, version=version, reason=reason)

    def _repair_mismatch(self, watch: ResourceWatch, range_sums: str, reason: str) -> None:
        """Schedule the replacement of the ranges in which the client's state differs from the published state.

        All ranges are replaced if the client's range sums cannot be parsed or show no difference, or if the client has
        accepted no response since the previous repair was scheduled. If a replacement is scheduled but not sent yet,
        only its ranges change; the further mismatch is neither counted nor logged.
        """
        target = self._target_versions(watch)
        try:
            ranges = Digest(target).differing_ranges(range_sums)
        except ValueError:
            ranges = []
        if not ranges or watch.repairs:
            ranges = list(range(RANGE_COUNT))
        if watch.ranges_to_replace is None:
            watch.repairs += 1
            summary = reason.partition(";")[0]
            self._report(SessionEventKind.ROOTS_DIFFER, watch, reason=summary, range_count=len(ranges))
        watch.ranges_to_replace = ranges
        differing = set(ranges)
        watch.reset({name: version for name, version in target.items() if range_of(name) not in differing})

    @staticmethod
    def _target_versions(watch: ResourceWatch) -> dict[str, str]:
        """Return the published version of each resource that the client subscribes to, by name."""
        versions = {}
        for name in watch.catalogue.by_type[watch.type_url]:
            version = watch.published_version(name)
            if version and watch.wants(name):
                versions[name] = version
        return versions

    def _report(self, kind: SessionEventKind, watch: ResourceWatch, **fields: str | int) -> None:
        self.events.append(SessionEvent(kind, SHORT_NAMES[watch.type_url], fields))
