"""A discovery service that stands in: the whole list, its changes, and a watch that can be cut, silenced or spoilt."""

from __future__ import annotations

import json
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import parse_qs, urlsplit

import anyio
from anyio.abc import SocketStream

from damsonpick.standins import plain

BEAT = 0.3  # s between empty lines: a real one gives one every two


class Catalogue:
    """Args: servers: ids that are ready at first."""

    def __init__(self, *servers: str, zone: str = "a") -> None:
        self.version, self.zone = 1, zone
        self.servers = {name: self.entry(name) for name in servers}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.watchers: set[SocketStream] = set()
        self.asked: list[str] = []
        self.down = self.silent = False

    def entry(self, name: str, state: str = "Ready", **more: Any) -> dict[str, Any]:
        return {"id": name, "addr": "127.0.0.1:1", "zone": self.zone, "kind": "k", "cell": 0, "state": state,
                "weight": 1.0, "started_ms": 0} | more

    @asynccontextmanager
    async def running(self, port: int = 0):
        """Its port."""
        async with plain.serving(self._serve, port) as opened, anyio.create_task_group() as group:
            group.start_soon(self._beat)
            yield opened
            group.cancel_scope.cancel()

    async def put(self, name: str, state: str = "Ready", **more: Any) -> None:
        """Change one server and tell it."""
        entry = self.entry(name, state, **more)
        self.version += 1
        self.history.append((self.version, entry))
        if state == "Gone":
            self.servers.pop(name, None)
        else:
            self.servers[name] = entry
        await self.say(json.dumps(self._listing(False, [entry])).encode())

    async def say(self, line: bytes) -> None:
        """A line as it is to all watchers."""
        for stream in list(self.watchers):
            try:
                await stream.send(plain.chunk(line + b"\n"))
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.watchers.discard(stream)

    async def cut(self) -> None:
        for stream in list(self.watchers):
            await anyio.aclose_forcefully(stream)

    async def _beat(self) -> None:
        while True:
            await anyio.sleep(BEAT)
            if not self.silent:
                await self.say(b"")

    def _listing(self, full: bool, entries: list[dict[str, Any]]) -> dict[str, Any]:
        return {"version": self.version, "full": full, "servers": entries}

    async def _serve(self, asked: plain.Asked, stream: SocketStream) -> bool:
        self.asked.append(asked.target)
        if self.down:
            await stream.send(plain.answer(b"", "503 Service Unavailable"))
            return False
        query = parse_qs(urlsplit(asked.target).query)
        whole = json.dumps(self._listing(True, list(self.servers.values()))).encode()
        if "watch" not in query:
            await stream.send(plain.answer(whole))
            return True
        since = int(query["from"][0])
        if 0 < since <= self.version:  # it remembers all changes since its start
            whole = json.dumps(self._listing(False, [e for v, e in self.history if v > since])).encode()
        await stream.send(plain.HEAD + plain.chunk(whole + b"\n"))
        self.watchers.add(stream)
        try:
            await stream.receive(1)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.watchers.discard(stream)
        return False
