"""A fake of the platform's discovery: the endpoint list, its changes, and watches that can be cut or silenced."""

from __future__ import annotations

import json
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from anyio.abc import SocketStream

from damsonpick.testing.fakes import faulty_http

Entry = dict[str, Any]


class Change(NamedTuple):
    """A change of one entry of the list.

    Attributes:
        version: Version of the list after the change.
        entry: The entry after the change.
    """

    version: int
    entry: Entry


class FakeDiscovery(faulty_http.WatchServer):
    """The discovery service.

    Attributes:
        version: Current version of the list.
        servers: Entries of the list, by server name.
        history: All changes of the list since the start.
        requested_targets: HTTP targets of all requests received so far.
        is_down: Whether every request is answered with status 503.
        holds_requests: Whether requests wait for `gate` before they are answered.
        omits_list: Whether a watch begins with a heartbeat instead of the list or its changes.
        gate: Blocks requests while `holds_requests` is set.
    """

    heartbeat_interval_s = 0.3  # the real service sends an empty line every two seconds

    def __init__(self, *servers: str, zone: str = "a") -> None:
        """Create a service whose list contains the given servers in state Ready.

        Args:
            servers: Names of the servers.
            zone: Zone of all servers.
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
        """Return a server's entry of the list in its wire format; `fields` overrides the defaults."""
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
        """Change one server's entry and send the change to all watches. State Gone removes the server."""
        entry = self.entry(name, state, **fields)
        self.version += 1
        self.history.append(Change(self.version, entry))
        if state == "Gone":
            self.servers.pop(name, None)
        else:
            self.servers[name] = entry
        await self.send_line(self._list_message(False, [entry]))

    async def send_entries(self, entries: list[Entry]) -> None:
        """Send entries to all watches unchanged and under a new version, without changing the list."""
        self.version += 1
        await self.send_line(self._list_message(False, entries))

    async def serve(self, request: faulty_http.Request, stream: SocketStream) -> bool:
        """Respond with the list or open a watch. Return whether the connection stays open."""
        self.requested_targets.append(request.target)
        if self.is_down:
            await stream.send(faulty_http.response_bytes(b"", "503 Service Unavailable"))
            return False
        if self.holds_requests:
            await self.gate.wait()
        query = parse_qs(urlsplit(request.target).query)
        if "watch" not in query:
            await stream.send(faulty_http.response_bytes(self._full_list_message()))
            return True
        first_line = self._changes_message(int(query["from"][0]))
        await self.watch(stream, [b"" if self.omits_list else first_line])
        return False

    def _changes_message(self, version: int) -> bytes:
        """Return the changes since a version, or the whole list if that version is unknown."""
        if 0 < version <= self.version:
            return self._list_message(False, [change.entry for change in self.history if change.version > version])
        return self._full_list_message()

    def _full_list_message(self) -> bytes:
        return self._list_message(True, list(self.servers.values()))

    def _list_message(self, full: bool, entries: list[Entry]) -> bytes:
        return json.dumps({"version": self.version, "full": full, "servers": entries}).encode()
