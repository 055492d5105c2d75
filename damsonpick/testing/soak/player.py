"""Plays a soak: lives of one pilot among faults, and what must hold at the end of each."""

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
from damsonpick.testing.soak.clients import ANSWER_GRACE_S, Clients
from damsonpick.testing.soak.pilot_process import PilotProcess
from damsonpick.testing.soak.plan import Ending, Life, SoakPlan, draw_plan
from damsonpick.testing.soak.platform import ODD_VALUES, SoakPlatform

SETTLE_TIMEOUT_S = 8.0
SETTLE_POLL_S = 0.05
QUIET_S = 1.2  # over which nothing may change at the end: longer than the time between two heartbeats
READY_EVENTS = frozenset(("pilot_ready", "readiness_timed_out"))
MAX_IDLE_DESCRIPTORS = 40  # of a pilot without strangers
TERM_SERIES: dict[Ending, tuple[signal.Signals, ...]] = {
    Ending.TERM: (signal.SIGTERM,),
    Ending.TERM_TWICE: (signal.SIGTERM, signal.SIGTERM),
    Ending.RELOADS_THEN_TERM: (signal.SIGHUP, signal.SIGHUP, signal.SIGTERM),
    Ending.TERM_DURING_RELOAD: (signal.SIGHUP, signal.SIGTERM),
    Ending.TERM_BEFORE_READY: (signal.SIGTERM,),
}


@dataclass(slots=True)
class SoakResult:
    """What a soak showed.

    Attributes:
        seed: to play it again.
        lives: how many it played, and how each ended.
        requests: how many requests the registry had.
        failures: what was wrong; empty: nothing.
    """

    seed: int
    lives: list[Ending] = field(default_factory=list)
    requests: int = 0
    failures: list[str] = field(default_factory=list)


class Soak:
    """One soak from its plan to its result.

    Args:
        plan: what is to happen.
        folder: for configuration and log; must be empty.
    """

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        """Start nothing yet."""
        self.plan = plan
        self.result = SoakResult(plan.seed)
        self._rng = random.Random(f"{plan.seed} play")
        self.pilot = PilotProcess(folder)
        self.platform = SoakPlatform(plan, self._rng, self._reload)
        self._port = free_port()
        self._discovery_port = 0
        self._group: TaskGroup | None = None

    async def play(self) -> SoakResult:
        """Play all lives."""
        async with (
            self.platform.registry.running() as first_port,
            self.platform.registry.running() as second_port,
            self.platform.discovery.running() as self._discovery_port,
            anyio.create_task_group() as self._group,
        ):
            self.platform.registry_ports = [first_port, second_port]
            clients = Clients(self._port, ZONES, lambda: list(self.platform.discovery.servers), self._rng)
            self._group.start_soon(clients.run, self.plan.strangers)
            try:
                for number, life in enumerate(self.plan.lives):
                    await self._play_life(life, clients, is_last=number == len(self.plan.lives) - 1)
            finally:
                with anyio.CancelScope(shield=True):
                    await self.pilot.kill()
            self.result.requests = self.platform.registry.request_count
            self._group.cancel_scope.cancel()
        return self.result

    def _config(self) -> dict[str, Any]:
        known = [dict(entry) for entry in self.platform.discovery.servers.values()]
        if self.plan.odd_kept_list:
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

    # -- one life

    async def _play_life(self, life: Life, clients: Clients, is_last: bool) -> None:
        self.result.lives.append(life.ending)
        self.pilot.write_config(self._config())
        await self.pilot.start()
        if life.ending is Ending.TERM_BEFORE_READY:
            await anyio.sleep(self._rng.uniform(0.0, 0.6))
        elif not await self.pilot.wait_for_any(READY_EVENTS):
            self._fail("the pilot did not become ready")
        for step in life.steps:
            await anyio.sleep(step.pause_s)
            await self.platform.act(step, self._group)
        if is_last:
            await self._settle()
            self._check_descriptors()
        await self._end_life(life.ending, clients, is_last)
        self.platform.pilot_ended()
        for fault in self.pilot.faults():
            self._fail(fault)

    async def _end_life(self, ending: Ending, clients: Clients, is_last: bool) -> None:
        if not self.pilot.is_running():
            self._fail(f"the pilot ended by itself with code {self.pilot.process.returncode}")
            return
        overdue = clients.ledger.unanswered_before(anyio.current_time() - ANSWER_GRACE_S)
        if overdue:
            self._fail(f"{overdue} heartbeats were not answered within {ANSWER_GRACE_S} s")
        if ending is Ending.KILL:
            await self.pilot.kill()
            clients.ledger.clear()
            return
        had_started = self.pilot.has_logged("pilot_started")
        for number in TERM_SERIES[ending]:
            self.pilot.send(number)
        exit_code = await self.pilot.end_after_term()
        clients.ledger.clear()
        # Before the program has taken over its signals, SIGTERM ends the interpreter.
        allowed = (0,) if had_started else (0, -signal.SIGTERM)
        if exit_code not in allowed:
            self._fail(f"after {ending} the pilot ended with {exit_code} (None: not within the platform's time)")
        elif is_last:
            self._check_known_state()

    # -- what must hold at the end

    async def _settle(self) -> None:
        """End all faults, give all slices back, and wait until nothing changes any more."""
        await self.platform.end_faults()
        with anyio.move_on_after(SETTLE_TIMEOUT_S) as scope:
            await self._wait_until_quiet()
        if scope.cancelled_caught:
            self._fail(f"not at rest within {SETTLE_TIMEOUT_S} s: {self.platform.describe_uncovered()}")

    async def _wait_until_quiet(self) -> None:
        digest, since_s = 0, anyio.current_time()
        while True:
            present = tables_digest(self.platform.registry.tables)
            if present != digest or self.platform.uncovered_slices():
                digest, since_s = present, anyio.current_time()
            if anyio.current_time() - since_s >= QUIET_S:
                return
            await anyio.sleep(SETTLE_POLL_S)

    def _check_descriptors(self) -> None:
        held, allowed = self.pilot.descriptor_count(), MAX_IDLE_DESCRIPTORS + self.plan.strangers
        if held > min(allowed, self.plan.max_descriptors):
            self._fail(f"{held} descriptors held, {allowed} expected at most, {self.plan.max_descriptors} allowed")

    def _check_known_state(self) -> None:
        """What the pilot takes for stored is what is stored, and all that it ordered has been taken."""
        endings = [entry for entry in self.pilot.entries() if entry["event"] == "pilot_ended"]
        if not endings:
            self._fail("no pilot_ended in the log")
            return
        if endings[-1]["tables_digest"] != tables_digest(self.platform.registry.tables):
            self._fail("what the pilot takes for stored is not what the registry stores")

    def _fail(self, text: str) -> None:
        self.result.failures.append(f"life {len(self.result.lives)} ({self.result.lives[-1]}): {text}")


async def play(seed: int, folder: Path) -> SoakResult:
    """Play the soak of a seed in an empty folder."""
    return await Soak(draw_plan(seed), folder).play()
