"""A fake of the platform's collector: it connects to a pilot, joins a zone and sends load reports."""

from __future__ import annotations

import json
from typing import Any

import anyio
from anyio.abc import SocketStream

LENGTH_BYTES = 4  # size of the little-endian length prefix of a frame
READ_BYTES = 100
REPORT_SPAN_MS = 1000.0
REPORT_BUSY_REQUESTS = 3.0
Message = dict[str, Any] | bytes


def frame(message: Message) -> bytes:
    """Return a message with its length prefix. A dict is encoded as JSON; bytes are used unchanged as the body."""
    body = message if isinstance(message, bytes) else json.dumps(message).encode()
    return len(body).to_bytes(LENGTH_BYTES, "little") + body


class FakeCollector:
    """One connection of a collector to a pilot."""

    def __init__(self, stream: SocketStream) -> None:
        """Wrap an open stream."""
        self.stream = stream

    @classmethod
    async def connect(cls, port: int) -> FakeCollector:
        """Open a connection to the pilot's port, without joining a zone."""
        return cls(await anyio.connect_tcp("127.0.0.1", port))

    async def join(self, zone: str) -> FakeCollector:
        """Announce the zone of the load reports and return this collector."""
        await self.send({"@type": "telemetry", "zone": zone})
        return self

    async def send(self, message: Message) -> None:
        """Send a message as a frame."""
        await self.stream.send(frame(message))

    async def send_bytes(self, data: bytes) -> None:
        """Send bytes without a frame."""
        await self.stream.send(data)

    async def heartbeat_is_answered(self) -> bool:
        """Send a heartbeat request and return whether the next data from the pilot contains an answer to one."""
        await self.send({"@type": "hb"})
        return b"hb_ok" in await self.stream.receive(READ_BYTES)

    async def is_closed_within(self, timeout_s: float) -> bool:
        """Return whether the pilot closes the connection within `timeout_s`. Received data is discarded."""
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
        """Send a load report about one server."""
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
