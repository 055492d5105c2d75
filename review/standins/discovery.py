"""Discovery: the list of endpoints over HTTP, with a watch on changes (PROTOCOL, 'Discovery')."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any
from urllib.parse import parse_qs, urlparse

from review.standins import sockets
from review.standins.record import Record

IDLE_LINE_S = 2.0
Entry = dict[str, Any]


class Discovery:
    """One discovery service for all pilots.

    Attributes:
        entries: Listed endpoints by id.
        told: For each pilot, the time at which each drain or removal was written to it, by endpoint.
        silent: Whether open watches get nothing and new ones are not answered.
    """

    def __init__(self, record: Record, pilots: int, entries: list[Entry]) -> None:
        """Create the service with version 41 of its list."""
        self.record = record
        self.version = 41
        self.entries = {entry["id"]: entry for entry in entries}
        self.log: list[tuple[int, Entry]] = []
        self.told: list[dict[str, float]] = [{} for _ in range(pilots)]
        self.restarts_told: list[dict[str, float]] = [{} for _ in range(pilots)]
        self.silent = False
        self.ports: list[int] = []
        self._changed = [asyncio.Event() for _ in range(pilots)]
        self._servers: list[asyncio.Server] = []

    async def open(self) -> None:
        """Listen at one address for each pilot."""
        for pilot in range(len(self.told)):
            self.ports.append(await self.listen(pilot))

    async def listen(self, pilot: int) -> int:
        """Listen at a further address for a pilot, and return its port."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._serve(pilot, reader, writer)
            sockets.close(writer)

        server = await asyncio.start_server(serve, sockets.HOST, 0)
        self._servers.append(server)
        return server.sockets[0].getsockname()[1]

    def change(self, *entries: Entry) -> None:
        """Publish changed entries as one version."""
        self.version += 1
        for entry in entries:
            self.log.append((self.version, dict(entry)))
            if entry["state"] == "Gone":
                self.entries.pop(entry["id"], None)
            else:
                self.entries[entry["id"]] = dict(entry)
            self.record.write("listed", version=self.version, endpoint=entry["id"], state=entry["state"])
        for number, event in enumerate(self._changed):
            self._changed[number] = asyncio.Event()
            event.set()

    def full(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"version": self.version, "full": True, "servers": [dict(entry) for entry in self.entries.values()]}

    def _since(self, version: int) -> dict[str, Any]:
        changed = {entry["id"]: entry for number, entry in self.log if number > version}
        return {"version": self.version, "full": False, "servers": list(changed.values())}

    async def _serve(self, pilot: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await sockets.read_request(reader)) is not None:
            while self.silent:
                await asyncio.sleep(0.05)
            query = parse_qs(urlparse(request.target).query)
            if "watch" not in query:
                self._note_told(pilot, self.full())
                writer.write(sockets.response(self.full()))
                continue
            await self._watch(pilot, int(query.get("from", ["0"])[0]), writer)
            return

    async def _watch(self, pilot: int, version: int, writer: asyncio.StreamWriter) -> None:
        writer.write(sockets.WATCH_HEAD)
        update = self._since(version) if 0 < version <= self.version else self.full()
        while True:
            sent = update["version"]
            self._note_told(pilot, update)
            writer.write(sockets.chunk(sockets.line(update)))
            await writer.drain()
            while self.version == sent or self.silent:
                changed = self._changed[pilot]
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), 0.05 if self.silent else IDLE_LINE_S)
                if self.version == sent and not self.silent:
                    writer.write(sockets.chunk(b"\n"))
                    await writer.drain()
            update = self._since(sent)

    def _note_told(self, pilot: int, update: dict[str, Any]) -> None:
        now = time.monotonic()
        told = self.told[pilot]
        named = set()
        for entry in update["servers"]:
            named.add(entry["id"])
            if entry["state"] == "Ready":
                if told.pop(entry["id"], None) is not None or entry["started_ms"]:
                    self.restarts_told[pilot].setdefault(f"{entry['id']}@{entry['started_ms']}", now)
            else:
                told.setdefault(entry["id"], now)
        if update["full"]:
            for _, entry in self.log:
                if entry["id"] not in named:
                    told.setdefault(entry["id"], now)
