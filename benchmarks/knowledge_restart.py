"""Measure what a restart of the pilot costs with its learned state, without any, and with wrong learned state.

    python -m benchmarks.knowledge_restart --seeds 20 --jobs 3 --out benchmarks/knowledge_restart.json

Fake servers and gateways on loopback; a scenario day runs at three times real time. Scenarios: `calm`, `rush` (with
two slow servers) and `overload` (over twice what fits). The pilot is killed at 24 s of the day and started again at
once. The figure is the priority weight served in time over the priority weight requested, in the 30 s after the kill.
Arms, with the same seed: `none` (no kill), `kept`, `empty` (learned state and standing orders removed, as in the
project before it kept any; tables and endpoint list remain) and `wrong` (capacity factors inverted, rates of slices
shuffled, best throughput and throughput per capacity times five: a valid file, not a damaged one). The loss of an arm
is the figure of `none` minus the figure of the arm. Intervals are two-sided 95% intervals of Student's t over the
seeds.
"""

from __future__ import annotations

import argparse
import json
import os
import platform
import random
import sqlite3
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import anyio
import msgspec
from scipy import stats

from damsonpick.state.learned import codec, generations
from damsonpick.state.learned.disk import OsDisk
from damsonpick.state.learned.snapshot import LearnedFleet, Snapshot
from damsonpick.testing.scenarios import outcome as outcomes
from damsonpick.testing.scenarios import player
from damsonpick.testing.scenarios.environment import Environment
from damsonpick.testing.scenarios.script import Script

SECOND = 1_000_000_000
KILL, WINDOW, END = 24, 30, 56  # s: time of the kill, length of the evaluated window, length of the day
SLOW = {"slow": {"kind": "slow", "at": "4 s", "len": "51 s", "part": "0.125", "size": "4"}}
SCENARIOS: dict[str, dict[str, Any]] = {
    "calm": {},
    "rush": {**SLOW, "rush": {"kind": "rush", "at": "14 s", "len": "41 s", "size": "1.35"}},
    "overload": {"rush": {"kind": "rush", "at": "6 s", "len": "49 s", "size": "2.4"}},
}
ARMS = ("none", "kept", "empty", "wrong")


def script(scenario: str) -> Script:
    shared = {"aim": "1.5 s", "deadline": "4 s", "work": "300 ms"}
    return Script.model_validate(
        {
            "day": {
                "length": f"{END} s",
                "rate": 3,
                "gateways": 12,
                "servers": 16,
                "load": 0.5,
                "cores": 2,
                "slices": 96,
            },
            "classes": {"page": {**shared, "share": 0.6}, "tally": {**shared, "share": 0.4, "worth": 2}},
            "faults": SCENARIOS[scenario],
            "pilot": {
                "rules": {
                    "drain_grace": "2.5 s",
                    "bare_limit": "2.5 s",
                    "cold_share": "0.2",
                    "cold_time": "10 s",
                    "fall_multiple": "4",
                    "fall_time": "1.5 s",
                },
                "channel": {"lines_per_second": "4000", "limit": "8000"},
            },
        }
    )


def make_wrong_snapshot(kept: Snapshot, seed: int) -> Snapshot:
    """Return a valid snapshot whose contents are wrong throughout."""
    rng = random.Random(seed)
    rates = [p.rates for p in kept.slices]
    rng.shuffle(rates)
    return msgspec.structs.replace(
        kept,
        endpoints=tuple(
            msgspec.structs.replace(
                s,
                capacity_factor=min(
                    2.0, max(0.1, 1 / s.capacity_factor**2 if s.capacity_factor < 0.7 else rng.choice((0.3, 1.8)))
                ),
            )
            for s in kept.endpoints
        ),
        slices=tuple(msgspec.structs.replace(p, rates=r) for p, r in zip(kept.slices, rates, strict=True)),
        fleet=LearnedFleet(kept.fleet.best_throughput * 5, kept.fleet.throughput_per_capacity * 5),
    )


def tamper(folder: Path, arm: str, seed: int) -> None:
    """Change the state on disk between the kill and the start, as the arm requires."""
    state = folder / "state"
    if arm == "empty":
        generations.remove(state / "knowledge")
        store = sqlite3.connect(state / "tables.db", isolation_level=None)
        store.execute("DELETE FROM standing")
        store.close()
    elif arm == "wrong":
        kept = generations.load(OsDisk(), state / "knowledge").snapshot
        for which in (generations.CURRENT, generations.PREVIOUS):
            (state / "knowledge" / which).write_bytes(codec.encode(make_wrong_snapshot(kept, seed)))


