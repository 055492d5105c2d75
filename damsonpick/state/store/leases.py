"""Ownership of slices by leases: the store interface that several pilots share."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class SliceLease(NamedTuple):
    """A slice that a pilot owns until the lease expires.

    Attributes:
        slice: Number of the slice.
        owner: Name of the pilot.
        term: Incremented at every change of owner, so that a late write of a previous owner is recognized.
    """

    slice: int
    owner: str
    term: int


class LeaseStore(Protocol):
    """Grants leases of slices to owners by name; a slice with an unexpired lease of another owner is not granted."""

    def claim(self, owner: str, now: int, duration_ns: int) -> list[SliceLease]:
        """Claim all slices without an unexpired lease, and renew the owner's leases; return all leases of the owner."""

    def renew(self, owner: str, now: int, duration_ns: int) -> list[SliceLease]:
        """Extend the owner's leases to `now` + `duration_ns`; return the leases that no other owner has claimed."""

    def release(self, owner: str) -> None:
        """Release all slices of an owner, at a graceful shutdown."""
