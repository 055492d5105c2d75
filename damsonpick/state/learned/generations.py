"""Two generations of a snapshot on disk: a power cut at any point leaves the previous or the new one. Over a `Disk`.

    write `current.part` and sync it; link `current`, if it is whole, as `previous.part`; rename `current.part` to
    `current`; rename `previous.part` to `previous`; sync the folder

A rename is atomic, and the new content is on disk before any rename. At every moment `current` and `previous` are two
different generations, so that damage to one leaves the other, whichever of the renames a power cut leaves; a reader
takes the newest whole one.
"""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple, Protocol

from damsonpick.state.learned import codec
from damsonpick.state.learned.errors import SnapshotCorruptError, SnapshotFormatError
from damsonpick.state.learned.snapshot import Snapshot

CURRENT = "current"
PREVIOUS = "previous"
CURRENT_PART = "current.part"
PREVIOUS_PART = "previous.part"


class Disk(Protocol):
    """The file operations that writing needs; a test's double stops at any of them."""

    def read(self, path: Path) -> bytes:
        """The content of a file."""

    def write(self, path: Path, data: bytes) -> None:
        """Create or replace a file, not yet synced."""

    def sync(self, path: Path) -> None:
        """Put a file's content on disk."""

    def link(self, old: Path, new: Path) -> None:
        """Give a file a second name."""

    def rename(self, old: Path, new: Path) -> None:
        """Replace `new` atomically."""

    def sync_folder(self, path: Path) -> None:
        """Put changes of names in a folder on disk."""


class LoadedSnapshot(NamedTuple):
    """What a folder held.

    Attributes:
        snapshot: the newest whole one; None: there is none.
        generation: the file it came from, `CURRENT` or `PREVIOUS`; '': none.
        problems: files that were refused, and why.
        newer_format: a file of a newer program is there: nothing may be written over it.
    """

    snapshot: Snapshot | None
    generation: str
    problems: tuple[str, ...]
    newer_format: bool


NOTHING_LOADED = LoadedSnapshot(None, "", (), False)


def save(disk: Disk, folder: Path, data: bytes, rotate: bool) -> None:
    """Write a new generation.

    Args:
        disk: the file operations.
        folder: of the generations.
        data: the encoded snapshot.
        rotate: the present `current` is whole and becomes `previous`. One that was refused must not: until the new one
            is on disk, `previous` is all there is.

    Raises:
        OSError: the former generations are as they were.
    """
    part = folder / CURRENT_PART
    disk.write(part, data)
    disk.sync(part)
    if rotate:
        disk.link(folder / CURRENT, folder / PREVIOUS_PART)
    disk.rename(part, folder / CURRENT)
    if rotate:
        disk.rename(folder / PREVIOUS_PART, folder / PREVIOUS)
    disk.sync_folder(folder)


def remove(folder: Path) -> int:
    """Remove all generations; returns how many files there were."""
    candidates = [folder / name for name in (CURRENT, PREVIOUS, CURRENT_PART, PREVIOUS_PART)]
    files = [path for path in candidates if path.exists()]
    for path in files:
        path.unlink()
    return len(files)


def load(disk: Disk, folder: Path) -> LoadedSnapshot:
    """The newest whole generation, with what was wrong with the others."""
    newest: Snapshot | None = None
    generation = ""
    problems: list[str] = []
    newer_format = False
    for name in (CURRENT, PREVIOUS):
        path = folder / name
        try:
            snapshot = codec.decode(disk.read(path))
        except (FileNotFoundError, NotADirectoryError):
            continue
        except OSError as error:
            problems.append(f"{path}: cannot be read ({error})")
            continue
        except SnapshotFormatError as error:
            newer_format = True
            remedy = "use the newer program, or `damsonpick learned forget`"
            problems.append(f"{path}: {error}; it is left alone, and nothing is written: {remedy}")
            continue
        except SnapshotCorruptError as error:
            problems.append(f"{path}: {error}; it is not used")
            continue
        if newest is None or snapshot.sequence > newest.sequence:
            newest, generation = snapshot, name
    return LoadedSnapshot(newest, generation, tuple(problems), newer_format)
