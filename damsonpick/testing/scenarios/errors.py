"""Errors that end a scenario early."""

from __future__ import annotations

from pathlib import Path

LOG_TAIL_CHARACTERS = 800


class ScenarioError(RuntimeError):
    """Base class of the errors that end a scenario early."""


class ProcessError(ScenarioError):
    """Raised if a process of the scenario did not start or ended early.

    Attributes:
        problem: Description of the failure.
        log_tail: Last characters of the log, which several processes may share.
    """

    def __init__(self, problem: str, log: Path) -> None:
        """Create the error; the message contains the end of `log`."""
        self.problem = problem
        self.log_tail = log.read_text()[-LOG_TAIL_CHARACTERS:]
        super().__init__(f"{problem}; the log ends with: {self.log_tail}")
