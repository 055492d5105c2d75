"""The list of servers, and its watches."""

from __future__ import annotations

import asyncio
import json
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

from review.standins_two import wire
from review.standins_two.record import Record
from review.standins_two.servers import Server

HEARTBEAT_S = 2.0
COUNTS_AS_TOLD_S = 6.0


class Discovery:
    """One service for all pilots; each reaches it at an address of its own.

    Attributes:
        version: Version of the list.
        entries: Entries by server.
        changed: Version and entry of each change.
        down: Whether all calls fail.
        told: Time at which each pilot was told of the state of a server that is not Ready, by pilot and server.
        told_start: Time at which each pilot was told of the last start of a server.
    """

    def __init__(self, pilots: int, record: Record) -> None:
        """Create an empty list."""
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed: list[tuple[int, float, dict[str, Any]]] = []
        self.down = False
        self.told: list[dict[str, float]] = [{} for _ in range(pilots)]
        self.told_start: list[dict[str, float]] = [{} for _ in range(pilots)]
        self.known: list[dict[str, dict[str, Any]]] = [{} for _ in range(pilots)]
        self.known_version = [1] * pilots
        self.watches: list[wire.Watch | None] = [None] * pilots
        self.services = [wire.Service(self._handler(pilot)) for pilot in range(pilots)]
        self._last_line = [0.0] * pilots
        self._record = record

    async def open(self) -> None:
        """Listen at one address for each pilot."""
        for service in self.services:
            await service.open()

    def list_server(self, server: Server, state: str) -> dict[str, Any]:
        """Return the entry of a server."""
        return {
            "id": server.name,
            "addr": "127.0.0.1:9",
            "zone": server.zone,
            "kind": "brzi-3",
            "cell": 0,
            "state": state,
            "weight": server.weight,
            "started_ms": int(server.started * 1000),
        }

    def set_state(self, server: Server, state: str) -> None:
        """Change one entry, and write it to all watches."""
        entry = self.list_server(server, state)
        self.version += 1
        self.changed.append((self.version, time.monotonic(), entry))
        if state == "Gone":
            self.entries.pop(server.name, None)
        else:
            self.entries[server.name] = entry
        self._record.write("list", server=server.name, state=state, version=self.version)
        for pilot, watch in enumerate(self.watches):
            if watch is not None and watch.is_open() and not self.services[pilot].is_cut:
                self._write(pilot, watch, False, [entry])

    def count_as_told(self) -> None:
        """Count as told what had to be told long enough ago, whether it arrived or not."""
        now = time.monotonic()
        for _, at, entry in self.changed:
            if now - at >= COUNTS_AS_TOLD_S and now - at < COUNTS_AS_TOLD_S + 1:
                for pilot in range(len(self.told)):
                    if self.entries.get(entry["id"], {"state": "Gone"})["state"] == entry["state"]:
                        self._note(pilot, entry, now)

    def known_list(self, pilot: int) -> dict[str, Any]:
        """Return the list as a pilot last had it."""
        return {"version": self.known_version[pilot], "full": True, "servers": list(self.known[pilot].values())}

    async def beat(self) -> None:
        """Write an empty line while nothing changes."""
        while True:
            await asyncio.sleep(0.1)
            self.count_as_told()
            for pilot, watch in enumerate(self.watches):
                due = time.monotonic() - self._last_line[pilot] >= HEARTBEAT_S
                if watch is not None and watch.is_open() and due and not self.services[pilot].is_cut:
                    self._last_line[pilot] = time.monotonic()
                    watch.line(b"")

    def break_watch(self, pilot: int) -> None:
        """Reset the connections of a pilot."""
        self.services[pilot].reset_connections()

    def _write(self, pilot: int, watch: wire.Watch, full: bool, entries: list[dict[str, Any]]) -> None:
        now = self._last_line[pilot] = time.monotonic()
        watch.line(json.dumps({"version": self.version, "full": full, "servers": entries}).encode())
        if full:
            named = {entry["id"] for entry in entries}
            for name in list(self.known[pilot]):
                if name not in named:
                    self._note(pilot, {**self.known[pilot][name], "state": "Gone"}, now)
        for entry in entries:
            self._note(pilot, entry, now)
        self.known_version[pilot] = self.version

    def _note(self, pilot: int, entry: dict[str, Any], now: float) -> None:
        name = entry["id"]
        before = self.known[pilot].get(name)
        if entry["state"] == "Gone":
            self.known[pilot].pop(name, None)
        else:
            self.known[pilot][name] = entry
        if entry["state"] == "Ready":
            self.told[pilot].pop(name, None)
            if before is None or before["started_ms"] != entry["started_ms"]:
                self.told_start[pilot][name] = now
        else:
            self.told[pilot].setdefault(name, now)

    def _handler(self, pilot: int) -> wire.Handler:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            request = await wire.read_request(reader)
            if request is None:
                return
            if self.down:
                await asyncio.sleep(0.2)
                writer.write(wire.answer({}, "503 Service Unavailable"))
                await writer.drain()
                return
            await asyncio.sleep(0.03)
            query = parse_qs(urlsplit(request.target).query)
            watch = wire.Watch(writer)
            self.watches[pilot] = watch
            version = int(query.get("from", ["0"])[0])
            if 0 < version <= self.version:
                newest: dict[str, dict[str, Any]] = {}
                for changed, _, entry in self.changed:
                    if changed > version:
                        newest[entry["id"]] = entry
                self._write(pilot, watch, False, list(newest.values()))
            else:
                self._write(pilot, watch, True, list(self.entries.values()))
            await reader.read(1)

        return serve
