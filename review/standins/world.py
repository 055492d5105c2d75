"""One deployment on loopback sockets: pilots as real processes, everything else as stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from pathlib import Path
from typing import Any

from review.standins import collector
from review.standins.discovery import Discovery, Entry
from review.standins.endpoint import Endpoint
from review.standins.pilot import Pilot
from review.standins.proxy import Proxy
from review.standins.record import Record
from review.standins.relay import Relay, Store
from review.standins.settings import Deployment
from review.standins.traffic import Traffic

READY_S = 15.0
LIMITS_AFTER_READY_S = 1.0
REDIAL_S = (0.62, 2.5)  # time after which a proxy dials again, or a killed proxy runs again
EXIT_CANNOT_RUN = 2
SUMMARY = ("total", "verdict")  # beginnings of the record's lines that are printed as well


class CannotRunError(Exception):
    """Raised when the case could not be played."""


class World:
    """All parties of one run.

    Attributes:
        limits_from: By pilot, the time from which the time limits of the rules run.
        factor: Factor on the time limits while a channel is slower than its settings say.
    """

    def __init__(self, deployment: Deployment, record: Record, folder: Path, seed: str) -> None:
        """Create the parties. Nothing is started."""
        self.deployment, self.record, self.folder = deployment, record, folder
        self.random = random.Random(f"world-{seed}")
        self.factor = 1.0
        self.limits_from = [0.0] * deployment.pilots
        self.endpoints: dict[str, Endpoint] = {}
        for index in range(deployment.endpoints):
            self._add_endpoint(index)
        self.discovery = Discovery(record, deployment.pilots, [self.entry(e, "Ready") for e in self.endpoints.values()])
        self.store = Store(deployment.slices)
        rate = deployment.request_rate / deployment.proxies
        zones = deployment.zones
        self.proxies = [
            Proxy(n, zones[n % len(zones)], rate, deployment.pilots, deployment.sole_owner)
            for n in range(deployment.proxies)
        ]
        self.known = set(self.endpoints)
        numbers = range(deployment.pilots)
        self.relays = [Relay(deployment, record, n, self.store, self.proxies, self.known) for n in numbers]
        self.pilots = [Pilot(n, folder, deployment.for_pilot(n), seed) for n in numbers]
        self.collectors = [collector.Collectors(self, n) for n in numbers]
        for relay in self.relays:
            relay.excuse = partial(self.excuse, relay.pilot)
        self.traffic = Traffic(self, seed)
        self.tasks: list[asyncio.Task[Any]] = []
        self._shape_tables()

    def _add_endpoint(self, index: int) -> Endpoint:
        zones = self.deployment.zones
        fast = index % 7 < 4
        name = f"s-{self.random.getrandbits(32):08x}"
        cores, speed = (5, self.random.uniform(1.3, 1.7)) if fast else (4, self.random.uniform(0.85, 1.1))
        if self.deployment.even:
            cores, speed = 5, 1.2
        endpoint = Endpoint(name, zones[index % len(zones)], cores, speed)
        self.endpoints[name] = endpoint
        return endpoint

    def _shape_tables(self) -> None:
        names = list(self.endpoints)
        for number in range(self.deployment.slices):
            self.store.tables[number] = {names[number % len(names)]: 1.0}
            self.store.owner[number] = number % self.deployment.pilots

    def entry(self, endpoint: Endpoint, state: str) -> Entry:
        """Return the entry of an endpoint in discovery's list."""
        kind = "novi-stroj" if endpoint.cores == 5 else "stari-stroj"
        fields = {"id": endpoint.name, "addr": "127.0.0.1:3000", "zone": endpoint.zone, "kind": kind, "cell": 0}
        return fields | {"state": state, "weight": 1.0, "started_ms": endpoint.started_ms}

    # -- running

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run something beside the rest until the end of the run."""
        self.tasks.append(asyncio.create_task(work))

    async def open(self) -> None:
        """Start everything, and let the proxies join once all pilots are ready."""
        await self.discovery.open()
        for relay in self.relays:
            await relay.open()
        for pilot in self.pilots:
            await self.start_pilot(pilot.number)
        for proxy in self.proxies:
            for relay in self.relays:
                self.join(proxy, relay.pilot)
        self.spawn(self.traffic.run())
        self.spawn(self.traffic.watch_tables())
        for collectors in self.collectors:
            self.spawn(collectors.run())

    async def start_pilot(self, number: int, known: dict[str, Any] | None = None) -> None:
        """Start a pilot and wait until it answers."""
        pilot = self.pilots[number]
        pilot.configure(self.discovery.ports[number], self.relays[number].port, known or self.discovery.full())
        pilot.start()
        if not await collector.wait_until_ready(pilot.port, READY_S) or pilot.has_ended():
            raise CannotRunError(f"pilot {number} is not ready after {READY_S} s")
        self.record.write("ready", pilot=number)
        self.limits_from[number] = time.monotonic() + LIMITS_AFTER_READY_S
        self.relays[number].open_for_calls = True

    async def restart_pilot(self, number: int, down_s: float) -> None:
        """Restart a pilot as planned: SIGTERM, and the same name, address and last list at its next start.

        Its streams break, and what waits or travels in its channel is lost. The proxies dial again.
        """
        known = self.discovery.full()
        self.record.write("pilot-stops", pilot=number)
        await self.pilots[number].end(signal.SIGTERM)
        self.pilots[number].process = None
        self.relays[number].channel.clear()
        for proxy in self.proxies:
            self.leave(proxy, number)
        await asyncio.sleep(down_s)
        await self.start_pilot(number, known)
        for proxy in self.proxies:
            self.spawn(self.rejoin(proxy, number, self.random.uniform(*REDIAL_S)))

    async def close(self) -> None:
        """End all tasks and processes. A pilot that ended by itself has crashed."""
        for pilot in self.pilots:
            if pilot.has_ended():
                self.record.breach("crash", pilot=pilot.number, code=pilot.exit_code())
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # the run has ended
        for task in self.tasks:
            task.cancel()
        for relay in self.relays:
            relay.break_watches()
        for pilot in self.pilots:
            await pilot.end(signal.SIGTERM)

    def excuse(self, pilot: int, wait_s: float) -> None:
        """Let the time limits for a pilot begin anew after `wait_s`, which is more than the pages grant."""
        self.limits_from[pilot] = max(self.limits_from[pilot], time.monotonic() + wait_s)

    # -- proxies

    def join(self, proxy: Proxy, pilot: int) -> None:
        """Open the stream of a proxy to a pilot; the proxy reads the store soon after."""
        stream = proxy.streams[pilot]
        if stream.joined or not proxy.running:
            return
        stream.fresh = not stream.known
        stream.joined = stream.known = True
        stream.silent = False
        stream.epoch += 1
        stream.at = time.monotonic()
        self.relays[pilot].tell("attach", **proxy.attach_fields(pilot))
        self.record.write("attach", pilot=pilot, proxy=proxy.number, fresh=stream.fresh)
        delay_s = self.random.uniform(*self.deployment.read_store_s)
        asyncio.get_running_loop().call_later(delay_s, self._read_store, proxy, pilot, stream.epoch, None)

    def _read_store(self, proxy: Proxy, pilot: int, epoch: int, only: int | None) -> None:
        stream = proxy.streams[pilot]
        if not stream.joined or stream.epoch != epoch:
            return
        for number, owner in enumerate(self.store.owner):
            if owner == pilot and only in (None, number):
                proxy.tables[number] = dict(self.store.tables[number])

    def leave(self, proxy: Proxy, pilot: int) -> None:
        """Break the stream of a proxy to a pilot."""
        stream = proxy.streams[pilot]
        if stream.joined:
            stream.joined = False
            stream.epoch += 1
            self.relays[pilot].tell("detach", proxy=proxy.number)
            self.record.write("detach", pilot=pilot, proxy=proxy.number)

    async def cut(self, proxy: Proxy, pilot: int, notice_s: float, cut_s: float, redial_s: float) -> None:
        """Let a stream fall silent; the relay notices after a while, and the proxy dials again when the cut ends."""
        proxy.streams[pilot].silent = True
        await asyncio.sleep(notice_s)
        self.leave(proxy, pilot)
        await asyncio.sleep(max(0.0, cut_s - notice_s) + redial_s)
        self.join(proxy, pilot)

    async def rejoin(self, proxy: Proxy, pilot: int, after_s: float) -> None:
        """Open a broken stream again after a while."""
        await asyncio.sleep(after_s)
        self.join(proxy, pilot)

    async def restart_proxy(self, proxy: Proxy) -> None:
        """Kill a proxy and start it again. It dials all pilots after its start."""
        down_s = self.random.uniform(*REDIAL_S)
        self.record.write("proxy-killed", proxy=proxy.number)
        proxy.running = False
        for pilot in range(self.deployment.pilots):
            self.leave(proxy, pilot)
        proxy.restart()
        await asyncio.sleep(down_s)
        proxy.running = True
        for pilot in range(self.deployment.pilots):
            self.join(proxy, pilot)

    def give_slice(self, number: int, pilot: int) -> None:
        """Give a slice into the charge of a pilot; the proxies read it again."""
        former = self.store.owner[number]
        self.store.owner[number] = pilot
        self.store.given_at[number] = time.monotonic()
        if former is not None:
            self.relays[former].tell("owner", slice=number, on=False)
        self.relays[pilot].give(number)
        for proxy in self.proxies:
            stream = proxy.streams[pilot]
            if stream.joined:
                delay_s = self.random.uniform(*self.deployment.read_store_s)
                arguments = (proxy, pilot, stream.epoch, number)
                asyncio.get_running_loop().call_later(delay_s, self._read_store, *arguments)

    # -- endpoints

    async def retire(self, names: list[str], drain_s: float) -> None:
        """Take endpoints out of service: they drain for a while, and then they are gone."""
        self.discovery.change(*[self.entry(self.endpoints[name], "Terminating") for name in names])
        await asyncio.sleep(drain_s)
        for name in names:
            self.endpoints[name].stop()
        self.discovery.change(*[self.entry(self.endpoints[name], "Gone") for name in names])

    async def replace(self, names: list[str], drain_s: float, boot_s: float, tell_s: float) -> None:
        """Replace endpoints as a deploy does: they drain, end, and cold successors under new ids are listed."""
        self.discovery.change(*[self.entry(self.endpoints[name], "Terminating") for name in names])
        await asyncio.sleep(boot_s)
        successors = []
        for _ in names:
            successor = self._add_endpoint(len(self.endpoints))
            successor.start()
            successors.append(successor)
            self.known.add(successor.name)
        await asyncio.sleep(tell_s)
        self.discovery.change(*[self.entry(successor, "Ready") for successor in successors])
        await asyncio.sleep(max(0.0, drain_s - boot_s - tell_s))
        for name in names:
            self.endpoints[name].stop()
        self.discovery.change(*[self.entry(self.endpoints[name], "Gone") for name in names])


Scenario = Callable[[World, bool], Awaitable[None]]


def play(
    deployment: Deployment,
    scenario: Scenario,
    record_path: Path,
    rule: str,
    trouble: bool,
) -> int:
    """Play a scenario. Return 1 if the rule was broken, 0 if it held, 2 if the scenario could not be played.

    The record says which rules were broken; a crash of a pilot is always judged.
    """
    record = Record(record_path)
    seed = os.environ.get("SEED", "1")
    record.write("begin", deployment=deployment.name, trouble=int(trouble), seed=seed)

    def stop(number: int, frame: object) -> None:
        raise SystemExit(EXIT_CANNOT_RUN)

    signal.signal(signal.SIGTERM, stop)

    async def run() -> int:
        with tempfile.TemporaryDirectory() as folder:
            world = World(deployment, record, Path(folder), seed)
            try:
                await world.open()
                await scenario(world, trouble)
            except CannotRunError as error:
                record.write("cannot-run", reason=str(error).replace(" ", "-"))
                return EXIT_CANNOT_RUN
            finally:
                with contextlib.suppress(ProcessLookupError):
                    await world.close()
                _keep_logs(Path(folder), record_path)
        for relay in world.relays:
            waiting = round(relay.channel.longest)
            record.write("channel", pilot=relay.pilot, most_lines_waiting=waiting, limit=deployment.most_waiting)
        return record.close((rule, "crash"))

    code = asyncio.run(run())
    lines = record_path.read_text().splitlines()
    for text in [text for text in lines if " BROKEN " in text][:5] + [t for t in lines if t.startswith(SUMMARY)]:
        sys.stdout.write(text + "\n")
    return code


def _keep_logs(folder: Path, record_path: Path) -> None:
    for path in folder.glob("*.log"):
        target = record_path.parent / path.name
        target.write_bytes(path.read_bytes())
