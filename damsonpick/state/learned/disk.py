"""The thin shell under knowledge: files, the machine's clocks, and the lock of a state folder."""

from __future__ import annotations

import fcntl
import os
import time
from pathlib import Path

from damsonpick.state.learned.snapshot import Moment

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")


class OsDisk:
    """The operating system's files."""

    def read(self, path: Path) -> bytes:
        return path.read_bytes()

    def write(self, path: Path, data: bytes) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        with path.open("wb") as file:
            file.write(data)

    def sync(self, path: Path) -> None:
        with path.open("rb+") as file:
            os.fsync(file.fileno())

    def link(self, old: Path, new: Path) -> None:
        """A second name for a file; what had that name goes. Where the file system has no links: a copy, synced."""
        new.unlink(missing_ok=True)
        try:
            os.link(old, new)
        except OSError:
            self.write(new, self.read(old))
            self.sync(new)

    def rename(self, old: Path, new: Path) -> None:
        os.replace(old, new)

    def sync_folder(self, path: Path) -> None:
        folder = os.open(path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def moment() -> Moment:
    """Now, by both clocks."""
    try:
        boot, up = BOOT_ID.read_text().strip(), time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    except (OSError, AttributeError):
        boot, up = "", 0
    return Moment(max(0, time.time_ns()), boot, up)


class LockError(Exception):
    """Another process has the folder; the text names it and the remedy."""


class FolderLock:
    """One pilot on a state folder. The kernel gives the lock up when its process ends, however it ends."""

    def __init__(self, folder: Path) -> None:
        self.path = folder / "lock"
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.file = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o644)
        except OSError as error:
            raise LockError(
                f"{folder}: the state folder cannot be used ({error}); check folder, rights and space, or "
                "name another in [pilot] state"
            ) from None
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            other = os.read(self.file, 32).decode(errors="replace").strip()
            os.close(self.file)
            raise LockError(
                f"{self.path}: another pilot (process {other or 'unknown'}) works on this folder; end it, "
                "or give this one a [pilot] state of its own"
            ) from None
        os.ftruncate(self.file, 0)
        os.write(self.file, f"{os.getpid()}\n".encode())

    def release(self) -> None:
        os.close(self.file)
