"""Plays a script against a running pilot and judges what passed on the sockets."""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import anyio

from damsonpick.settings.load import load
from damsonpick.testing.rules import Checker, EffectRule, Limits, RuleResult
from damsonpick.testing.scenarios.environment import Stage
from damsonpick.testing.scenarios.faults import ALL
from damsonpick.testing.scenarios.script import Script, Trouble

PILOT = [sys.executable, "-m", "damsonpick"]
LEAD = 2_000_000_000  # ns of the day before the first request counts


class Outcome:
    """What a day showed."""

    def __init__(
        self,
        rules: list[RuleResult],
        service: float,
        requests: int,
        ends: dict[str, int],
        fronts: dict[str, float] | None = None,
    ) -> None:
        self.rules, self.service, self.requests, self.ends = rules, service, requests, ends
        self.fronts = fronts or {}  # service by front, where there are two

    @property
    def kept(self) -> bool:
        return not any(rule.breaches for rule in self.rules)

    def as_dict(self) -> dict[str, Any]:
        return {
            "kept": self.kept,
            "service": round(self.service, 4),
            "requests": self.requests,
            "ends": self.ends,
            **({"fronts": {n: round(s, 4) for n, s in self.fronts.items()}} if self.fronts else {}),
            "rules": [rule.as_dict() for rule in self.rules],
        }


async def play(
    script: Script, seed: int, folder: Path, pilot: list[str] | None = None, proxies: bool = False
) -> Outcome:
    """Play one day in `folder`, which must be empty, and judge it."""
    stage = Stage(script, seed, folder, pilot or PILOT, proxies)

    async def strike(trouble: Trouble) -> None:
        await stage.wait(trouble.at)
        await ALL[trouble.kind](stage, trouble)

    async with anyio.create_task_group() as group:
        try:
            await stage.build(group)
            watch = anyio.CancelScope()

            async def watched() -> None:
                with watch:
                    await stage.watch()

            group.start_soon(watched)
            for trouble in script.troubles.values():
                group.start_soon(strike, trouble)
            await stage.wait(script.day.length)
            watch.cancel()
        finally:
            await stage.end()
        group.cancel_scope.cancel()
    return judge(folder, limits(load(stage.settings_file)))


def limits(settings: Any) -> Limits:
    """The rules' figures from a pilot's settings."""
    rules, channel = settings.rules, settings.channel
    return Limits(
        slice_count=settings.table_count(),
        empty_table_ns=rules.empty_table_limit,
        drain_grace_ns=rules.drain_grace,
        warm_up_ns=rules.warm_up_time,
        overload_multiple=rules.overload_multiple,
        overload_window_ns=rules.overload_time,
        queued_entries=channel.limit if channel.lines_per_second else float("inf"),
        message_overhead_entries=channel.message_overhead,
        messages_per_window=channel.messages_per_window,
        message_window_ns=channel.message_window,
        effect_rules={
            name: EffectRule(request_class.effect, request_class.key_scope, request_class.key_window)
            for name, request_class in settings.classes.items()
        },
    )


def records(folder: Path) -> Iterable[dict[str, Any]]:
    """All records of a day in order of time; a line cut short by a kill is left out."""
    found = []
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_text().splitlines():
            try:
                found.append(json.loads(line))
            except json.JSONDecodeError:
                continue
    return sorted(found, key=lambda event: event["t"])


def judge(folder: Path, bounds: Limits) -> Outcome:
    events = list(records(folder))
    checker = Checker(bounds).feed(events)
    done = [e for e in events if e["e"] == "done"]
    first = min((e["begun"] for e in done), default=0) + LEAD
    counted = [e for e in done if e["begun"] >= first]
    over = {
        "sasp": [e for e in counted if e["gw"].startswith("lb-")],
        "xds": [e for e in counted if not e["gw"].startswith("lb-")],
    }
    ends: dict[str, int] = {}
    for e in counted:
        how = "late" if e["ok"] and e["ms"] > e["aim"] else e["how"]
        ends[how] = ends.get(how, 0) + 1
    fronts = {name: service(mine) for name, mine in over.items()} if over["sasp"] else {}
    return Outcome(checker.results(), service(counted), len(counted), ends, fronts)


def service(done: list[dict[str, Any]]) -> float:
    """Worth answered in time over the worth asked for."""
    asked = sum(e["worth"] for e in done)
    return sum(e["worth"] for e in done if e["ok"] and e["ms"] <= e["aim"]) / asked if asked else 0.0
