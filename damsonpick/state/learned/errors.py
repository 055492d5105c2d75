"""Errors of learned state: what failed, where, and the remedy."""

from __future__ import annotations

from pathlib import Path


class LearnedStateError(Exception):
    """Learned state, or the folder it is kept in, cannot be used."""


class LockError(LearnedStateError):
    """A state folder cannot be locked."""


class FolderUnusableError(LockError):
    """A state folder cannot be created or written."""

    def __init__(self, folder: Path, cause: OSError) -> None:
        """Name the folder and what the operating system says."""
        super().__init__(
            f"{folder}: the state folder cannot be used ({cause}); check folder, rights and space, or "
            "name another in [pilot] state"
        )
        self.folder = folder


class FolderLockedError(LockError):
    """Another process holds the lock of a state folder."""

    def __init__(self, path: Path, holder: str) -> None:
        """Name the lock file and the process that holds it ('': not known)."""
        super().__init__(
            f"{path}: another pilot (process {holder or 'unknown'}) works on this folder; end it, "
            "or give this one a [pilot] state of its own"
        )
        self.path = path
        self.holder = holder


class SnapshotError(LearnedStateError, ValueError):
    """Bytes that are no snapshot for this program."""


class SnapshotCorruptError(SnapshotError):
    """The bytes are not what was written."""

    def __init__(self, part: str, reason: str) -> None:
        """Name the part that is wrong (header, length, checksum, format or content), and how."""
        super().__init__(reason)
        self.part = part


class SnapshotFormatError(SnapshotError):
    """A whole snapshot of a newer program."""

    def __init__(self, found_format: int, newest_known: int) -> None:
        """Name the format that was found and the newest that can be read."""
        super().__init__(f"it has format {found_format}, this program reads up to {newest_known}")
        self.found_format = found_format
