"""The process's one clock: wall time at the start, monotonic from then on.

Setting the machine's wall clock, forward or back, does not move it. With a rate other than 1 (rehearsals) all
processes of one machine still agree, as time is stretched about a fixed moment.
"""

from __future__ import annotations

import time

STRETCH_ORIGIN_NS = 1_767_225_600_000_000_000  # 2026-01-01 00:00 UTC, where stretched and true time meet


class Clock:
    """Nanoseconds since 1970 that never go back.

    Args:
        rate: nanoseconds of this clock in one true nanosecond.
    """

    def __init__(self, rate: float = 1.0) -> None:
        """Read the wall clock, this once."""
        self.rate = rate
        self._started_wall_ns = time.time_ns() - STRETCH_ORIGIN_NS
        self._started_monotonic_ns = time.monotonic_ns()

    def now(self) -> int:
        """The present time, ns."""
        true_ns = self._started_wall_ns + time.monotonic_ns() - self._started_monotonic_ns
        return STRETCH_ORIGIN_NS + int(true_ns * self.rate)

    def seconds(self, ns: int) -> float:
        """True seconds to sleep for a duration of this clock; 0 for a negative one."""
        return max(0, ns) / 1e9 / self.rate


class MonotonicReading:
    """The latest time that was handed in: one that goes back is replaced by the latest so far."""

    def __init__(self) -> None:
        """Start at 0."""
        self.latest = 0  # ns
        self.steps_back = 0  # how often a time was handed in that went back

    def advance_to(self, now: int) -> int:
        """Take in a time in ns; returns the latest so far."""
        if now < self.latest:
            self.steps_back += 1
        self.latest = max(self.latest, now)
        return self.latest
