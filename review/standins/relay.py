"""The relay: the store of tables, the channel to the proxies, and the news for one pilot (PROTOCOL, 'The relay').

A call with orders changes the store at once and becomes one message for each proxy concerned. Messages leave the
channel one after another and arrive after their transit time, in order. What waits or travels is lost when a stream
breaks.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import deque
from collections.abc import Callable
from typing import Any, NamedTuple

from review.standins import sockets
from review.standins.proxy import Proxy
from review.standins.record import Record
from review.standins.settings import Deployment

HEARTBEAT_S = 1.0
FIRST_HEARTBEAT_S = 0.4
ANSWER_S = 0.004
ORDER_GAP_S = 1e-5  # least time between two messages to one proxy, which arrive in order
# Times for which the limits of the rules wait after the relay broke a call, left it unanswered, or broke its news.
BROKEN_CALL_S, SILENT_CALL_S, BROKEN_NEWS_S = 0.5, 1.5, 4.0
Order = dict[str, Any]


class Store:
    """Tables and owners of the slices, shared by the relays of all pilots."""

    def __init__(self, slices: int) -> None:
        """Create empty tables without owners."""
        self.tables: list[dict[str, float]] = [{} for _ in range(slices)]
        self.owner: list[int | None] = [None] * slices
        self.given_at = [0.0] * slices


class Message(NamedTuple):
    """A message that waits in the channel."""

    proxy: Proxy
    epoch: int
    lines: float
    orders: list[Order]
    marks: list[int]
    ordered_at: float


class Channel:
    """The channel of one pilot: sends its messages one after another."""

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        pilot: int,
        store: Store,
        applied: Callable[[Message], None],
    ) -> None:
        """Create an empty channel that calls `applied` for each message that took effect at a proxy."""
        self.deployment, self.record, self.pilot, self.store = deployment, record, pilot, store
        self.applied = applied
        self.slowdown = 1.0
        self.queue: deque[Message] = deque()
        self.longest = 0.0
        self.resumed = 0  # messages that arrived at a stalled proxy so far, which keeps their order
        self._wakeup = asyncio.Event()
        self._random = random.Random(f"channel-{pilot}")
        self._last_arrival: dict[int, float] = {}
        self._written: dict[int, deque[float]] = {}

    def waiting(self) -> float:
        """Return the lines that wait, heads included."""
        return sum(message.lines for message in self.queue if self._alive(message))

    def put(self, messages: list[Message]) -> None:
        """Queue the messages of one call, and check the limits on lines and messages."""
        self.queue.extend(messages)
        waiting = self.waiting()
        self.longest = max(self.longest, waiting)
        if waiting > self.deployment.most_waiting:
            self.record.breach("queue", pilot=self.pilot, waiting=round(waiting), limit=self.deployment.most_waiting)
        if self.deployment.pushes_allowed:
            self._check_pushes(messages)
        self._wakeup.set()

    def _check_pushes(self, messages: list[Message]) -> None:
        now = time.monotonic()
        for message in messages:
            written = self._written.setdefault(message.proxy.number, deque())
            while written and written[0] < max(now - self.deployment.window_s, message.proxy.streams[self.pilot].at):
                written.popleft()
            written.append(now)
            if len(written) > self.deployment.pushes_allowed:
                self.record.breach("pushes", pilot=self.pilot, proxy=message.proxy.number, messages=len(written))

    def clear(self) -> None:
        """Lose everything that waits, because the pilot died."""
        self.queue.clear()

    def _alive(self, message: Message) -> bool:
        stream = message.proxy.streams[self.pilot]
        return stream.joined and stream.epoch == message.epoch

    def _in_charge(self, order: Order) -> bool:
        """Return whether a proxy still takes an order: those of a slice's former pilot are dropped."""
        return order["op"] not in ("SET", "DEL") or self.store.owner[order["table"]] == self.pilot

    async def run(self) -> None:
        """Send until cancelled."""
        loop = asyncio.get_running_loop()
        free_at = loop.time()
        while True:
            if not self.queue:
                self._wakeup.clear()
                await self._wakeup.wait()
                free_at = max(free_at, loop.time())
                continue
            message = self.queue[0]
            if self._alive(message):
                free_at += message.lines / self.deployment.lines_per_s * self.slowdown
                if free_at > loop.time():
                    await asyncio.sleep(free_at - loop.time())
                self._travel(loop, message, free_at)
            if self.queue and self.queue[0] is message:
                self.queue.popleft()

    def _travel(self, loop: asyncio.AbstractEventLoop, message: Message, sent_at: float) -> None:
        arrival = sent_at + self._random.uniform(*self.deployment.transit_s)
        arrival = max(arrival, self._last_arrival.get(message.proxy.number, 0.0) + ORDER_GAP_S)
        self._last_arrival[message.proxy.number] = arrival
        loop.call_at(arrival, self._arrive, message)

    def _arrive(self, message: Message) -> None:
        if message.proxy.stalled_until > time.monotonic():
            resume_at = message.proxy.stalled_until + ORDER_GAP_S * self.resumed
            self.resumed += 1
            asyncio.get_running_loop().call_at(resume_at, self._arrive, message)
        elif self._alive(message) and not message.proxy.streams[self.pilot].silent:
            message.proxy.apply(self.pilot, [order for order in message.orders if self._in_charge(order)])
            self.applied(message)


