"""The relay: the store of the tables, the channel of a pilot, its calls and its news."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import deque
from typing import Any

from review.standins_two import wire
from review.standins_two.proxies import Proxy
from review.standins_two.record import Record
from review.standins_two.site import CLASSES, Site

STORE_READ_S = (0.17, 0.49)
FIRST_BEAT_S = 0.2
IN_ORDER_S = 0.001  # between two messages to one proxy, which arrive in order
Order = dict[str, Any]


class Store:
    """Tables and the pilots in charge of them.

    Attributes:
        tables: Lines by slice.
        owner: Pilot in charge, by slice; None while there is none.
        given_at: Time at which the slice was given.
    """

    def __init__(self, site: Site) -> None:
        """Create empty tables."""
        self.tables: list[dict[str, float]] = [{} for _ in range(site.slices)]
        self.owner: list[int | None] = [None] * site.slices
        self.given_at = [0.0] * site.slices
        self.appointed: list[dict[str, int]] = [{} for _ in range(site.slices)]
        self.changes = 0

    def change(self, slice_number: int, order: Order, sole_owner: bool) -> None:
        """Change the table of a slice, and note which server was appointed when."""
        table = self.tables[slice_number]
        before = set(table)
        apply_table_order(table, order, sole_owner)
        for name in set(table) - before:
            self.changes += 1
            self.appointed[slice_number][name] = self.changes


class Relay:
    """What one pilot reaches as the relay.

    Attributes:
        faults: Faults of the next calls, oldest first: `lost` (carried out, no answer), `ignored` (not carried out, no
            answer), `cut` (not carried out, reset), `cut_after` (carried out, reset), `spoilt` (carried out, an answer
            that can't be read).
        waits: Start and length of the times for which the time limits wait.
        busy: Whether calls are rejected, as before the run begins.
    """

    def __init__(
        self, pilot: int, site: Site, store: Store, proxies: list[Proxy], record: Record, rng: random.Random
    ) -> None:
        """Create a relay that does not listen yet."""
        self.pilot, self.site, self.store, self.proxies = pilot, site, store, proxies
        self.faults: deque[str] = deque()
        self.waits: list[tuple[float, float]] = []
        self.busy = True
        self.calls = 0
        self.largest = 0
        self.service = wire.Service(self._serve)
        self.watch: wire.Watch | None = None
        self.server_names: set[str] = set()
        self._record, self._rng = record, rng
        self._free_at = 0.0
        self._waiting: deque[tuple[float, float]] = deque()
        self.on_call: Any = None

    # -- news

    def news(self, kind: str, **fields: Any) -> None:
        """Write one line of news."""
        if self.watch is not None and self.watch.is_open() and not self.service.is_cut:
            self.watch.line(json.dumps({"type": kind, "object": fields}).encode())

    def attach(self, proxy: Proxy) -> None:
        """Let a proxy join."""
        stream = proxy.streams[self.pilot]
        if stream.joined or not proxy.alive:
            return
        fresh = not stream.was_joined
        stream.joined, stream.joined_at, stream.was_joined, stream.has_read = True, time.monotonic(), True, False
        stream.written = []
        self._record.write("attach", pilot=self.pilot, proxy=proxy.number, fresh=fresh)
        self.news("attach", proxy=proxy.number, zone=proxy.zone, weight=round(proxy.weight, 2), fresh=fresh)
        self._later(self._rng.uniform(*STORE_READ_S), self._read_store, proxy, stream.epoch)

    def detach(self, proxy: Proxy, notice_s: float = 0.0) -> None:
        """Break the stream of a proxy; the pilot hears of it after `notice_s`."""
        stream = proxy.streams[self.pilot]
        if not stream.joined:
            return
        stream.joined = stream.has_read = False
        stream.epoch += 1
        stream.lost_at = time.monotonic()
        self._record.write("detach", pilot=self.pilot, proxy=proxy.number)
        if notice_s > 0:
            self._later(notice_s, lambda: self.news("detach", proxy=proxy.number))
        else:
            self.news("detach", proxy=proxy.number)

    def give(self, slice_number: int) -> None:
        """Give a slice to the pilot, with the lines that the store holds."""
        self.store.owner[slice_number] = self.pilot
        now = self.store.given_at[slice_number] = time.monotonic()
        for proxy in self.proxies:
            proxy.slice_levels.pop(slice_number, None)
            proxy.hands_at[slice_number] = now
            epoch = proxy.streams[self.pilot].epoch
            self._later(self._rng.uniform(*STORE_READ_S), self._read_slice, proxy, epoch, slice_number)
        self.news("owner", slice=slice_number, on=True)
        for name, weight in self.store.tables[slice_number].items():
            self.news("entry", slice=slice_number, server=name, weight=weight)

    def take(self, slice_number: int) -> None:
        """Withdraw a slice from the pilot."""
        if self.store.owner[slice_number] == self.pilot:
            self.store.owner[slice_number] = None
            self.news("owner", slice=slice_number, on=False)

    def drop_channel(self) -> None:
        """Lose everything that waits or travels, as the pilot has died."""
        self._waiting.clear()
        self._free_at = 0.0

    def slices(self) -> list[int]:
        """Return the slices in the charge of the pilot."""
        return [number for number, owner in enumerate(self.store.owner) if owner == self.pilot]

    def waited_s(self, since: float, until: float) -> float:
        """Return the seconds between two times for which the time limits waited."""
        covered, end = 0.0, since
        for start, length in sorted(self.waits):
            first, last = max(start, end), min(start + length, until)
            if last > first:
                covered += last - first
                end = last
        return covered

    def _read_store(self, proxy: Proxy, epoch: int) -> None:
        stream = proxy.streams[self.pilot]
        if not stream.joined or stream.epoch != epoch:
            return
        if proxy.is_stalled():
            self._later(proxy.stalled_until - time.monotonic(), self._read_store, proxy, epoch)
            return
        for slice_number in self.slices():
            proxy.tables[slice_number] = dict(self.store.tables[slice_number])
            proxy.read_at[slice_number] = time.monotonic()
        stream.has_read = True

    def _read_slice(self, proxy: Proxy, epoch: int, slice_number: int) -> None:
        stream = proxy.streams[self.pilot]
        if not stream.joined or stream.epoch != epoch or self.store.owner[slice_number] != self.pilot:
            return
        if proxy.is_stalled():
            self._later(proxy.stalled_until - time.monotonic(), self._read_slice, proxy, epoch, slice_number)
            return
        proxy.tables[slice_number] = dict(self.store.tables[slice_number])
        proxy.read_at[slice_number] = time.monotonic()

    @staticmethod
    def _later(delay_s: float, call: Any, *arguments: Any) -> None:
        asyncio.get_running_loop().call_later(max(0.0, delay_s), call, *arguments)

    # -- connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (request := await wire.read_request(reader)) is not None:
            if request.method == "GET" and request.target == "/watch":
                await self._serve_watch(reader, writer)
                return
            if not await self._serve_call(request, writer):
                return

    async def _serve_watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        watch = self.watch = wire.Watch(writer, self.site.piece, self.site.piece_gap)
        for proxy in self.proxies:
            stream = proxy.streams[self.pilot]
            if stream.joined:
                self.news("attach", proxy=proxy.number, zone=proxy.zone, weight=round(proxy.weight, 2), fresh=False)
        for slice_number in self.slices():
            self.news("owner", slice=slice_number, on=True)
            for name, weight in self.store.tables[slice_number].items():
                self.news("entry", slice=slice_number, server=name, weight=weight)
        beat = asyncio.create_task(self._beat(watch))
        try:
            await reader.read(1)
        finally:
            beat.cancel()

    async def _beat(self, watch: wire.Watch) -> None:
        await asyncio.sleep(FIRST_BEAT_S)
        while watch.is_open():
            if not self.service.is_cut:
                watch.line(b"{}")
            await asyncio.sleep(1.0)

    async def _serve_call(self, request: wire.Request, writer: asyncio.StreamWriter) -> bool:
        if self.service.is_cut:
            await asyncio.sleep(3600)
        try:
            orders = json.loads(request.body)["ops"]
        except (ValueError, KeyError):
            writer.write(wire.answer({"error": "SYNTAX"}, "400 Bad Request"))
            return True
        if self.busy:
            writer.write(wire.answer({"error": "BUSY"}, "409 Conflict"))
            return True
        fault = self.faults.popleft() if self.faults else ""
        self.calls += 1
        taken = len(orders)
        if fault not in ("ignored", "cut"):
            taken = self._carry_out(orders)
        self._record.write("call", pilot=self.pilot, orders=len(orders), taken=taken, fault=fault, ops=_brief(orders))
        if fault:
            self.waits.append((time.monotonic(), 0.5 if fault in ("cut", "cut_after") else 1.5))
        if fault in ("cut", "cut_after"):
            return False
        if fault in ("lost", "ignored"):
            await asyncio.sleep(3.0)
            return False
        await asyncio.sleep(0.01)
        writer.write(wire.answer({"taken": "?"} if fault == "spoilt" else {"taken": taken}))
        if self.on_call is not None:
            self.on_call(self.pilot, orders)
        return True

    # -- orders

    def _carry_out(self, orders: list[Order]) -> int:
        taken, carried = 0, []
        for order in orders:
            if order["op"] in ("SET", "OUT", "IN") and order["server"] not in self.server_names:
                break
            taken += 1
            if order["op"] in ("SET", "DEL") and order["table"] != "*":
                if self.store.owner[order["table"]] != self.pilot:
                    continue
                self._change_table(order)
            carried.append(order)
        if carried:
            self._send(carried)
        return taken

    def _change_table(self, order: Order) -> None:
        self.store.change(order["table"], order, self.site.sole_owner)

    def _send(self, orders: list[Order]) -> None:
        now = time.monotonic()
        to_all = any(order["op"] == "SYNC" and order.get("on") for order in orders)
        self.largest = max(self.largest, len(orders))
        for proxy in self.proxies:
            stream = proxy.streams[self.pilot]
            if not stream.joined:
                continue
            lines = sum(1 for order in orders if _concerns(order, proxy))
            if not lines and not to_all:
                continue
            self._enqueue(proxy, orders, lines + self.site.head, now)
        while self._waiting and self._waiting[0][0] <= now:
            self._waiting.popleft()
        waiting = sum(lines for _, lines in self._waiting)
        if waiting > self.site.most_waiting:
            self._record.breach("queue", f"{waiting:.0f} lines wait in the channel of pilot {self.pilot}")

    def _enqueue(self, proxy: Proxy, orders: list[Order], lines: float, now: float) -> None:
        stream = proxy.streams[self.pilot]
        self._free_at = max(now, self._free_at) + lines / self.site.lines_per_s
        self._waiting.append((self._free_at, lines))
        stream.written = [at for at in stream.written if at > now - self.site.window] + [now]
        if self.site.messages and len(stream.written) > self.site.messages:
            self._record.breach("messages", f"{len(stream.written)} to proxy {proxy.number} in {self.site.window} s")
        transit = self._rng.uniform(*self.site.late)
        stream.deliver_at = max(stream.deliver_at + IN_ORDER_S, self._free_at + transit)
        asyncio.get_running_loop().call_at(
            asyncio.get_running_loop().time() + stream.deliver_at - now, self._deliver, proxy, stream.epoch, orders, now
        )

    def _deliver(self, proxy: Proxy, epoch: int, orders: list[Order], ordered_at: float) -> None:
        stream = proxy.streams[self.pilot]
        if not stream.joined or stream.epoch != epoch:
            return
        if proxy.is_stalled():
            self._later(proxy.stalled_until - time.monotonic() + 0.001, self._deliver, proxy, epoch, orders, ordered_at)
            return
        stream.last_ordered = max(stream.last_ordered, ordered_at)
        for order in orders:
            if order["op"] == "SYNC":
                took_ms = (time.monotonic() - ordered_at) * 1000
                self.news("done", proxy=proxy.number, mark=order["nonce_out"], took_ms=round(took_ms, 1))
            else:
                self._apply(proxy, order)

    def _apply(self, proxy: Proxy, order: Order) -> None:
        kind = order["op"]
        if kind in ("SET", "DEL"):
            if self.store.owner[order["table"]] == self.pilot:
                apply_table_order(proxy.tables.setdefault(order["table"], {}), order, self.site.sole_owner)
                if kind == "DEL":
                    proxy.slice_levels.pop(order["table"], None)
        elif kind == "OUT":
            proxy.outs[self.pilot].add(order["server"])
        elif kind == "IN":
            proxy.outs[self.pilot].discard(order["server"])
        elif kind == "LIMIT":
            levels = proxy.levels[self.pilot]
            if order["table"] != "*":
                levels = proxy.slice_levels.setdefault(order["table"], {})
            routes = CLASSES if order["routes"] == "*" else order["routes"]
            levels.update((CLASSES.index(name), order["admit"]) for name in routes)


def apply_table_order(table: dict[str, float], order: Order, sole_owner: bool) -> None:
    """Change one line of a table, or empty it."""
    if order["op"] == "DEL":
        table.clear()
    elif order["weight"] > 0:
        if sole_owner and order["server"] not in table:
            table.clear()
        table[order["server"]] = order["weight"]
    else:
        table.pop(order["server"], None)


def _concerns(order: Order, proxy: Proxy) -> bool:
    if order["op"] in ("OUT", "IN"):
        return any(order["server"] in table for table in proxy.tables.values())
    return True


def _brief(orders: list[Order]) -> str:
    names = {"SET": "{table}:{server}={weight}", "DEL": "{table}", "OUT": "{server}", "IN": "{server}"}
    names |= {"LIMIT": "{table}:{admit}", "SYNC": "{nonce_out}"}
    return " ".join(f"{order['op']} {names[order['op']].format(**order)}" for order in orders)