async def play(scenario: str, arm: str, seed: int, folder: Path) -> dict[str, Any]:
    scenario_script = script(scenario)
    environment = Environment(scenario_script, seed, folder, player.PILOT_COMMAND)
    kill_time = 0

    async with anyio.create_task_group() as group:
        try:
            await environment.start(group)
            for fault in scenario_script.faults.values():
                group.start_soon(player.inject, environment, fault)
            await environment.sleep(KILL * SECOND)
            kill_time = environment.clock.now()
            if arm != "none":
                await environment.pilot.kill()
                tamper(folder, arm, seed)
                await environment.pilot.start()
            await environment.sleep(kill_time + (END - KILL) * SECOND - environment.clock.now())
        finally:
            await environment.stop()
        group.cancel_scope.cancel()
    from damsonpick.settings.load import load

    outcome = outcomes.evaluate(folder, outcomes.limits_of(load(environment.pilot.settings_file)))
    requests = outcomes.completed_requests(outcomes.read_records(folder))
    done = [request for request in requests if kill_time <= request.begun_ns < kill_time + WINDOW * SECOND]
    return {
        "scenario": scenario,
        "arm": arm,
        "seed": seed,
        "service": outcomes.service_of(done),
        "requests": len(done),
        "kept": outcome.kept,
        "broken": [r.name for r in outcome.rules if r.breaches],
    }


def play_in_process(job: tuple[str, str, int]) -> dict[str, Any]:
    """Play one scenario in a process of its own. A second attempt is made if the process fails."""
    command_line = [sys.executable, "-m", "benchmarks.knowledge_restart", "--one", json.dumps(job)]
    for _ in range(2):
        done = subprocess.run(command_line, capture_output=True, text=True)
        if done.returncode == 0:
            result = json.loads(done.stdout)
            print(result, flush=True)
            return result
    raise RuntimeError(done.stderr[-2000:])


def interval(figures: list[float]) -> dict[str, float]:
    mean = statistics.mean(figures)
    half = (
        stats.t.ppf(0.975, len(figures) - 1) * statistics.stdev(figures) / len(figures) ** 0.5
        if len(figures) > 1
        else 0.0
    )
    return {"mean": round(mean, 4), "half_width": round(float(half), 4)}


def summarize(rows: list[dict[str, Any]]) -> dict[str, Any]:
    service_by_run = {(r["scenario"], r["arm"], r["seed"]): r["service"] for r in rows}
    result: dict[str, Any] = {}
    for scenario in SCENARIOS:
        seeds = sorted({s for scenario_name, arm, s in service_by_run if scenario_name == scenario})
        if not seeds:
            continue
        row: dict[str, Any] = {"service without a kill": interval([service_by_run[scenario, "none", s] for s in seeds])}
        for arm in ARMS[1:]:
            row[f"loss, {arm}"] = interval(
                [service_by_run[scenario, "none", s] - service_by_run[scenario, arm, s] for s in seeds]
            )
        row["kept less empty"] = interval(
            [service_by_run[scenario, "kept", s] - service_by_run[scenario, "empty", s] for s in seeds]
        )
        row["wrong less empty"] = interval(
            [service_by_run[scenario, "wrong", s] - service_by_run[scenario, "empty", s] for s in seeds]
        )
        empty = row["loss, empty"]["mean"]
        row["part of the loss gone"] = round(1 - row["loss, kept"]["mean"] / empty, 2) if empty > 0 else None
        result[scenario] = row
    return result


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--out", type=Path)
    parser.add_argument("--one")
    args = parser.parse_args()
    if args.one:
        scenario, arm, seed = json.loads(args.one)
        with tempfile.TemporaryDirectory() as scratch:
            print(json.dumps(anyio.run(play, scenario, arm, seed, Path(scratch))))
        return
    jobs = [(scenario, arm, seed) for seed in range(1, args.seeds + 1) for scenario in SCENARIOS for arm in ARMS]
    with ThreadPoolExecutor(args.jobs) as pool:
        rows = list(pool.map(play_in_process, jobs))
    result = {
        "command": f"python -m benchmarks.knowledge_restart --seeds {args.seeds} --jobs {args.jobs} "
        "--out benchmarks/knowledge_restart.json",
        "seeds": args.seeds,
        "machine": {"python": platform.python_version(), "cores": os.cpu_count(), "days at once": args.jobs},
        "result": summarize(rows),
        "days": len(rows),
        "rules broken": [r for r in rows if not r["kept"]],
        "rows": rows,
    }
    print(json.dumps(result["result"], indent=1))
    if args.out:
        args.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
