"""A fake of the platform's registry of proxies: it stores tables, accepts requests and reports changes on a watch.

A test queues faults in `FakeRegistry.faults`. Each request with orders removes the first fault from the queue and fails
accordingly.
"""

from __future__ import annotations

import json
from collections import deque
from enum import Enum, auto
from typing import Any, NamedTuple

import anyio
from anyio.abc import SocketStream

from damsonpick.testing.fakes import faulty_http

Order = dict[str, Any]

INVALID_ANSWER = b'{"taken":-1}'
OUT_OF_RANGE_ANSWER = b'{"taken":999999}'
SYNTAX_ANSWER = b'{"error":"SYNTAX"}'
SYNC_LATENCY_MS = 1.0  # latency that the fake reports for every sync token


class RequestFault(Enum):
    """How a request with orders fails. The comments say first whether the orders are applied."""

    ANSWER_LOST = auto()  # applied; the connection is closed before the response
    ANSWER_WITHHELD = auto()  # applied; no response is sent
    ANSWER_INVALID = auto()  # applied; the response has a negative count of applied orders
    ANSWER_OUT_OF_RANGE = auto()  # applied; the response counts more orders than the request had
    ANSWER_HELD = auto()  # applied; the response is sent once the gate is opened
    SYNC_WITHHELD = auto()  # applied, and the response is sent; the sync tokens are never acknowledged
    CONNECTION_CUT = auto()  # not applied; the connection is closed without a response
    IGNORED = auto()  # not applied; no response is sent
    BUSY = auto()  # rejected with the error BUSY
    SYNTAX = auto()  # rejected with the error SYNTAX


class PartlyApplied(NamedTuple):
    """A fault with which only the first orders of a request are applied. The response states their number.

    Attributes:
        orders: Number of orders that are applied.
    """

    orders: int


REJECTIONS = {RequestFault.BUSY, RequestFault.SYNTAX}
UNREADABLE_ANSWERS = {
    RequestFault.ANSWER_INVALID: INVALID_ANSWER,
    RequestFault.ANSWER_OUT_OF_RANGE: OUT_OF_RANGE_ANSWER,
}


