"""An endpoint: cores that work off requests in turn, and that start cold."""

from __future__ import annotations

import heapq
import time
from collections import deque


class Endpoint:
    """One endpoint process."""

    def __init__(self, name: str, zone: str, cores: int, speed: float, started: float = 0.0) -> None:
        """Create a running endpoint. `started` is its start on the monotonic clock, 0 for long ago."""
        self.name, self.zone, self.cores, self.speed = name, zone, cores, speed
        self.started = started
        self.started_ms = 0
        self.up = True
        self.hangs = False
        self.slowdown = 1.0
        self.epoch = 0
        self.held = 0
        self._free_at = [0.0] * cores
        self.recent: deque[tuple[float, float, bool]] = deque()  # time, work and knowledge of the tries while cold

    def share(self, now: float, cold_share: float, cold_s: float) -> float:
        """Return the present share of the capacity."""
        age = now - self.started
        if not self.started or age >= cold_s:
            return 1.0
        return cold_share + (1 - cold_share) * age / cold_s

    def finish_at(self, now: float, work_s: float, share: float) -> float:
        """Queue work and return the time at which it ends."""
        start = max(now, heapq.heappop(self._free_at))
        end = start + work_s / (self.speed * share) * self.slowdown
        heapq.heappush(self._free_at, end)
        return end

    def stop(self) -> None:
        """End the process: everything that it holds is lost."""
        self.up = False
        self.epoch += 1
        self._free_at = [0.0] * self.cores

    def start(self) -> None:
        """Start again, cold."""
        self.up = True
        self.started = time.monotonic()
        self.started_ms = int(time.time() * 1000)
        self.recent.clear()
