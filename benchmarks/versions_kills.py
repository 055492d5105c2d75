"""Kill the pilot at random points of rollouts and rollbacks, and measure what gateways hold afterwards, and how soon.

    python -m benchmarks.versions_kills --kills 200 --out benchmarks/versions_kills.json

At each kill, a change of the list or a rollback by the command line is in progress. The pilot receives SIGKILL at a
random moment and starts again on the same folder. Eight gateways (two of them in the state-of-the-world variant) stay
subscribed all the time. Checked: all gateways reach one version, verified by their own roots; no slice is bare, that
is, without an available entry; no gateway can reach a drained server later than the grace after the pilot was notified.
The baseline in the same run makes the same changes without a kill.
"""

from __future__ import annotations

import argparse
import json
import os
import platform
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import anyio

from tests.gates import RecordingGateway, run_versions_command, wait_until_current
from tests.pilots import Pilot

SERVERS, GATEWAYS, GRACE_S = 6, 8, 2.2


def write_list(pilot: Pilot, draining: set[int]) -> None:
    pilot.list(**{f"s{k}": "terminating" if k in draining else "in_service" for k in range(1, SERVERS + 1)})


def reachable(gates: list[RecordingGateway], server: int) -> bool:
    name = f"127.0.0.1:{9000 + server}"
    return any(name in g.received_state.available_entries(n) for g in gates for n in g.received_state.tables)


def bare(gates: list[RecordingGateway]) -> int:
    """Return the number of slices without an available entry, over all gateways."""
    return sum(
        not g.received_state.available_entries(n) for g in gates for n in g.received_state.tables if n != "fleet"
    )


async def run_turn(pilot: Pilot, gates: list[RecordingGateway], rng: random.Random, kill: bool) -> dict[str, Any]:
    """Make one change, kill the pilot if `kill` is true, and return how all gateways settled."""
    first_version = (await run_versions_command(pilot, "list"))["newest"]
    draining = set(rng.sample(range(1, SERVERS + 1), rng.choice((1, 2))))
    rolls_back = rng.random() < 0.5
    write_list(pilot, draining)
    told = time.monotonic()
    rollback_process = None
    if rolls_back:
        await anyio.sleep(rng.uniform(0, 0.2))
        command_line = [sys.executable, "-m", "damsonpick", "versions", "rollback", str(pilot.file), str(first_version)]
        rollback_process = subprocess.Popen(command_line, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    if kill:
        await anyio.sleep(rng.uniform(0, 0.5))
        pilot.stop(signal.SIGKILL)
        if rollback_process is not None:
            await anyio.to_thread.run_sync(rollback_process.wait)
        start = told = time.monotonic()  # A pilot can be notified only while it runs.
        await anyio.to_thread.run_sync(pilot.start)
    else:
        start = time.monotonic()
    held = await wait_until_current(pilot, gates)
    settle_s = time.monotonic() - start
    drain_s = None
    while time.monotonic() - told < GRACE_S + 5:
        if not any(reachable(gates, k) for k in draining):
            drain_s = time.monotonic() - told
            break
        await anyio.sleep(0.02)
    if rollback_process is not None:
        await anyio.to_thread.run_sync(rollback_process.wait)
        await run_versions_command(pilot, "release")
    result = {
        "back": rolls_back,
        "rest_s": settle_s,
        "roots": len({g["root"] for g in held["gateways"]}),
        "bare": bare(gates),
        "drain_s": drain_s,
    }
    write_list(pilot, set())
    return result


async def campaign(folder: Path, kills: int, seed: int, kill: bool) -> dict[str, Any]:
    rng = random.Random(seed)
    pilot = Pilot(folder, slices=24)
    write_list(pilot, set())
    await anyio.to_thread.run_sync(pilot.start)
    gates = [RecordingGateway(folder, f"g{k}", "ab"[k % 2], k % 4 != 3) for k in range(GATEWAYS)]
    turns = []
    try:
        async with anyio.create_task_group() as group:
            for gate in gates:
                group.start_soon(gate.watch_client.run)
            await wait_until_current(pilot, gates)
            for k in range(kills):
                turns.append(await run_turn(pilot, gates, rng, kill))
                if k % 20 == 19:
                    print(k + 1, turns[-1], flush=True)
            group.cancel_scope.cancel()
    finally:
        pilot.stop()
    settle_times = sorted(t["rest_s"] for t in turns)
    late = [t for t in turns if t["drain_s"] is None or t["drain_s"] > GRACE_S]
    return {
        "turns": kills,
        "killed": kill,
        "rollbacks": sum(t["back"] for t in turns),
        "ended_with_one_verified_version": sum(t["roots"] == 1 for t in turns),
        "bare_slices": sum(t["bare"] for t in turns),
        "drains_over_the_grace": len(late),
        "longest_drain_s": round(max((t["drain_s"] or 99.0) for t in turns), 3),
        "rest_s": {
            "median": round(statistics.median(settle_times), 3),
            "p95": round(settle_times[int(0.95 * len(settle_times))], 3),
            "most": round(settle_times[-1], 3),
        },
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--kills", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    result: dict[str, Any] = {
        "command": f"python -m benchmarks.versions_kills --kills {args.kills} --out benchmarks/versions_kills.json",
        "seed": args.seed,
        "machine": {"python": platform.python_version(), "cores": os.cpu_count()},
    }
    for name, kill, count in (("killed", True, args.kills), ("not killed", False, max(10, args.kills // 10))):
        with tempfile.TemporaryDirectory() as scratch:
            result[name] = anyio.run(campaign, Path(scratch), count, args.seed, kill)
        print(name, json.dumps(result[name]), flush=True)
    killed = result["killed"]
    result["rest_to_not_killed"] = round(killed["rest_s"]["median"] / result["not killed"]["rest_s"]["median"], 2)
    if args.out:
        args.out.write_text(json.dumps(result, indent=1) + "\n")
    kept = killed["ended_with_one_verified_version"] == args.kills and not killed["bare_slices"]
    sys.exit(0 if kept and not killed["drains_over_the_grace"] else 1)


if __name__ == "__main__":
    main()
