"""The interface that the session manager requires of a session of any protocol. This module defines types only.

A session accepts changes by unit and reports what its peer has acknowledged. All protocols share the published state,
the send order, the send budget and the events that the planner receives.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol


class CoveredChanges(NamedTuple):
    """The changes that a message delivers to a client.

    Attributes:
        first_seq: Sequence number of the change that was queued first, or 0 if the message answers a request of the
            client.
        ordered_at: Time in ns at which the first of the changes was queued.
        entries: Number of entries that changed.
    """

    first_seq: int
    ordered_at: int
    entries: int


class SeqRange(NamedTuple):
    """A range of changes by sequence number, including both ends."""

    first: int
    last: int


class RejectedVersion(NamedTuple):
    """A version of a unit that a peer has rejected."""

    unit: str
    version: str


class Session(Protocol):
    """The session of one peer on one stream.

    Attributes:
        variant: Name of the protocol.
        node: Name of the peer.
        zone: Zone of the peer.
        fresh: Whether the peer has no state from earlier streams.
        verifies_roots: Whether the peer itself checks the root of the state that it has.
        rejected_ranges: Changes in messages that the peer rejected.
        rejections: Error text of the peer for each rejected unit, by unit.
        newly_rejected: Versions that were rejected since the session manager last processed this list.
    """

    variant: str
    node: str
    zone: str
    fresh: bool
    verifies_roots: bool
    rejected_ranges: list[SeqRange]
    rejections: dict[str, str]
    newly_rejected: list[RejectedVersion]

    def subscribes_to(self, unit: str) -> bool:
        """Return whether the peer subscribes to a unit."""

    def enqueue(self, units: Iterable[str], covered: CoveredChanges) -> None:
        """Queue changed units that may be sent now."""

    def ready(self) -> bool:
        """Return whether the session accepts another message now."""

    def oldest_unacknowledged(self) -> int:
        """Return the lowest sequence number that the peer has not acknowledged.

        If there is none, the result is higher than every sequence number.
        """

    def unacknowledged_messages(self) -> int:
        """Return the number of messages that were sent but not acknowledged."""

    def acknowledged_versions(self) -> dict[str, str]:
        """Return the versions that the peer has acknowledged, by unit. Empty if the protocol does not report them."""

    def acknowledged_at(self) -> int:
        """Return the time in ns at which the peer last acknowledged a message, or 0 if it never did."""

    def state_counts(self) -> dict[str, int]:
        """Return the amount of state that the peer has, by kind, for operators."""
