"""What the hub asks of a session, whatever wire it speaks. Types only.

A front is a wire: its sessions take changes by unit and say how far their peer has come. What is published, in what
order, within which budget and what the module is told of it is common to all fronts.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple, Protocol


class Due(NamedTuple):
    """What a message answers for."""

    first: int  # the lowest change number it answers for
    ordered: int  # ns
    lines: int


class Session(Protocol):
    """One peer on one stream."""

    variant: str  # how its wire is called
    node: str  # who it is
    zone: str
    fresh: bool  # holds nothing of earlier streams
    roots: bool  # checks roots itself
    void: list[tuple[int, int]]  # changes that a rejected message answered for
    rejections: dict[str, str]  # unit: what the peer said of it
    refused: list[tuple[str, str]]  # (unit, version) newly refused

    def wants(self, unit: str) -> bool:
        """Whether a unit concerns it."""

    def change(self, units: Iterable[str], due: Due) -> None:
        """Units that changed and whose turn it is."""

    def ready(self) -> bool:
        """Whether it takes another message now."""

    def oldest(self) -> int:
        """The lowest change number that its peer has not answered for, or a number above all."""

    def unanswered(self) -> int:
        """Messages on their way."""

    def held(self) -> dict[str, str]:
        """Version by unit of what its peer has acknowledged; empty where the wire tells none."""

    def since(self) -> int:
        """ns: when its peer last acknowledged anything; 0: never."""

    def holds(self) -> dict[str, int]:
        """For people: how much it holds, by kind."""
