"""A collector that stands in: it joins a pilot's address for a zone and hands reports on."""

from __future__ import annotations

import json
from typing import Any

import anyio
from anyio.abc import SocketStream


def framed(message: dict[str, Any] | bytes) -> bytes:
    body = message if isinstance(message, bytes) else json.dumps(message).encode()
    return len(body).to_bytes(4, "little") + body


class Collector:
    """One connection to a pilot's address."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream

    @classmethod
    async def dial(cls, port: int) -> Collector:
        return cls(await anyio.connect_tcp("127.0.0.1", port))

    async def join(self, zone: str) -> Collector:
        await self.say({"@type": "telemetry", "zone": zone})
        return self

    async def say(self, message: dict[str, Any] | bytes) -> None:
        await self.stream.send(framed(message))

    async def raw(self, data: bytes) -> None:
        await self.stream.send(data)

    async def alive(self) -> bool:
        """Whether the pilot answers a question for life."""
        await self.say({"@type": "hb"})
        return b"hb_ok" in await self.stream.receive(100)

    async def closed(self, within: float) -> bool:
        """Whether the pilot closes the connection in time."""
        with anyio.move_on_after(within):
            try:
                while True:
                    await self.stream.receive(100)
            except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
                return True
        return False

    async def report(self, zone: str, server: str, tries: int = 20, failed: int = 0, mean_ms: float = 200.0) -> None:
        await self.say(
            {
                "@type": "upstream_stats",
                "zone": zone,
                "server": server,
                "tries": tries,
                "failed": failed,
                "mean_ms": mean_ms,
                "span_ms": 1000.0,
                "load": {"busy_reqs": 3.0},
            }
        )
