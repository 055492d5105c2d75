"""Measures how late the event loop runs and how much CPU time the process used.

An event loop is late if the machine gives the process too little CPU time, or if one iteration of the loop does too
much work. Both figures together distinguish the two causes: with little CPU time used, the machine is overloaded; with
a whole core used, the process has too much work.
"""

from __future__ import annotations

import time
from typing import Any, NamedTuple

import anyio
from structlog.typing import FilteringBoundLogger

from damsonpick.time_units import MS_PER_SECOND

PROBE_PERIOD_S = 0.05  # length of the sleeps whose delay is measured
LOG_PERIOD_S = 10.0  # at most one log line is written per period
LAG_LIMIT_S = 0.25  # shorter lags are not logged


class LoopLoad(NamedTuple):
    """Lag and CPU time of a process over a period, in seconds.

    Attributes:
        longest_lag_s: Longest time by which the event loop was late.
        cpu_s: CPU time that the process used.
        wall_s: Length of the period.
    """

    longest_lag_s: float
    cpu_s: float
    wall_s: float

    def log_fields(self) -> dict[str, Any]:
        """Return the figures as fields of a log line."""
        return {
            "longest_lag_ms": round(self.longest_lag_s * MS_PER_SECOND),
            "cpu_s": round(self.cpu_s, 2),
            "wall_s": round(self.wall_s, 2),
        }


class LoopLagMonitor:
    """Measures the lag of the event loop that executes `run`, and the CPU time of the process.

    Args:
        log: Logger for the event `loop_lagged`. If None, nothing is logged.
    """

    def __init__(self, log: FilteringBoundLogger | None = None) -> None:
        """Record the wall time and the CPU time at which the monitor starts. `run` measures the lag."""
        self._log = log
        self._longest_lag_s = 0.0
        self._started_s = time.monotonic()
        self._started_cpu_s = time.process_time()

    def load(self) -> LoopLoad:
        """Return the longest lag that `run` has measured, and the CPU and wall time since the monitor was created."""
        return LoopLoad(
            self._longest_lag_s, time.process_time() - self._started_cpu_s, time.monotonic() - self._started_s
        )

    async def run(self) -> None:
        """Measure until cancelled. After each period, log its longest lag if this is at least `LAG_LIMIT_S`."""
        while True:
            await self._measure_period()

    async def _measure_period(self) -> None:
        longest_lag_s = 0.0
        began_s, began_cpu_s = time.monotonic(), time.process_time()
        while time.monotonic() - began_s < LOG_PERIOD_S:
            due_s = time.monotonic() + PROBE_PERIOD_S
            await anyio.sleep(PROBE_PERIOD_S)
            longest_lag_s = max(longest_lag_s, time.monotonic() - due_s)
            self._longest_lag_s = max(self._longest_lag_s, longest_lag_s)
        if self._log is None or longest_lag_s < LAG_LIMIT_S:
            return
        load = LoopLoad(longest_lag_s, time.process_time() - began_cpu_s, time.monotonic() - began_s)
        self._log.warning(
            "loop_lagged",
            **load.log_fields(),
            remedy="if little CPU was used, the machine is overloaded: give it more capacity; "
            "if a whole core was used, the process has more work than one core can do",
        )
