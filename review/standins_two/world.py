"""One play: the platform, the pilots, proxies, servers and clients of a small deployment, and the rules."""

from __future__ import annotations

import asyncio
import contextlib
import random
import shutil
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any

from review.standins_two import proxies as proxy_module
from review.standins_two.discovery import Discovery
from review.standins_two.pilots import Pilot
from review.standins_two.proxies import Proxy
from review.standins_two.record import Record
from review.standins_two.relay import Relay, Store
from review.standins_two.servers import Outcome, Server
from review.standins_two.site import CLASSES, Site

SLACK_S = 0.3  # by which the time limits are longer on sockets
START_SLACK_S = 1.0  # they begin no sooner than this after the pilot's first answer
HOLD_S = 0.2
DEADLINE_S = 3.0
REPORT_LATE_S = (0.3, 1.0)
REDIAL_S = (0.22, 2.5)


class World:
    """A deployment that runs in real time.

    Attributes:
        site: Its figures.
        record: What happened.
        servers: Servers by name.
        relays: What each pilot reaches as the relay.
        clients_on: Whether clients send requests.
    """

    def __init__(self, site: Site, record: Record, seed: int) -> None:
        """Create a deployment in which nothing runs yet."""
        self.site, self.record = site, record
        self.rng = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store(site)
        weights = [self.rng.lognormvariate(0, 0.8) for _ in range(site.proxies)]
        scale = site.rate / sum(weights)
        self.proxies = [Proxy(number, weight * scale, site) for number, weight in enumerate(weights)]
        self.servers: dict[str, Server] = {}
        self.discovery = Discovery(site.pilots, record)
        self.relays = [Relay(p, site, self.store, self.proxies, record, self.rng) for p in range(site.pilots)]
        self.pilots = [Pilot(p, self.folder) for p in range(site.pilots)]
        self.slice_weights = [self.rng.lognormvariate(0, 0.6) for _ in range(site.slices)]
        self.hot: dict[int, float] = {}
        self.clients_on = True
        self.tasks: list[asyncio.Task[Any]] = []
        self.results: Counter[str] = Counter()
        self.latest_drain = 0.0
        self.cut_pilots: set[int] = set()
        self._requests = 0
        self._bare_since: dict[tuple[int, int], float] = {}
        self._broken: set[tuple[Any, ...]] = set()
        self._owners: dict[int, int] = {}
        self._seen: list[Counter[tuple[str, str, str]]] = [Counter() for _ in range(site.pilots)]
        self._times: list[Counter[tuple[str, str]]] = [Counter() for _ in range(site.pilots)]
        self._heat: list[Counter[tuple[int, int, str]]] = [Counter() for _ in range(site.pilots)]
        for _ in range(site.servers):
            self.add_server("Ready")
        names = list(self.servers)
        for number in range(site.slices):
            self.store.tables[number] = {names[number % len(names)]: 1.0}

    # -- the platform

    def add_server(self, state: str = "", started: float = 0.0) -> Server:
        """Add a server with a new id."""
        name = f"s-{self.rng.getrandbits(32):08x}"
        zone = self.site.zones[len(self.servers) % len(self.site.zones)]
        server = Server(name, zone, self.rng.choice((1.0, 1.2)), self.site, self.record)
        server.started = started
        self.servers[name] = server
        if state:
            self.discovery.set_state(server, state)
        for relay in self.relays:
            relay.server_names.add(name)
        return server

    def config(self, pilot: int) -> dict[str, Any]:
        """Return the configuration of a pilot."""
        return {
            "name": f"n{pilot}",
            "listen": f"127.0.0.1:{self.pilots[pilot].port}",
            "discovery": f"127.0.0.1:{self.discovery.services[pilot].port}",
            "seed": f"{self.rng.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "registry": {"address": f"127.0.0.1:{self.relays[pilot].service.port}"},
            "known": self.discovery.known_list(pilot),
            "settings": self.site.settings(pilot),
        }

    async def open(self) -> bool:
        """Start everything. Return whether all pilots got ready."""
        await self.discovery.open()
        for pilot in range(self.site.pilots):
            self.discovery.known[pilot] = dict(self.discovery.entries)
            self.discovery.known_version[pilot] = self.discovery.version
        for relay in self.relays:
            await relay.service.open()
        for pilot in self.pilots:
            pilot.start(self.config(pilot.number))
        ready = await asyncio.gather(*(pilot.wait_until_ready() for pilot in self.pilots))
        if not all(ready):
            return False
        for relay in self.relays:
            relay.busy = False
            for number in range(relay.pilot, self.site.slices, self.site.pilots):
                relay.give(number)
            for proxy in self.proxies:
                relay.attach(proxy)
        for work in (self.discovery.beat(), self._clients(), self._reports(), self._watch_rules()):
            self.tasks.append(asyncio.create_task(work))
        return True

    async def restart_pilot(
        self, number: int, *, term: bool = False, down_s: float = 0.5, known: dict[str, Any] | None = None
    ) -> bool:
        """End a pilot and start it again. Its slices go to another one meanwhile, if there is one."""
        await self.end_pilot(number, term)
        await asyncio.sleep(down_s)
        return await self.start_pilot(number, known)

    async def end_pilot(self, number: int, term: bool = False) -> None:
        """End a pilot; its streams break at once, and its slices go to another one later."""
        self.record.write("pilot_ends", pilot=number, term=term)
        ending = asyncio.create_task(self.pilots[number].end(term))
        relay = self.relays[number]
        if not term:
            await ending
        for proxy in self.proxies:
            relay.detach(proxy)
        await ending
        relay.drop_channel()
        relay.service.reset_connections()
        if self.site.pilots > 1:
            self.tasks.append(asyncio.create_task(self._take_over(number)))

    async def _take_over(self, number: int) -> None:
        await asyncio.sleep(self.site.takeover)
        others = [p.number for p in self.pilots if p.number != number and p.first_answer is not None]
        if others and self.pilots[number].first_answer is None:
            for slice_number in self.relays[number].slices():
                self.relays[number].take(slice_number)
                self.relays[others[0]].give(slice_number)

    async def start_pilot(self, number: int, known: dict[str, Any] | None = None) -> bool:
        """Start a pilot again, and put it to use once it answers."""
        config = self.config(number)
        if known is not None:
            config["known"] = known
        self.record.write("pilot_starts", pilot=number)
        self.pilots[number].start(config)
        if not await self.pilots[number].wait_until_ready():
            return False
        self.record.write("pilot_ready", pilot=number)
        relay = self.relays[number]
        for proxy in self.proxies:
            if proxy.alive:
                relay.attach(proxy)
        for slice_number in range(number, self.site.slices, self.site.pilots):
            owner = self.store.owner[slice_number]
            if owner is not None and owner != number:
                self.relays[owner].take(slice_number)
            if owner != number:
                relay.give(slice_number)
        return True

    async def cut_off(self, number: int, seconds: float) -> None:
        """Cut the machine of a pilot off: open connections stay silent, and new ones never come up."""
        self.record.write("cut_off", pilot=number, seconds=seconds)
        relay, services = self.relays[number], (self.relays[number].service, self.discovery.services[number])
        self.cut_pilots.add(number)
        for service in services:
            service.cut()
        for proxy in self.proxies:
            relay.detach(proxy)
        relay.drop_channel()
        await asyncio.sleep(min(self.site.takeover, seconds))
        others = [p.number for p in self.pilots if p.number not in self.cut_pilots and p.first_answer is not None]
        lost = relay.slices() if others and self.site.takeover < seconds else []
        for slice_number in lost:
            relay.take(slice_number)
            self.relays[others[0]].give(slice_number)
        await asyncio.sleep(max(0.0, seconds - self.site.takeover))
        self.record.write("back", pilot=number)
        self.cut_pilots.discard(number)
        relay.waits.append((time.monotonic() - seconds, seconds + 4.0))
        for service in services:
            service.restore()
        for slice_number in lost:
            self.relays[others[0]].take(slice_number)
            relay.give(slice_number)
        for proxy in self.proxies:
            asyncio.get_running_loop().call_later(self.rng.uniform(*REDIAL_S), self._redial, relay, proxy)

    def _redial(self, relay: Relay, proxy: Proxy) -> None:
        if relay.pilot not in self.cut_pilots and self.pilots[relay.pilot].first_answer is not None:
            relay.attach(proxy)

    def stall(self, proxies: list[Proxy], seconds: float) -> None:
        """Let proxies stand still."""
        self.record.write("stall", proxies=[proxy.number for proxy in proxies], seconds=seconds)
        for proxy in proxies:
            proxy.stalled_until = time.monotonic() + seconds

    async def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for pilot in self.pilots:
            if pilot.expected and not pilot.is_running():
                self.record.breach("crash", f"pilot {pilot.number} ended by itself")
        for task in self.tasks:
            task.cancel()
        for pilot in self.pilots:
            await pilot.end(True)
        self.record.write("results", **self.results)
        shutil.rmtree(self.folder, ignore_errors=True)

    # -- clients and proxies

    async def _clients(self) -> None:
        due = time.monotonic()
        running: set[asyncio.Task[None]] = set()
        while True:
            due += self.rng.expovariate(self.site.rate)
            delay = due - time.monotonic()
            if delay > 0:
                await asyncio.sleep(delay)
            if not self.clients_on:
                continue
            task = asyncio.create_task(self._request())
            running.add(task)
            task.add_done_callback(running.discard)

    def _draw_slice(self) -> int:
        if self.hot and self.rng.random() < sum(self.hot.values()):
            return self.rng.choices(list(self.hot), list(self.hot.values()))[0]
        return self.rng.choices(range(self.site.slices), self.slice_weights)[0]

    async def _request(self) -> None:
        self._requests += 1
        number = self._requests
        slice_number = self._draw_slice()
        kind = self.rng.choices(range(len(CLASSES)), self.site.shares)[0]
        alive = [proxy for proxy in self.proxies if proxy.alive]
        proxy = self.rng.choices(alive, [p.weight for p in alive])[0]
        pilot = self.store.owner[slice_number]
        if pilot is not None:
            self._heat[pilot][(slice_number, kind, "tries")] += 1
        self.record.write("request", id=number, proxy=proxy.number, slice=slice_number, kind=CLASSES[kind])
        result = await self._forward(number, proxy, slice_number, kind)
        self.record.write("answer", id=number, result=result)
        self.results[f"{CLASSES[kind]}:{result}"] += 1

    async def _forward(self, number: int, proxy: Proxy, slice_number: int, kind: int) -> str:
        tried: set[str] = set()
        hold_until = time.monotonic() + HOLD_S
        while True:
            while proxy.is_stalled():
                await asyncio.sleep(max(0.0, proxy.stalled_until - time.monotonic()) + self.rng.uniform(0.001, 0.1))
                hold_until = max(hold_until, time.monotonic() + HOLD_S)
            owner = self.store.owner[slice_number]
            pilot = slice_number % self.site.pilots if owner is None else owner
            level = proxy.level(pilot, slice_number, kind)
            if level <= 0 or (not tried and self.rng.random() >= level):
                return "shed"
            allowed = not proxy_module.is_write(kind) or proxy.may_write(pilot, slice_number)
            name = proxy.pick(pilot, slice_number, self.rng, tried) if allowed else None
            if name is None:
                if tried or time.monotonic() >= hold_until:
                    return "refused"
                await asyncio.sleep(0.02)
                continue
            tried.add(name)
            outcome = await self._attempt(number, proxy, pilot, slice_number, kind, name)
            if outcome is Outcome.SERVED:
                return "served"
            if outcome is Outcome.LOST:
                return "lost"
            if len(tried) > 1:
                return "refused"

    async def _attempt(self, number: int, proxy: Proxy, pilot: int, slice_number: int, kind: int, name: str) -> Outcome:
        server = self.servers[name]
        self.record.write("send", id=number, proxy=proxy.number, slice=slice_number, server=name)
        self._judge_send(number, proxy, pilot, slice_number, kind, server)
        now = time.monotonic()
        proxy.out_now[name] = proxy.out_now.get(name, 0) + 1
        writes = proxy_module.is_write(kind) and self.site.sole_owner and server.up
        if writes:
            server.writes[slice_number] = server.writes.get(slice_number, 0) + 1
        outcome = Outcome.LOST
        with contextlib.suppress(TimeoutError):
            limit = self.site.linger if writes else DEADLINE_S
            outcome = await asyncio.wait_for(server.serve(self._knows(proxy, pilot, server, now)), limit)
        if writes and server.writes.get(slice_number, 0) > 0:
            server.writes[slice_number] -= 1
        self.record.write("end", id=number, server=name, outcome=outcome.value)
        proxy.ended(name, outcome is not Outcome.SERVED, self.rng)
        if proxy.streams[pilot].joined:
            failed = outcome is not Outcome.SERVED
            self._seen[pilot][(proxy.zone, name, "tries")] += 1
            self._seen[pilot][(proxy.zone, name, "failed")] += failed
            if not failed:
                self._times[pilot][(proxy.zone, name)] += int((time.monotonic() - now) * 1e6)
        return outcome

    def _knows(self, proxy: Proxy, pilot: int, server: Server, now: float) -> bool:
        told = self.discovery.told_start[pilot].get(server.name)
        if told is None or told < server.started_at:
            return False
        return proxy.streams[pilot].last_ordered >= told or now - told >= self.site.grace + SLACK_S

    # -- rules

    def _judge_send(self, number: int, proxy: Proxy, pilot: int, slice_number: int, kind: int, server: Server) -> None:
        now = time.monotonic()
        stream = proxy.streams[pilot]
        told = self.discovery.told[pilot].get(server.name)
        first_answer = self.pilots[pilot].first_answer
        if told is not None and stream.joined and first_answer is not None:
            since = max(told, stream.joined_at, self.store.given_at[slice_number], first_answer + START_SLACK_S)
            self.latest_drain = max(self.latest_drain, now - since - self.relays[pilot].waited_s(since, now))
            over = now - since - self.relays[pilot].waited_s(since, now) - self.site.grace - SLACK_S
            if over > 0:
                self.record.breach(
                    "drain",
                    f"request {number} of proxy {proxy.number} to {server.name}, {over:.2f} s after the grace",
                )
        if self.site.sole_owner and proxy_module.is_write(kind):
            self._judge_write(number, proxy, slice_number, server)

    def _judge_write(self, number: int, proxy: Proxy, slice_number: int, server: Server) -> None:
        for other in self.servers.values():
            if other is not server and other.writes.get(slice_number, 0) > 0:
                self.record.breach(
                    "owner", f"write {number} of slice {slice_number} at {server.name} while {other.name} has one"
                )
        appointed = self.store.appointed[slice_number].get(server.name, 0)
        latest = self._owners.get(slice_number, 0)
        if appointed < latest:
            self.record.breach("owner", f"write {number} of slice {slice_number} at its former owner {server.name}")
        self._owners[slice_number] = max(appointed, latest)

    async def _watch_rules(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for slice_number, pilot in enumerate(self.store.owner):
                if pilot is None or self.pilots[pilot].first_answer is None:
                    continue
                for proxy in self.proxies:
                    self._judge_bare(proxy, pilot, slice_number, now)
            for pilot in self.pilots:
                if pilot.expected and not pilot.is_running() and ("crash", pilot.number) not in self._broken:
                    self._broken.add(("crash", pilot.number))
                    self.record.breach("crash", f"pilot {pilot.number} ended by itself")

    def _judge_bare(self, proxy: Proxy, pilot: int, slice_number: int, now: float) -> None:
        key = (proxy.number, slice_number)
        stream = proxy.streams[pilot]
        if not stream.joined or proxy.is_stalled() or proxy.lines(pilot, slice_number):
            self._bare_since.pop(key, None)
            return
        first_answer = (self.pilots[pilot].first_answer or now) + START_SLACK_S
        start = self._bare_since.setdefault(key, now)
        since = max(start, stream.joined_at, self.store.given_at[slice_number], first_answer)
        over = now - since - self.relays[pilot].waited_s(since, now) - self.site.bare - SLACK_S
        if over > 0 and ("bare", key, start) not in self._broken:
            self._broken.add(("bare", key, start))
            self.record.breach("bare", f"proxy {proxy.number} has no line for slice {slice_number}")

    # -- reports

    async def _reports(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            for pilot in self.pilots:
                if pilot.first_answer is not None and pilot.number not in self.cut_pilots:
                    self._report(pilot)

    def _report(self, pilot: Pilot) -> None:
        seen, self._seen[pilot.number] = self._seen[pilot.number], Counter()
        times, self._times[pilot.number] = self._times[pilot.number], Counter()
        heat, self._heat[pilot.number] = self._heat[pilot.number], Counter()
        for zone in self.site.zones:
            messages: list[dict[str, Any]] = []
            for (seen_zone, name, what), tries in sorted(seen.items()):
                if what != "tries" or seen_zone != zone:
                    continue
                failed = seen[(zone, name, "failed")]
                mean_ms = times[(zone, name)] / 1000 / max(1, tries - failed)
                messages.append(
                    {
                        "@type": "upstream_stats",
                        "zone": zone,
                        "server": name,
                        "tries": tries,
                        "failed": failed,
                        "mean_ms": round(mean_ms, 1),
                        "span_ms": 1000.0,
                        "load": {"busy_reqs": self.servers[name].in_hand},
                    }
                )
            if zone == self.site.zones[0]:
                for (number, kind, _), tries in sorted(heat.items()):
                    messages.append(
                        {
                            "@type": "range_stats",
                            "slice": number,
                            "class": CLASSES[kind],
                            "tries": tries,
                            "failed": 0,
                            "span_ms": 1000.0,
                        }
                    )
            self.tasks.append(asyncio.create_task(self._hand_on(pilot, zone, messages)))

    async def _hand_on(self, pilot: Pilot, zone: str, messages: list[dict[str, Any]]) -> None:
        await asyncio.sleep(self.rng.uniform(*REPORT_LATE_S))
        if pilot.first_answer is not None:
            await pilot.report(zone, messages)
