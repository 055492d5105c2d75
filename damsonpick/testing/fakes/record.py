"""What passed on the sockets, one JSON object a line. The rule checker reads this and nothing else."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any


class Recorder:
    """Appends events with the day's clock. A file is flushed at each line: a killed process loses nothing."""

    def __init__(self, path: Path, now: Callable[[], int]) -> None:
        self.file = path.open("a", encoding="utf-8", buffering=1)
        self.now = now

    def put(self, event: str, **details: Any) -> None:
        self.file.write(json.dumps({"t": self.now(), "e": event, **details}, separators=(",", ":")) + "\n")

    def close(self) -> None:
        self.file.close()
