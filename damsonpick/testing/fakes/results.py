"""A results server that stands in: cores, a queue, a cold ramp that falls over when pushed, troubles on command.

Work is time, not computation: a request of so many ms holds a core for that long, divided by the
server's present speed. What the server is asked and what it runs is recorded, so that a doubled effect or
a push of a cold server is seen from its own side.
"""

from __future__ import annotations

import random
from collections import deque
from typing import NamedTuple

import anyio
from anyio.abc import SocketStream, TaskGroup

from damsonpick.runtime.clock import Clock
from damsonpick.testing.fakes import http
from damsonpick.testing.fakes.record import Recorder

SLACK_MS = 1500.0  # of work: a few requests by chance do not push a server over


class Make(NamedTuple):
    """How a server is built. Times in ns of the day."""

    zone: str
    cores: int
    speed: float
    cold_share: float
    cold_time: int
    fall_multiple: float
    fall_time: int
    queue: int = 200
    connections: int = 400


class Troubles:
    """What is wrong with a server now."""

    def __init__(self) -> None:
        self.slow, self.hang, self.errors, self.lies = 1.0, False, 0.0, False
        self.failing: set[str] = set()  # classes
        self.losing = 0.0  # share of requests that run, and whose answer is lost with the connection


class ResultsServer:
    """One server; its address stays the same when its process starts anew."""

    def __init__(self, make: Make, clock: Clock, record: Recorder, rng: random.Random) -> None:
        self.make, self.clock, self.record, self.rng = make, clock, record, rng
        self.address, self.started = "", 0
        self.troubles = Troubles()
        self.fallen = self.up = False
        self.scope: anyio.CancelScope | None = None
        self.offered: deque[tuple[int, float]] = deque()
        self.sum = 0.0
        self.waiting = self.open = 0
        self.last_ms = 0.0

    def ramp(self, now: int) -> float:
        """Present part of the warm capacity."""
        age = now - self.started
        if not self.started or age >= self.make.cold_time:
            return 1.0
        return self.make.cold_share + (1 - self.make.cold_share) * age / self.make.cold_time

    async def start(self, group: TaskGroup, cold: bool) -> None:
        """Start a process: cold unless it is the day's first."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.address = "127.0.0.1:" + str(listener.extra(anyio.abc.SocketAttribute.local_port))
        self.started = self.clock.now() if cold else 0
        self.troubles, self.up = Troubles(), True
        self.cores = anyio.CapacityLimiter(self.make.cores)
        self.offered.clear()
        self.sum, self.waiting = 0.0, 0
        m = self.make
        self.record.put(
            "up",
            server=self.address,
            zone=m.zone,
            capacity=m.cores * m.speed,
            started=self.started,
            cold_share=m.cold_share,
            cold_time=m.cold_time,
        )
        group.start_soon(self._serve, listener)

    async def _serve(self, listener: anyio.abc.Listener) -> None:
        with anyio.CancelScope() as self.scope:
            try:
                await listener.serve(self._connection)
            finally:
                await anyio.aclose_forcefully(listener)

    def stop(self, why: str) -> None:
        """End the process at once: connections break, queued work is lost."""
        if self.up:
            self.up = False
            self.record.put("down", server=self.address, why=why)
        if self.scope is not None:
            self.scope.cancel()

    def say_speed(self) -> None:
        """Record how much slower the server is now; for plans that know the truth."""
        self.record.put("speed", server=self.address, slow=self.troubles.slow)

    async def _connection(self, stream: SocketStream) -> None:
        if self.open >= self.make.connections:
            await anyio.aclose_forcefully(stream)
            return
        self.open += 1
        try:
            await http.answer(stream, self._handle)
        finally:
            self.open -= 1

    async def _handle(self, headers: dict[str, str]) -> http.Answer:
        now, trouble = self.clock.now(), self.troubles
        work, kind, rid = float(headers["x-work-ms"]), headers["x-damson-class"], headers["x-request-id"]
        self.record.put("in", server=self.address, id=rid, kind=kind, slice=int(headers["x-slice"]), work=work)
        if self._pushed_over(now, work):
            raise http.Broken("fell over")
        if trouble.hang:
            await anyio.sleep_forever()
        if kind in trouble.failing or self.rng.random() < trouble.errors:
            return http.Answer(500, {}, b"")
        if self.waiting >= self.make.queue:
            return http.Answer(503, {"x-not-run": "1"}, b"")
        self.waiting += 1
        try:
            async with self.cores:
                self.waiting -= 1
                self.record.put("ran", server=self.address, id=rid, kind=kind, slice=int(headers["x-slice"]))
                speed = self.make.speed * self.ramp(self.clock.now()) / trouble.slow
                await anyio.sleep(work / 1e3 / speed / self.clock.rate)
                self.last_ms = work / speed
                self.record.put("end", server=self.address, id=rid)
                if self.rng.random() < trouble.losing:
                    raise http.Broken("the answer was lost")
        except BaseException:
            self.waiting = max(0, self.waiting)
            raise
        queue, ms = (0, 1) if trouble.lies else (self.waiting, round(self.last_ms))
        load = f"TEXT named_metrics.queue={queue}, named_metrics.latency_ms={ms}"
        return http.Answer(200, {"endpoint-load-metrics": load}, b"ok")

    def _pushed_over(self, now: int, work: float) -> bool:
        """Whether more came within the window than a cold server stands; then it stays down."""
        self.offered.append((now, work))
        self.sum += work
        window = self.make.fall_time
        while self.offered[0][0] < now - window:
            self.sum -= self.offered.popleft()[1]
        ramp = self.ramp(now)
        if ramp < 1:
            most = self.make.fall_multiple * self.make.cores * self.make.speed * ramp * window / 1e6
            if self.sum > most + SLACK_MS:
                self.fallen = True
                self.record.put("fell", server=self.address, sum=self.sum, most=most)
                self.stop("fell over")
        return self.fallen
