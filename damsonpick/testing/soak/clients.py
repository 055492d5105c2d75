"""Clients of a soak's pilot: collectors that keep using their open connections, and strangers that say nothing."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from damsonpick.protocols.platform.connection_handler import HEARTBEAT
from damsonpick.testing.fakes.collector import FakeCollector, frame

LENGTH_BYTES = 4
ANSWER_GRACE_S = 0.4  # a heartbeat that was asked for so long before SIGTERM must have been answered
RECONNECT_DELAY_S = 0.05
MIN_PAUSE_S, MAX_PAUSE_S = 0.005, 0.04
STRANGER_STAY_S = 30.0
CONNECTION_LOST = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class HeartbeatLedger:
    """Heartbeats that were asked for and not answered yet, by connection."""

    def __init__(self) -> None:
        """Start with none."""
        self._asked_s: dict[FakeCollector, list[float]] = {}

    def asked(self, collector: FakeCollector) -> None:
        """Note a request."""
        self._asked_s.setdefault(collector, []).append(anyio.current_time())

    def answered(self, collector: FakeCollector, count: int) -> None:
        """Note answers, which come in order."""
        del self._asked_s.get(collector, [])[:count]

    def forget(self, collector: FakeCollector) -> None:
        """Note that a connection was closed: its peer has had the answers, or a close."""
        self._asked_s.pop(collector, None)

    def clear(self) -> None:
        """Forget all: a life has ended."""
        self._asked_s.clear()

    def unanswered_before(self, time_s: float) -> int:
        """Return how many requests of open connections are older than a time and not answered."""
        return sum(asked < time_s for times in self._asked_s.values() for asked in times)


class Clients:
    """All clients of a pilot, for all its lives.

    Args:
        port: of the pilot.
        zones: a collector each.
        servers: gives the servers to report on now.
        rng: draws reports and pauses.
    """

    def __init__(self, port: int, zones: tuple[str, ...], servers: Callable[[], list[str]], rng: random.Random) -> None:
        """Connect nothing before `run`."""
        self.ledger = HeartbeatLedger()
        self._port = port
        self._zones = zones
        self._servers = servers
        self._rng = rng

    async def run(self, strangers: int) -> None:
        """Keep all clients connected until cancelled."""
        async with anyio.create_task_group() as group:
            for zone in self._zones:
                group.start_soon(self._run_collector, zone)
            for _ in range(strangers):
                group.start_soon(self._run_stranger)

    async def _run_collector(self, zone: str) -> None:
        while True:
            try:
                collector = await FakeCollector.connect(self._port)
            except OSError:
                await anyio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._count_answers, collector)
                    await collector.join(zone)
                    while True:
                        await self._use(collector, zone)
            except* CONNECTION_LOST:
                pass
            finally:
                self.ledger.forget(collector)
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(collector.stream)

    async def _use(self, collector: FakeCollector, zone: str) -> None:
        servers = self._servers()
        if servers:
            mean_ms = self._rng.uniform(20.0, 400.0)
            await collector.send_report(zone, self._rng.choice(servers), 20, self._rng.randint(0, 3), mean_ms)
        self.ledger.asked(collector)
        await collector.send({"@type": "hb"})
        await anyio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def _count_answers(self, collector: FakeCollector) -> None:
        received = 0
        while True:
            received += len(await collector.stream.receive())
            self.ledger.answered(collector, received // len(HEARTBEAT))
            received %= len(HEARTBEAT)

    async def _run_stranger(self) -> None:
        """Connect, say nothing or half a message, and connect again once it is closed."""
        while True:
            try:
                stranger = await FakeCollector.connect(self._port)
                async with stranger.stream:
                    if self._rng.random() < 0.5:
                        await stranger.send_bytes(frame({"@type": "hb"})[: LENGTH_BYTES + 2])
                    await stranger.is_closed_within(STRANGER_STAY_S)
            except CONNECTION_LOST:
                pass
            await anyio.sleep(self._rng.uniform(RECONNECT_DELAY_S, 10 * RECONNECT_DELAY_S))
