"""A fake of the platform's discovery: the endpoint list, its changes, and a watch that can be cut or fall silent."""

from __future__ import annotations

import json
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from anyio.abc import SocketStream

from damsonpick.testing.fakes import faulty_http

Entry = dict[str, Any]


class Change(NamedTuple):
    """A change of the list: the version that it led to, and the entry as it is since."""

    version: int
    entry: Entry


class FakeDiscovery(faulty_http.WatchServer):
    """The discovery service.

    Attributes:
        version: of the list.
        servers: the list, by server.
        history: all changes since the start.
        requested_targets: targets of all requests.
        is_down: requests are answered with an error.
        holds_requests: requests are answered once the gate is opened.
        omits_list: watches begin with a heartbeat in place of the list.
        gate: see `holds_requests`.
    """

    heartbeat_interval_s = 0.3  # a real one sends an empty line every two seconds

    def __init__(self, *servers: str, zone: str = "a") -> None:
        """Start with these servers ready.

        Args:
            servers: their names.
            zone: of all.
        """
        super().__init__()
        self.version, self.zone = 1, zone
        self.servers = {name: self.entry(name) for name in servers}
        self.history: list[Change] = []
        self.requested_targets: list[str] = []
        self.is_down = False
        self.holds_requests = False
        self.omits_list = False
        self.gate = faulty_http.Gate()

    def entry(self, name: str, state: str = "Ready", **fields: Any) -> Entry:
        """A server's entry in the list, as on the wire."""
        return {
            "id": name,
            "addr": "127.0.0.1:1",
            "zone": self.zone,
            "kind": "k",
            "cell": 0,
            "state": state,
            "weight": 1.0,
            "started_ms": 0,
        } | fields

    async def update_server(self, name: str, state: str = "Ready", **fields: Any) -> None:
        """Change one server and report it on the watches."""
        entry = self.entry(name, state, **fields)
        self.version += 1
        self.history.append(Change(self.version, entry))
        if state == "Gone":
            self.servers.pop(name, None)
        else:
            self.servers[name] = entry
        await self.send_line(self._message(False, [entry]))

    async def send_entries(self, entries: list[Entry]) -> None:
        """Report entries on the watches as they are, under a version of their own; the list does not change."""
        self.version += 1
        await self.send_line(self._message(False, entries))

    async def serve(self, request: faulty_http.Request, stream: SocketStream) -> bool:
        """Answer with the list, or open a watch; returns whether the connection stays open."""
        self.requested_targets.append(request.target)
        if self.is_down:
            await stream.send(faulty_http.answer_bytes(b"", "503 Service Unavailable"))
            return False
        if self.holds_requests:
            await self.gate.wait()
        query = parse_qs(urlsplit(request.target).query)
        if "watch" not in query:
            await stream.send(faulty_http.answer_bytes(self._whole_list()))
            return True
        first_line = self._message_since(int(query["from"][0]))
        await self.watch(stream, [b"" if self.omits_list else first_line])
        return False

    def _message_since(self, version: int) -> bytes:
        """The changes since a version, or the whole list if the version is not known."""
        if 0 < version <= self.version:
            return self._message(False, [change.entry for change in self.history if change.version > version])
        return self._whole_list()

    def _whole_list(self) -> bytes:
        return self._message(True, list(self.servers.values()))

    def _message(self, full: bool, entries: list[Entry]) -> bytes:
        return json.dumps({"version": self.version, "full": full, "servers": entries}).encode()
