"""A snapshot as bytes: a header with format, length and checksum, then MessagePack. Sans I/O.

    8 bytes  magic            2 bytes  format        2 bytes  reserved, zero
    4 bytes  length of body  16 bytes  XXH3 (128 bits) over the header before it and the body

Every changed bit is detected: in the header by magic, format, length or checksum, in the body by the checksum. A file
of an older format is migrated; a file of a newer one is refused and left alone. The keys of the body are in
`snapshot.STORED_KEYS`.
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
MAX_BODY_BYTES = 64_000_000

RawSnapshot = dict[str, Any]  # a decoded body before its types are checked, by stored keys


def _migrate_1_to_2(raw: RawSnapshot) -> RawSnapshot:
    """Format 1 held neither the endpoints' last successes nor when the list was last confirmed."""
    return raw | {"clock": 0, "vouched": 0, "servers": [[*row, 0] for row in raw["servers"]]}


MIGRATIONS: dict[int, Callable[[RawSnapshot], RawSnapshot]] = {1: _migrate_1_to_2}  # format: to the next one


def encode(snapshot: Snapshot | PreEncodedSnapshot) -> bytes:
    """The bytes of a snapshot, in the present format."""
    body = msgspec.msgpack.encode(snapshot)
    header = HEADER.pack(MAGIC, FORMAT, 0, len(body))
    return header + xxhash.xxh3_128_digest(header + body) + body


def decode(data: bytes) -> Snapshot:
    """The snapshot of a file.

    Raises:
        SnapshotCorruptError: a bit differs, something is cut off, or a figure is out of its bounds.
        SnapshotFormatError: the file is whole, and of a format that this program does not know.
    """
    found_format, body = _checked_body(data)
    if found_format > FORMAT:
        raise SnapshotFormatError(found_format, FORMAT)
    try:
        snapshot = _parse_body(found_format, body)
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        raise SnapshotCorruptError("content", f"its content is not of format {found_format}: {error}") from None
    _check_slices(snapshot)
    return snapshot


def _checked_body(data: bytes) -> tuple[int, bytes]:
    """Format and body of a file whose header and checksum are right."""
    if len(data) < HEADER.size + CHECKSUM_BYTES:
        raise SnapshotCorruptError("header", f"it has {len(data)} bytes, fewer than a header")
    magic, found_format, reserved, length = HEADER.unpack_from(data)
    body = data[HEADER.size + CHECKSUM_BYTES :]
    if magic != MAGIC or reserved:
        raise SnapshotCorruptError("header", "it does not begin with the magic bytes of a snapshot")
    if length != len(body) or length > MAX_BODY_BYTES:
        raise SnapshotCorruptError("length", f"the header says {length} bytes, there are {len(body)}")
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
            raise SnapshotCorruptError("format", f"format {step} was never written")
        raw = MIGRATIONS[step](raw)
    return raw


def _check_slices(snapshot: Snapshot) -> None:
    """Slices must fit the classes and the number of slices that the snapshot itself states."""
    for learned in snapshot.slices:
        if len(learned.rates) != len(snapshot.classes) or learned.number >= snapshot.slice_count:
            raise SnapshotCorruptError(
                "content",
                f"slice {learned.number} has {len(learned.rates)} rates for {len(snapshot.classes)} classes, "
                f"and there are {snapshot.slice_count} slices",
            )
