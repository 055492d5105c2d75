"""Measure what keeping learned state costs: CPU, bytes, the longest stall of the event loop, and reading it again.

    python -m benchmarks.knowledge_cost --out benchmarks/knowledge_cost.json

The planner has learned capacity factors, rates of slices and warmth; there are no sockets. The baseline, `in one go`,
makes, encodes, writes and syncs the whole snapshot on the event loop. Figures are medians of the repeats with their
extremes, in ms.
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


def make_planner(servers: int, slices: int, rng: random.Random) -> Planner:
    """Return a planner that has handled one round of load reports."""
    planner = Planner(settings(slices=slices), 1)
    names = [f"127.0.0.1:{9000 + k}" for k in range(servers)]
    events: list[api.Event] = [api.EndpointListChanged("replace", tuple(entry(n) for n in names))]
    for k in range(slices):
        events += [api.SliceOwnershipChanged(k, True), api.StoredEntry(k, names[k % servers], 1.0)]
    planner.handle(NOW, events)
    for name in names:
        planner.endpoints[name].add_report(NOW, api.EndpointReport("a", name, 20, 0, 2 * 10**8, SECOND, ()))
        planner.endpoints[name].capacity_factor = rng.uniform(0.2, 1.8)
    for slice_state in planner.slices.values():
        slice_state.rates = [rng.uniform(0, 9), rng.uniform(0, 9)]
        slice_state.warmth = {n: rng.random() for n in rng.sample(names, 3)}
    return planner


def time_ms(what: Any) -> tuple[float, Any]:
    """Call `what`. Return the time that it took, in ms, and its result."""
    start = time.perf_counter()
    result = what()
    return (time.perf_counter() - start) * 1e3, result


def measure_once(planner: Planner, folder: Path) -> dict[str, float]:
    answered = dict.fromkeys(planner.endpoints, NOW)
    capture = Capture(planner, SnapshotInfo(1, "pilot-0", host_time(), NOW, NOW), answered)
    steps, step_iterator = [], capture.steps(pre_encode=True)
    cpu = time.process_time()
    while True:
        took, more = time_ms(lambda: next(step_iterator, "end"))
        steps.append(took)
        if more == "end":
            break
    took, snapshot = time_ms(capture.pre_encoded_snapshot)
    steps.append(took)
    encode_ms, data = time_ms(lambda: codec.encode(snapshot))
    save_ms, _ = time_ms(lambda: generations.save(OsDisk(), folder, data, (folder / generations.CURRENT).exists()))
    cpu = (time.process_time() - cpu) * 1e3
    read_ms, loaded_snapshot = time_ms(lambda: generations.load(OsDisk(), folder).snapshot)
    listed = {n: entry(n) for n in planner.endpoints}
    restore_ms, (events, _) = time_ms(
        lambda: restore.restored_events(ageing.decay(loaded_snapshot, SECOND), listed, range(len(planner.slices)))
    )
    restored_planner = Planner(planner.settings, 1)
    restored_planner.handle(
        NOW,
        [
            api.EndpointListChanged("restored", tuple(listed.values())),
            *(api.SliceOwnershipChanged(k, True) for k in planner.slices),
        ],
    )
    handle_ms, _ = time_ms(lambda: restored_planner.handle(NOW + 1, events))
    in_one_go_ms = sum(steps) + encode_ms + save_ms
    return {
        "bytes": len(data),
        "cpu_ms": cpu,
        "longest_stall_ms": max(steps),
        "in_one_go_ms": in_one_go_ms,
        "stall_to_one_go": max(steps) / in_one_go_ms,
        "thread_ms": encode_ms + save_ms,
        "read_ms": read_ms,
        "told_ms": restore_ms + handle_ms,
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--repeat", type=int, default=15)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    rows = []
    for servers, slices in ((67, 400), (67, 8000), (1000, 400), (1000, 8000)):
        planner = make_planner(servers, slices, random.Random(1))
        with tempfile.TemporaryDirectory() as scratch:
            runs = [measure_once(planner, Path(scratch)) for _ in range(args.repeat + 1)][1:]
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
