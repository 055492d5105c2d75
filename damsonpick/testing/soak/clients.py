"""Clients of a soak's pilot: collectors that use their connections continuously, and clients that never join."""

from __future__ import annotations

import random
from collections.abc import Callable

import anyio

from damsonpick.protocols.platform.connection_handler import HEARTBEAT
from damsonpick.testing.fakes.collector import FakeCollector, frame

LENGTH_BYTES = 4  # size of the length prefix of a frame
HEARTBEAT_TIMEOUT_S = 0.4  # heartbeat requests sent at least this long before the pilot is ended must be answered
RECONNECT_DELAY_S = 0.05
MIN_PAUSE_S, MAX_PAUSE_S = 0.005, 0.04  # range of the pause between two heartbeat requests of a collector
UNJOINED_TIMEOUT_S = 30.0  # time after which a client that never joins closes its own connection
CONNECTION_LOST = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class PendingHeartbeats:
    """Heartbeat requests that have not been answered yet, by connection."""

    def __init__(self) -> None:
        """Create a record without heartbeat requests."""
        self._request_times_s: dict[FakeCollector, list[float]] = {}

    def asked(self, collector: FakeCollector) -> None:
        """Add a heartbeat request that is being sent now."""
        self._request_times_s.setdefault(collector, []).append(anyio.current_time())

    def answered(self, collector: FakeCollector, count: int) -> None:
        """Remove the oldest `count` requests of a connection, because responses arrive in order."""
        del self._request_times_s.get(collector, [])[:count]

    def forget(self, collector: FakeCollector) -> None:
        """Remove a closed connection. The collector has received the responses or noticed the closing."""
        self._request_times_s.pop(collector, None)

    def clear(self) -> None:
        """Remove all requests, because the pilot process has ended."""
        self._request_times_s.clear()

    def unanswered_before(self, time_s: float) -> int:
        """Return how many unanswered requests of open connections were sent before a time."""
        return sum(asked < time_s for times in self._request_times_s.values() for asked in times)


class Clients:
    """All clients of a pilot. They reconnect after each restart of the pilot.

    Args:
        port: Port of the pilot.
        zones: Zones of the platform. One collector runs for each.
        servers: Returns the servers that load reports may currently name.
        rng: Source of the random draws for reports and pauses.
    """

    def __init__(self, port: int, zones: tuple[str, ...], servers: Callable[[], list[str]], rng: random.Random) -> None:
        """Create the clients; `run` connects them."""
        self.pending_heartbeats = PendingHeartbeats()
        self._port = port
        self._zones = zones
        self._servers = servers
        self._rng = rng

    async def run(self, unjoined: int) -> None:
        """Keep all clients connected until cancelled.

        Args:
            unjoined: Number of clients that never join.
        """
        async with anyio.create_task_group() as group:
            for zone in self._zones:
                group.start_soon(self._run_collector, zone)
            for _ in range(unjoined):
                group.start_soon(self._run_unjoined_client)

    async def _run_collector(self, zone: str) -> None:
        while True:
            try:
                collector = await FakeCollector.connect(self._port)
            except OSError:
                await anyio.sleep(RECONNECT_DELAY_S)
                continue
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._count_heartbeats, collector)
                    await collector.join(zone)
                    while True:
                        await self._send_report_and_heartbeat(collector, zone)
            except* CONNECTION_LOST:
                pass
            finally:
                self.pending_heartbeats.forget(collector)
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(collector.stream)

    async def _send_report_and_heartbeat(self, collector: FakeCollector, zone: str) -> None:
        servers = self._servers()
        if servers:
            mean_ms = self._rng.uniform(20.0, 400.0)
            await collector.send_report(zone, self._rng.choice(servers), 20, self._rng.randint(0, 3), mean_ms)
        self.pending_heartbeats.asked(collector)
        await collector.send({"@type": "hb"})
        await anyio.sleep(self._rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))

    async def _count_heartbeats(self, collector: FakeCollector) -> None:
        received = 0
        while True:
            received += len(await collector.stream.receive())
            self.pending_heartbeats.answered(collector, received // len(HEARTBEAT))
            received %= len(HEARTBEAT)

    async def _run_unjoined_client(self) -> None:
        """Connect without joining, send nothing or half a message, and connect again once the connection is closed."""
        while True:
            try:
                client = await FakeCollector.connect(self._port)
                async with client.stream:
                    if self._rng.random() < 0.5:
                        await client.send_bytes(frame({"@type": "hb"})[: LENGTH_BYTES + 2])
                    await client.is_closed_within(UNJOINED_TIMEOUT_S)
            except CONNECTION_LOST:
                pass
            await anyio.sleep(self._rng.uniform(RECONNECT_DELAY_S, 10 * RECONNECT_DELAY_S))
