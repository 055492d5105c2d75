"""A process that runs gateways and their clients: `python -m damsonpick.testing.fakes.fleet`.

It reads its settings as one JSON object on the first line of standard input, then one JSON command per line. It exits
at the end of the input.
"""

from __future__ import annotations

import json
import random
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import anyio
from anyio.abc import TaskGroup

from damsonpick.runtime import port_files
from damsonpick.runtime.clock import Clock, ClockOrigin
from damsonpick.runtime.loop_lag import LoopLagMonitor
from damsonpick.testing.fakes.balancer import FakeBalancer
from damsonpick.testing.fakes.gateway import FakeGateway
from damsonpick.testing.fakes.gateway_context import GatewayContext, Network, TrafficClass
from damsonpick.testing.fakes.proxy_gateway import ProxyGateway
from damsonpick.testing.fakes.record import Recorder
from damsonpick.testing.fakes.request_outcome import Ending
from damsonpick.time_units import NS_PER_MS, NS_PER_SECOND

CLIENT_RETRY_DELAY_S = 0.15  # delay in scenario time before a client retries a request that is safe to repeat
IDLE_POLL_S = 0.05  # interval in wall-clock time between checks of a request rate that is 0
NO_SLICE = -1
# Sigma of the lognormal factors on the popularity of slices, the work of requests and the gateways' traffic shares.
SLICE_SPREAD, WORK_SPREAD, GATEWAY_SPREAD = 0.6, 0.4, 0.8
# Endings that show that no server ran the last attempt. They do not show whether an earlier attempt ran.
NOT_RUN_ENDINGS = (Ending.REFUSED, Ending.NO_SERVER, Ending.NEVER_RAN)

Command = dict[str, Any]
Gateway = FakeGateway | ProxyGateway


class ClientRequest(NamedTuple):
    """A request that a client sends.

    Attributes:
        class_name: Name of the request class.
        priority_weight: Priority weight of the request class.
        slice_number: Slice of the request, or -1 if the request uses the table of its zone and class.
        work_ms: Duration of the work on a server of mean speed, in ms.
    """

    class_name: str
    priority_weight: float
    slice_number: int
    work_ms: float


class Demand:
    """The clients' demand. Slices are drawn by popularity; a configurable share of requests goes to hot slices.

    Attributes:
        rate: Mean arrival rate, in requests per second of scenario time.
        factor: Multiplier on `rate`.
        hot_slices: Slices that receive an additional share of the requests. Empty if there are none.
        hot_share: Share of all requests that is divided evenly among `hot_slices` instead of by popularity.
    """

    def __init__(self, setup: dict[str, Any], rng: random.Random) -> None:
        """Read rate, request classes and number of slices from the settings, and draw the popularity of each slice."""
        self.rate = setup["rate"]
        self.factor = 1.0
        self.hot_slices: list[int] = []
        self.hot_share = 0.0
        self._rng = rng
        self._classes: list[dict[str, Any]] = list(setup["kinds"])
        self._class_shares = [settings["share"] for settings in self._classes]
        self._slices = range(setup["slices"])  # empty if the tables are per zone and class
        self._popularity = [rng.lognormvariate(0.0, SLICE_SPREAD) for _ in self._slices]

    def draw(self) -> ClientRequest:
        """Draw class, slice and work of the next request."""
        settings = self._rng.choices(self._classes, self._class_shares)[0]
        slice_number = self._draw_slice()
        work_ms = self._rng.lognormvariate(0.0, WORK_SPREAD) * settings["work"]
        return ClientRequest(settings["name"], settings["worth"], slice_number, work_ms)

    def _draw_slice(self) -> int:
        if not self._slices:
            return NO_SLICE
        if self.hot_slices and self._rng.random() < self.hot_share:
            return self._rng.choice(self.hot_slices)
        return self._rng.choices(self._slices, self._popularity)[0]


