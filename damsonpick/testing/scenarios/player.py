"""Plays a scenario against a running pilot and evaluates the recorded traffic."""

from __future__ import annotations

import sys
from pathlib import Path

import anyio

from damsonpick.settings.load import load
from damsonpick.testing.scenarios.environment import Environment
from damsonpick.testing.scenarios.faults import FAULTS
from damsonpick.testing.scenarios.outcome import Outcome, evaluate, limits_of
from damsonpick.testing.scenarios.script import Fault, Script

PILOT_COMMAND = [sys.executable, "-m", "damsonpick"]


async def play(
    script: Script, seed: int, folder: Path, pilot: list[str] | None = None, proxies: bool = False
) -> Outcome:
    """Play one scenario in `folder` and evaluate it.

    Args:
        script: The scenario.
        seed: Seed of the random draws for servers, traffic and faults.
        folder: Folder for settings, records and logs; it must be empty.
        pilot: Command that runs a pilot; None for this program's own pilot.
        proxies: Whether real proxies forward the requests, instead of the fake gateways.

    Raises:
        ExceptionGroup: A process did not start or ended early. The group contains a `ScenarioError`.
    """
    environment = Environment(script, seed, folder, pilot or PILOT_COMMAND, proxies)
    async with anyio.create_task_group() as group:
        try:
            await environment.start(group)
            watch_scope = anyio.CancelScope()
            group.start_soon(_watch_gateways, environment, watch_scope)
            for fault in script.faults.values():
                group.start_soon(inject, environment, fault)
            await environment.sleep(script.day.length)
            watch_scope.cancel()
        finally:
            await environment.stop()
        group.cancel_scope.cancel()
    return evaluate(folder, limits_of(load(environment.pilot.settings_file)))


async def inject(environment: Environment, fault: Fault) -> None:
    """Wait until the fault's start time, then inject it."""
    await environment.sleep(fault.start)
    await FAULTS[fault.kind](environment, fault)


async def _watch_gateways(environment: Environment, scope: anyio.CancelScope) -> None:
    with scope:
        await environment.gateways.watch()
