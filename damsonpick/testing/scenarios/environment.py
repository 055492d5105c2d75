"""Starts and stops the processes and fakes of a scenario, and provides the operations that faults use.

The pilot and the gateways run in separate processes. The servers and the list server run in this process.
"""

from __future__ import annotations

import random
from pathlib import Path
from typing import Any

import anyio
import grpc
from anyio.abc import TaskGroup

from damsonpick import interface as api
from damsonpick.runtime.clock import Clock
from damsonpick.runtime.loop_lag import LoopLagMonitor
from damsonpick.settings.model import Rules
from damsonpick.testing.fakes.list_server import FakeListServer
from damsonpick.testing.fakes.record import Recorder
from damsonpick.testing.fakes.results_server import FakeResultsServer, ServerConfig
from damsonpick.testing.scenarios.pilot_settings import CLUSTER, pilot_settings
from damsonpick.testing.scenarios.processes import GatewayProcesses, PilotProcess
from damsonpick.testing.scenarios.script import Script
from damsonpick.time_units import NS_PER_MS, NS_PER_SECOND

CAPACITY_FACTORS = (0.8, 1.0, 1.25)  # speeds of a warm server's cores; one is drawn for each server
MEAN_WORK_FACTOR = 1.083  # mean of the random factor that clients apply to a request's work
GATEWAY_PROCESSES = 3  # most gateway processes; with several, a delay in one process does not delay all gateways
SOTW_GATEWAY_EVERY = 4  # each fourth fake gateway uses the state-of-the-world variant of xDS


