"""Who is in charge of which slice: the interface that several pilots can share."""

from __future__ import annotations

from typing import NamedTuple, Protocol


class Charge(NamedTuple):
    """A slice in somebody's charge. `term` grows with every change of hands, so a late write is known."""

    slice: int
    owner: str
    term: int


class Custody(Protocol):
    """Slices are claimed by name; a claim that another owner holds and keeps alive is not given."""

    def claim(self, owner: str, now: int, lease: int) -> list[Charge]:
        """All slices that `owner` is in charge of from now on, free and expired ones taken."""

    def renew(self, owner: str, now: int, lease: int) -> list[Charge]:
        """Keep what `owner` has for another `lease` ns; returns what it still has."""

    def release(self, owner: str) -> None:
        """Give all slices of `owner` back, at an orderly end."""
