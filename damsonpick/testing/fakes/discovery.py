"""A discovery service that stands in: the whole list, its changes, and a watch that can be cut, silenced or spoilt."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from anyio.abc import SocketStream

from damsonpick.testing.fakes import faulty_http


class Catalogue(faulty_http.Watched):
    """Args: servers: ids that are ready at first."""

    every = 0.3  # a real one gives an empty line every two seconds

    def __init__(self, *servers: str, zone: str = "a") -> None:
        super().__init__()
        self.version, self.zone = 1, zone
        self.servers = {name: self.entry(name) for name in servers}
        self.history: list[tuple[int, dict[str, Any]]] = []
        self.asked: list[str] = []
        self.down = False
        self.held = False  # watches are answered once the gate is opened
        self.mute = False  # watches begin with a sign of life, and tell nothing
        self.gate = faulty_http.Gate()

    def entry(self, name: str, state: str = "Ready", **more: Any) -> dict[str, Any]:
        return {
            "id": name,
            "addr": "127.0.0.1:1",
            "zone": self.zone,
            "kind": "k",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        } | more

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

    def _listing(self, full: bool, entries: list[dict[str, Any]]) -> dict[str, Any]:
        return {"version": self.version, "full": full, "servers": entries}

    async def serve(self, asked: faulty_http.Asked, stream: SocketStream) -> bool:
        self.asked.append(asked.target)
        if self.down:
            await stream.send(faulty_http.answer(b"", "503 Service Unavailable"))
            return False
        if self.held:
            await self.gate.pass_through()
        query = parse_qs(urlsplit(asked.target).query)
        whole = json.dumps(self._listing(True, list(self.servers.values()))).encode()
        if "watch" not in query:
            await stream.send(faulty_http.answer(whole))
            return True
        since = int(query["from"][0])
        if 0 < since <= self.version:  # it remembers all changes since its start
            whole = json.dumps(self._listing(False, [e for v, e in self.history if v > since])).encode()
        await self.watch(stream, [b"" if self.mute else whole])
        return False
