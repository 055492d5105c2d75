"""What the session manager asks of a session, whatever protocol it speaks. Types only.

A session takes changes by unit and reports how far its peer has come. What is published, in what order, within which
budget, and which events the planner receives of it is common to all protocols.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol


class CoveredChanges(NamedTuple):
    """The changes that a message brings to a client.

    Attributes:
        first_seq: the lowest sequence number among them; 0: the message answers a request of the client.
        ordered_at: ns; when the oldest of them was ordered.
        entries: how many entries they changed.
    """

    first_seq: int
    ordered_at: int
    entries: int


class SeqRange(NamedTuple):
    """Changes by their sequence numbers, both ends included."""

    first: int
    last: int


class RejectedVersion(NamedTuple):
    """A version of a unit that a peer would not take."""

    unit: str
    version: str


class Session(Protocol):
    """One peer on one stream.

    Attributes:
        variant: the name of its protocol.
        node: the name of the peer.
        zone: of the peer.
        fresh: the peer holds nothing from earlier streams.
        verifies_roots: the peer checks the root of what it holds itself.
        rejected_ranges: changes of messages that the peer rejected.
        rejections: why the peer rejected a unit, in its words, by unit.
        newly_rejected: versions rejected since the session manager last looked.
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
        """Whether a unit concerns the peer."""

    def enqueue(self, units: Iterable[str], covered: CoveredChanges) -> None:
        """Take units that have changed and may be sent now."""

    def ready(self) -> bool:
        """Whether it takes another message now."""

    def oldest_unacknowledged(self) -> int:
        """The lowest sequence number that the peer has not acknowledged, or a number above all."""

    def unacknowledged_messages(self) -> int:
        """Messages sent and not acknowledged."""

    def acknowledged_versions(self) -> dict[str, str]:
        """Versions that the peer has acknowledged, by unit; empty where the protocol tells none."""

    def acknowledged_at(self) -> int:
        """When the peer last acknowledged anything, ns; 0: never."""

    def held_counts(self) -> dict[str, int]:
        """How much the peer holds, by kind; for operators."""
