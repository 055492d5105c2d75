"""How a snapshot gets to disk so that a cut at any point leaves the previous or the new one. Sans I/O: over a Disk.

    write `part`, sync it; link `current`, if it is whole; rename `part` to `current`;
    rename the link to `previous`; sync the folder

A rename is atomic, and the new text is on disk before any rename. At every moment `current` and `previous` are two
different generations, so that damage to one leaves the other, whatever subset of the changes of names a power cut
leaves; a reader takes the newest whole one.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple, Protocol

from damsonpick.state.learned import codec
from damsonpick.state.learned.snapshot import Snapshot

CURRENT, PREVIOUS, PART, LINK = "current", "previous", "current.part", "previous.part"


class Disk(Protocol):
    """The few calls that writing needs; a test's double stops at any of them."""

    def read(self, path: Path) -> bytes: ...
    def write(self, path: Path, data: bytes) -> None: ...
    def sync(self, path: Path) -> None: ...
    def link(self, old: Path, new: Path) -> None: ...
    def rename(self, old: Path, new: Path) -> None: ...
    def sync_folder(self, path: Path) -> None: ...


class Found(NamedTuple):
    """What a folder held."""

    snapshot: Snapshot | None
    which: str  # current, previous or ''
    wrong: tuple[str, ...]  # files that were refused, and why
    newer: bool  # a file of a newer program is there: nothing may be written over it


def save(disk: Disk, folder: Path, data: bytes, rotate: bool) -> None:
    """Write a new generation.

    Args:
        rotate: the present `current` is whole and becomes `previous`. One that was refused must not: until the new one
            stands, `previous` is all there is.

    Raises:
        OSError: the former generations are as they were.
    """
    part = folder / PART
    disk.write(part, data)
    disk.sync(part)
    if rotate:
        disk.link(folder / CURRENT, folder / LINK)
    disk.rename(part, folder / CURRENT)
    if rotate:
        disk.rename(folder / LINK, folder / PREVIOUS)
    disk.sync_folder(folder)


def remove(folder: Path) -> int:
    """Forget all generations; returns how many files there were."""
    files = [p for p in (folder / n for n in (CURRENT, PREVIOUS, PART, LINK)) if p.exists()]
    for path in files:
        path.unlink()
    return len(files)


def load(disk: Disk, folder: Path) -> Found:
    """The newest whole generation."""
    best: tuple[Snapshot, str] | None = None
    wrong: list[str] = []
    newer = False
    for which in (CURRENT, PREVIOUS):
        path = folder / which
        try:
            snapshot = codec.decode(disk.read(path))
        except (FileNotFoundError, NotADirectoryError):
            continue
        except OSError as error:
            wrong.append(f"{path}: cannot be read ({error})")
            continue
        except codec.Newer as error:
            newer = True
            wrong.append(
                f"{path}: {error}; it is left alone, and nothing is written: use the newer program, or "
                "`damsonpick knowledge forget`"
            )
            continue
        except codec.Damaged as error:
            wrong.append(f"{path}: {error}; it is not used")
            continue
        if best is None or snapshot.sequence > best[0].sequence:
            best = snapshot, which
    return Found(best[0] if best else None, best[1] if best else "", tuple(wrong), newer)
