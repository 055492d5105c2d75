"""Kill a pilot under load with SIGKILL at random moments; check its files, the gateways' return and the rules.

    python -m benchmarks.knowledge_kills --kills 500 --out benchmarks/knowledge_kills.json

Twenty fake gateways with load, sixteen servers, in real time. After each kill the benchmark reads both generations of
the learned state: each must be complete, and the newest must not be older than at the kill before. After every tenth
kill it flips one bit of the newest generation; the pilot must then start from the other generation. `joined` is the
time from the start of the process until the last gateway has a stream again (gateways keep their tables meanwhile).
The rules are checked over the whole record, among them the rule that no gateway lacks an entry in its tables.
"""

from __future__ import annotations

import argparse
import json
import os
import platform
import random
import statistics
import sys
import tempfile
from pathlib import Path
from typing import Any

import anyio

from benchmarks.knowledge_restart import SECOND
from damsonpick.settings.load import load
from damsonpick.state.learned import codec, generations
from damsonpick.state.learned.errors import SnapshotCorruptError
from damsonpick.testing.scenarios import outcome as outcomes
from damsonpick.testing.scenarios import player
from damsonpick.testing.scenarios.environment import Environment
from damsonpick.testing.scenarios.script import Script

GATEWAYS = 20


def script() -> Script:
    shared = {"aim": "1.5 s", "deadline": "4 s", "work": "300 ms"}
    return Script.model_validate(
        {
            "day": {
                "length": "1 h",
                "rate": 1,
                "gateways": GATEWAYS,
                "servers": 16,
                "load": 0.35,
                "cores": 2,
                "slices": 96,
            },
            "classes": {
                "page": {**shared, "share": 0.6},
                "tally": {**shared, "share": 0.4, "worth": 2, "effect": "non_idempotent"},
            },
            "faults": {},
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
                "knowledge": {"every": "100 ms"},
            },
        }
    )


def read(folder: Path) -> dict[str, Any]:
    """Return for each generation its sequence, or None without a file, or the reason why the file is rejected."""
    result: dict[str, Any] = {}
    for which in (generations.CURRENT, generations.PREVIOUS):
        try:
            result[which] = codec.decode((folder / which).read_bytes()).sequence
        except FileNotFoundError:
            result[which] = None
        except SnapshotCorruptError as error:
            result[which] = str(error)
    return result


async def campaign(folder: Path, kills: int, seed: int) -> dict[str, Any]:
    rng = random.Random(seed)
    environment = Environment(script(), seed, folder, player.PILOT_COMMAND)
    learned_folder = folder / "state" / "knowledge"
    pilot_runs: list[tuple[int, int]] = []  # start of each process; the second value is always 0
    torn_files, lost_generations, refused, newest, damaged = 0, 0, 0, 0, b""
    async with anyio.create_task_group() as group:
        try:
            await environment.start(group)
            await environment.sleep(5 * SECOND)
            for k in range(kills):
                await environment.sleep(int(rng.uniform(0.3, 1.6) * SECOND))
                await environment.pilot.kill()
                files = read(learned_folder)
                complete_sequences = [v for v in files.values() if isinstance(v, int)]
                # A file that was damaged here stays until the pilot writes again. It does not count as torn.
                torn_files += any(
                    isinstance(v, str) and (learned_folder / w).read_bytes() != damaged for w, v in files.items()
                )
                lost_generations += not complete_sequences or max(complete_sequences) < newest
                newest = max(complete_sequences, default=0)
                if k % 10 == 9:
                    # After a kill between the two renames only `previous` exists.
                    which = max((w for w in files if isinstance(files[w], int)), key=files.__getitem__)
                    path = learned_folder / which
                    data = bytearray(path.read_bytes())
                    bit = rng.randrange(len(data) * 8)
                    data[bit // 8] ^= 1 << bit % 8
                    damaged = bytes(data)
                    path.write_bytes(damaged)
                    refused += isinstance(read(learned_folder)[which], str)
                    newest = min(complete_sequences) if len(complete_sequences) > 1 else 0
                start = environment.clock.now()
                await environment.pilot.start()
                pilot_runs.append((start, 0))
                if k % 50 == 49:
                    print(k + 1, files, flush=True)
            await environment.sleep(4 * SECOND)
        finally:
            await environment.stop()
        group.cancel_scope.cancel()
    outcome = outcomes.evaluate(folder, outcomes.limits_of(load(environment.pilot.settings_file)))
    joined = join_times(folder, [start for start, _ in pilot_runs])
    late = [t for t in joined if t > 2]
    log = (folder / "pilot.log").read_text()
    return {
        "kills": kills,
        "files torn": torn_files,
        "generations lost": lost_generations,
        "damaged on purpose": kills // 10,
        "damaged and refused": refused,
        "said in the log": log.count("snapshot_rejected"),
        "restarts that were told of it": log.count('"event": "learned_state_restored"'),
        "joined_s": {
            "median": round(statistics.median(joined), 3),
            "p99": round(sorted(joined)[int(0.99 * len(joined))], 3),
            "most": round(max(joined), 3),
            "over 2 s": len(late),
            "lives that ended before all had joined": len(pilot_runs) - len(joined),
        },
        "requests": outcome.requests,
        "service": round(outcome.service, 4),
        "rules kept": outcome.kept,
        "rules": [
            {
                "rule": r.name,
                "tested": r.tested,
                "worst": round(r.worst, 3),
                "limit": r.limit,
                "breaches": len(r.breaches),
            }
            for r in outcome.rules
        ],
    }


def join_times(folder: Path, starts: list[int]) -> list[float]:
    """Return, for each run of the pilot, the seconds from its start until the last gateway had a stream.

    Gateways keep their tables meanwhile. A run that ended before all gateways had a stream is omitted.
    """
    opened_streams = [(e["t"], e["gw"]) for e in outcomes.read_records(folder) if e["e"] == "stream" and e["up"]]
    result = []
    for k, start in enumerate(starts):
        end = starts[k + 1] if k + 1 < len(starts) else start + 10 * SECOND
        first_opened: dict[str, int] = {}
        for t, gateway in opened_streams:
            if start <= t < end:
                first_opened.setdefault(gateway, t)
        if len(first_opened) == GATEWAYS:
            result.append((max(first_opened.values()) - start) / SECOND)
    return result


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--kills", type=int, default=500)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as scratch:
        measured = anyio.run(campaign, Path(scratch), args.kills, args.seed)
    result = {
        "command": f"python -m benchmarks.knowledge_kills --kills {args.kills} --out benchmarks/knowledge_kills.json",
        "seed": args.seed,
        "machine": {"python": platform.python_version(), "cores": os.cpu_count()},
        **measured,
    }
    print(json.dumps(result, indent=1))
    if args.out:
        args.out.write_text(json.dumps(result, indent=1) + "\n")
    sys.exit(0 if not measured["files torn"] and not measured["generations lost"] and measured["rules kept"] else 1)


if __name__ == "__main__":
    main()
