"""A fake results server: cores, a queue, a warm-up during which overload crashes it, and faults on command.

Work is simulated by waiting: a request occupies a core for its work in ms divided by the current speed of the server.
The server records each request that it receives and each one that it runs. Duplicate effects and overload of a cold
server can therefore be detected from the server's side.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import anyio
from anyio.abc import SocketStream, TaskGroup

from damsonpick.runtime.clock import Clock
from damsonpick.testing.fakes import http
from damsonpick.testing.fakes.record import Recorder
from damsonpick.time_units import MS_PER_SECOND, NS_PER_MS

# Work that a cold server tolerates above its limit, so that a few requests that coincide by chance do not crash it.
BURST_ALLOWANCE_MS = 1500.0
UNAVAILABLE = http.Response(503, {"x-not-run": "1"}, b"")
FAILED = http.Response(500, {}, b"")


@dataclass(frozen=True, slots=True)
class ServerConfig:
    """Properties of a server. Times are in ns of the scenario's clock.

    Attributes:
        zone: Zone of the server.
        cores: Number of requests that run concurrently.
        capacity_factor: Speed of a core when the server is warm. At speed 1, a request runs for as many ms as its work.
        cold_share: Share of the warm speed that a cold server has right after its start.
        warm_up_ns: Time from a cold start until the server has its full speed.
        overload_multiple: Ratio of offered work to current capacity above which a cold server crashes.
        overload_window_ns: Period over which the offered work is summed.
        queue_limit: Most requests that may wait for a core.
        connection_limit: Most connections that may be open.
    """

    zone: str
    cores: int
    capacity_factor: float
    cold_share: float
    warm_up_ns: int
    overload_multiple: float
    overload_window_ns: int
    queue_limit: int = 200
    connection_limit: int = 400


@dataclass(slots=True)
class ServerFaults:
    """The current faults of a server.

    Attributes:
        slowdown: Factor by which the server is slower than without the fault.
        hangs: Whether the server accepts requests and never responds.
        error_share: Share of requests that fail at once.
        reports_idle: Whether the load reports claim that the server is idle.
        failing_classes: Request classes whose requests all fail.
        lost_answer_share: Share of requests that run and whose response is lost because the connection is cut.
    """

    slowdown: float = 1.0
    hangs: bool = False
    error_share: float = 0.0
    reports_idle: bool = False
    failing_classes: set[str] = field(default_factory=set)
    lost_answer_share: float = 0.0


@dataclass(frozen=True, slots=True)
class WorkRequest:
    """A request, as its headers describe it."""

    request_id: str
    request_class: str
    slice_number: int
    work_ms: float

    @classmethod
    def from_headers(cls, headers: dict[str, str]) -> WorkRequest:
        """Parse the headers of a request."""
        return cls(
            request_id=headers["x-request-id"],
            request_class=headers["x-damson-class"],
            slice_number=int(headers["x-slice"]),
            work_ms=float(headers["x-work-ms"]),
        )


class FakeResultsServer:
    """One server. It keeps its address when its process is restarted."""

    def __init__(self, config: ServerConfig, clock: Clock, record: Recorder, rng: random.Random) -> None:
        """Create a server; `start` starts its process.

        Args:
            config: Properties of the server.
            clock: Clock of the scenario.
            record: Recorder of what the server receives and runs.
            rng: Source of the random draws for errors and lost responses.
        """
        self.config, self.clock, self.record, self.rng = config, clock, record, rng
        self.address = ""
        self.started = 0  # time of the last cold start, ns; 0 if the server is warm from the beginning
        self.faults = ServerFaults()
        self.is_up = False
        self.has_crashed = False
        self._scope: anyio.CancelScope | None = None
        self._cores = anyio.CapacityLimiter(config.cores)
        self._offered: deque[tuple[int, float]] = deque()  # time (ns) and work (ms) per request of the overload window
        self._offered_ms = 0.0
        self._queued = 0
        self._connections = 0
        self._last_latency_ms = 0.0

    def warm_share(self, now: int) -> float:
        """Return the current speed as a share of the warm speed."""
        age = now - self.started
        if not self.started or age >= self.config.warm_up_ns:
            return 1.0
        return self.config.cold_share + (1 - self.config.cold_share) * age / self.config.warm_up_ns

    async def start(self, group: TaskGroup, cold: bool) -> None:
        """Start a process without faults in `group`. If `cold`, the server has to warm up first."""
        port = int(self.address.rpartition(":")[2]) if self.address else 0
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)
        self.address = "127.0.0.1:" + str(listener.extra(anyio.abc.SocketAttribute.local_port))
        self.started = self.clock.now() if cold else 0
        self.faults, self.is_up = ServerFaults(), True
        self._cores = anyio.CapacityLimiter(self.config.cores)
        self._offered.clear()
        self._offered_ms, self._queued = 0.0, 0
        self.record.put(
            "up",
            server=self.address,
            zone=self.config.zone,
            capacity=self.config.cores * self.config.capacity_factor,
            started=self.started,
            cold_share=self.config.cold_share,
            cold_time=self.config.warm_up_ns,
        )
        group.start_soon(self._serve, listener)

    async def _serve(self, listener: anyio.abc.Listener) -> None:
        with anyio.CancelScope() as self._scope:
            try:
                await listener.serve(self._serve_connection)
            finally:
                await anyio.aclose_forcefully(listener)

    def stop(self, reason: str) -> None:
        """End the process at once. Its connections break and queued work is lost."""
        if self.is_up:
            self.is_up = False
            self.record.put("down", server=self.address, why=reason)
        if self._scope is not None:
            self._scope.cancel()

    def record_slowdown(self) -> None:
        """Record the current slowdown, so that plans can be computed with the true capacity."""
        self.record.put("speed", server=self.address, slow=self.faults.slowdown)

    async def _serve_connection(self, stream: SocketStream) -> None:
        if self._connections >= self.config.connection_limit:
            await anyio.aclose_forcefully(stream)
            return
        self._connections += 1
        try:
            await http.serve_connection(stream, self._handle)
        finally:
            self._connections -= 1

    async def _handle(self, headers: dict[str, str]) -> http.Response:
        request, faults = WorkRequest.from_headers(headers), self.faults
        now = self.clock.now()
        self.record.put(
            "in",
            server=self.address,
            id=request.request_id,
            kind=request.request_class,
            slice=request.slice_number,
            work=request.work_ms,
        )
        if self._crashes_from_overload(now, request.work_ms):
            raise http.ConnectionBrokenError("the server crashed from overload")
        if faults.hangs:
            await anyio.sleep_forever()
        if request.request_class in faults.failing_classes or self.rng.random() < faults.error_share:
            return FAILED
        if self._queued >= self.config.queue_limit:
            return UNAVAILABLE
        await self._run(request, faults)
        return self._success_response(faults)

    async def _run(self, request: WorkRequest, faults: ServerFaults) -> None:
        """Wait for a core and occupy it for the duration of the request's work."""
        self._queued += 1
        async with self._cores:
            self._queued -= 1
            self.record.put(
                "ran",
                server=self.address,
                id=request.request_id,
                kind=request.request_class,
                slice=request.slice_number,
            )
            speed = self.config.capacity_factor * self.warm_share(self.clock.now()) / faults.slowdown
            await anyio.sleep(request.work_ms / MS_PER_SECOND / speed / self.clock.rate)
            self._last_latency_ms = request.work_ms / speed
            self.record.put("end", server=self.address, id=request.request_id)
            if self.rng.random() < faults.lost_answer_share:
                raise http.ConnectionBrokenError("the response was lost")

    def _success_response(self, faults: ServerFaults) -> http.Response:
        """Return a success with a load report."""
        queue, latency_ms = self._queued, round(self._last_latency_ms)
        if faults.reports_idle:
            queue, latency_ms = 0, 1
        load = f"TEXT named_metrics.queue={queue}, named_metrics.latency_ms={latency_ms}"
        return http.Response(200, {"endpoint-load-metrics": load}, b"ok")

    def _crashes_from_overload(self, now: int, work_ms: float) -> bool:
        """Add the work of a request to the offered work. Return whether the server has ever crashed from overload.

        A cold server crashes if the work offered within the window exceeds its limit plus the burst allowance. It stays
        down.
        """
        self._offered.append((now, work_ms))
        self._offered_ms += work_ms
        while self._offered[0][0] < now - self.config.overload_window_ns:
            self._offered_ms -= self._offered.popleft()[1]
        warm_share = self.warm_share(now)
        if warm_share < 1:
            limit_ms = self._overload_limit_ms(warm_share)
            if self._offered_ms > limit_ms + BURST_ALLOWANCE_MS:
                self.has_crashed = True
                self.record.put("fell", server=self.address, sum=self._offered_ms, most=limit_ms)
                self.stop("fell over")
        return self.has_crashed

    def _overload_limit_ms(self, warm_share: float) -> float:
        config = self.config
        rate = config.overload_multiple * config.cores * config.capacity_factor * warm_share
        return rate * config.overload_window_ns / NS_PER_MS
