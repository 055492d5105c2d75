"""Errors of the version history. Each message names the failed operation or invalid input, and the remedy."""

from __future__ import annotations

from pathlib import Path


class HistoryError(Exception):
    """Base class of errors of the version history."""


class HistoryDatabaseError(HistoryError):
    """Raised if the history database cannot be opened; the operator must repair or move the file."""

    def __init__(self, path: Path, cause: Exception) -> None:
        """Create the error from the file and the exception of SQLite or the operating system."""
        super().__init__(
            f"{path}: the history cannot be opened ({cause}); check the folder, its permissions and the free space, "
            "or move the file away to start a new history"
        )
        self.path = path


class UnknownVersionError(HistoryError, ValueError):
    """Raised if a requested version is not in the history."""

    def __init__(self, name: str, lowest: int, highest: int) -> None:
        """Create the error from the requested name and the range of version numbers in the history."""
        super().__init__(f"version {name} is not kept; there are {lowest} to {highest}, selected by number or by root")
        self.name = name


class GenerationMismatchError(HistoryError, ValueError):
    """Raised if the pin has changed since the operator read its generation; the operator must check it again."""

    def __init__(self, expected: int, actual: int) -> None:
        """Create the error from the generation that the operator expected and the present generation."""
        super().__init__(
            f"the pin has been changed meanwhile (generation {actual}, expected {expected}); check `versions list`"
        )
        self.expected = expected
        self.actual = actual


class SoleOwnerRollbackError(HistoryError, ValueError):
    """Raised if a rollback would change sole owners of slices at once, while the present ones may still have writes."""

    def __init__(self, slice_count: int) -> None:
        """Create the error from the number of slices whose owner would change."""
        super().__init__(
            f"[tables] sole_owner: the rollback would give {slice_count} slices to other servers while the present "
            "ones may still have writes; it changed nothing. `versions pin` keeps the tables as they are"
        )
        self.slice_count = slice_count


class RangeSumsError(HistoryError, ValueError):
    """Raised if a text has the wrong length to be the range sums of a digest."""

    def __init__(self, expected_digits: int, actual_digits: int) -> None:
        """Create the error from the required number of hex digits and the number found."""
        super().__init__(f"range sums must have {expected_digits} hex digits, not {actual_digits}")
