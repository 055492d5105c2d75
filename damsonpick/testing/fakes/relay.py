"""A relay that stands in: it holds tables, takes calls, tells its news, and can go wrong at each of them.

Faults of calls are taken from `faults`, one a call: `lost` and `silent` are carried out and cut or never answered,
`cut` and `mute` are neither carried out nor answered, `spoilt` and `huge` are carried out with an answer that can't be
read, `busy` and `syntax` are rejected, `owed` is answered while its marks are not; a number halts at that order.
`held` is carried out and answered once its gate is opened, so that something else can happen first.
"""

from __future__ import annotations

import json
from collections import deque
from typing import Any

import anyio
from anyio.abc import SocketStream

from damsonpick.testing.fakes import faulty_http


class Relay(faulty_http.Watched):
    """Args: slices: how many it gives the pilot; proxies: how many are joined at first."""

    beat, every = b"{}", 0.2  # a real one gives a sign of life a second

    def __init__(self, slices: int, proxies: int, zones: tuple[str, ...] = ("a",)) -> None:
        super().__init__()
        self.tables: dict[int, dict[str, float]] = {n: {} for n in range(slices)}
        self.members = {
            n: {"proxy": n, "zone": zones[n % len(zones)], "weight": 5.0, "fresh": True} for n in range(proxies)
        }
        self.levels: dict[str, float] = {}
        self.shut: set[str] = set()
        self.faults: deque[str | int] = deque()
        self.calls = 0
        self.gate = faulty_http.Gate()

    async def serve(self, asked: faulty_http.Asked, stream: SocketStream) -> bool:
        if asked.method == "GET" and asked.target == "/watch":
            await self.watch(stream, self._standing())
            return False
        try:
            ops = json.loads(asked.body)["ops"]
        except (ValueError, KeyError, TypeError):
            await stream.send(faulty_http.answer(b'{"error":"SYNTAX"}', "400 Bad Request"))
            return True
        return await self._call(ops, stream)

    def _standing(self) -> list[bytes]:
        """What a watch begins with."""
        lines = [_news("attach", **member) for member in self.members.values()]
        for number, table in self.tables.items():
            lines.append(_news("owner", slice=number, on=True))
            lines += [_news("entry", slice=number, server=name, weight=weight) for name, weight in table.items()]
        return lines

    async def _call(self, ops: list[dict[str, Any]], stream: SocketStream) -> bool:
        self.calls += 1
        fault = self.faults.popleft() if self.faults else ""
        if fault in ("busy", "syntax"):
            await stream.send(faulty_http.answer(json.dumps({"error": fault.upper()}).encode(), "409 Conflict"))
            return True
        if fault == "cut":
            return False
        if fault == "mute":
            await anyio.sleep_forever()
        taken = min(fault, len(ops)) if isinstance(fault, int) else len(ops)
        marks = [op["nonce_out"] for op in ops[:taken] if not self._carry_out(op)]
        for mark in marks if not self.silent and fault != "owed" else ():
            for proxy in list(self.members):
                await self.say(_news("done", proxy=proxy, mark=mark, took_ms=1.0))
        if fault == "lost":
            return False
        if fault == "held":
            await self.gate.pass_through()
        if fault == "silent":
            await anyio.sleep_forever()
        bodies = {"spoilt": b'{"taken":-1}', "huge": b'{"taken":999999}'}
        await stream.send(faulty_http.answer(bodies.get(str(fault), json.dumps({"taken": taken}).encode())))
        return True

    async def withdraw(self, number: int) -> dict[str, float]:
        """Take a slice from the pilot; its lines as they stand."""
        lines = self.tables.pop(number)
        await self.say(_news("owner", slice=number, on=False))
        return lines

    async def give(self, number: int, lines: dict[str, float]) -> None:
        """Give the pilot a slice with these lines."""
        self.tables[number] = dict(lines)
        await self.say(_news("owner", slice=number, on=True))
        for name, weight in lines.items():
            await self.say(_news("entry", slice=number, server=name, weight=weight))

    async def leave_and_return(self) -> None:
        """All proxies leave and join again, with what they hold."""
        for member in self.members.values():
            await self.say(_news("detach", proxy=member["proxy"]))
            member["fresh"] = False
            await self.say(_news("attach", **member))

    def _carry_out(self, op: dict[str, Any]) -> bool:
        """Carry out an order; False: it is a mark."""
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


def _news(kind: str, **news: Any) -> bytes:
    return json.dumps({"type": kind, "object": news}).encode()
