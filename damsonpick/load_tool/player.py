"""Sends an experiment's requests at their time, over a bounded number of connections."""

from __future__ import annotations

import time
from typing import Any

import anyio
import httptools
from anyio.abc import SocketStream

from damsonpick.load_tool.experiment import Arrival, Experiment, Kind, arrivals
from damsonpick.load_tool.results import Tally, report

READ = 262_144


class Reply:
    """Reads one answer."""

    def __init__(self) -> None:
        self.parser, self.done = httptools.HttpResponseParser(self), False

    def on_message_complete(self) -> None:
        self.done = self.parser.get_status_code() >= 200


class Player:
    """One run of an experiment."""

    def __init__(self, made: Experiment) -> None:
        self.made = made
        self.host, _, port = made.load.target.rpartition(":")
        self.port = int(port)
        self.idle: list[SocketStream] = []
        self.slots = anyio.CapacityLimiter(made.load.connections)
        self.tallies = {name: Tally() for name in made.classes}
        self.behind = 0

    async def run(self) -> dict[str, Any]:
        """Play it; returns the report."""
        self.start = time.monotonic_ns()
        async with anyio.create_task_group() as group:
            for arrival in arrivals(self.made):
                wait = arrival.at - (time.monotonic_ns() - self.start)
                if wait > 0:
                    await anyio.sleep(wait / 1e9)
                else:
                    await anyio.lowlevel.checkpoint()
                self.behind = max(self.behind, time.monotonic_ns() - self.start - arrival.at)
                group.start_soon(self._one, arrival)
        for stream in self.idle:
            await anyio.aclose_forcefully(stream)
        return report(self.made, self.tallies, self.behind // 1000)

    async def _one(self, arrival: Arrival) -> None:
        kind, how = self.made.classes[arrival.kind], "timed out"
        with anyio.move_on_after(kind.timeout / 1e9):
            async with self.slots:
                how = await self._exchange(arrival, kind)
        took = time.monotonic_ns() - self.start - arrival.at
        if arrival.at >= self.made.load.warm_up:
            self.tallies[arrival.kind].add(how, took // 1000)

    async def _exchange(self, arrival: Arrival, kind: Kind) -> str:
        stream = self.idle.pop() if self.idle else None
        good = False
        try:
            if stream is None:
                stream = await anyio.connect_tcp(self.host.strip("[]"), self.port)
            await stream.send(self._request(arrival, kind))
            reply = Reply()
            while not reply.done:
                reply.parser.feed_data(await stream.receive(READ))
            good = reply.parser.should_keep_alive()
            return str(reply.parser.get_status_code())
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, httptools.HttpParserError) as error:
            return "cut" if not isinstance(error, OSError) else "not connected"
        finally:
            if good:
                self.idle.append(stream)
            elif stream is not None:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)

    def _request(self, arrival: Arrival, kind: Kind) -> bytes:
        length = f"content-length: {kind.body}\r\n" if kind.body else ""
        lines = (
            f"{kind.method} {kind.path} HTTP/1.1",
            f"host: {self.made.load.target}",
            f"x-damson-class: {arrival.kind}",
            f"x-key: k{arrival.key}",
            f"x-request-id: l{arrival.number}",
            f"x-client-id: c{arrival.key}",
        )
        return ("\r\n".join(lines) + f"\r\n{length}\r\n").encode() + b"x" * kind.body
