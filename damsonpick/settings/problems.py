"""Problems of a settings file, reported to the operator who has to correct it."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple


class Problem(NamedTuple):
    """One problem of a settings file."""

    section: str
    key: str  # empty if the problem concerns the section itself
    value: str  # as written in the file; empty if there is no value
    remedy: str  # what is wrong and how to correct it

    def __str__(self) -> str:
        """Return one line with section, key, value and remedy."""
        place = f"[{self.section}]"
        if self.key:
            place += f" {self.key}"
        if self.value:
            place += f" = {self.value!r}"
        return f"{place}: {self.remedy}"


class SettingsError(Exception):
    """Raised when a settings file cannot be used. `problems` holds all problems, which the operator must correct."""

    def __init__(self, path: Path, problems: Sequence[Problem]) -> None:
        """Build the message from the problems found in the file `path`, one line per problem."""
        self.path = path
        self.problems = list(problems)
        super().__init__("\n".join(f"{path}: {problem}" for problem in problems))