class Environment:
    """Runs the processes and fakes of a scenario, and provides the operations that faults use.

    Attributes:
        script, seed: The scenario and its random seed.
        servers, endpoint_list: The fake servers and the fake list server, which run in this process.
        pilot, gateways: The pilot's process and the processes of the gateways.
        clock: The scenario's clock.
        random: Random generator for the servers' properties and the targets of faults.
    """

    def __init__(self, script: Script, seed: int, folder: Path, pilot: list[str], proxies: bool = False) -> None:
        """Create an environment without starting it.

        Args:
            script: The scenario.
            seed: Seed of the random draws for servers, traffic and faults.
            folder: Folder for settings, records and logs; it must be empty.
            pilot: Command that runs a pilot, without its arguments.
            proxies: Whether the project's own proxy forwards the requests, instead of the fake gateways.
        """
        self.script, self.seed, self.folder, self.proxies = script, seed, folder, proxies
        self.random = random.Random(seed)
        self.clock = Clock(script.day.clock_rate)
        self.record = Recorder(folder / "servers.jsonl", self.clock.now)
        self.endpoint_list = FakeListServer(CLUSTER, self.record)
        self.servers: list[FakeResultsServer] = []
        self.pilot = PilotProcess(folder, pilot)
        self.gateways = GatewayProcesses(folder)
        self._group: TaskGroup | None = None
        self._list_server: grpc.aio.Server | None = None
        self._loop_lag = LoopLagMonitor()

    # Start and stop

    async def start(self, group: TaskGroup) -> None:
        """Start the servers and the list server first, then the pilot, then the gateways."""
        self._group = group
        group.start_soon(self._loop_lag.run)
        rules = Rules.model_validate(self.script.pilot["rules"])
        for number in range(self.script.day.servers):
            server_random = random.Random(f"{self.seed} server {number}")
            config = self._server_config(number, rules)
            server = FakeResultsServer(config, self.clock, self.record, server_random)
            await server.start(group, cold=False)
            self.servers.append(server)
        self.endpoint_list.update_entries(*(self._list_entry(server) for server in self.servers))
        self._list_server, address = await self.endpoint_list.start()
        self.pilot.settings_file.write_text(pilot_settings(self.script, self.seed, address))
        await self.pilot.start()
        await self._start_gateways()

    def _server_config(self, number: int, rules: Rules) -> ServerConfig:
        day = self.script.day
        return ServerConfig(
            zone=day.zones[number % len(day.zones)],
            cores=day.cores,
            capacity_factor=self.random.choice(CAPACITY_FACTORS),
            cold_share=rules.cold_capacity_share,
            warm_up_ns=rules.warm_up_time,
            overload_multiple=rules.overload_multiple,
            overload_window_ns=rules.overload_time,
        )

    async def _start_gateways(self) -> None:
        day = self.script.day
        gateways = [
            {
                "name": f"gw-{number}",
                "zone": day.zones[number % len(day.zones)],
                "delta": self.proxies or number % SOTW_GATEWAY_EVERY != SOTW_GATEWAY_EVERY - 1,
            }
            for number in range(day.gateways)
        ]
        balancers = [
            {"name": f"lb-{number}", "zone": day.zones[number % len(day.zones)]} for number in range(day.balancers)
        ]
        processes = min(GATEWAY_PROCESSES, len(gateways) + len(balancers))
        for part in range(processes):
            setup = self._gateways_setup(part, processes)
            setup["gateways"] = gateways[part::processes]
            setup["balancers"] = balancers[part::processes]
            await self.gateways.start(setup)

    def _gateways_setup(self, part: int, processes: int) -> dict[str, Any]:
        """Return the setup of one gateway process, except for its gateways and balancers."""
        day = self.script.day
        return {
            "clock_rate": day.clock_rate,
            "clock_origin": self.clock.origin,  # shared, so that the records of all processes can be sorted by time
            "seed": self.seed,
            "part": part,
            "proxies": self.proxies,
            "record": str(self.folder / f"gateways-{part}.jsonl"),
            "pilot_zone": day.zones[0],
            "port_file": str(self.pilot.port_file),
            "slices": day.slices,
            "rate": self._request_rate() / processes,
            "kinds": self._classes_setup(),
            "members": {server.address: server.config.zone for server in self.servers},
        }

    def _request_rate(self) -> float:
        """Return the number of requests per second of the scenario's clock that results in the script's load."""
        capacity = sum(server.config.cores * server.config.capacity_factor for server in self.servers)
        classes = self.script.classes.values()
        total_share = sum(c.share for c in classes)
        mean_work_s = sum(c.share * c.work for c in classes) / total_share / NS_PER_SECOND
        return self.script.day.load * capacity / (mean_work_s * MEAN_WORK_FACTOR)

    def _classes_setup(self) -> list[dict[str, Any]]:
        return [
            {
                "name": name,
                "aim": request_class.latency_objective,
                "deadline": request_class.deadline,
                "effect": request_class.effect,
                "share": request_class.share,
                "work": request_class.work / NS_PER_MS,
                "worth": request_class.priority_weight,
            }
            for name, request_class in self.script.classes.items()
        ]

    async def stop(self) -> None:
        """Stop the gateways first, then the pilot, the servers and the list server."""
        with anyio.CancelScope(shield=True):
            await self.gateways.stop()
            await self.pilot.stop()
            for server in self.servers:
                server.stop("end of the day")
            if self._list_server is not None:
                await self._list_server.stop(None)
            self.record.put("process", name="servers", **self._loop_lag.load()._asdict())
            self.record.close()

    # Operations for faults

    async def sleep(self, duration_ns: float) -> None:
        """Wait for a duration on the scenario's clock."""
        await anyio.sleep(self.clock.seconds(int(duration_ns)))

    def update_list(self, server: FakeResultsServer, state: str) -> None:
        """Set a server's state in the endpoint list."""
        self.endpoint_list.update_entries(self._list_entry(server, state))

    def update_list_after_notice(self, server: FakeResultsServer, state: str) -> None:
        """Set a server's state in the list after the script's notice.

        The state stays unchanged if the server starts or stops in the meantime.
        """
        started, is_up = server.started, server.is_up

        async def update() -> None:
            await self.sleep(self.script.day.notice)
            if (server.started, server.is_up) == (started, is_up):
                self.update_list(server, state)

        self._group.start_soon(update)

    async def restart_server(self, server: FakeResultsServer) -> None:
        """Start a new, cold process at the same address, and list the server as in service after the script's notice.

        A server that has crashed from overload is not restarted.
        """
        if not server.has_crashed:
            await server.start(self._group, cold=True)
            self.update_list_after_notice(server, "in_service")

    def draw_servers(self, share: float) -> list[FakeResultsServer]:
        """Return a random share of the servers that are up: at least one, never all. Empty if fewer than two are up."""
        up = [server for server in self.servers if server.is_up and not server.has_crashed]
        if len(up) <= 1:
            return []
        count = min(len(up) - 1, round(share * len(up)))
        return self.random.sample(up, max(1, count))

    def draw_gateways(self, share: float) -> list[str]:
        """Return the names of a random share of the gateways, at least one."""
        names = [f"gw-{number}" for number in range(self.script.day.gateways)]
        return self.random.sample(names, max(1, round(share * len(names))))

    def _list_entry(self, server: FakeResultsServer, state: str = "in_service") -> api.EndpointEntry:
        config = server.config
        return api.EndpointEntry(server.address, config.zone, state, float(config.cores), server.started)
