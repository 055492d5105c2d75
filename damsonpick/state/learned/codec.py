"""Encodes a snapshot as a header with format, length and checksum, followed by a MessagePack body. Sans I/O.

    8 bytes  magic            2 bytes  format        2 bytes  reserved, zero
    4 bytes  length of body  16 bytes  XXH3 (128 bits) over the header before it and the body

Every changed bit is detected: in the header by magic, format, length or checksum, in the body by the checksum. A file
of an older format is migrated. A file of a newer format is rejected and not modified. The keys of the body are defined
in `snapshot.STORED_KEYS`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

import msgspec
import xxhash

from damsonpick.state.learned.errors import SnapshotCorruptError, SnapshotFormatError
from damsonpick.state.learned.snapshot import FORMAT, PreEncodedSnapshot, Snapshot

MAGIC = b"DAMSONKN"
HEADER = struct.Struct(">8sHHI")
CHECKSUM_BYTES = 16
MAX_BODY_BYTES = 64_000_000  # a file with a longer body is rejected as corrupt

RawSnapshot = dict[str, Any]  # decoded body before its types are checked, by stored key


def _migrate_1_to_2(raw: RawSnapshot) -> RawSnapshot:
    """Add 0 (unknown) for the times that format 1 lacks: clock, last confirmation of the list, and last successes."""
    return raw | {"clock": 0, "vouched": 0, "servers": [[*row, 0] for row in raw["servers"]]}


# Migrations to the next format, by format.
MIGRATIONS: dict[int, Callable[[RawSnapshot], RawSnapshot]] = {1: _migrate_1_to_2}


def encode(snapshot: Snapshot | PreEncodedSnapshot) -> bytes:
    """Return the bytes of a snapshot, in the present format."""
    body = msgspec.msgpack.encode(snapshot)
    header = HEADER.pack(MAGIC, FORMAT, 0, len(body))
    return header + xxhash.xxh3_128_digest(header + body) + body


def decode(data: bytes) -> Snapshot:
    """Return the snapshot in the bytes of a file.

    Raises:
        SnapshotCorruptError: A bit differs, the data are truncated, the format never existed, or a value is invalid.
        SnapshotFormatError: The file is undamaged, but its format is newer than those that this program can read.
    """
    found_format, body = _checked_body(data)
    if found_format > FORMAT:
        raise SnapshotFormatError(found_format, FORMAT)
    try:
        snapshot = _parse_body(found_format, body)
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        raise SnapshotCorruptError("content", f"its content does not match format {found_format}: {error}") from None
    _check_slices(snapshot)
    return snapshot


def _checked_body(data: bytes) -> tuple[int, bytes]:
    """Check header and checksum of a file; return its format and body."""
    if len(data) < HEADER.size + CHECKSUM_BYTES:
        raise SnapshotCorruptError("header", f"it has {len(data)} bytes, fewer than a header")
    magic, found_format, reserved, length = HEADER.unpack_from(data)
    body = data[HEADER.size + CHECKSUM_BYTES :]
    if magic != MAGIC or reserved:
        raise SnapshotCorruptError(
            "header", "its header lacks the magic bytes of a snapshot, or the reserved field is not zero"
        )
    if length != len(body) or length > MAX_BODY_BYTES:
        raise SnapshotCorruptError(
            "length",
            f"the header states a body of {length} bytes, there are {len(body)}: they differ or exceed the limit",
        )
    stated_checksum = data[HEADER.size : HEADER.size + CHECKSUM_BYTES]
    if xxhash.xxh3_128_digest(data[: HEADER.size] + body) != stated_checksum:
        raise SnapshotCorruptError("checksum", "the checksum is wrong")
    return found_format, body


def _parse_body(found_format: int, body: bytes) -> Snapshot:
    if found_format == FORMAT:
        return msgspec.msgpack.decode(body, type=Snapshot)
    return msgspec.convert(_migrate(found_format, msgspec.msgpack.decode(body)), Snapshot)


def _migrate(found_format: int, raw: RawSnapshot) -> RawSnapshot:
    for step in range(found_format, FORMAT):
        if step not in MIGRATIONS:
            raise SnapshotCorruptError("format", f"format {step} was never written by any release")
        raw = MIGRATIONS[step](raw)
    return raw


def _check_slices(snapshot: Snapshot) -> None:
    """Check that the slices match the classes and the number of slices in the snapshot itself."""
    for learned in snapshot.slices:
        if len(learned.rates) != len(snapshot.classes) or learned.number >= snapshot.slice_count:
            raise SnapshotCorruptError(
                "content",
                f"slice {learned.number} has {len(learned.rates)} rates for {len(snapshot.classes)} classes, "
                f"and the snapshot has {snapshot.slice_count} slices",
            )
