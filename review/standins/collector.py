"""Collectors: connect to a pilot, name their zone, and hand on reports."""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from typing import TYPE_CHECKING, Any

from review.standins import sockets

if TYPE_CHECKING:
    from review.standins.world import World

REPORT_DELAY_S = 0.4
RECONNECT_S = 0.5


def frame(message: dict[str, Any]) -> bytes:
    """Return a message with its length."""
    body = json.dumps(message, separators=(",", ":")).encode()
    return len(body).to_bytes(4, "little") + body


async def wait_until_ready(port: int, timeout_s: float) -> bool:
    """Ask for signs of life until the pilot answers. Return False after the timeout."""
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
            reader, writer = await asyncio.open_connection(sockets.HOST, port)
            try:
                writer.write(frame({"@type": "hb"}))
                await asyncio.wait_for(reader.readexactly(4), 3.0)
                return True
            finally:
                sockets.close(writer)
        await asyncio.sleep(0.05)
    return False


class Collectors:
    """The collectors of all zones for one pilot."""

    def __init__(self, world: World, pilot: int) -> None:
        """Create the collectors without connections."""
        self.world, self.pilot = world, pilot
        self.writers: dict[str, asyncio.StreamWriter] = {}

    async def run(self) -> None:
        """Connect and report every second until cancelled."""
        last = time.monotonic()
        while True:
            await asyncio.sleep(1.0)
            await self._connect()
            now = time.monotonic()
            reports = self._take_reports((now - last) * 1000)
            last = now
            asyncio.get_running_loop().call_later(REPORT_DELAY_S, self._write, reports)

    async def _connect(self) -> None:
        for zone in self.world.deployment.zones:
            writer = self.writers.get(zone)
            if writer is not None and not writer.is_closing():
                continue
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(sockets.HOST, self.world.pilots[self.pilot].port)
                writer.write(frame({"@type": "telemetry", "zone": zone}))
                self.writers[zone] = writer
                asyncio.get_running_loop().create_task(self._drop_when_closed(zone, reader, writer))

    async def _drop_when_closed(self, zone: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError):
            await reader.read()
        sockets.close(writer)
        if self.writers.get(zone) is writer:
            del self.writers[zone]

    def _take_reports(self, span_ms: float) -> list[tuple[str, bytes]]:
        traffic = self.world.traffic
        reports = []
        for key in [key for key in traffic.tries if key[0] == self.pilot]:
            _, zone, server = key
            tries, failed, total_ms = traffic.tries.pop(key)
            message: dict[str, Any] = {"@type": "upstream_stats", "zone": zone, "server": server}
            good = tries - failed
            message |= {"tries": tries, "failed": failed, "mean_ms": round(total_ms / good, 2) if good else 0}
            reports.append((zone, frame(message | {"span_ms": span_ms})))
        first = self.world.deployment.zones[0]
        for key in [key for key in traffic.demand if key[0] == self.pilot]:
            _, slice_number, name = key
            tries, failed = traffic.demand.pop(key)
            message = {"@type": "range_stats", "slice": slice_number, "class": name, "tries": tries, "failed": failed}
            reports.append((first, frame(message | {"span_ms": span_ms})))
        return reports

    def _write(self, reports: list[tuple[str, bytes]]) -> None:
        for zone, data in reports:
            writer = self.writers.get(zone)
            if writer is not None and not writer.is_closing():
                writer.write(data)
