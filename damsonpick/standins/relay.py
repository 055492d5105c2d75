"""A relay that stands in: it holds tables, takes calls, tells its news, and can go wrong at each of them.

Faults of calls are taken from `faults`, one a call: `lost` and `silent` are carried out and cut or never answered,
`cut` and `mute` are neither carried out nor answered, `spoilt` and `huge` are carried out with an answer that can't be
read, `busy` and `syntax` are rejected; a number halts at that order.
"""

from __future__ import annotations

import json
from collections import deque
from contextlib import asynccontextmanager
from typing import Any

import anyio
from anyio.abc import SocketStream

from damsonpick.standins import plain

BEAT = 0.2  # s between signs of life: real relays give one a second
LOSING = {"lost", "silent", "spoilt", "huge"}


class Relay:
    """Args: slices: how many it gives the pilot; proxies: how many are joined at first."""

    def __init__(self, slices: int, proxies: int, zones: tuple[str, ...] = ("a",)) -> None:
        self.tables: dict[int, dict[str, float]] = {n: {} for n in range(slices)}
        self.members = {n: {"proxy": n, "zone": zones[n % len(zones)], "weight": 5.0, "fresh": True}
                        for n in range(proxies)}
        self.levels: dict[str, float] = {}
        self.shut: set[str] = set()
        self.faults: deque[str | int] = deque()
        self.ops: list[dict[str, Any]] = []  # carried out, in order
        self.calls = 0
        self.answers_marks = True
        self.watchers: set[SocketStream] = set()
        self.silent = False  # news and signs of life stop, and connections stay open

    @asynccontextmanager
    async def running(self, port: int = 0):
        """Its port."""
        async with plain.serving(self._serve, port) as opened, anyio.create_task_group() as group:
            group.start_soon(self._beat)
            yield opened
            group.cancel_scope.cancel()

    # -- what tests do to it

    async def tell(self, kind: str, **news: Any) -> None:
        """A line of news to all watchers, after its effect."""
        if kind == "attach":
            self.members[news["proxy"]] = news
        elif kind == "detach":
            self.members.pop(news["proxy"], None)
        elif kind == "owner":
            if news["on"]:
                self.tables.setdefault(news["slice"], {})
            else:
                self.tables.pop(news["slice"], None)
        await self._say({"type": kind, "object": news})

    async def break_news(self) -> None:
        """Cut all watches."""
        for stream in list(self.watchers):
            await anyio.aclose_forcefully(stream)

    # -- its work

    async def _beat(self) -> None:
        while True:
            await anyio.sleep(BEAT)
            await self._say({})

    async def _say(self, line: dict[str, Any]) -> None:
        if self.silent:
            return
        data = plain.chunk(json.dumps(line).encode() + b"\n")
        for stream in list(self.watchers):
            try:
                await stream.send(data)
            except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                self.watchers.discard(stream)

    async def _serve(self, asked: plain.Asked, stream: SocketStream) -> bool:
        if asked.method == "GET" and asked.target == "/watch":
            await self._watch(stream)
            return False
        try:
            ops = json.loads(asked.body)["ops"]
        except (ValueError, KeyError, TypeError):
            await stream.send(plain.answer(b'{"error":"SYNTAX"}', "400 Bad Request"))
            return True
        return await self._call(ops, stream)

    async def _watch(self, stream: SocketStream) -> None:
        lines = [{"type": "attach", "object": m} for m in self.members.values()]
        for number, table in self.tables.items():
            lines.append({"type": "owner", "object": {"slice": number, "on": True}})
            lines += [{"type": "entry", "object": {"slice": number, "server": s, "weight": w}}
                      for s, w in table.items()]
        await stream.send(plain.HEAD + b"".join(plain.chunk(json.dumps(x).encode() + b"\n") for x in lines))
        self.watchers.add(stream)
        try:
            await stream.receive(1)  # a single further byte resets it, and so does its end
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.watchers.discard(stream)

    async def _call(self, ops: list[dict[str, Any]], stream: SocketStream) -> bool:
        self.calls += 1
        fault = self.faults.popleft() if self.faults else ""
        if fault in ("busy", "syntax"):
            await stream.send(plain.answer(json.dumps({"error": fault.upper()}).encode(), "409 Conflict"))
            return True
        if fault == "cut":
            return False
        if fault == "mute":
            await anyio.sleep_forever()
        taken = min(fault, len(ops)) if isinstance(fault, int) else len(ops)
        marks = [op["nonce_out"] for op in ops[:taken] if not self._carry_out(op)]
        if self.answers_marks:
            for mark in marks:
                for proxy in list(self.members):
                    await self._say({"type": "done", "object": {"proxy": proxy, "mark": mark, "took_ms": 1.0}})
        if fault == "lost":
            return False
        if fault == "silent":
            await anyio.sleep_forever()
        bodies = {"spoilt": b'{"taken":-1}', "huge": b'{"taken":999999}'}
        await stream.send(plain.answer(bodies.get(str(fault), json.dumps({"taken": taken}).encode())))
        return True

    def _carry_out(self, op: dict[str, Any]) -> bool:
        """Carry out an order; False: it is a mark."""
        self.ops.append(op)
        kind = op["op"]
        if kind == "SET" and op["table"] in self.tables:
            if op["weight"] > 0:
                self.tables[op["table"]][op["server"]] = op["weight"]
            else:
                self.tables[op["table"]].pop(op["server"], None)
        elif kind == "DEL" and op["table"] in self.tables:
            self.tables[op["table"]].clear()
        elif kind == "OUT":
            self.shut.add(op["server"])
        elif kind == "IN":
            self.shut.discard(op["server"])
        elif kind == "LIMIT":
            self.levels.update((name, op["admit"]) for name in op["routes"])
        return kind != "SYNC"
