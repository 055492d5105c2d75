"""Two generations of a snapshot on disk, so that a power cut at any point leaves the previous or the new one.

Generations are read and written through a `Disk`. A new generation is written in these steps:

    write `current.part` and sync it; link `current`, if it is undamaged, as `previous.part`; rename `current.part` to
    `current`; rename `previous.part` to `previous`; sync the folder

A rename is atomic, and the new content is on disk before any rename. At every moment, and whichever of the renames
survive a power cut, `current` and `previous` are two different generations. If one is damaged, the other remains. A
reader uses the newest undamaged generation.
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
    """File operations used to read and write generations. Tests use a disk that can fail at any operation."""

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""

    def write(self, path: Path, data: bytes) -> None:
        """Create or replace a file without syncing it."""

    def sync(self, path: Path) -> None:
        """Flush the content of a file to disk."""

    def link(self, old: Path, new: Path) -> None:
        """Create the second name `new` for the file `old`. An existing file `new` is replaced."""

    def rename(self, old: Path, new: Path) -> None:
        """Rename `old` to `new` atomically. An existing file `new` is replaced."""

    def sync_folder(self, path: Path) -> None:
        """Flush changes of names in a folder to disk."""


class LoadedSnapshot(NamedTuple):
    """Snapshot loaded from a folder.

    Attributes:
        snapshot: The newest undamaged snapshot, or None if there is none.
        generation: File that it was read from, `CURRENT` or `PREVIOUS`; empty if there is none.
        problems: Rejected files with the reasons, as text.
        newer_format: Whether a file of a newer program exists, which must not be overwritten.
    """

    snapshot: Snapshot | None
    generation: str
    problems: tuple[str, ...]
    newer_format: bool


NOTHING_LOADED = LoadedSnapshot(None, "", (), False)


def save(disk: Disk, folder: Path, data: bytes, rotate: bool) -> None:
    """Write a new generation.

    Args:
        disk: File operations.
        folder: Folder of the generations.
        data: Encoded snapshot.
        rotate: Whether the present `current` is undamaged and becomes `previous`. A rejected `current` must not replace
            `previous`, which is the only usable generation until the new one is on disk.

    Raises:
        OSError: An operation failed. Up to the first rename, the existing generations are unchanged. After the first
            rename, `current` is the new generation.
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
    """Remove all generations; return the number of removed files."""
    candidates = [folder / name for name in (CURRENT, PREVIOUS, CURRENT_PART, PREVIOUS_PART)]
    files = [path for path in candidates if path.exists()]
    for path in files:
        path.unlink()
    return len(files)


def load(disk: Disk, folder: Path) -> LoadedSnapshot:
    """Load the newest undamaged generation, and report the faults of the others."""
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
            remedy = "use the newer program, or run `damsonpick learned forget`"
            problems.append(f"{path}: {error}; it is left alone, and no snapshot is written: {remedy}")
            continue
        except SnapshotCorruptError as error:
            problems.append(f"{path}: {error}; this file is not used")
            continue
        if newest is None or snapshot.sequence > newest.sequence:
            newest, generation = snapshot, name
    return LoadedSnapshot(newest, generation, tuple(problems), newer_format)
