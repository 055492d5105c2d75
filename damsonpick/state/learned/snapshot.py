"""Types of the content of a snapshot of learned state.

Capacity factors are relative to the usual factor of the fleet (1). Rates are in requests per second, warmth is a share
from 0 to 1, and times are integer nanoseconds. Every bound is checked when a file is read, so that no value outside its
bounds reaches the planner.

The structs with `array_like=True` are stored as arrays in the order of their fields, and the snapshot itself as a map
whose keys are in `STORED_KEYS`. Neither the order nor the keys may change without a new `FORMAT`.
"""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

FORMAT = 2  # format of written files; the codec migrates older formats

CapacityFactor = Annotated[float, Meta(ge=0.01, le=100)]
RatePerSecond = Annotated[float, Meta(ge=0, le=1e9)]
Share = Annotated[float, Meta(ge=0, le=1)]
NonNegative = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=300)]

STORED_KEYS = {  # key in a file and in an export by field, for fields where they differ
    "taken_at": "at",
    "clock_at": "clock",
    "list_confirmed_at": "vouched",
    "slice_count": "slices",
    "endpoints": "servers",
    "slices": "pieces",
}


class HostTime(msgspec.Struct, array_like=True, frozen=True):
    """A point in time by two clocks of the host, which can be compared after a restart of the process.

    Attributes:
        wall_ns: Wall clock, ns since 1970; an operator or a time service may set it.
        boot_id: Identifies the boot of the host; empty if unknown.
        uptime_ns: Time since that boot, ns; it cannot be set.
    """

    wall_ns: NonNegative
    boot_id: Annotated[str, Meta(max_length=100)]
    uptime_ns: NonNegative


class LearnedEndpoint(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """State learned of one endpoint.

    Attributes:
        endpoint: Name of the endpoint.
        started: Clock time when the process that the state describes was started, ns; 0 if long ago.
        capacity_factor: Ratio of the learned capacity to the capacity that the endpoint list states.
        last_success_at: Clock time of its last successful response, ns; 0 if unknown.
    """

    endpoint: Name
    started: int
    capacity_factor: CapacityFactor
    last_success_at: NonNegative = 0


class LearnedSlice(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """State learned of one slice.

    Attributes:
        number: Number of the slice.
        rates: Requests per second by class.
        warmth: Pairs of an endpoint and its warmth.
    """

    number: Annotated[int, Meta(ge=0, le=65_535)]
    rates: tuple[RatePerSecond, ...]
    warmth: tuple[tuple[Name, Share], ...]


class LearnedFleet(msgspec.Struct, array_like=True, frozen=True):
    """State learned of the fleet.

    Attributes:
        best_throughput: Highest observed rate of successful responses, per second.
        throughput_per_capacity: Successful responses per second and unit of capacity.
    """

    best_throughput: RatePerSecond
    throughput_per_capacity: RatePerSecond


class Snapshot(msgspec.Struct, frozen=True, rename=STORED_KEYS):
    """All learned state of one pilot.

    Attributes:
        sequence: Incremented with each snapshot written.
        pilot: Name of the pilot that wrote the snapshot.
        taken_at: Time of the snapshot by the host's clocks.
        clock_at: Time of the snapshot by the pilot's clock, ns.
        list_confirmed_at: Time of the pilot's clock at which the active list source was reachable and so confirmed the
            endpoint list, ns; 0 if no source was active and reachable when the snapshot was taken, or if unknown.
        classes: Names of the request classes, in the order of `LearnedSlice.rates`.
        slice_count: Number of slices in the settings.
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
    """A snapshot to be written, with its slices already encoded. Its encoding has the same bytes as that of `Snapshot`.

    The slices are encoded early because thousands of small short-lived objects would trigger full runs of the garbage
    collector, which block the event loop.
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
