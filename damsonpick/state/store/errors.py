"""Errors of the store: the file, what is wrong, and the remedy."""

from __future__ import annotations

from pathlib import Path


class StoreError(Exception):
    """The store cannot be used.

    Attributes:
        path: of the database.
    """

    def __init__(self, path: Path, reason: str) -> None:
        """Name the file and why it cannot be used."""
        super().__init__(f"{path}: {reason}")
        self.path = path


class StoreUnusableError(StoreError):
    """The database cannot be opened, or it is damaged."""

    def __init__(self, path: Path, cause: Exception | str) -> None:
        """Name the file and what SQLite, the operating system or the check of the pages says."""
        super().__init__(
            path,
            f"the store cannot be opened ({cause}); check folder, rights and space, or "
            "move the file away to start with empty tables",
        )


class StoreMismatchError(StoreError):
    """The store was written under other settings, or by another version of the schema."""

    def __init__(self, path: Path, key: str, stored: str, expected: int) -> None:
        """Name the file and the key whose values differ."""
        super().__init__(
            path,
            f"the store was written with {key} {stored}, the settings say {expected}; "
            "keep the setting, or move the file away to start anew",
        )
        self.key = key
        self.stored = stored
        self.expected = expected
