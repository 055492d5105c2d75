"""What is wrong with a settings file, for the operator who has to correct it."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import NamedTuple


class Problem(NamedTuple):
    """One thing that is wrong."""

    section: str
    key: str  # '': the section itself
    value: str  # as written; '': none is
    remedy: str  # what is wrong with it and what to do

    def __str__(self) -> str:
        """One line: section, key, value and remedy."""
        place = f"[{self.section}]"
        if self.key:
            place += f" {self.key}"
        if self.value:
            place += f" = {self.value!r}"
        return f"{place}: {self.remedy}"


class SettingsError(Exception):
    """A settings file cannot be used; `problems` holds everything that is wrong with it."""

    def __init__(self, path: Path, problems: Sequence[Problem]) -> None:
        """The problems found in the file `path`."""
        self.path = path
        self.problems = list(problems)
        super().__init__("\n".join(f"{path}: {problem}" for problem in problems))
