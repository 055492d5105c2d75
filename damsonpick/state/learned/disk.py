"""Operating system interface of learned state: files, the host's clocks, and the lock of a state folder."""

from __future__ import annotations

import fcntl
import os
import time
from pathlib import Path

from damsonpick.state.learned.errors import FolderLockedError, FolderUnusableError
from damsonpick.state.learned.snapshot import HostTime

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
MAX_PID_TEXT_BYTES = 32


class OsDisk:
    """File operations of the operating system (see `generations.Disk`)."""

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""
        return path.read_bytes()

    def write(self, path: Path, data: bytes) -> None:
        """Create or replace a file without syncing it; create its folder if necessary."""
        path.parent.mkdir(parents=True, exist_ok=True)
        with path.open("wb") as file:
            file.write(data)

    def sync(self, path: Path) -> None:
        """Flush the content of a file to disk."""
        with path.open("rb+") as file:
            os.fsync(file.fileno())

    def link(self, old: Path, new: Path) -> None:
        """Create the name `new` for the file `old`, or a synced copy of it if it cannot be linked.

        An existing file `new` is removed first.
        """
        new.unlink(missing_ok=True)
        try:
            os.link(old, new)
        except OSError:
            self.write(new, self.read(old))
            self.sync(new)

    def rename(self, old: Path, new: Path) -> None:
        """Rename `old` to `new` atomically. An existing file `new` is replaced."""
        os.replace(old, new)

    def sync_folder(self, path: Path) -> None:
        """Flush changes of names in a folder to disk."""
        folder = os.open(path, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


def host_time() -> HostTime:
    """Return the present time by the wall clock and, if the host provides them, its boot id and uptime."""
    try:
        boot_id = BOOT_ID_FILE.read_text().strip()
        uptime_ns = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
    except (OSError, AttributeError):
        boot_id, uptime_ns = "", 0
    return HostTime(max(0, time.time_ns()), boot_id, uptime_ns)


class FolderLock:
    """Exclusive lock of a state folder, held by the pilot that uses it.

    The kernel releases the lock when the process ends for any reason.
    """

    def __init__(self, folder: Path) -> None:
        """Lock a folder; create it if it does not exist.

        Raises:
            FolderUnusableError: The folder cannot be created or written.
            FolderLockedError: Another process holds the lock.
        """
        self.path = folder / "lock"
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self.file = os.open(self.path, os.O_RDWR | os.O_CREAT, 0o644)
        except OSError as error:
            raise FolderUnusableError(folder, error) from None
        try:
            fcntl.flock(self.file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            holder = os.read(self.file, MAX_PID_TEXT_BYTES).decode(errors="replace").strip()
            os.close(self.file)
            raise FolderLockedError(self.path, holder) from None
        os.ftruncate(self.file, 0)
        os.write(self.file, f"{os.getpid()}\n".encode())

    def release(self) -> None:
        """Release the lock, so that another process can lock the folder."""
        os.close(self.file)
