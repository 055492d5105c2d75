"""A process full of gateways with their clients: `python -m damsonpick.testing.fakes.fleet`.

Reads one JSON object of settings on standard input, then one command a line; ends when the input does.
"""

from __future__ import annotations

import json
import random
import sys
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from damsonpick.runtime import port_files
from damsonpick.runtime.clock import Clock
from damsonpick.testing.fakes.balancer import Balancer
from damsonpick.testing.fakes.gateway import Gateway, Kind, Links
from damsonpick.testing.fakes.proxied import Proxied
from damsonpick.testing.fakes.record import Recorder

BACK_AFTER = 0.15  # s of the day until a client repeats what is safe to repeat


class Demand:
    """What clients ask for: Poisson arrivals, slices by weight, a part of it on hot slices."""

    def __init__(self, setup: dict[str, Any], rng: random.Random) -> None:
        self.rate, self.rng = setup["rate"], rng
        self.kinds = list(setup["kinds"])
        self.shares = [k["share"] for k in self.kinds]
        count = setup["slices"]
        self.weights = [rng.lognormvariate(0.0, 0.6) for _ in range(count)]
        self.slices = range(count)  # none: tables by zone and class
        self.hot: list[int] = []
        self.hot_share, self.factor = 0.0, 1.0

    def draw(self) -> tuple[dict[str, Any], int, float]:
        """Class, slice and work in ms of one request."""
        kind = self.rng.choices(self.kinds, self.shares)[0]
        if not self.slices:
            number = -1
        elif self.hot and self.rng.random() < self.hot_share:
            number = self.rng.choice(self.hot)
        else:
            number = self.rng.choices(self.slices, self.weights)[0]
        return kind, number, self.rng.lognormvariate(0.0, 0.4) * kind["work"]


class Fleet:
    """All gateways of the process."""

    def __init__(self, setup: dict[str, Any]) -> None:
        self.setup, self.clock = setup, Clock(setup["clock_rate"])
        self.part = setup["part"]
        self.rng = random.Random(f"{setup['seed']} {self.part}")
        self.record = Recorder(Path(setup["record"]), self.clock.now)
        self.links = Links()
        self.links.pilot_zone = setup["pilot_zone"]
        self.port_file = Path(setup["port_file"])
        self.kinds = {k["name"]: Kind(k["name"], k["aim"], k["deadline"], k["effect"]) for k in setup["kinds"]}
        self.demand = Demand(setup, random.Random(setup["seed"]))
        make = Proxied if setup["proxies"] else Gateway
        self.gateways = {
            g["name"]: make(
                g["name"],
                g["zone"],
                g["delta"],
                self.pilot,
                self.kinds,
                self.clock,
                self.record,
                self.links,
                random.Random(f"{setup['seed']} {g['name']}"),
            )
            for g in setup["gateways"]
        }
        self.gateways |= {
            g["name"]: Balancer(
                g["name"],
                g["zone"],
                self.sasp,
                self.kinds,
                self.clock,
                self.record,
                self.links,
                random.Random(f"{setup['seed']} {g['name']}"),
                setup["members"],
                setup["slices"],
            )
            for g in setup.get("balancers", ())
        }
        self.shares = [self.rng.lognormvariate(0.0, 0.8) for _ in self.gateways]
        self.count = 0

    def sasp(self) -> str:
        return port_files.address(self.port_file.with_suffix(".sasp"))

    def pilot(self) -> str:
        return port_files.address(self.port_file)

    async def run(self) -> None:
        async with anyio.create_task_group() as group:
            for gateway in self.gateways.values():
                group.start_soon(gateway.follow)
            group.start_soon(self._arrivals, group)
            async for line in anyio.wrap_file(sys.stdin):
                self.command(json.loads(line))
            group.cancel_scope.cancel()
        self.record.close()

    async def _arrivals(self, group: TaskGroup) -> None:
        """Arrivals keep their own time: a busy process does not thin them out."""
        due = self.clock.now()
        names = list(self.gateways)
        while True:
            rate = self.demand.rate * self.demand.factor
            if rate <= 0:
                await anyio.sleep(0.05)
                due = self.clock.now()
                continue
            due += int(self.rng.expovariate(rate) * 1e9)
            wait = due - self.clock.now()
            if wait > 0:
                await anyio.sleep(self.clock.seconds(wait))
            gateway = self.gateways[self.rng.choices(names, self.shares)[0]]
            self.count += 1
            group.start_soon(self._client, gateway, self.count)

    async def _client(self, gateway: Gateway, number: int) -> None:
        """One request, repeated once by the client where that is safe; its service is recorded."""
        drawn, at, work = self.demand.draw()
        kind = self.kinds[drawn["name"]]
        start = self.clock.now()
        rid = f"r{self.part}-{number}"
        cluster = (
            f"slice/{at}" if at >= 0 else gateway.received_state.clusters.get((kind.name, gateway.zone), "slice/-1")
        )
        good, how = await gateway.serve(rid, kind, cluster, work)
        again = how in ("refused", "no server", "never ran") or kind.effect == "read_like"
        if not good and again and self.clock.now() - start < kind.deadline / 2:
            await anyio.sleep(BACK_AFTER / self.clock.rate)
            good, how = await gateway.serve(rid + "b", kind, cluster, work)
        self.record.put(
            "done",
            gw=gateway.name,
            id=rid,
            kind=kind.name,
            ok=good,
            how=how,
            begun=start,
            ms=round((self.clock.now() - start) / 1e6),
            aim=kind.aim // 1_000_000,
            worth=drawn["worth"],
        )

    def command(self, order: dict[str, Any]) -> None:
        """One order of the day's script."""
        names = [n for n in order.get("gateways") or self.gateways if n in self.gateways]  # others run elsewhere
        what = order["do"]
        if what == "cut":
            (self.links.cut.add if order["on"] else self.links.cut.discard)(order["zone"])
        elif what == "away":
            for name in names:
                (self.links.away.add if order["on"] else self.links.away.discard)(name)
        elif what == "stall":
            for name in names:
                self.gateways[name].stalled_until = self.clock.now() + order["ns"]
        elif what == "slow_reads":
            for name in names:
                self.gateways[name].read_delay = order["ns"]
        elif what == "late":
            for name in names:
                self.gateways[name].report_delay = order["ns"]
        elif what == "hot":
            self.demand.hot, self.demand.hot_share = order["slices"], order["share"]
        elif what == "demand":
            self.demand.factor = order["factor"]
        elif what == "refuse":
            for name in names:
                self.gateways[name].received_state.rejected_names = set(order["resources"])
        else:
            raise ValueError(f"unknown order {what!r}")


if __name__ == "__main__":
    anyio.run(Fleet(json.loads(sys.stdin.readline())).run)
