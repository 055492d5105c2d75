"""A fake of the platform's collector: it connects to a pilot for a zone and sends load reports."""

from __future__ import annotations

import json
from typing import Any

import anyio
from anyio.abc import SocketStream

LENGTH_BYTES = 4
READ_BYTES = 100
REPORT_SPAN_MS = 1000.0
REPORT_BUSY_REQUESTS = 3.0
Message = dict[str, Any] | bytes


def frame(message: Message) -> bytes:
    """A message with its length before it; bytes are sent as they are, in place of JSON."""
    body = message if isinstance(message, bytes) else json.dumps(message).encode()
    return len(body).to_bytes(LENGTH_BYTES, "little") + body


class FakeCollector:
    """One connection to a pilot."""

    def __init__(self, stream: SocketStream) -> None:
        """Use an open stream."""
        self.stream = stream

    @classmethod
    async def connect(cls, port: int) -> FakeCollector:
        """Open a connection; it has not joined a zone."""
        return cls(await anyio.connect_tcp("127.0.0.1", port))

    async def join(self, zone: str) -> FakeCollector:
        """Say for which zone reports come."""
        await self.send({"@type": "telemetry", "zone": zone})
        return self

    async def send(self, message: Message) -> None:
        """Send a framed message."""
        await self.stream.send(frame(message))

    async def send_bytes(self, data: bytes) -> None:
        """Send bytes as they are."""
        await self.stream.send(data)

    async def gets_heartbeat(self) -> bool:
        """Whether the pilot answers a heartbeat request."""
        await self.send({"@type": "hb"})
        return b"hb_ok" in await self.stream.receive(READ_BYTES)

    async def is_closed_within(self, timeout_s: float) -> bool:
        """Whether the pilot closes the connection in time."""
        with anyio.move_on_after(timeout_s):
            try:
                while True:
                    await self.stream.receive(READ_BYTES)
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                return True
        return False

    async def send_report(
        self, zone: str, server: str, tries: int = 20, failed: int = 0, mean_ms: float = 200.0
    ) -> None:
        """Send a load report on one server."""
        await self.send(
            {
                "@type": "upstream_stats",
                "zone": zone,
                "server": server,
                "tries": tries,
                "failed": failed,
                "mean_ms": mean_ms,
                "span_ms": REPORT_SPAN_MS,
                "load": {"busy_reqs": REPORT_BUSY_REQUESTS},
            }
        )
