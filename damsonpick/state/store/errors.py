"""Errors of the store. Each message names the file, the fault and the remedy."""

from __future__ import annotations

from pathlib import Path


class StoreError(Exception):
    """Base class of errors that prevent the use of the store.

    Attributes:
        path: File of the database.
    """

    def __init__(self, path: Path, reason: str) -> None:
        """Create the error from the file and the reason why it cannot be used."""
        super().__init__(f"{path}: {reason}")
        self.path = path


class StoreUnusableError(StoreError):
    """Raised if the database cannot be opened or is damaged; the operator must repair or move the file."""

    def __init__(self, path: Path, cause: Exception | str) -> None:
        """Create the error from the file and the fault found by SQLite, the operating system or the page check."""
        super().__init__(
            path,
            f"the store cannot be opened ({cause}); check the folder, its permissions and the free space, or "
            "move the file away to start with empty tables",
        )


class StoreMismatchError(StoreError):
    """Raised if the store was written with another number of slices or another version of the schema."""

    def __init__(self, path: Path, key: str, stored: str, expected: int) -> None:
        """Create the error from the file, the key, and its stored and expected value."""
        super().__init__(
            path,
            f"the store was written with {key} {stored}, the settings say {expected}; "
            "restore the setting, or move the file away to start with empty tables",
        )
        self.key = key
        self.stored = stored
        self.expected = expected


class GatewayLimitError(Exception):
    """So many node ids are known that no number is left for a new one.

    Attributes:
        limit: Most node ids that are known.
    """

    def __init__(self, limit: int) -> None:
        """Build the message that states the limit."""
        super().__init__(f"{limit} node ids are known already; let gateways keep their ids when they restart")
        self.limit = limit
