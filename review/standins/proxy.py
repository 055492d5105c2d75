"""A proxy: its streams, tables and withdrawals, and how it picks a line."""

from __future__ import annotations

import random
import time
from typing import Any

Order = dict[str, Any]
STRIKES = 3
AVOID_S = (2.2, 6.8)


class Stream:
    """The stream of a proxy to one pilot."""

    def __init__(self) -> None:
        """Create a stream that has never been open."""
        self.joined = False
        self.at = 0.0  # time of joining
        self.epoch = 0
        self.known = False  # whether there was a stream to this pilot since the proxy started
        self.fresh = True
        self.silent = False  # whether the stream is cut without a sign, which the relay has not noticed yet

    def reaches(self) -> bool:
        """Return whether the proxy counts as joined: its stream has neither broken nor fallen silent."""
        return self.joined and not self.silent


class Proxy:
    """One proxy."""

    def __init__(self, number: int, zone: str, rate: float, pilots: int, one_line: bool) -> None:
        """Create a proxy without streams. With `one_line`, a new line of a table replaces the old one."""
        self.number, self.zone, self.rate, self.one_line = number, zone, rate, one_line
        self.random = random.Random(f"proxy-{number}")
        self.streams = [Stream() for _ in range(pilots)]
        self.running = True
        self.stalled_until = 0.0
        self.starts = 1
        self.tables: dict[int, dict[str, float]] = {}
        self.withdrawn: list[set[str]] = [set() for _ in range(pilots)]
        self.levels: list[dict[str, float]] = [{} for _ in range(pilots)]
        self.policy: list[dict[str, int]] = [{} for _ in range(pilots)]
        self.outstanding: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.avoided_until: dict[str, float] = {}

    def attach_fields(self, pilot: int) -> dict[str, object]:
        """Return the fields of the news that this proxy is joined."""
        return {"proxy": self.number, "zone": self.zone, "weight": self.rate, "fresh": self.streams[pilot].fresh}

    def restart(self) -> None:
        """Lose everything, as a process that starts again."""
        self.starts += 1
        self.tables = {}
        self.withdrawn = [set() for _ in self.streams]
        self.levels = [{} for _ in self.streams]
        self.policy = [{} for _ in self.streams]
        self.outstanding, self.failures, self.avoided_until = {}, {}, {}
        for stream in self.streams:
            stream.known = False

    def apply(self, pilot: int, orders: list[Order]) -> None:
        """Apply the orders of one message."""
        for order in orders:
            kind = order["op"]
            if kind == "SET":
                table = self.tables.setdefault(order["table"], {})
                if self.one_line and order["weight"] > 0:
                    table.clear()
                if order["weight"] > 0:
                    table[order["server"]] = order["weight"]
                else:
                    table.pop(order["server"], None)
            elif kind == "DEL":
                self.tables[order["table"]] = {}
            elif kind == "OUT":
                self.withdrawn[pilot].add(order["server"])
            elif kind == "IN":
                self.withdrawn[pilot].discard(order["server"])
            elif kind == "LIMIT" and order["table"] == "*":
                self._limit(pilot, order)

    def _limit(self, pilot: int, order: Order) -> None:
        routes = order["routes"] if order["routes"] != "*" else ["*"]
        for route in routes:
            self.levels[pilot][route] = order["admit"]
            self.policy[pilot][route] = order["policy"]

    def lines(self, slice_number: int, pilot: int | None) -> dict[str, float]:
        """Return the lines of a slice's table that are not withdrawn."""
        table = self.tables.get(slice_number, {})
        if pilot is None:
            return table
        out = self.withdrawn[pilot]
        return {name: weight for name, weight in table.items() if name not in out} if out else table

    def pick(self, lines: dict[str, float], tried: str = "") -> str | None:
        """Draw two lines by weight and return the one with less own work out; avoid endpoints that keep failing."""
        now = time.monotonic()
        names = [name for name in lines if name != tried]
        good = [name for name in names if self.avoided_until.get(name, 0.0) <= now] or names
        if not good:
            return None
        first, second = self.random.choices(good, [lines[name] for name in good], k=2)
        return second if self.outstanding.get(second, 0) < self.outstanding.get(first, 0) else first

    def ended(self, name: str, succeeded: bool) -> None:
        """Count the end of a try."""
        self.outstanding[name] = max(0, self.outstanding.get(name, 1) - 1)
        if succeeded:
            self.failures.pop(name, None)
            return
        self.failures[name] = self.failures.get(name, 0) + 1
        if self.failures[name] >= STRIKES:
            self.failures.pop(name)
            self.avoided_until[name] = time.monotonic() + self.random.uniform(*AVOID_S)
