"""Checks the five rules of the running program against what passed on the sockets.

Reads records (see standins.record) of gateways, servers and the list server, in order of time, and knows
nothing of the pilot's state. Each rule says how often it was tested, the worst figure against its limit,
and every breach with time, gateway, slice and server.

Records: `list` (what the pilot was told), `stream` and `got` (gateway: stream up or down, response read),
`try` and `done` (gateway: request sent, client's outcome), `up`, `down`, `fell`, `in`, `ran` (server).
A response's nonce is `count.ordered.left.lines`: when its oldest order was given, when it left, in ns of
the day, and the lines that it was counted as; 0 lines: the first tables of a stream, read as from a store.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from typing import Any, NamedTuple

SECOND = 1_000_000_000
VANISH, VANISH_LEAST, VANISH_CONFIRMED = 0.4, 3, 30 * SECOND  # see docs/design/knowledge.md
SLACK_MS = 1500.0  # of work that may come to a cold server above the rule, by chance


class Limits(NamedTuple):
    """The figures behind the rules; times in ns of the day."""

    slices: int
    bare: int
    grace: int
    cold_time: int
    fall_multiple: float
    fall_time: int
    waiting: float  # lines
    head: float
    messages: int
    window: int
    effects: dict[str, tuple[str, str, int]]  # class: effect, scope, window


class Breach(NamedTuple):
    t: int
    gateway: str
    slice: int
    server: str
    text: str


class Result:
    """What one rule showed."""

    def __init__(self, name: str, limit: float, unit: str) -> None:
        self.name, self.limit, self.unit = name, limit, unit
        self.tested, self.worst = 0, 0.0
        self.breaches: list[Breach] = []

    def see(self, figure: float) -> None:
        self.tested += 1
        self.worst = max(self.worst, figure)

    def breach(self, event: dict[str, Any], text: str, number: int = -1) -> None:
        self.breaches.append(
            Breach(event["t"], event.get("gw", "-"), event.get("slice", number), event.get("server", "-"), text)
        )


class Gateway:
    """A gateway as its wire shows it."""

    def __init__(self) -> None:
        self.joined = 0  # since when; 0: no stream
        self.told = 0  # when the last message left the pilot for it
        self.tables: dict[int, set[str]] = {}
        self.out: set[str] = set()
        self.bare: dict[int, int] = {}  # slice: since when
        self.sent: deque[int] = deque()

    def is_bare(self, number: int) -> bool:
        return not self.tables.get(number, set()) - self.out


class Server:
    """A server as its own records show it."""

    def __init__(self, event: dict[str, Any]) -> None:
        self.capacity, self.started = event["capacity"], event["started"]
        self.cold_share, self.cold_time = event["cold_share"], event["cold_time"]
        self.zone = event.get("zone", "")
        self.window: deque[tuple[int, float, bool]] = deque()

    def ramp(self, now: int) -> float:
        age = now - self.started
        if not self.started or age >= self.cold_time:
            return 1.0
        return self.cold_share + (1 - self.cold_share) * age / self.cold_time


class Checker:
    """Feed it records in order of time, then ask for `results`."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.bare = Result("nobody left without a server", limits.bare / SECOND, "s")
        self.twice = Result("no effect twice", 1, "runs")
        self.drain = Result("drains kept", limits.grace / SECOND, "s")
        self.cold = Result("no cold server pushed over", 1.0, "of the limit")
        self.queue = Result("a short queue", limits.waiting, "lines")
        self.gateways: dict[str, Gateway] = {}
        self.servers: dict[str, Server] = {}
        self.listed: dict[str, list[Any]] = {}
        self.ready = False
        self.missing_since = 0
        self.ready_at = 0  # when a server under way to be warm will be
        self.out: dict[str, int] = {}  # server: since when the pilot knows it as draining or gone
        self.starts: dict[tuple[str, int], int] = {}  # (server, start): when the pilot was told of it
        self.ran: dict[str, list[tuple[int, str]]] = {}
        self.tries: dict[str, dict[str, Any]] = {}
        self.messages: list[tuple[int, int, float]] = []

    def feed(self, events: Iterable[dict[str, Any]]) -> Checker:
        last = 0
        for event in events:
            last = event["t"]
            if not self.ready and self.ready_at and last >= self.ready_at:
                self._set_ready(last)
            handler = getattr(self, "on_" + event["e"], None)
            if handler is not None:
                handler(event)
        self._finish(last)
        return self

    def results(self) -> list[Result]:
        return [self.bare, self.twice, self.drain, self.cold, self.queue]

    # -- the list

    def on_list(self, event: dict[str, Any]) -> None:
        """An empty list is a failed source, not news that all are gone."""
        entries = event["entries"]
        if not entries:
            return
        entries = self._doubted(event["t"], entries)
        for server in {*self.listed, *entries}:
            state = entries[server][0] if server in entries else "terminated"
            if state == "in_service":
                self.out.pop(server, None)
                self.starts.setdefault((server, entries[server][1]), event["t"])
            elif server in self.listed or state == "terminating":
                if server not in self.out:  # each gateway on a stream owes this one
                    self.drain.tested += sum(bool(g.joined) for g in self.gateways.values())
                self.out.setdefault(server, event["t"])
        self.listed = dict(entries)
        self._set_ready(event["t"])

    def _doubted(self, now: int, entries: dict[str, Any]) -> dict[str, Any]:
        """A large part that vanishes in one list is no news until the list has said so for a while; a state that is
        stated always is."""
        serving = [n for n, e in self.listed.items() if e[0] == "in_service"]
        missing = [n for n in serving if n not in entries]
        if len(missing) < VANISH_LEAST or len(missing) <= VANISH * len(serving):
            self.missing_since = 0
            return entries
        self.missing_since = self.missing_since or now
        if now - self.missing_since >= VANISH_CONFIRMED:
            return entries
        return entries | {n: self.listed[n] for n in missing}

    def _set_ready(self, now: int) -> None:
        """Whether the list shows a server in service that is no longer cold; time without one does not count."""
        warm = [
            start + self.limits.cold_time if start else 0
            for state, start, *_ in self.listed.values()
            if state == "in_service"
        ]
        was, self.ready = self.ready, any(at <= now for at in warm)
        self.ready_at = min(warm, default=0)
        if self.ready and not was:
            for gateway in self.gateways.values():
                gateway.bare = dict.fromkeys(gateway.bare, now)

    # -- gateways

    def _gateway(self, name: str) -> Gateway:
        return self.gateways.setdefault(name, Gateway())

    def on_stream(self, event: dict[str, Any]) -> None:
        gateway = self._gateway(event["gw"])
        if event["up"]:
            gateway.joined = event["t"]
            if event.get("fresh"):
                gateway.tables, gateway.out = {}, set()
            gateway.sent.clear()
            self.drain.tested += len(self.out)  # owed by it from now on
            self._look(event, gateway, range(self.limits.slices))
        else:
            gateway.joined = 0
            gateway.bare.clear()

    def on_got(self, event: dict[str, Any]) -> None:
        gateway = self._gateway(event["gw"])
        gateway.told = max(gateway.told, event["t"])
        self._message(event, gateway)
        if event["nack"] or event["type"] != "ClusterLoadAssignment":
            return
        touched: Iterable[int] = []
        for name, shown in event["res"].items():
            if name == "fleet":
                gateway.out = set(shown["lines"])
                touched = range(self.limits.slices)
            elif name.startswith("slice/"):
                number = int(name[6:])
                gateway.tables[number] = set(shown["lines"])
                touched = touched if isinstance(touched, range) else [*touched, number]
        for name in event["removed"]:
            if name.startswith("slice/"):
                gateway.tables.pop(int(name[6:]), None)
                touched = touched if isinstance(touched, range) else [*touched, int(name[6:])]
        if gateway.joined:
            self._look(event, gateway, touched)

    def _look(self, event: dict[str, Any], gateway: Gateway, numbers: Iterable[int]) -> None:
        for number in numbers:
            if gateway.is_bare(number):
                gateway.bare.setdefault(number, event["t"])
            elif number in gateway.bare:
                self._bare_for(event, gateway, number)
                del gateway.bare[number]
            else:
                self.bare.tested += 1

    def _bare_for(self, event: dict[str, Any], gateway: Gateway, number: int) -> None:
        length = event["t"] - gateway.bare[number] if self.ready else 0
        self.bare.see(length / SECOND)
        if length > self.limits.bare:
            self.bare.breach(event, f"slice {number} had no line for {length / SECOND:.2f} s", number)

    def _message(self, event: dict[str, Any], gateway: Gateway) -> None:
        parts = event["nonce"].split(".")
        if len(parts) != 4 or not float(parts[3]):
            return
        ordered, left, lines = int(parts[1]), int(parts[2]), float(parts[3]) + self.limits.head
        self.messages.append((ordered, left, lines))
        if self.limits.messages:
            gateway.sent.append(left)
            while gateway.sent[0] <= left - self.limits.window:
                gateway.sent.popleft()
            if len(gateway.sent) > self.limits.messages:
                self.queue.breach(event, f"{len(gateway.sent)} messages in the window, {self.limits.messages} allowed")

    def on_try(self, event: dict[str, Any]) -> None:
        gateway, server = self._gateway(event["gw"]), event["server"]
        rid, effect = event["id"], self.limits.effects.get(event["kind"], ("read_like", "all", 0))[0]
        if effect == "non_idempotent" and rid in self.ran:
            self.twice.breach(event, f"{rid} was sent again after it had run")
        self.tries[rid] = event
        told = self.out.get(server)
        if told is None or not gateway.joined:
            return
        late = (event["t"] - max(told, gateway.joined)) / SECOND
        self.drain.see(max(0.0, late))
        if late > self.limits.grace / SECOND:
            self.drain.breach(event, f"sent {late:.2f} s after the pilot knew that it drains or is gone")

    # -- servers

    def on_up(self, event: dict[str, Any]) -> None:
        self.servers[event["server"]] = Server(event)

    def on_in(self, event: dict[str, Any]) -> None:
        server = self.servers.get(event["server"])
        if server is None or server.ramp(event["t"]) >= 1:
            return
        now, window = event["t"], self.limits.fall_time
        server.window.append((now, event["work"], self._knew(event, server)))
        while server.window[0][0] < now - window:
            server.window.popleft()
        work = sum(w for _, w, _ in server.window)
        knowing = sum(w for _, w, knew in server.window if knew)
        most = self.limits.fall_multiple * server.capacity * server.ramp(now) * window / 1e6 + SLACK_MS
        if 3 * knowing < 2 * work:
            return
        self.cold.see(work / most)
        if work > most:
            self.cold.breach(event, f"{work:.0f} ms of work within {window / SECOND:g} s, it stands {most:.0f}")

    def _knew(self, event: dict[str, Any], server: Server) -> bool:
        """Whether the gateway acted on a message sent with knowledge of the start, or the grace had passed."""
        told = self.starts.get((event["server"], server.started))
        sent = self.tries.get(event["id"])
        if told is None or sent is None:
            return False
        return self._gateway(sent["gw"]).told >= told or event["t"] >= told + self.limits.grace

    def on_ran(self, event: dict[str, Any]) -> None:
        effect, scope, window = self.limits.effects.get(event["kind"], ("read_like", "all", 0))
        before = self.ran.setdefault(event["id"], [])
        before.append((event["t"], event["server"]))
        if effect == "read_like":
            return
        self.twice.see(len(before))
        if len(before) < 2:
            return
        first, there = before[0]
        kept = scope == "all" or self._zone(there) == self._zone(event["server"])
        if effect == "non_idempotent" or not kept or event["t"] - first > window:
            self.twice.breach(event, f"{event['id']} ran {len(before)} times")

    def _zone(self, server: str) -> str:
        return self.servers[server].zone if server in self.servers else ""

    # -- the end

    def _finish(self, now: int) -> None:
        for name, gateway in self.gateways.items():
            for number in list(gateway.bare):
                self._bare_for({"t": now, "gw": name}, gateway, number)
        self._queue()

    def _queue(self) -> None:
        """Most lines that waited at one time: from when each was ordered until it left."""
        steps = sorted(
            [(ordered, lines) for ordered, _, lines in self.messages]
            + [(left, -lines) for _, left, lines in self.messages]
        )
        waiting = 0.0
        for t, lines in steps:
            waiting += lines
            if lines > 0:
                self.queue.see(waiting)
                if waiting > self.limits.waiting:
                    self.queue.breach({"t": t}, f"{waiting:.0f} lines wait")
