"""The process's one clock: wall time at the start, monotonic from then on.

Setting the machine's wall clock, forward or back, does not move it. With a rate other than 1 (rehearsals) all
processes of one machine still agree, as time is stretched about a fixed moment.
"""

from __future__ import annotations

import time
from typing import NamedTuple

STRETCH_ORIGIN_NS = 1_767_225_600_000_000_000  # 2026-01-01 00:00 UTC, where stretched and true time meet
MAX_ORIGIN_READS = 20
MAX_ORIGIN_GAP_NS = 5_000  # between the reads round one of the wall clock, if the process is not held up


class ClockOrigin(NamedTuple):
    """One moment on both clocks of the machine, ns."""

    wall_ns: int
    monotonic_ns: int


def read_clock_origin() -> ClockOrigin:
    """Read both clocks at one moment.

    A process may be held up between two reads, for milliseconds beside load; its clock would then be behind those of
    all other processes for good. The wall clock is read between two reads of the monotonic one, and of a few attempts
    the one in which these were closest counts: the error is at most half the time between them.
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
    """Nanoseconds since 1970 that never go back.

    Args:
        rate: nanoseconds of this clock in one true nanosecond.
        origin: read by another process of this machine, so that both clocks are the same; None: read now.
    """

    def __init__(self, rate: float = 1.0, origin: ClockOrigin | None = None) -> None:
        """Read the wall clock, this once, unless an origin is given."""
        self.rate = rate
        self.origin = origin or read_clock_origin()

    def now(self) -> int:
        """The present time, ns."""
        true_ns = self.origin.wall_ns - STRETCH_ORIGIN_NS + time.monotonic_ns() - self.origin.monotonic_ns
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
