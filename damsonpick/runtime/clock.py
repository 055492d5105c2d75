"""The pilot's one clock: wall time at the start, monotonic from then on.

A wall clock that is set, forward or back, does not move it. With a rate other than 1 (rehearsals) all
processes of one machine still agree, as time is stretched about a fixed moment.
"""

from __future__ import annotations

import time

ORIGIN = 1_767_225_600_000_000_000  # ns: 2026-01-01 00:00 UTC, where stretched and true time meet


class Clock:
    """Nanoseconds that never go back."""

    def __init__(self, rate: float = 1.0) -> None:
        self.rate = rate
        self._wall, self._start = time.time_ns() - ORIGIN, time.monotonic_ns()

    def now(self) -> int:
        return ORIGIN + int((self._wall + time.monotonic_ns() - self._start) * self.rate)

    def seconds(self, ns: int) -> float:
        """Real seconds to sleep for a duration of this clock."""
        return max(0, ns) / 1e9 / self.rate


class MonotonicReading:
    """A clock's reading that cannot go back, whatever it is handed: a step back stands still."""

    def __init__(self) -> None:
        self.last = 0
        self.steps_back = 0

    def take(self, now: int) -> int:
        self.steps_back += now < self.last
        self.last = max(self.last, now)
        return self.last