class FakeRegistry(faulty_http.WatchServer):
    """The registry.

    Attributes:
        tables: Table of each slice that the pilot owns, by slice number. A table maps a server to its weight.
        members: Connected proxies by number, with the fields that the watch reports.
        levels: Admitted share, by route.
        withdrawn: Servers that no proxy may use.
        faults: Queue of faults. Each request with orders removes the first fault and fails accordingly.
        request_count: Number of requests with orders received so far.
        gate: Blocks the responses of requests with the fault ANSWER_HELD.
    """

    heartbeat_line = b"{}"
    heartbeat_interval_s = 0.2  # the real registry sends one per second

    def __init__(self, slices: int, proxies: int, zones: tuple[str, ...] = ("a",)) -> None:
        """Create a registry with empty tables.

        Args:
            slices: Number of slices that the pilot owns.
            proxies: Number of connected proxies.
            zones: Zones of the proxies, assigned round-robin.
        """
        super().__init__()
        self.tables: dict[int, dict[str, float]] = {number: {} for number in range(slices)}
        self.members = {
            number: {"proxy": number, "zone": zones[number % len(zones)], "weight": 5.0, "fresh": True}
            for number in range(proxies)
        }
        self.levels: dict[str, float] = {}
        self.withdrawn: set[str] = set()
        self.faults: deque[RequestFault | PartlyApplied] = deque()
        self.request_count = 0
        self.gate = faulty_http.Gate()

    # Changes made by a test

    async def revoke_slice(self, number: int) -> dict[str, float]:
        """End the pilot's ownership of a slice, report the end on the watches, and return the table of the slice."""
        table = self.tables.pop(number)
        await self.send_line(_watch_line("owner", slice=number, on=False))
        return table

    async def assign_slice(self, number: int, table: dict[str, float]) -> None:
        """Make the pilot the owner of a slice with this table, and report both on the watches."""
        self.tables[number] = dict(table)
        await self.send_line(_watch_line("owner", slice=number, on=True))
        for server, weight in table.items():
            await self.send_line(_watch_line("entry", slice=number, server=server, weight=weight))

    async def reconnect_proxies(self) -> None:
        """Report on the watches that each proxy disconnects and connects again with its old tables, not `fresh`."""
        for member in self.members.values():
            await self.send_line(_watch_line("detach", proxy=member["proxy"]))
            member["fresh"] = False
            await self.send_line(_watch_line("attach", **member))

    # Requests

    async def serve(self, request: faulty_http.Request, stream: SocketStream) -> bool:
        """Open a watch or respond to a request with orders. Return whether the connection stays open."""
        if request.method == "GET" and request.target == "/watch":
            await self.watch(stream, self._initial_lines())
            return False
        try:
            orders = json.loads(request.body)["ops"]
        except (ValueError, KeyError, TypeError):
            await stream.send(faulty_http.response_bytes(SYNTAX_ANSWER, "400 Bad Request"))
            return True
        return await self._serve_orders(orders, stream)

    def _initial_lines(self) -> list[bytes]:
        """Return the lines with which a watch begins: all proxies, owned slices and table entries."""
        lines = [_watch_line("attach", **member) for member in self.members.values()]
        for number, table in self.tables.items():
            lines.append(_watch_line("owner", slice=number, on=True))
            lines += [_watch_line("entry", slice=number, server=name, weight=weight) for name, weight in table.items()]
        return lines

    async def _serve_orders(self, orders: list[Order], stream: SocketStream) -> bool:
        self.request_count += 1
        fault = self.faults.popleft() if self.faults else None
        if fault in REJECTIONS:
            body = json.dumps({"error": fault.name}).encode()
            await stream.send(faulty_http.response_bytes(body, "409 Conflict"))
            return True
        if fault is RequestFault.CONNECTION_CUT:
            return False
        if fault is RequestFault.IGNORED:
            await anyio.sleep_forever()
        applied = orders[: fault.orders] if isinstance(fault, PartlyApplied) else orders
        await self._apply(applied, reports_sync=fault is not RequestFault.SYNC_WITHHELD)
        return await self._respond(len(applied), fault, stream)

    async def _apply(self, orders: list[Order], reports_sync: bool) -> None:
        """Apply orders. Then send to all watches, for each proxy, the acknowledgement of each sync token in the orders.

        No acknowledgement is sent if `reports_sync` is False or the registry is silent.
        """
        tokens = []
        for order in orders:
            if order["op"] == "SYNC":
                tokens.append(order["nonce_out"])
            else:
                self._apply_order(order)
        if self.silent or not reports_sync:
            return
        for token in tokens:
            for proxy in list(self.members):
                await self.send_line(_watch_line("done", proxy=proxy, mark=token, took_ms=SYNC_LATENCY_MS))

    async def _respond(self, applied: int, fault: RequestFault | PartlyApplied | None, stream: SocketStream) -> bool:
        if fault is RequestFault.ANSWER_LOST:
            return False
        if fault is RequestFault.ANSWER_HELD:
            await self.gate.wait()
        if fault is RequestFault.ANSWER_WITHHELD:
            await anyio.sleep_forever()
        body = UNREADABLE_ANSWERS.get(fault, json.dumps({"taken": applied}).encode())
        await stream.send(faulty_http.response_bytes(body))
        return True

    def _apply_order(self, order: Order) -> None:
        kind = order["op"]
        if kind == "SET" and order["table"] in self.tables:
            self._set_weight(self.tables[order["table"]], order["server"], order["weight"])
        elif kind == "DEL" and order["table"] in self.tables:
            self.tables[order["table"]].clear()
        elif kind == "OUT":
            self.withdrawn.add(order["server"])
        elif kind == "IN":
            self.withdrawn.discard(order["server"])
        elif kind == "LIMIT":
            self.levels.update((route, order["admit"]) for route in order["routes"])

    @staticmethod
    def _set_weight(table: dict[str, float], server: str, weight: float) -> None:
        if weight > 0:
            table[server] = weight
        else:
            table.pop(server, None)


def _watch_line(kind: str, **fields: Any) -> bytes:
    """Return a line of the watch, without its line feed."""
    return json.dumps({"type": kind, "object": fields}).encode()
