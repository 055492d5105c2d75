"""Cache of the last accepted tables on disk, so that a proxy can start and serve while no pilot responds.

The cache is one file: a line with the XXH3 checksum of the rest, then the serialized resources as JSON. A new file is
written under a temporary name, synced and renamed, and the folder is synced. A reader therefore finds the old or the
new contents, never a part.
"""

from __future__ import annotations

import base64
import json
import os
from pathlib import Path

import xxhash

from damsonpick.proxy.received_resources import ReceivedResource
from damsonpick.proxy.received_state import ReceivedState

FORMAT = 1


class TableCacheError(Exception):
    """Raised when the file is damaged or has another format. The text names file and reason. The file is kept."""


def save(path: Path, bodies: dict[str, dict[str, tuple[str, bytes]]]) -> None:
    """Write all resources, given as (version, body) by type URL and name."""
    text = json.dumps(
        {
            "format": FORMAT,
            "types": {
                kind: {name: [version, base64.b64encode(body).decode()] for name, (version, body) in found.items()}
                for kind, found in bodies.items()
            },
        }
    ).encode()
    part = path.with_suffix(".part")
    with part.open("wb") as file:
        file.write(xxhash.xxh3_64_hexdigest(text).encode() + b"\n" + text)
        file.flush()
        os.fsync(file.fileno())
    part.replace(path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def load(path: Path, received_state: ReceivedState) -> int:
    """Apply the resources of a cache file. Return their number, or 0 if there is no file.

    Raises:
        TableCacheError: The checksum, the format or a resource is wrong. No resource is applied.
        OSError: The file exists but cannot be read.
    """
    try:
        checksum, _, text = path.read_bytes().partition(b"\n")
    except FileNotFoundError:
        return 0
    if xxhash.xxh3_64_hexdigest(text).encode() != checksum:
        raise TableCacheError(
            f"{path}: the checksum does not match; the proxy starts without tables and requests them from the pilots"
        )
    try:
        kept = json.loads(text)
        if kept["format"] != FORMAT:
            raise TableCacheError(f"{path}: has format {kept['format']}, but this program reads format {FORMAT}")
        found = {
            kind: [ReceivedResource(name, version, base64.b64decode(body)) for name, (version, body) in rows.items()]
            for kind, rows in kept["types"].items()
        }
        scratch_state = ReceivedState()
        for kind, rows in found.items():
            scratch_state.apply(kind, rows, [])
    except TableCacheError:
        raise
    except Exception as error:
        raise TableCacheError(f"{path}: cannot be read ({error!r}); the proxy starts without tables") from None
    for kind, rows in found.items():
        received_state.apply(kind, rows, [])
    return sum(map(len, found.values()))
