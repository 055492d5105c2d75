"""What follows from a client's rejection (NACK) of a response. Sans I/O.

A rejection says that something in a response is wrong, not what. The response is split in halves until the wrong
resource is alone in a response; that version is never sent again, and all others get through.

A client that checks roots rejects a response also when it holds something else than it should. Then the ranges of the
digest that differ are sent whole.
"""

from __future__ import annotations

from damsonpick.protocols.shared.session import RejectedVersion, SeqRange
from damsonpick.protocols.xds.names import SHORT_NAMES
from damsonpick.protocols.xds.resource_watch import InFlightResponse, ResourceWatch
from damsonpick.protocols.xds.session_events import SessionEvent, SessionEventKind
from damsonpick.state.history import root_statement
from damsonpick.state.history.digest import RANGE_COUNT, Digest, range_of

MAX_REASON_CHARS = 1500


class RejectionHandler:
    """Rejections on one stream.

    Attributes:
        seq_ranges: changes of rejected responses.
        reasons: the client's error text by resource whose version it rejected.
        new_versions: versions rejected since the session manager last looked.
        events: for the log.
    """

    def __init__(self, events: list[SessionEvent]) -> None:
        """Begin without rejections.

        Args:
            events: the stream's events, to which rejections add theirs.
        """
        self.seq_ranges: list[SeqRange] = []
        self.reasons: dict[str, str] = {}
        self.new_versions: list[RejectedVersion] = []
        self.events = events

    def accept(self, versions: dict[str, str]) -> None:
        """Forget the reasons of resources that the client has now accepted."""
        for name in versions:
            self.reasons.pop(name, None)

    def reject(self, watch: ResourceWatch, response: InFlightResponse, error_text: str) -> None:
        """Apply a rejection.

        Args:
            watch: of the response's type.
            response: the rejected response.
            error_text: the client's.
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
        """Send what is still published of a response again, in two halves."""
        names = [name for name, version in response.versions.items() if watch.published_version(name) == version]
        middle = (len(names) + 1) // 2
        watch.isolated_batches.extend(half for half in (names[:middle], names[middle:]) if half)
        self._report(SessionEventKind.RESPONSE_SPLIT, watch, reason=reason, resource_count=len(response.versions))

    def _reject_versions(self, watch: ResourceWatch, response: InFlightResponse, reason: str) -> None:
        """Stop sending the version of the only resource of a response."""
        for name, version in response.versions.items():
            watch.rejected[name] = version
            self.reasons[name] = reason
            self.new_versions.append(RejectedVersion(name, version))
            self._report(SessionEventKind.RESOURCE_REJECTED, watch, resource=name, version=version, reason=reason)

    def _repair_mismatch(self, watch: ResourceWatch, range_sums: str, reason: str) -> None:
        """Replace the ranges in which the client differs from what it should hold.

        If an earlier repair did not help, or the client's range sums cannot be read, all ranges are replaced.
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
        """The published versions of everything that the client subscribes to."""
        versions = {}
        for name in watch.catalogue.by_type[watch.type_url]:
            version = watch.published_version(name)
            if version and watch.wants(name):
                versions[name] = version
        return versions

    def _report(self, kind: SessionEventKind, watch: ResourceWatch, **fields: str | int) -> None:
        self.events.append(SessionEvent(kind, SHORT_NAMES[watch.type_url], fields))
