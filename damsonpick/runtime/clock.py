"""The clock of the process. It reads the wall clock only at the start, and then follows the monotonic clock.

Setting the wall clock of the machine forward or back later does not affect it. With a rate other than 1, which
rehearsals use, the clocks of all processes with the same rate on one machine still agree, because time is scaled around
a fixed moment.
"""

from __future__ import annotations

import time
from typing import NamedTuple

SCALING_ORIGIN_NS = 1_767_225_600_000_000_000  # 2026-01-01 00:00 UTC, when scaled and true time are equal
MAX_ORIGIN_READS = 20  # attempts to read both clocks at the same moment
MAX_ORIGIN_GAP_NS = 5_000  # longest time between the two monotonic reads of an attempt if the process is not suspended


class ClockOrigin(NamedTuple):
    """The same moment on the wall clock and the monotonic clock of the machine, in nanoseconds."""

    wall_ns: int
    monotonic_ns: int


def read_clock_origin() -> ClockOrigin:
    """Read the wall clock and the monotonic clock at the same moment.

    The system may suspend the process between two reads, for milliseconds under load. The clock of the process would
    then be permanently behind or ahead of the clocks of all other processes, depending on between which reads the
    process was suspended. Therefore each attempt reads the wall clock between two reads of the monotonic clock, and the
    attempt with the shortest time between its two monotonic reads is used. The error is at most half of that time. No
    further attempt is made after an attempt with a time of at most `MAX_ORIGIN_GAP_NS`.
    """
    best_gap_ns: int | None = None
    origin = ClockOrigin(0, 0)
    for _ in range(MAX_ORIGIN_READS):
        before_ns = time.monotonic_ns()
        wall_ns = time.time_ns()
        gap_ns = time.monotonic_ns() - before_ns
        if best_gap_ns is None or gap_ns < best_gap_ns:
            best_gap_ns = gap_ns
            origin = ClockOrigin(wall_ns, before_ns + gap_ns // 2)
        if gap_ns <= MAX_ORIGIN_GAP_NS:
            break
    return origin


class Clock:
    """A clock that counts nanoseconds since 1970 and never goes back.

    Args:
        rate: Nanoseconds of this clock per true nanosecond.
        origin: Origin read by another process of this machine, so that both processes have the same clock. If None,
            the constructor reads the origin.
    """

    def __init__(self, rate: float = 1.0, origin: ClockOrigin | None = None) -> None:
        """Read the origin, unless it is passed."""
        self.rate = rate
        self.origin = origin or read_clock_origin()

    def now(self) -> int:
        """Return the current time in nanoseconds."""
        true_ns = self.origin.wall_ns - SCALING_ORIGIN_NS + time.monotonic_ns() - self.origin.monotonic_ns
        return SCALING_ORIGIN_NS + int(true_ns * self.rate)

    def seconds(self, ns: int) -> float:
        """Return the true seconds that a duration of `ns` nanoseconds of this clock takes, or 0 if `ns` is negative."""
        return max(0, ns) / 1e9 / self.rate


class MonotonicReading:
    """Turns a series of times into a series that never goes back: a lower time is replaced by the latest so far."""

    def __init__(self) -> None:
        """Initialize the latest time with 0."""
        self.latest = 0  # ns
        self.steps_back = 0  # number of received times that were lower than the latest

    def advance_to(self, now: int) -> int:
        """Record a time in nanoseconds and return the latest time so far."""
        if now < self.latest:
            self.steps_back += 1
        self.latest = max(self.latest, now)
        return self.latest
