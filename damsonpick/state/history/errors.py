"""Errors of the history: what was asked for or failed, and the remedy."""

from __future__ import annotations

from pathlib import Path


class HistoryError(Exception):
    """The history cannot do what was asked."""


class HistoryDatabaseError(HistoryError):
    """The database of the history cannot be opened."""

    def __init__(self, path: Path, cause: Exception) -> None:
        """Name the file and what SQLite or the operating system says."""
        super().__init__(
            f"{path}: the history cannot be opened ({cause}); check folder, rights and space, "
            "or move the file away to begin a new one"
        )
        self.path = path


class UnknownVersionError(HistoryError, ValueError):
    """No such version is kept."""

    def __init__(self, name: str, lowest: int, highest: int) -> None:
        """Name what was asked for, and the numbers that are kept."""
        super().__init__(f"version {name}: not kept; there are {lowest} to {highest}, by number or by root")
        self.name = name


class GenerationMismatchError(HistoryError, ValueError):
    """Somebody else has changed the pin since the operator looked."""

    def __init__(self, expected: int, actual: int) -> None:
        """Name the generation that the operator saw, and the present one."""
        super().__init__(
            f"somebody else acted meanwhile (act {actual}, not {expected}); look at `versions list` and decide anew"
        )
        self.expected = expected
        self.actual = actual


class RangeSumsError(HistoryError, ValueError):
    """A text is not the range sums of a digest."""

    def __init__(self, expected_digits: int, actual_digits: int) -> None:
        """Name the number of hex digits that there must be, and that there are."""
        super().__init__(f"ranges have {expected_digits} hex digits, not {actual_digits}")
