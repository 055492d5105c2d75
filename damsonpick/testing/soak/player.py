"""Runs a soak: starts one pilot several times, injects faults, and checks invariants as each incarnation ends."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from damsonpick.protocols.platform.stored_state import tables_digest
from damsonpick.testing.fakes.platform_config import SETTINGS, ZONES, free_port
from damsonpick.testing.soak.clients import HEARTBEAT_TIMEOUT_S, Clients
from damsonpick.testing.soak.pilot_process import PilotProcess
from damsonpick.testing.soak.plan import Ending, Incarnation, SoakPlan, draw_plan
from damsonpick.testing.soak.platform import ODD_VALUES, SoakPlatform

SETTLE_TIMEOUT_S = 8.0  # time after the end of all faults within which the tables must have become stable
SETTLE_POLL_S = 0.05  # interval between checks whether the tables have changed
STABLE_PERIOD_S = 1.2  # time without changes at the end of a soak; longer than the time between two heartbeats
READY_EVENTS = frozenset(("pilot_ready", "readiness_timed_out"))
MAX_IDLE_DESCRIPTORS = 40  # open file descriptors allowed to the pilot, not counting those of unjoined clients
SIGNALS_BY_ENDING: dict[Ending, tuple[signal.Signals, ...]] = {
    Ending.TERM: (signal.SIGTERM,),
    Ending.TERM_TWICE: (signal.SIGTERM, signal.SIGTERM),
    Ending.RELOADS_THEN_TERM: (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM),
    Ending.TERM_DURING_RELOAD: (signal.SIGHUP, signal.SIGTERM),
    Ending.TERM_BEFORE_READY: (signal.SIGTERM,),
}


@dataclass(slots=True)
class SoakResult:
    """The result of a soak.

    Attributes:
        seed: Seed of the soak. The soak can be repeated with it.
        endings: Planned ending of each incarnation that was started, in order.
        requests: Number of requests with orders that the registry received.
        failures: Descriptions of the failures. Empty if the soak passed.
    """

    seed: int
    endings: list[Ending] = field(default_factory=list)
    requests: int = 0
    failures: list[str] = field(default_factory=list)


class Soak:
    """One soak from its plan to its result.

    Args:
        plan: Plan of the soak.
        folder: Folder for configuration and log. It must be empty.
    """

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        """Create the pilot and its platform; `play` starts them."""
        self.plan = plan
        self.result = SoakResult(plan.seed)
        self._rng = random.Random(f"{plan.seed} play")
        self.pilot = PilotProcess(folder)
        self.platform = SoakPlatform(plan, self._rng, self._reload)
        self._port = free_port()
        self._discovery_port = 0
        self._group: TaskGroup | None = None

    async def play(self) -> SoakResult:
        """Run all incarnations of the pilot and return the result."""
        async with (
            self.platform.registry.running() as first_port,
            self.platform.registry.running() as second_port,
            self.platform.discovery.running() as self._discovery_port,
            anyio.create_task_group() as self._group,
        ):
            self.platform.registry_ports = [first_port, second_port]
            clients = Clients(self._port, ZONES, lambda: list(self.platform.discovery.servers), self._rng)
            self._group.start_soon(clients.run, self.plan.unjoined_clients)
            try:
                for number, incarnation in enumerate(self.plan.incarnations):
                    await self._play_incarnation(
                        incarnation, clients, is_last=number == len(self.plan.incarnations) - 1
                    )
            finally:
                with anyio.CancelScope(shield=True):
                    await self.pilot.kill()
            self.result.requests = self.platform.registry.request_count
            self._group.cancel_scope.cancel()
        return self.result

    def _config(self) -> dict[str, Any]:
        known = [dict(entry) for entry in self.platform.discovery.servers.values()]
        if self.plan.malformed_cached_list:
            known += [self.platform.discovery.entry(f"odd{k}") | {"state": value} for k, value in enumerate(ODD_VALUES)]
        domain = SETTINGS["domain"] | {"shards": self.plan.slices, "agents": self.plan.proxies}
        return {
            "name": "n0",
            "listen": f"127.0.0.1:{self._port}",
            "discovery": f"127.0.0.1:{self._discovery_port}",
            "registry": {"address": f"127.0.0.1:{self.platform.registry_ports[0]}"},
            "seed": f"{self.plan.seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.plan.max_descriptors},
            "known": {"version": self.platform.discovery.version, "full": True, "servers": known},
            "settings": SETTINGS | {"domain": domain},
        }

    def _reload(self, valid: bool) -> None:
        self.pilot.write_config(self._config() if valid else None)
        self.pilot.send(signal.SIGHUP)

    # One incarnation

    async def _play_incarnation(self, incarnation: Incarnation, clients: Clients, is_last: bool) -> None:
        self.result.endings.append(incarnation.ending)
        self.pilot.write_config(self._config())
        await self.pilot.start()
        if incarnation.ending is Ending.TERM_BEFORE_READY:
            await anyio.sleep(self._rng.uniform(0.0, 0.6))
        elif not await self.pilot.wait_for_any(READY_EVENTS):
            self._fail("the pilot ended early, or its wait for readiness did not end in time")
        for step in incarnation.steps:
            await anyio.sleep(step.pause_s)
            await self.platform.act(step, self._group)
        if is_last:
            await self._settle()
            self._check_descriptors()
        await self._end_incarnation(incarnation.ending, clients, is_last)
        self.platform.pilot_ended()
        for fault in self.pilot.faults():
            self._fail(fault)

    async def _end_incarnation(self, ending: Ending, clients: Clients, is_last: bool) -> None:
        if not self.pilot.is_running():
            self._fail(f"the pilot exited on its own with code {self.pilot.process.returncode}")
            return
        overdue = clients.pending_heartbeats.unanswered_before(anyio.current_time() - HEARTBEAT_TIMEOUT_S)
        if overdue:
            self._fail(f"{overdue} heartbeats were not answered within {HEARTBEAT_TIMEOUT_S} s")
        if ending is Ending.KILL:
            await self.pilot.kill()
            clients.pending_heartbeats.clear()
            return
        had_started = self.pilot.has_logged("pilot_started")
        for number in SIGNALS_BY_ENDING[ending]:
            self.pilot.send(number)
        exit_code = await self.pilot.wait_for_exit_after_sigterm()
        clients.pending_heartbeats.clear()
        # Until the program has installed its signal handlers, SIGTERM ends the interpreter.
        allowed = (0,) if had_started else (0, -signal.SIGTERM)
        if exit_code not in allowed:
            self._fail(
                f"after {ending} the pilot exited with {exit_code} (None if it did not exit within the platform's time)"
            )
        elif is_last:
            self._check_known_state()

    # Invariants at the end of the last incarnation

    async def _settle(self) -> None:
        """End all faults, return all slices to the pilot, and wait until the tables are stable.

        Tables are stable if they have not changed for `STABLE_PERIOD_S` and no slice lacked a usable server meanwhile.
        """
        await self.platform.end_faults()
        with anyio.move_on_after(SETTLE_TIMEOUT_S) as scope:
            await self._wait_until_stable()
        if scope.cancelled_caught:
            self._fail(
                f"the tables were still changing or lacked a usable server after {SETTLE_TIMEOUT_S} s: "
                f"{self.platform.describe_uncovered()}"
            )

    async def _wait_until_stable(self) -> None:
        digest, since_s = 0, anyio.current_time()
        while True:
            current_digest = tables_digest(self.platform.registry.tables)
            if current_digest != digest or self.platform.uncovered_slices():
                digest, since_s = current_digest, anyio.current_time()
            if anyio.current_time() - since_s >= STABLE_PERIOD_S:
                return
            await anyio.sleep(SETTLE_POLL_S)

    def _check_descriptors(self) -> None:
        held, allowed = self.pilot.descriptor_count(), MAX_IDLE_DESCRIPTORS + self.plan.unjoined_clients
        if held > min(allowed, self.plan.max_descriptors):
            self._fail(f"{held} descriptors open, at most {allowed} expected, limit {self.plan.max_descriptors}")

    def _check_known_state(self) -> None:
        """Check that the registry stores the tables that the pilot, at its end, believes to be stored.

        They differ if the registry has not applied all orders of the pilot.
        """
        endings = [entry for entry in self.pilot.entries() if entry["event"] == "pilot_ended"]
        if not endings:
            self._fail("the log contains no pilot_ended event")
            return
        if endings[-1]["tables_digest"] != tables_digest(self.platform.registry.tables):
            self._fail("the tables that the pilot believes to be stored differ from those in the registry")

    def _fail(self, text: str) -> None:
        self.result.failures.append(f"incarnation {len(self.result.endings)} ({self.result.endings[-1]}): {text}")


async def play(seed: int, folder: Path) -> SoakResult:
    """Run the soak of a seed in an empty folder and return its result."""
    return await Soak(draw_plan(seed), folder).play()
