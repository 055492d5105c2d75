"""Errors of learned state. Each message names the failed operation, the file or folder, and the remedy."""

from __future__ import annotations

from pathlib import Path


class LearnedStateError(Exception):
    """Base class of errors of learned state and the state folder."""


class LockError(LearnedStateError):
    """Base class of errors that prevent locking a state folder."""


class FolderUnusableError(LockError):
    """Raised if a state folder cannot be created or written."""

    def __init__(self, folder: Path, cause: OSError) -> None:
        """Create the error from the folder and the exception of the operating system."""
        super().__init__(
            f"{folder}: the state folder cannot be used ({cause}); check the folder, its permissions and the free "
            "space, or set another folder in [pilot] state"
        )
        self.folder = folder


class FolderLockedError(LockError):
    """Raised if another process holds the lock of a state folder."""

    def __init__(self, path: Path, holder: str) -> None:
        """Create the error from the lock file and the id of the process that holds it; `holder` is empty if unknown."""
        super().__init__(
            f"{path}: another pilot (process {holder or 'unknown'}) uses this folder; stop it, "
            "or give this pilot a [pilot] state of its own"
        )
        self.path = path
        self.holder = holder


class SnapshotError(LearnedStateError, ValueError):
    """Base class of errors of bytes that this program cannot read as a snapshot."""


class SnapshotCorruptError(SnapshotError):
    """Raised if a snapshot is damaged."""

    def __init__(self, part: str, reason: str) -> None:
        """Create the error from the wrong part (header, length, checksum, format or content) and the reason."""
        super().__init__(reason)
        self.part = part


class SnapshotFormatError(SnapshotError):
    """Raised if an undamaged snapshot has a newer format than this program can read."""

    def __init__(self, found_format: int, newest_known: int) -> None:
        """Create the error from the format found and the newest format that can be read."""
        super().__init__(f"it has format {found_format}, but this program reads formats up to {newest_known}")
        self.found_format = found_format
