"""Ownership of slices: the interface that several pilots can share."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class SliceLease(NamedTuple):
    """A slice that a pilot owns until its lease ends.

    Attributes:
        slice: its number.
        owner: name of the pilot.
        term: grows with every change of owner, so that a late write of a former one is recognized.
    """

    slice: int
    owner: str
    term: int


class LeaseStore(Protocol):
    """Slices are claimed by name; a slice whose lease another owner keeps alive is not given."""

    def claim(self, owner: str, now: int, duration_ns: int) -> list[SliceLease]:
        """Take all slices that are free or whose lease has ended, and renew the owner's; returns all that it has."""

    def renew(self, owner: str, now: int, duration_ns: int) -> list[SliceLease]:
        """Keep the owner's slices for another `duration_ns`; returns what it still has."""

    def release(self, owner: str) -> None:
        """Give all slices of an owner back, at an orderly end."""
