"""The record of one run, and the verdict."""

from __future__ import annotations

import time
from collections import Counter
from pathlib import Path


class Record:
    """Writes timed lines to a file, counts events, and keeps broken rules."""

    def __init__(self, path: Path) -> None:
        """Open the file and set the time of the first line to 0."""
        self.file = path.open("w", buffering=1)
        self.origin = time.monotonic()
        self.counts: Counter[str] = Counter()
        self.broken: dict[str, list[str]] = {}

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.origin

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        if self.file.closed:
            return
        self.counts[event] += 1
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")

    def breach(self, rule: str, **fields: object) -> None:
        """Record that a rule was broken."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.broken.setdefault(rule, []).append(text)
        self.write("BROKEN", rule=rule, **fields)

    def close(self, rules: tuple[str, ...]) -> int:
        """Write the totals and return the exit code: 1 if one of the rules was broken."""
        for event, number in sorted(self.counts.items()):
            self.file.write(f"total {event}={number}\n")
        for rule, texts in self.broken.items():
            self.file.write(f"total broken {rule}={len(texts)}\n")
        judged = [rule for rule in self.broken if rule in rules]
        self.file.write(f"verdict {'broken: ' + ', '.join(judged) if judged else 'held'}\n")
        self.file.close()
        return 1 if judged else 0
