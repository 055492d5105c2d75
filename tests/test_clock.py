"""Tests of the clock of a process."""

from __future__ import annotations

import time

import pytest

from damsonpick.runtime import clock
from damsonpick.runtime.clock import Clock, ClockOrigin

MS = 1_000_000
WALL_NS = 1_800_000_000_000 * MS


class DelayedProcess:
    """A time module for a process that, as under load, is delayed by 5 ms after each of its first clock reads."""

    def __init__(self, delayed_reads: int) -> None:
        self.elapsed_ns, self.reads, self.delayed_reads = 0, 0, delayed_reads

    def read(self, offset_ns: int) -> int:
        self.reads += 1
        value = offset_ns + self.elapsed_ns
        self.elapsed_ns += 5 * MS if self.reads <= self.delayed_reads else 100
        return value

    def time_ns(self) -> int:
        return self.read(WALL_NS)

    def monotonic_ns(self) -> int:
        return self.read(0)


@pytest.mark.parametrize("delayed_reads", [1, 2, 3, 7])
def test_a_process_that_is_delayed_while_it_reads_the_clocks_agrees_with_others(delayed_reads, monkeypatch):
    """Regression: a server's clock was behind, and its record of a request's execution was dated before the sending.

    The rule checker then reported that the request "was sent again after it had run".
    """
    process = DelayedProcess(delayed_reads)
    monkeypatch.setattr(clock, "time", process)
    delayed_clock = Clock()
    assert abs(delayed_clock.now() - (WALL_NS + process.elapsed_ns)) < 1_000


def test_processes_that_share_an_origin_have_the_same_clock():
    first = Clock(3.0)
    second = Clock(3.0, ClockOrigin(*first.origin))
    before, between, after = first.now(), second.now(), first.now()
    assert before <= between <= after


def test_a_clock_gives_wall_time():
    assert abs(Clock().now() - time.time_ns()) < 1_000 * MS
