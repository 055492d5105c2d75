"""The `run` line of deploy/balancer.toml against stand-ins, on loopback and ports that the system picks."""

from __future__ import annotations

import json
import os
import shlex
import signal
import socket
import sys
import tomllib
from contextlib import asynccontextmanager
from pathlib import Path

import anyio

from damsonpick.testing.fakes.collector import Collector
from damsonpick.testing.fakes.discovery import Catalogue
from damsonpick.testing.fakes.relay import Relay

ROOT = Path(__file__).parent.parent
PATIENCE = 10.0  # s: a bound, not a wait
SETTINGS = {
    "me": 0,
    "peersTotal": 2,
    "zone": "a",
    "zones": ["a", "b"],
    "discovery": "subscribe",
    "domain": {
        "shards": 6,
        "agents": 8,
        "soleOwner": False,
        "admission": "ratio",
        "egressPerS": 4000.0,
        "mostWaiting": 6000.0,
        "overhead": 8.0,
        "reportEveryNs": 200_000_000,
        "transitMaxNs": 400_000_000,
        "pick": "pair",
    },
    "rules": {
        "stopSendingWithinNs": 2_000_000_000,
        "coldShare": 0.2,
        "coldNs": 15_000_000_000,
        "askEveryNs": 10_000_000_000,
    },
    "report": {"fields": ["busy_reqs"]},
    "grades": [
        {"name": "look", "aimNs": 10**9, "deadlineNs": 3 * 10**9, "effect": "read_like", "worth": 1.0},
        {"name": "pay", "aimNs": 10**9, "deadlineNs": 3 * 10**9, "effect": "non_idempotent", "worth": 3.0},
    ],
}


def free_port() -> int:
    """A port that was free a moment ago; the pilot is told its port and cannot pick one."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def config(listen: int = 1, registry: int = 2, discovery: int = 3, **changes) -> dict:
    return {
        "name": "n0",
        "listen": f"127.0.0.1:{listen}",
        "discovery": f"127.0.0.1:{discovery}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
        "registry": {"address": f"127.0.0.1:{registry}"},
        "known": {"version": 0, "full": True, "servers": []},
        "settings": SETTINGS,
    } | changes


async def until(what, patience: float = PATIENCE):
    """The first true answer of `what`; fails after a bound."""
    with anyio.move_on_after(patience):
        while not (found := what()):
            await anyio.sleep(0.01)
        return found
    raise AssertionError(f"not within {patience} s")


class World:
    """A relay, a catalogue, collectors and one pilot."""

    def __init__(self, folder: Path, relay: Relay, catalogue: Catalogue) -> None:
        self.folder, self.relay, self.catalogue = folder, relay, catalogue
        self.file, self.log = folder / "config.json", folder / "log"
        self.port = free_port()

    def write(self, **changes) -> None:
        made = config(self.port, self.registry, self.discovery, **changes)
        part = self.file.with_suffix(".part")
        part.write_text(json.dumps(made))
        part.replace(self.file)

    async def start(self) -> None:
        line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        line = line.replace(".venv/bin/python", shlex.quote(sys.executable))
        with self.log.open("a") as log:
            self.process = await anyio.open_process(
                ["/bin/sh", "-c", line],
                cwd=ROOT,
                stdin=None,
                stdout=log,
                stderr=log,
                env=os.environ | {"EDGE_CONFIG": str(self.file)},
            )
        await until(lambda: "pilot_started" in self.said()[-1:] or "pilot_started" in self.said())

    def said(self, event: str = "") -> list:
        """Events of the log, or the entries of one kind."""
        entries = [json.loads(x) for x in self.log.read_text().splitlines() if x.startswith("{") and x.endswith("}")]
        return [e for e in entries if e["event"] == event] if event else [e["event"] for e in entries]

    async def end(self, how: int = signal.SIGTERM) -> int:
        self.process.send_signal(how)
        with anyio.fail_after(PATIENCE):
            return await self.process.wait()

    async def collector(self, zone: str = "a") -> Collector:
        return await (await Collector.dial(self.port)).join(zone)

    def avoided(self, name: str) -> bool:
        """Whether no proxy sends to a server: it is withdrawn, or in no table."""
        return name in self.relay.shut or not any(name in lines for lines in self.relay.tables.values())

    def bare(self) -> list[int]:
        """Slices without a line to a server that is ready and not withdrawn."""
        good = {n for n, e in self.catalogue.servers.items() if e["state"] == "Ready"} - self.relay.shut
        return [n for n, lines in self.relay.tables.items() if not good & set(lines)]


@asynccontextmanager
async def world(folder: Path, servers: str = "pqr", slices: int = 6, proxies: int = 4, rate: float = 4000.0):
    """All of it, running, every slice with a line. `rate`: lines a second that the channel is said to send."""
    relay, catalogue = Relay(slices, proxies), Catalogue(*servers)
    made = World(folder, relay, catalogue)
    async with relay.running() as made.registry, catalogue.running() as made.discovery:
        made.write(settings=SETTINGS | {"domain": SETTINGS["domain"] | {"egressPerS": rate}})
        await made.start()
        try:
            await until(lambda: not made.bare())
            yield made
        finally:
            if made.process.returncode is None:
                made.process.kill()
            await made.process.wait()
