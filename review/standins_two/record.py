"""The record of a play: what was sent, answered and run, and each breach of a rule."""

from __future__ import annotations

import json
import time
from pathlib import Path
from typing import Any


class Record:
    """Writes one line for each event, with the seconds since the start of the play."""

    def __init__(self, path: Path | None) -> None:
        """Open the record; None keeps only the breaches."""
        self._file = path.open("w") if path is not None else None
        self._start = time.monotonic()
        self.breaches: dict[str, list[str]] = {}
        self.counts: dict[str, int] = {}

    def now(self) -> float:
        """Return the seconds since the start of the play."""
        return time.monotonic() - self._start

    def write(self, event: str, **details: Any) -> None:
        """Write one event."""
        self.counts[event] = self.counts.get(event, 0) + 1
        if self._file is not None:
            self._file.write(f"{self.now():9.3f} {event} {json.dumps(details, separators=(',', ':'))}\n")

    def breach(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.breaches.setdefault(rule, []).append(text)
        self.write("BREACH", rule=rule, text=text)

    def close(self) -> None:
        """Write the sums and close the file."""
        for event, count in sorted(self.counts.items()):
            self.write("sum", of=event, count=count)
        if self._file is not None:
            self._file.close()
