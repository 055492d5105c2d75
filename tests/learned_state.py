"""Builders of snapshots of learned state, shared by several test modules."""

from __future__ import annotations

import msgspec
import xxhash

from damsonpick.state.learned import codec
from damsonpick.state.learned.snapshot import HostTime, LearnedEndpoint, LearnedFleet, LearnedSlice, Snapshot


def snapshot(sequence=5, **changes):
    """Return a small snapshot; keyword arguments replace fields."""
    base = Snapshot(
        sequence,
        "pilot-0",
        HostTime(10**18, "boot", 10**12),
        0,
        0,
        ("cheap", "dear"),
        12,
        (LearnedEndpoint("p", 0, 0.5), LearnedEndpoint("q", 7, 1.25)),
        (LearnedSlice(0, (3.0, 4.5), (("p", 1.0), ("q", 0.25))), LearnedSlice(11, (0.0, 0.125), ())),
        LearnedFleet(120.0, 9.5),
    )
    return msgspec.structs.replace(base, **changes)


def with_format(data, stated_format):
    """Return the bytes of a snapshot with another format in the header and a correct checksum."""
    header = codec.HEADER.pack(codec.MAGIC, stated_format, 0, len(data) - codec.HEADER.size - codec.CHECKSUM_BYTES)
    body = data[codec.HEADER.size + codec.CHECKSUM_BYTES :]
    return header + xxhash.xxh3_128_digest(header + body) + body
