"""The content of a snapshot of learned state. Types only.

Capacity factors are relative to the fleet's usual (1), rates are in requests a second, warmth is a share from 0 to 1,
times are integer nanoseconds. Every bound is checked when a file is read, so that no figure outside of it reaches the
planner.

The structs with `array_like=True` are stored as arrays in the order of their fields, the snapshot itself as a map whose
keys are in `STORED_KEYS`. Neither the order nor the keys may change without a new `FORMAT`.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

FORMAT = 2  # of the files written; older ones are migrated by the codec

CapacityFactor = Annotated[float, Meta(ge=0.01, le=100)]
RatePerSecond = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
NonNegative = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=300)]

STORED_KEYS = {  # field: key in a file and in an export, where they differ
    "taken_at": "at",
    "clock_at": "clock",
    "list_confirmed_at": "vouched",
    "slice_count": "slices",
    "endpoints": "servers",
    "slices": "pieces",
}


class HostTime(msgspec.Struct, array_like=True, frozen=True):
    """A point in time by two clocks of the host, so that it can be compared after a restart of the process.

    Attributes:
        wall_ns: since 1970; an operator or a time service may set it.
        boot_id: identifies the boot of the host; '': not known.
        uptime_ns: since that boot; nobody sets it.
    """

    wall_ns: NonNegative
    boot_id: Annotated[str, Meta(max_length=100)]
    uptime_ns: NonNegative


class LearnedEndpoint(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What was learned of one endpoint.

    Attributes:
        endpoint: its name.
        started: clock time of the process that this was learned of; 0: long ago.
        capacity_factor: its capacity against what the list says.
        last_success_at: clock time of its last successful response; 0: not known.
    """

    endpoint: Name
    started: int
    capacity_factor: CapacityFactor
    last_success_at: NonNegative = 0


class LearnedSlice(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """What was learned of one slice.

    Attributes:
        number: of the slice.
        rates: requests a second by class.
        warmth: pairs of an endpoint and its warmth.
    """

    number: Annotated[int, Meta(ge=0, le=65_535)]
    rates: tuple[RatePerSecond, ...]
    warmth: tuple[tuple[Name, Share], ...]


class LearnedFleet(msgspec.Struct, array_like=True, frozen=True):
    """What was learned of the fleet.

    Attributes:
        best_throughput: the most successful responses a second that were seen.
        throughput_per_capacity: of them for each unit of capacity.
    """

    best_throughput: RatePerSecond
    throughput_per_capacity: RatePerSecond


class Snapshot(msgspec.Struct, frozen=True, rename=STORED_KEYS):
    """All learned state of one pilot.

    Attributes:
        sequence: grows with each snapshot written.
        pilot: name of the pilot that wrote it.
        taken_at: when, by the host's clocks.
        clock_at: when, by the pilot's clock.
        list_confirmed_at: the pilot's clock when a source last confirmed the endpoint list; 0: never.
        classes: names of the request classes, in the order of `LearnedSlice.rates`.
        slice_count: how many slices the settings had.
    """

    sequence: NonNegative
    pilot: Name
    taken_at: HostTime
    clock_at: NonNegative
    list_confirmed_at: NonNegative
    classes: tuple[Name, ...]
    slice_count: NonNegative
    endpoints: tuple[LearnedEndpoint, ...]
    slices: tuple[LearnedSlice, ...]
    fleet: LearnedFleet


class PreEncodedSnapshot(msgspec.Struct, frozen=True, rename=STORED_KEYS):
    """A snapshot on its way to disk, its slices already encoded. It is written as the same bytes as `Snapshot`.

    Thousands of small short-lived objects would set off full rounds of the garbage collector, which stall the loop.
    """

    sequence: int
    pilot: str
    taken_at: HostTime
    clock_at: int
    list_confirmed_at: int
    classes: tuple[str, ...]
    slice_count: int
    endpoints: tuple[LearnedEndpoint, ...]
    slices: list[msgspec.Raw]
    fleet: LearnedFleet
