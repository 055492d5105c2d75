"""What keeping knowledge costs: CPU, bytes, the longest stall of the loop, and reading it again.

    python -m benchmarks.knowledge_cost --out benchmarks/knowledge_cost.json

A planner with learned speeds, heat and warmth, no sockets. `in one go` is the baseline: the whole snapshot made,
encoded, written and synced on the loop. Figures are medians of the repeats with their extremes, in ms.
"""

from __future__ import annotations

import argparse
import json
import os
import platform
import random
import statistics
import tempfile
import time
from pathlib import Path
from typing import Any

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.state.learned import ageing, codec, generations, restore
from damsonpick.state.learned.capture import Capture, SnapshotInfo
from damsonpick.state.learned.disk import OsDisk, host_time
from tests.helpers import SECOND, entry, settings

NOW = 10**18


def planner(servers: int, slices: int, rng: random.Random) -> Planner:
    """One that has heard a round of reports."""
    made = Planner(settings(slices=slices), 1)
    names = [f"127.0.0.1:{9000 + k}" for k in range(servers)]
    events: list[api.Event] = [api.EndpointListChanged("replace", tuple(entry(n) for n in names))]
    for k in range(slices):
        events += [api.SliceOwnershipChanged(k, True), api.StoredEntry(k, names[k % servers], 1.0)]
    made.handle(NOW, events)
    for name in names:
        made.endpoints[name].add_report(NOW, api.EndpointReport("a", name, 20, 0, 2 * 10**8, SECOND, ()))
        made.endpoints[name].capacity_factor = rng.uniform(0.2, 1.8)
    for piece in made.slices.values():
        piece.rates = [rng.uniform(0, 9), rng.uniform(0, 9)]
        piece.warmth = {n: rng.random() for n in rng.sample(names, 3)}
    return made


def timed(what: Any) -> tuple[float, Any]:
    start = time.perf_counter()
    found = what()
    return (time.perf_counter() - start) * 1e3, found


def once(made: Planner, folder: Path) -> dict[str, float]:
    answered = dict.fromkeys(made.endpoints, NOW)
    capture = Capture(made, SnapshotInfo(1, "pilot-0", host_time(), NOW, NOW), answered)
    steps, walk = [], capture.steps(pre_encode=True)
    cpu = time.process_time()
    while True:
        took, more = timed(lambda: next(walk, "end"))
        steps.append(took)
        if more == "end":
            break
    took, snapshot = timed(capture.pre_encoded_snapshot)
    steps.append(took)
    encode, data = timed(lambda: codec.encode(snapshot))
    save, _ = timed(lambda: generations.save(OsDisk(), folder, data, (folder / generations.CURRENT).exists()))
    cpu = (time.process_time() - cpu) * 1e3
    read, found = timed(lambda: generations.load(OsDisk(), folder).snapshot)
    listed = {n: entry(n) for n in made.endpoints}
    tell, (events, _) = timed(
        lambda: restore.restored_events(ageing.decay(found, SECOND), listed, range(len(made.slices)))
    )
    new = Planner(made.settings, 1)
    new.handle(
        NOW,
        [
            api.EndpointListChanged("restored", tuple(listed.values())),
            *(api.SliceOwnershipChanged(k, True) for k in made.slices),
        ],
    )
    heard, _ = timed(lambda: new.handle(NOW + 1, events))
    whole = sum(steps) + encode + save
    return {
        "bytes": len(data),
        "cpu_ms": cpu,
        "longest_stall_ms": max(steps),
        "in_one_go_ms": whole,
        "stall_to_one_go": max(steps) / whole,
        "thread_ms": encode + save,
        "read_ms": read,
        "told_ms": tell + heard,
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--repeat", type=int, default=15)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    rows = []
    for servers, slices in ((67, 400), (67, 8000), (1000, 400), (1000, 8000)):
        made = planner(servers, slices, random.Random(1))
        with tempfile.TemporaryDirectory() as scratch:
            runs = [once(made, Path(scratch)) for _ in range(args.repeat + 1)][1:]
        row = {
            "servers": servers,
            "slices": slices,
            **{
                key: {
                    "median": round(statistics.median(r[key] for r in runs), 3),
                    "least": round(min(r[key] for r in runs), 3),
                    "most": round(max(r[key] for r in runs), 3),
                }
                for key in runs[0]
            },
        }
        print(json.dumps(row), flush=True)
        rows.append(row)
    result = {
        "command": "python -m benchmarks.knowledge_cost --out benchmarks/knowledge_cost.json",
        "seed": 1,
        "repeats": args.repeat,
        "machine": {"python": platform.python_version(), "cores": os.cpu_count()},
        "rows": rows,
    }
    if args.out:
        args.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
