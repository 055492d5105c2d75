"""What a snapshot of learned things holds. Types only.

Speeds are against the fleet's usual (1), rates in requests a second, warmth from 0 to 1, times in integer nanoseconds.
Every bound is checked when a file is read, so that nothing outside of it reaches the module.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

FORMAT = 2

Speed = Annotated[float, Meta(ge=0.01, le=100)]
Rate = Annotated[float, Meta(ge=0, le=1e9)]
Part = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0)]
Word = Annotated[str, Meta(min_length=1, max_length=300)]


class Moment(msgspec.Struct, array_like=True, frozen=True):
    """A time that outlives a process: the wall's, and the machine's since its start, which nobody sets."""

    wall: Count  # ns since 1970
    boot: Annotated[str, Meta(max_length=100)]  # which start of the machine; '' unknown
    up: Count  # ns since then


class Server(msgspec.Struct, array_like=True, frozen=True, gc=False):
    endpoint: Word
    started: int  # clock time of the process that this was learned of; 0: long ago
    speed: Speed
    answered: Count = 0  # clock time of its last good answer; 0: not known


class Piece(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """A slice."""

    number: Annotated[int, Meta(ge=0, le=65_535)]
    rates: tuple[Rate, ...]  # by class
    warmth: tuple[tuple[Word, Part], ...]  # by endpoint


class Fleet(msgspec.Struct, array_like=True, frozen=True):
    best: Rate  # answers a second seen at best
    pace: Rate  # of them for each unit of capacity


class Draft(msgspec.Struct, frozen=True):
    """A snapshot on its way to disk, its slices already encoded: thousands of small objects that live for a moment
    would set off full rounds of the garbage collector, and those stall the loop."""

    sequence: int
    pilot: str
    at: Moment
    clock: int
    vouched: int
    classes: tuple[str, ...]
    slices: int
    servers: tuple[Server, ...]
    pieces: list[msgspec.Raw]
    fleet: Fleet


class Snapshot(msgspec.Struct, frozen=True):
    sequence: Count  # grows with each one written
    pilot: Word
    at: Moment
    clock: Count  # the pilot's clock then
    vouched: Count  # its time when a source last stood by the list; 0: never
    classes: tuple[Word, ...]
    slices: Count
    servers: tuple[Server, ...]
    pieces: tuple[Piece, ...]
    fleet: Fleet
