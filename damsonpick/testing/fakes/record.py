"""Writes the records of a scenario: what passed on the sockets, as one JSON object per line.

The rule checker reads nothing but these records. Each record has the keys `t`, the time in ns of the scenario's clock,
and `e`, the kind of event. The kinds and their further keys are defined in `damsonpick.testing.rules.records` and
`damsonpick.testing.scenarios.outcome`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any


class Recorder:
    """Appends records to a file. Each line is flushed, so a killed process loses no record."""

    def __init__(self, path: Path, now: Callable[[], int]) -> None:
        """Open the file.

        Args:
            path: File to which the records are appended.
            now: Returns the current time of the scenario, in ns.
        """
        self._file = path.open("a", encoding="utf-8", buffering=1)
        self._now = now

    def put(self, event: str, **details: Any) -> None:
        """Append a record of an event at the current time."""
        record = {"t": self._now(), "e": event, **details}
        self._file.write(json.dumps(record, separators=(",", ":")) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
