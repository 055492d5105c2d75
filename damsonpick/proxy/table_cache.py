"""A cache of the last good tables on disk, so that a proxy starts and serves while no pilot answers.

One file: a checksum line (XXH3 of what follows) and JSON of the serialized resources. It is written beside and
renamed, after fsync of file and folder: a reader finds the old or the new, never half of one.
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
    """The file is not what was written; it is left where it is. The text names file, reason and consequence."""


def save(path: Path, bodies: dict[str, dict[str, tuple[str, bytes]]]) -> None:
    """Write all resources: type to name to (version, body)."""
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
    """Apply the resources of a file; returns how many resources there were, 0 if there is no file.

    Raises:
        TableCacheError: checksum, form or a resource is wrong; nothing is taken.
    """
    try:
        checksum, _, text = path.read_bytes().partition(b"\n")
    except FileNotFoundError:
        return 0
    if xxhash.xxh3_64_hexdigest(text).encode() != checksum:
        raise TableCacheError(f"{path}: the checksum is wrong; the proxy starts without tables and asks the pilots")
    try:
        kept = json.loads(text)
        if kept["format"] != FORMAT:
            raise TableCacheError(f"{path}: format {kept['format']}, this program reads {FORMAT}")
        found = {
            kind: [ReceivedResource(name, version, base64.b64decode(body)) for name, (version, body) in rows.items()]
            for kind, rows in kept["types"].items()
        }
        trial = ReceivedState()
        for kind, rows in found.items():
            trial.apply(kind, rows, [])
    except TableCacheError:
        raise
    except Exception as error:
        raise TableCacheError(f"{path}: cannot be read ({error!r}); the proxy starts without tables") from None
    for kind, rows in found.items():
        received_state.apply(kind, rows, [])
    return sum(map(len, found.values()))
