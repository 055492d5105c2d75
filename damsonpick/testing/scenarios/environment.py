"""The stage of a bad day: a pilot in a process of its own, gateways in another, servers and list in this one."""

from __future__ import annotations

import json
import random
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import Process, TaskGroup

from damsonpick import interface as api
from damsonpick.runtime.clock import Clock
from damsonpick.testing.fakes.list_server import ListServer
from damsonpick.testing.fakes.record import Recorder
from damsonpick.testing.fakes.results import Make, ResultsServer
from damsonpick.testing.scenarios.script import Script

CLUSTER = "servers"


class Stage:
    """Everything that a trouble may touch.

    Args:
        script: the day.
        seed: draws servers, traffic and troubles.
        folder: where settings, records and logs go; must be empty.
        pilot: the command that runs a pilot, without its arguments.
        proxies: the project's own proxy is the data plane, in place of the stand-in gateways' forwarding.
    """

    def __init__(self, script: Script, seed: int, folder: Path, pilot: list[str], proxies: bool = False) -> None:
        self.proxies = proxies
        self.script, self.seed, self.folder, self.command = script, seed, folder, pilot
        self.rng = random.Random(seed)
        self.clock = Clock(script.day.rate)
        self.record = Recorder(folder / "servers.jsonl", self.clock.now)
        self.lists = ListServer(CLUSTER, self.record)
        self.servers: list[ResultsServer] = []
        self.group: TaskGroup | None = None
        self.pilot: Process | None = None
        self.fleets: list[Process] = []
        self.settings_file = folder / "pilot.ini"
        self.port_file = folder / "pilot.port"

    # -- building

    async def build(self, group: TaskGroup) -> None:
        """Servers and list first, then the pilot, then the gateways."""
        self.group = group
        day, rules = self.script.day, self.limits()
        for k in range(day.servers):
            make = Make(
                day.zones[k % len(day.zones)],
                day.cores,
                self.rng.choice((0.8, 1.0, 1.25)),
                rules["cold_share"],
                rules["cold_time"],
                rules["fall_multiple"],
                rules["fall_time"],
            )
            server = ResultsServer(make, self.clock, self.record, random.Random(f"{self.seed} server {k}"))
            await server.start(group, cold=False)
            self.servers.append(server)
        self.lists.put(*(self.entry(s) for s in self.servers))
        self.list_server, address = await self.lists.start()
        self.settings_file.write_text(self.settings(address))
        await self.start_pilot()
        await self.start_fleet()

    def limits(self) -> dict[str, Any]:
        """The figures behind the rules, as the pilot's settings read them."""
        from damsonpick.settings.model import Rules

        return Rules.model_validate(self.script.pilot["rules"]).model_dump(by_alias=True)

    def settings(self, upstream: str) -> str:
        """The pilot's settings file for this day."""
        day = self.script.day
        parts: dict[str, dict[str, Any]] = {
            "pilot": {
                "name": "pilot-0",
                "zone": day.zones[0],
                "zones": ", ".join(day.zones),
                "state": "state",
                "seed": self.seed,
                "clock_rate": day.rate,
            },
            "listen": {"xds": "127.0.0.1:0"},
            "tables": {"slices": day.slices},
            **self.script.pilot,
            "list": {"source": "eds", "upstream": upstream, "cluster": CLUSTER},
            **({"sasp": {"listen": "127.0.0.1:0", "messages": 1000}} if day.balancers else {}),
            "log": {"format": "json"},
        }
        for name, kind in self.script.classes.items():
            parts[f"class {name}"] = {
                "aim": f"{kind.aim} ns",
                "deadline": f"{kind.deadline} ns",
                "worth": kind.worth,
                "effect": kind.effect,
                "key_scope": kind.key_scope,
                "key_window": f"{kind.key_window} ns",
                "work": f"{kind.work} ns",
            }
        return "".join(
            f"[{name}]\n" + "".join(f"{k} = {v}\n" for k, v in keys.items()) + "\n" for name, keys in parts.items()
        )

    async def start_pilot(self) -> None:
        """Start the pilot and wait until its port is open."""
        self._forget_ports()
        log = (self.folder / "pilot.log").open("a")
        self.pilot = await anyio.open_process(
            [*self.command, "run", str(self.settings_file), "--port-file", str(self.port_file)],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=log,
        )
        log.close()
        with anyio.move_on_after(20):
            while not self.port_file.exists():
                if self.pilot.returncode is not None:
                    break
                await anyio.sleep(0.02)
        if not self.port_file.exists():
            tail = (self.folder / "pilot.log").read_text()[-800:]
            raise RuntimeError(f"the pilot did not start within 20 s; the end of its log: {tail}")

    async def start_fleet(self) -> None:
        day = self.script.day
        capacity = sum(s.make.cores * s.make.speed for s in self.servers)  # ms of work each ms
        mean = (
            sum(k.share * k.work for k in self.script.classes.values())
            / sum(k.share for k in self.script.classes.values())
            / 1e9
        )
        gateways = [
            {"name": f"gw-{k}", "zone": day.zones[k % len(day.zones)], "delta": self.proxies or k % 4 != 3}
            for k in range(day.gateways)
        ]
        balancers = [{"name": f"lb-{k}", "zone": day.zones[k % len(day.zones)]} for k in range(day.balancers)]
        parts = 3 if self.proxies else 1  # real proxies cost more of a process
        for part in range(parts):
            setup = {
                "clock_rate": day.rate,
                "seed": self.seed,
                "part": part,
                "proxies": self.proxies,
                "record": str(self.folder / f"gateways-{part}.jsonl"),
                "pilot_zone": day.zones[0],
                "port_file": str(self.port_file),
                "slices": day.slices,
                "rate": day.load * capacity / (mean * 1.083) / parts,  # the mean of the drawn factor on work
                "kinds": [
                    {
                        "name": n,
                        "aim": k.aim,
                        "deadline": k.deadline,
                        "effect": k.effect,
                        "share": k.share,
                        "work": k.work / 1e6,
                        "worth": k.worth,
                    }
                    for n, k in self.script.classes.items()
                ],
                "gateways": gateways[part::parts],
                "balancers": balancers[part::parts],
                "members": {s.address: s.make.zone for s in self.servers},
            }
            with (self.folder / "fleet.log").open("a") as log:
                fleet = await anyio.open_process(
                    [sys.executable, "-m", "damsonpick.testing.fakes.fleet"], stdout=subprocess.DEVNULL, stderr=log
                )
            await fleet.stdin.send(json.dumps(setup).encode() + b"\n")
            self.fleets.append(fleet)

    # -- what troubles do

    async def order(self, do: str, **details: Any) -> None:
        """One order to the gateways."""
        try:
            for fleet in self.fleets:
                await fleet.stdin.send(json.dumps({"do": do, **details}).encode() + b"\n")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            tail = (self.folder / "fleet.log").read_text()[-800:]
            raise RuntimeError(f"the gateways' process has ended; the end of its log: {tail}") from None

    async def wait(self, ns: float) -> None:
        await anyio.sleep(self.clock.seconds(int(ns)))

    def entry(self, server: ResultsServer, state: str = "in_service") -> api.EndpointEntry:
        make = server.make
        return api.EndpointEntry(server.address, make.zone, state, float(make.cores), server.started)

    async def tell(self, server: ResultsServer, state: str) -> None:
        """The list comes to know a server's state."""
        self.lists.put(self.entry(server, state))

    def later(self, server: ResultsServer, state: str) -> None:
        """The list comes to know it a notice later, if it is still so."""
        started, up = server.started, server.up

        async def notice() -> None:
            await self.wait(self.script.day.notice)
            if (server.started, server.up) == (started, up):
                await self.tell(server, state)

        self.group.start_soon(notice)

    def some(self, part: float) -> list[ResultsServer]:
        """A drawn part of the servers that are up: at least one, never all."""
        up = [s for s in self.servers if s.up and not s.fallen]
        return self.rng.sample(up, max(1, min(len(up) - 1, round(part * len(up))))) if len(up) > 1 else []

    def gateways(self, part: float) -> list[str]:
        names = [f"gw-{k}" for k in range(self.script.day.gateways)]
        return self.rng.sample(names, max(1, round(part * len(names))))

    async def restart(self, server: ResultsServer) -> None:
        """A new, cold process at the old address; the list hears of it a notice later."""
        if not server.fallen:
            await server.start(self.group, cold=True)
            self.later(server, "in_service")

    async def watch(self) -> None:
        """A gateways' process that ends before its day is a failed day, not a quiet one."""
        ended: list[int | None] = []

        async def one(fleet: Process) -> None:
            ended.append(await fleet.wait())
            group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            for fleet in self.fleets:
                group.start_soon(one, fleet)
        tail = (self.folder / "fleet.log").read_text()[-800:]
        raise RuntimeError(f"a gateways' process ended with code {ended}; the end of its log: {tail}")

    async def kill_pilot(self) -> None:
        self.pilot.kill()
        await self.pilot.wait()
        self._forget_ports()

    def _forget_ports(self) -> None:
        for path in (self.port_file, self.port_file.with_suffix(".sasp")):
            path.unlink(missing_ok=True)

    async def end(self) -> None:
        """End what was started, gateways first."""
        with anyio.CancelScope(shield=True):
            for fleet in self.fleets:
                await fleet.stdin.aclose()
            for fleet in self.fleets:
                await _finish(fleet)
            if self.pilot is not None and self.pilot.returncode is None:
                self.pilot.terminate()
                await _finish(self.pilot)
            for server in self.servers:
                server.stop("end of the day")
            await self.list_server.stop(None)
            self.record.close()


async def _finish(process: Process) -> None:
    with anyio.move_on_after(5) as scope:
        await process.wait()
    if scope.cancelled_caught:
        process.kill()
        await process.wait()
