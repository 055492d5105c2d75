"""What passed on the sockets, one JSON object a line. The rule checker reads this and nothing else.

Keys of each record: `t`, ns of the scenario's clock, and `e`, the kind of event. Kinds and their further keys stand in
`damsonpick.testing.rules.records` and `damsonpick.testing.scenarios.outcome`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any


class Recorder:
    """Appends records to a file, which is flushed at each line: a killed process loses nothing."""

    def __init__(self, path: Path, now: Callable[[], int]) -> None:
        """Open the file.

        Args:
            path: where the records go.
            now: gives the scenario's time, ns.
        """
        self._file = path.open("a", encoding="utf-8", buffering=1)
        self._now = now

    def put(self, event: str, **details: Any) -> None:
        """Append a record."""
        record = {"t": self._now(), "e": event, **details}
        self._file.write(json.dumps(record, separators=(",", ":")) + "\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