class Fleet:
    """All gateways and clients of the process."""

    def __init__(self, setup: dict[str, Any]) -> None:
        """Create the gateways and the demand from the settings of the process."""
        self._part = setup["part"]
        self._rng = random.Random(f"{setup['seed']} {self._part}")
        self._clock = Clock(setup["clock_rate"], ClockOrigin(*setup["clock_origin"]))
        self._record = Recorder(Path(setup["record"]), self._clock.now)
        self._network = Network(setup["pilot_zone"])
        self._port_file = Path(setup["port_file"])
        self._classes = {
            c["name"]: TrafficClass(c["name"], c["aim"], c["deadline"], c["effect"]) for c in setup["kinds"]
        }
        self._demand = Demand(setup, random.Random(setup["seed"]))
        self._gateways = self._make_gateways(setup)
        self._gateway_names = list(self._gateways)
        self._gateway_shares = [self._rng.lognormvariate(0.0, GATEWAY_SPREAD) for _ in self._gateways]
        self._request_count = 0
        self._loop_lag = LoopLagMonitor()
        self._commands: dict[str, Callable[[Command], None]] = {
            "cut": self._isolate_zone,
            "away": self._isolate_gateways,
            "stall": self._stall,
            "slow_reads": self._delay_reads,
            "late": self._delay_reports,
            "hot": self._set_hot_slices,
            "demand": self._set_demand,
            "refuse": self._refuse_resources,
        }

    def _make_gateways(self, setup: dict[str, Any]) -> dict[str, Gateway]:
        context = GatewayContext(self._clock, self._record, self._network, self._classes)
        gateway_type = ProxyGateway if setup["proxies"] else FakeGateway
        gateways: dict[str, Gateway] = {}
        for settings in setup["gateways"]:
            name = settings["name"]
            rng = random.Random(f"{setup['seed']} {name}")
            gateways[name] = gateway_type(name, settings["zone"], settings["delta"], self._xds_address, context, rng)
        for settings in setup.get("balancers", ()):
            name = settings["name"]
            rng = random.Random(f"{setup['seed']} {name}")
            gateways[name] = FakeBalancer(
                name, settings["zone"], self._sasp_address, context, rng, setup["members"], setup["slices"]
            )
        return gateways

    def _xds_address(self) -> str:
        return port_files.address(self._port_file)

    def _sasp_address(self) -> str:
        return port_files.address(self._port_file.with_suffix(".sasp"))

    async def run(self) -> None:
        """Run the gateways and clients and execute commands until standard input ends; then record the process load."""
        async with anyio.create_task_group() as group:
            for gateway in self._gateways.values():
                group.start_soon(gateway.follow)
            group.start_soon(self._generate_requests, group)
            group.start_soon(self._loop_lag.run)
            async for line in anyio.wrap_file(sys.stdin):
                self.execute(json.loads(line))
            group.cancel_scope.cancel()
        self._record.put("process", name=f"gateways-{self._part}", **self._loop_lag.load()._asdict())
        self._record.close()

    # Clients

    async def _generate_requests(self, group: TaskGroup) -> None:
        """Start one client per arrival. The arrivals form a Poisson process.

        Each arrival is scheduled relative to the previous scheduled arrival, not to its actual start. A busy process
        therefore starts requests late but does not reduce their number.
        """
        next_arrival = self._clock.now()
        while True:
            rate = self._demand.rate * self._demand.factor
            if rate <= 0:
                await anyio.sleep(IDLE_POLL_S)
                next_arrival = self._clock.now()
                continue
            next_arrival += int(self._rng.expovariate(rate) * NS_PER_SECOND)
            wait = next_arrival - self._clock.now()
            if wait > 0:
                await anyio.sleep(self._clock.seconds(wait))
            name = self._rng.choices(self._gateway_names, self._gateway_shares)[0]
            self._request_count += 1
            group.start_soon(self._run_client, self._gateways[name], self._request_count)

    async def _run_client(self, gateway: Gateway, number: int) -> None:
        """Send one request, and record how it ended.

        If the request fails, is safe to repeat and has used less than half of its deadline, it is retried once.
        """
        request = self._demand.draw()
        traffic_class = self._classes[request.class_name]
        start = self._clock.now()
        request_id = f"r{self._part}-{number}"
        cluster = _cluster(gateway, request)
        answered, ending = await gateway.serve(request_id, traffic_class, cluster, request.work_ms)
        may_repeat = ending in NOT_RUN_ENDINGS or traffic_class.effect == "read_like"
        if not answered and may_repeat and self._clock.now() - start < traffic_class.deadline / 2:
            await anyio.sleep(CLIENT_RETRY_DELAY_S / self._clock.rate)
            answered, ending = await gateway.serve(request_id + "b", traffic_class, cluster, request.work_ms)
        self._record.put(
            "done",
            gw=gateway.name,
            id=request_id,
            kind=traffic_class.name,
            ok=answered,
            how=ending,
            begun=start,
            ms=round((self._clock.now() - start) / NS_PER_MS),
            aim=traffic_class.latency_objective // NS_PER_MS,
            worth=request.priority_weight,
        )

    # Commands

    def execute(self, command: Command) -> None:
        """Execute a command of the scenario.

        Raises:
            ValueError: The command is unknown.
        """
        handler = self._commands.get(command["do"])
        if handler is None:
            raise ValueError(f"unknown command {command['do']!r}")
        handler(command)

    def _named_gateways(self, command: Command) -> list[Gateway]:
        """Return the gateways of this process that a command names, or all its gateways if the command names none."""
        names = command.get("gateways") or self._gateways
        return [self._gateways[name] for name in names if name in self._gateways]

    def _isolate_zone(self, command: Command) -> None:
        _set_member(self._network.isolated_zones, command["zone"], command["on"])

    def _isolate_gateways(self, command: Command) -> None:
        for gateway in self._named_gateways(command):
            _set_member(self._network.isolated_gateways, gateway.name, command["on"])

    def _stall(self, command: Command) -> None:
        for gateway in self._named_gateways(command):
            gateway.stalled_until = self._clock.now() + command["ns"]

    def _delay_reads(self, command: Command) -> None:
        for gateway in self._named_gateways(command):
            gateway.read_delay = command["ns"]

    def _delay_reports(self, command: Command) -> None:
        for gateway in self._named_gateways(command):
            gateway.report_delay = command["ns"]

    def _set_hot_slices(self, command: Command) -> None:
        self._demand.hot_slices, self._demand.hot_share = command["slices"], command["share"]

    def _set_demand(self, command: Command) -> None:
        self._demand.factor = command["factor"]

    def _refuse_resources(self, command: Command) -> None:
        for gateway in self._named_gateways(command):
            gateway.received_state.rejected_names = set(command["resources"])


def _cluster(gateway: Gateway, request: ClientRequest) -> str:
    """Return the cluster whose table the gateway uses for a request."""
    if request.slice_number != NO_SLICE:
        return f"slice/{request.slice_number}"
    return gateway.received_state.clusters.get((request.class_name, gateway.zone), f"slice/{NO_SLICE}")


def _set_member(members: set[str], name: str, is_member: bool) -> None:
    if is_member:
        members.add(name)
    else:
        members.discard(name)


if __name__ == "__main__":
    anyio.run(Fleet(json.loads(sys.stdin.readline())).run)
