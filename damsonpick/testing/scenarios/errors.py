"""Errors of playing a scenario."""

from __future__ import annotations

from pathlib import Path

LOG_TAIL_CHARACTERS = 800


class ScenarioError(RuntimeError):
    """A scenario could not be played to its end."""


class ProcessError(ScenarioError):
    """A process of the scenario did not start, or ended early.

    Attributes:
        problem: what happened.
        log_tail: the end of the process's log.
    """

    def __init__(self, problem: str, log: Path) -> None:
        """Read the end of `log` into the message."""
        self.problem = problem
        self.log_tail = log.read_text()[-LOG_TAIL_CHARACTERS:]
        super().__init__(f"{problem}; the end of its log: {self.log_tail}")
