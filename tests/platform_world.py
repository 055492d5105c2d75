"""Runs a pilot with the `run` command of deploy/balancer.toml against fake servers, on free loopback ports."""

from __future__ import annotations

import json
import os
import shlex
import signal
import sys
import tomllib
from contextlib import asynccontextmanager
from pathlib import Path

import anyio

from damsonpick.testing.fakes.collector import FakeCollector
from damsonpick.testing.fakes.discovery import FakeDiscovery
from damsonpick.testing.fakes.platform_config import SETTINGS as SITE_SETTINGS
from damsonpick.testing.fakes.platform_config import free_port as free_port
from damsonpick.testing.fakes.registry import FakeRegistry

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 10.0  # longest wait for a condition; a wait ends as soon as the condition is true
SETTINGS = SITE_SETTINGS | {"domain": SITE_SETTINGS["domain"] | {"shards": 6, "agents": 8}}


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


async def until(condition, timeout_s: float = TIMEOUT_S):
    """Call `condition` repeatedly and return its first true value; fail after the timeout."""
    with anyio.move_on_after(timeout_s):
        while not (value := condition()):
            await anyio.sleep(0.01)
        return value
    raise AssertionError(f"not within {timeout_s} s")


async def wait_for_gate(gate) -> None:
    """Wait until a fake server has stopped an exchange at its gate."""
    with anyio.fail_after(5.0):
        await gate.reached.wait()


class World:
    """One pilot process with a fake registry, a fake discovery and collectors."""

    registry_port: int
    discovery_port: int

    def __init__(self, folder: Path, registry: FakeRegistry, discovery: FakeDiscovery) -> None:
        self.registry, self.discovery = registry, discovery
        self.file, self.log = folder / "config.json", folder / "log"
        self.port = free_port()

    def write(self, **changes) -> None:
        """Replace the configuration file."""
        changed = config(self.port, self.registry_port, self.discovery_port, **changes)
        part = self.file.with_suffix(".part")
        part.write_text(json.dumps(changed))
        part.replace(self.file)

    async def start(self) -> None:
        """Start the pilot and wait until it has logged its start."""
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
        await self.wait_for_log_entry("pilot_started")

    async def end(self, signal_number: int = signal.SIGTERM) -> int:
        """Send a signal to the pilot, wait until it ends and return its exit code."""
        self.process.send_signal(signal_number)
        with anyio.fail_after(TIMEOUT_S):
            return await self.process.wait()

    def reload(self) -> None:
        """Make the pilot reload its configuration."""
        self.process.send_signal(signal.SIGHUP)

    # -- the log

    def log_entries(self, event: str) -> list[dict]:
        """Return the log entries of one event, from all incarnations of the pilot."""
        lines = [line for line in self.log.read_text().splitlines() if line.startswith("{") and line.endswith("}")]
        return [entry for entry in map(json.loads, lines) if entry["event"] == event]

    async def wait_for_log_entry(
        self, event: str, count: int = 1, reason: str = "", timeout_s: float = TIMEOUT_S
    ) -> None:
        """Wait until the log has at least `count` entries of `event` whose reasons contain `reason`."""

        def is_logged() -> bool:
            entries = self.log_entries(event)
            matching = [entry for entry in entries if reason in entry.get("reason", "")]
            return len(matching) >= count

        try:
            await until(is_logged, timeout_s)
        except AssertionError as error:
            raise AssertionError(f"{event}: {error}; the log ends with {self.log.read_text()[-2000:]}") from None

    async def wait_for_latency(self, endpoint: str, latency_ms: int) -> None:
        """Wait until the newest state in the log shows this latency of an endpoint."""

        def is_logged() -> bool:
            entries = self.log_entries("planner_state")
            states = entries[-1]["endpoint_states"] if entries else {}
            return endpoint in states and states[endpoint]["latency_ms"] == latency_ms

        await until(is_logged)

    # -- collectors and the state of the fake registry

    async def connect_collector(self, zone: str = "a") -> FakeCollector:
        """Connect a collector, make it join a zone and return it."""
        return await (await FakeCollector.connect(self.port)).join(zone)

    def is_avoided(self, endpoint: str) -> bool:
        """Return whether no proxy sends to an endpoint, because it is withdrawn or in no table."""
        return endpoint in self.registry.withdrawn or not any(
            endpoint in table for table in self.registry.tables.values()
        )

    async def wait_until_avoided(self, endpoint: str, timeout_s: float) -> None:
        """Wait until no proxy sends to an endpoint."""
        await until(lambda: self.is_avoided(endpoint), timeout_s)

    def uncovered_slices(self) -> list[int]:
        """Return the slices without an entry for any endpoint that is ready and not withdrawn."""
        ready = {name for name, entry in self.discovery.servers.items() if entry["state"] == "Ready"}
        usable = ready - self.registry.withdrawn
        return [number for number, table in self.registry.tables.items() if not usable & set(table)]

    async def wait_until_covered(self, timeout_s: float = TIMEOUT_S) -> None:
        """Wait until every slice has an entry for a usable endpoint."""
        await until(lambda: not self.uncovered_slices(), timeout_s)

    async def drain(self, endpoint: str) -> None:
        """Drain an endpoint; wait until no proxy sends to it and every slice has an entry for a usable endpoint."""
        await self.discovery.update_server(endpoint, "Terminating")
        await self.wait_until_avoided(endpoint, 4.0)
        await self.wait_until_covered(4.0)


@asynccontextmanager
async def world(folder: Path, servers: str = "pqr", slices: int = 6, proxies: int = 4, rate: float = 4000.0):
    """Run a pilot with its fake servers; yield once every slice has an entry for a usable endpoint.

    Args:
        folder: Folder for the configuration and the log.
        servers: Names of the endpoints, one letter each.
        slices: Number of slices.
        proxies: Number of proxies.
        rate: Configured rate of the channel, in entries per second.
    """
    registry, discovery = FakeRegistry(slices, proxies), FakeDiscovery(*servers)
    site = World(folder, registry, discovery)
    async with registry.running() as site.registry_port, discovery.running() as site.discovery_port:
        site.write(settings=SETTINGS | {"domain": SETTINGS["domain"] | {"egressPerS": rate}})
        await site.start()
        try:
            await site.wait_until_covered()
            yield site
        finally:
            if site.process.returncode is None:
                site.process.kill()
            await site.process.wait()
