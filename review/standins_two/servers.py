"""Servers that serve requests with a capacity, warm up after a start, drain, die and hang."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from enum import Enum

from review.standins_two.record import Record
from review.standins_two.site import Site

LONGEST_QUEUE_S = 1.5
CHANCE_SLACK = 8.0  # requests above the budget of a cold server that count as chance


class Outcome(Enum):
    """How an attempt ended."""

    SERVED = "served"
    NOT_RUN = "not run"
    LOST = "lost"


class Server:
    """One server.

    Attributes:
        name: Its id in the list.
        zone: Its zone.
        weight: Its listed size.
        started: Unix time of its last start in seconds, 0 for long ago.
        started_at: Time of its last restart on the monotonic clock.
        up: Whether it takes connections.
        fallen: Whether it fell over under the load while it was cold.
        hung: Whether it takes requests and answers none.
        writes: Writes in hand by slice.
    """

    def __init__(self, name: str, zone: str, weight: float, site: Site, record: Record) -> None:
        """Create a warm server."""
        self.name, self.zone, self.weight = name, zone, weight
        self.started = self.started_at = 0.0
        self.up = True
        self.fallen = self.hung = False
        self.in_hand = 0
        self.writes: dict[int, int] = {}
        self._site, self._record = site, record
        self._free_at = 0.0
        self._generation = 0
        self._arrivals: deque[tuple[float, float, bool]] = deque()

    def capacity(self) -> float:
        """Return the requests per second that it can serve now."""
        full = self._site.capacity * self.weight
        age = time.time() - self.started
        if not self.started or age >= self._site.cold_s:
            return full
        return full * (self._site.cold_share + (1 - self._site.cold_share) * max(0.0, age) / self._site.cold_s)

    def is_cold(self) -> bool:
        """Return whether it is still warming up."""
        return bool(self.started) and time.time() - self.started < self._site.cold_s

    def die(self) -> None:
        """End the process: connections are reset and new ones refused."""
        self.up = False
        self._generation += 1
        self.in_hand = 0
        self.writes.clear()

    def start(self) -> None:
        """Start the process again, cold."""
        self.up, self.fallen = True, False
        self.started = time.time()
        self.started_at = time.monotonic()
        self._free_at = 0.0
        self._arrivals.clear()

    async def serve(self, knowing: bool) -> Outcome:
        """Serve one request that has just arrived."""
        if not self.up or self.fallen:
            return Outcome.NOT_RUN
        now = time.monotonic()
        self._count_cold(now, knowing)
        if self.fallen:
            return Outcome.LOST
        capacity = self.capacity()
        wait = max(0.0, self._free_at - now)
        if wait > LONGEST_QUEUE_S:
            return Outcome.NOT_RUN
        self._free_at = max(now, self._free_at) + 1 / capacity
        generation = self._generation
        self.in_hand += 1
        await asyncio.sleep(3600 if self.hung else wait + self._site.service_s)
        if generation != self._generation or self.fallen:
            return Outcome.LOST
        self.in_hand -= 1
        return Outcome.SERVED

    def _count_cold(self, now: float, knowing: bool) -> None:
        if not self.is_cold():
            return
        site = self._site
        self._arrivals.append((now, self.capacity(), knowing))
        while self._arrivals[0][0] < now - site.fall_s:
            self._arrivals.popleft()
        budget = site.fall_multiple * self.capacity() * site.fall_s + CHANCE_SLACK
        if len(self._arrivals) <= budget:
            return
        self.fallen = True
        known = sum(1 for arrival in self._arrivals if arrival[2])
        self._record.write("fell", server=self.name, arrivals=len(self._arrivals), knowing=known, budget=budget)
        if known >= 2 / 3 * len(self._arrivals):
            self._record.breach("fall", f"{self.name}: {len(self._arrivals)} in {site.fall_s} s, budget {budget:.0f}")