class Relay:
    """The relay as one pilot sees it.

    Attributes:
        fault: Called with each call's orders; returns how the call fails ('' for not at all): 'lost' (carried out, then
            the connection breaks), 'silent' (carried out, nothing is answered) or 'dropped' (not carried out, breaks).
    """

    def __init__(
        self, deployment: Deployment, record: Record, pilot: int, store: Store, proxies: list[Proxy], known: set[str]
    ) -> None:
        """Create the relay of a pilot. `known` contains every endpoint that discovery has ever listed."""
        self.deployment, self.record, self.pilot = deployment, record, pilot
        self.store, self.proxies, self.known = store, proxies, known
        self.channel = Channel(deployment, record, pilot, store, self._applied)
        self.fault: Callable[[list[Order]], str] = lambda orders: ""
        self.excuse: Callable[[float], None] = lambda wait_s: None  # lets the time limits wait
        self.open_for_calls = False
        self.port = 0
        self.calls = 0
        self._watches: set[asyncio.StreamWriter] = set()
        self._random = random.Random(f"relay-{pilot}")

    async def open(self) -> None:
        """Listen, and start the channel."""
        self.port = await self.listen()
        self._channel_task = asyncio.create_task(self.channel.run())

    async def listen(self) -> int:
        """Listen at a further address and return its port."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._serve(reader, writer)
            self._watches.discard(writer)
            sockets.close(writer)

        self._server = await asyncio.start_server(serve, sockets.HOST, 0)
        return self._server.sockets[0].getsockname()[1]

    # -- news

    def tell(self, kind: str, **fields: object) -> None:
        """Write one piece of news to all open watches."""
        data = sockets.chunk(sockets.line({"type": kind, "object": fields}))
        for writer in list(self._watches):
            if not writer.is_closing():
                writer.write(data)

    def break_watches(self) -> None:
        """Break off the news."""
        self.excuse(BROKEN_NEWS_S)
        for writer in list(self._watches):
            sockets.close(writer)

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        lines = []
        for proxy in self.proxies:
            if proxy.streams[self.pilot].joined:
                lines.append(_news("attach", **proxy.attach_fields(self.pilot)))
        for number, owner in enumerate(self.store.owner):
            if owner == self.pilot:
                lines.append(_news("owner", slice=number, on=True))
                lines += [
                    _news("entry", slice=number, server=s, weight=w) for s, w in self.store.tables[number].items()
                ]
        writer.write(sockets.WATCH_HEAD + (sockets.chunk(b"".join(lines)) if lines else b""))
        self._watches.add(writer)
        await asyncio.sleep(FIRST_HEARTBEAT_S)
        while writer in self._watches and not writer.is_closing():
            writer.write(sockets.chunk(b"{}\n"))
            await writer.drain()
            await asyncio.sleep(HEARTBEAT_S)

    def give(self, slice_number: int) -> None:
        """Tell the pilot that it was given a slice, with the lines of its table."""
        self.tell("owner", slice=slice_number, on=True)
        for server, weight in self.store.tables[slice_number].items():
            self.tell("entry", slice=slice_number, server=server, weight=weight)

    def _applied(self, message: Message) -> None:
        for mark in message.marks:
            took_ms = (time.monotonic() - message.ordered_at) * 1000
            self.tell("done", proxy=message.proxy.number, mark=mark, took_ms=round(took_ms, 1))

    # -- calls

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await sockets.read_request(reader)) is not None:
            if request.method == "GET":
                await self._watch(writer)
                return
            await asyncio.sleep(ANSWER_S)
            if not self.open_for_calls:
                writer.write(sockets.response({"error": "BUSY"}, "409 Conflict"))
                continue
            orders = json.loads(request.body)["ops"]
            fault = self.fault(orders)
            self.calls += 1
            if fault:
                self.excuse(SILENT_CALL_S if fault == "silent" else BROKEN_CALL_S)
            if fault == "dropped":
                self.record.write("call", pilot=self.pilot, orders=len(orders), fault=fault)
                return
            taken = self._carry_out(orders)
            self.record.write("call", pilot=self.pilot, orders=len(orders), taken=taken, fault=fault or "-")
            if fault == "lost":
                return
            if fault == "silent":
                await asyncio.sleep(30)
            writer.write(sockets.response({"taken": taken}))

    def _carry_out(self, orders: list[Order]) -> int:
        taken = 0
        for order in orders:
            if order.get("server") is not None and order["server"] not in self.known:
                break
            if order["op"] in ("SET", "DEL") and self.store.owner[order["table"]] == self.pilot:
                self._change_store(order)
            taken += 1
        self._send(orders[:taken])
        return taken

    def _change_store(self, order: Order) -> None:
        table = self.store.tables[order["table"]]
        if order["op"] == "DEL":
            table.clear()
        elif order["weight"] > 0:
            if self.deployment.sole_owner:
                table.clear()
            table[order["server"]] = order["weight"]
        else:
            table.pop(order["server"], None)

    def _send(self, orders: list[Order]) -> None:
        now = time.monotonic()
        owner = self.store.owner
        marks = [order["nonce_out"] for order in orders if order["op"] == "SYNC"]
        to_all = any(order["op"] == "SYNC" and order["on"] for order in orders)
        tables = [o for o in orders if o["op"] in ("SET", "DEL") and owner[o["table"]] == self.pilot]
        rest = [o for o in orders if o["op"] in ("OUT", "IN", "LIMIT")]
        messages = []
        for proxy in self.proxies:
            stream = proxy.streams[self.pilot]
            if stream.joined and (tables or rest or to_all):
                lines = self.deployment.overhead + len(tables) + len(rest) + len(marks)
                messages.append(Message(proxy, stream.epoch, lines, tables + rest, marks, now))
        for order in rest:
            if order["op"] in ("OUT", "IN"):
                self.record.write("ordered", pilot=self.pilot, op=order["op"], endpoint=order["server"])
        self.channel.put(messages)


def _news(kind: str, **fields: object) -> bytes:
    return sockets.line({"type": kind, "object": fields})
