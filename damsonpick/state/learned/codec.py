"""A snapshot as bytes: a head with format, length and checksum, then MessagePack. Sans I/O.

    8 bytes  magic            2 bytes  format        2 bytes  nothing
    4 bytes  length of body  16 bytes  XXH3 (128 bits) over the head before it and the body

Any bit that differs is noticed: in the head by magic, format, length or checksum, in the body by the checksum. A file
of an older format is migrated, of a newer one refused and left alone.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

import msgspec
import xxhash

from damsonpick.state.learned.snapshot import FORMAT, Draft, Snapshot

MAGIC = b"DAMSONKN"
HEAD = struct.Struct(">8sHHI")
SUM = 16  # bytes
LARGEST = 64_000_000  # bytes of a body


def _second(raw: dict[str, Any]) -> dict[str, Any]:
    """Format 1 did not say when a server last answered, nor when the list was last stood by."""
    return raw | {"clock": 0, "vouched": 0, "servers": [[*row, 0] for row in raw["servers"]]}


MIGRATIONS: dict[int, Callable[[dict[str, Any]], dict[str, Any]]] = {1: _second}  # format: to the next one


class Damaged(ValueError):
    """Not what was written; the text says what is wrong."""


class Newer(ValueError):
    """Written by a newer program."""


def encode(snapshot: Snapshot | Draft) -> bytes:
    body = msgspec.msgpack.encode(snapshot)
    head = HEAD.pack(MAGIC, FORMAT, 0, len(body))
    return head + xxhash.xxh3_128_digest(head + body) + body


def decode(data: bytes) -> Snapshot:
    """The snapshot of a file.

    Raises:
        Damaged: a bit differs, something is cut off, or a figure is out of its bounds.
        Newer: the format is one that this program does not know, and the file is whole.
    """
    if len(data) < HEAD.size + SUM:
        raise Damaged(f"it has {len(data)} bytes, fewer than a head")
    magic, form, spare, length = HEAD.unpack_from(data)
    body = data[HEAD.size + SUM :]
    if magic != MAGIC or spare:
        raise Damaged("it does not begin as such a file does")
    if length != len(body) or length > LARGEST:
        raise Damaged(f"the head says {length} bytes, there are {len(body)}")
    if xxhash.xxh3_128_digest(data[: HEAD.size] + body) != data[HEAD.size : HEAD.size + SUM]:
        raise Damaged("the checksum is wrong")
    if form > FORMAT:
        raise Newer(f"it has format {form}, this program reads up to {FORMAT}")
    try:
        if form == FORMAT:
            return _checked(msgspec.msgpack.decode(body, type=Snapshot))
        return _checked(msgspec.convert(_migrated(form, msgspec.msgpack.decode(body)), Snapshot))
    except (msgspec.MsgspecError, KeyError, TypeError) as error:
        raise Damaged(f"its content is not of format {form}: {error}") from None


def _migrated(form: int, raw: Any) -> Any:
    while form < FORMAT:
        if form not in MIGRATIONS:
            raise Damaged(f"format {form} was never written")
        raw, form = MIGRATIONS[form](raw), form + 1
    return raw


def _checked(snapshot: Snapshot) -> Snapshot:
    for piece in snapshot.pieces:
        if len(piece.rates) != len(snapshot.classes) or piece.number >= snapshot.slices:
            raise Damaged(
                f"slice {piece.number} has {len(piece.rates)} rates for {len(snapshot.classes)} classes, "
                f"and there are {snapshot.slices} slices"
            )
    return snapshot
