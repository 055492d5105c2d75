"""How late the event loop runs, and how much CPU the process had: whether a process was starved.

A process that has too little of the machine, or that does too much in one turn, is late with everything. Both figures
together tell these apart: late at little CPU is a machine that is too busy, late at a whole core is too much work.
"""

from __future__ import annotations

import time
from typing import Any, NamedTuple

import anyio
from structlog.typing import FilteringBoundLogger

from damsonpick.time_units import MS_PER_SECOND

PROBE_PERIOD_S = 0.05
LOG_PERIOD_S = 10.0  # at most one log line in each
LAG_LIMIT_S = 0.25  # below it a lag is not worth a line


class LoopLoad(NamedTuple):
    """What a process met in a period, in seconds.

    Attributes:
        longest_lag_s: the longest time by which the event loop was late.
        cpu_s: CPU time of the process.
        wall_s: the period.
    """

    longest_lag_s: float
    cpu_s: float
    wall_s: float

    def log_fields(self) -> dict[str, Any]:
        """Return the figures as the log has them."""
        return {
            "longest_lag_ms": round(self.longest_lag_s * MS_PER_SECOND),
            "cpu_s": round(self.cpu_s, 2),
            "wall_s": round(self.wall_s, 2),
        }


class LoopLagMonitor:
    """Measures the event loop that it runs on.

    Args:
        log: for `loop_lagged`; None: nothing is logged.
    """

    def __init__(self, log: FilteringBoundLogger | None = None) -> None:
        """Start measuring."""
        self._log = log
        self._longest_lag_s = 0.0
        self._started_s = time.monotonic()
        self._started_cpu_s = time.process_time()

    def load(self) -> LoopLoad:
        """Return what was met since the start."""
        return LoopLoad(
            self._longest_lag_s, time.process_time() - self._started_cpu_s, time.monotonic() - self._started_s
        )

    async def run(self) -> None:
        """Measure until cancelled, and log a lag over the limit, once a period at most."""
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
            remedy="late at little CPU: give the machine more room; late at a whole core: too much work for one",
        )
