"""The pilot killed at random points of roll-outs and rollbacks: what gateways hold afterwards, and how soon.

    python -m benchmarks.versions_kills --kills 200 --out benchmarks/versions_kills.json

Each kill: a change of the list or a rollback through the command line is under way, SIGKILL strikes at a drawn moment,
the pilot starts again on the same folder. Eight gateways (two of them in the state-of-the-world variant) follow all
the time. Checked: all come to hold one version, verified by their own roots; no slice is bare; a server that drained
is in no gateway's reach within the grace after the pilot was told. The baseline in the same run: the same changes
without a kill.
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

from tests.gates import Gate, say, settled
from tests.pilots import Pilot

SERVERS, GATES, GRACE = 6, 8, 2.2


def listed(pilot: Pilot, draining: set[int]) -> None:
    pilot.list(**{f"s{k}": "terminating" if k in draining else "in_service" for k in range(1, SERVERS + 1)})


def reachable(gates: list[Gate], server: int) -> bool:
    name = f"127.0.0.1:{9000 + server}"
    return any(name in g.received_state.available_entries(n) for g in gates for n in g.received_state.tables)


def bare(gates: list[Gate]) -> int:
    return sum(
        not g.received_state.available_entries(n) for g in gates for n in g.received_state.tables if n != "fleet"
    )


async def turn(pilot: Pilot, gates: list[Gate], rng: random.Random, kill: bool) -> dict[str, Any]:
    """One change, one kill, and how all came to rest."""
    first = (await say(pilot, "list"))["newest"]
    draining = set(rng.sample(range(1, SERVERS + 1), rng.choice((1, 2))))
    back = rng.random() < 0.5
    listed(pilot, draining)
    told = time.monotonic()
    work = None
    if back:
        await anyio.sleep(rng.uniform(0, 0.2))
        words = [sys.executable, "-m", "damsonpick", "versions", "rollback", str(pilot.file), str(first)]
        work = subprocess.Popen(words, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    if kill:
        await anyio.sleep(rng.uniform(0, 0.5))
        pilot.stop(signal.SIGKILL)
        if work is not None:
            await anyio.to_thread.run_sync(work.wait)
        start = told = time.monotonic()  # only a pilot that runs can be told
        await anyio.to_thread.run_sync(pilot.start)
    else:
        start = time.monotonic()
    held = await settled(pilot, gates)
    rest = time.monotonic() - start
    left = None
    while time.monotonic() - told < GRACE + 5:
        if not any(reachable(gates, k) for k in draining):
            left = time.monotonic() - told
            break
        await anyio.sleep(0.02)
    if work is not None:
        await anyio.to_thread.run_sync(work.wait)
        await say(pilot, "release")
    found = {
        "back": back,
        "rest_s": rest,
        "roots": len({g["root"] for g in held["gateways"]}),
        "bare": bare(gates),
        "drain_s": left,
    }
    listed(pilot, set())
    return found


async def campaign(folder: Path, kills: int, seed: int, kill: bool) -> dict[str, Any]:
    rng = random.Random(seed)
    pilot = Pilot(folder, slices=24)
    listed(pilot, set())
    await anyio.to_thread.run_sync(pilot.start)
    gates = [Gate(folder, f"g{k}", "ab"[k % 2], k % 4 != 3) for k in range(GATES)]
    turns = []
    try:
        async with anyio.create_task_group() as group:
            for gate in gates:
                group.start_soon(gate.watch_client.run)
            await settled(pilot, gates)
            for k in range(kills):
                turns.append(await turn(pilot, gates, rng, kill))
                if k % 20 == 19:
                    print(k + 1, turns[-1], flush=True)
            group.cancel_scope.cancel()
    finally:
        pilot.stop()
    rests = sorted(t["rest_s"] for t in turns)
    late = [t for t in turns if t["drain_s"] is None or t["drain_s"] > GRACE]
    return {
        "turns": kills,
        "killed": kill,
        "rollbacks": sum(t["back"] for t in turns),
        "ended_with_one_verified_version": sum(t["roots"] == 1 for t in turns),
        "bare_slices": sum(t["bare"] for t in turns),
        "drains_over_the_grace": len(late),
        "longest_drain_s": round(max((t["drain_s"] or 99.0) for t in turns), 3),
        "rest_s": {
            "median": round(statistics.median(rests), 3),
            "p95": round(rests[int(0.95 * len(rests))], 3),
            "most": round(rests[-1], 3),
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
    whole = result["killed"]
    result["rest_to_not_killed"] = round(whole["rest_s"]["median"] / result["not killed"]["rest_s"]["median"], 2)
    if args.out:
        args.out.write_text(json.dumps(result, indent=1) + "\n")
    kept = whole["ended_with_one_verified_version"] == args.kills and not whole["bare_slices"]
    sys.exit(0 if kept and not whole["drains_over_the_grace"] else 1)


if __name__ == "__main__":
    main()
