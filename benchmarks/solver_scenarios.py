"""Compare the solver with hand-made weights and with a pilot that uses slices, on paired scenarios.

    python benchmarks/solver_scenarios.py --out benchmarks/solver_scenarios.json

Fake servers and gateways on loopback. Each scenario (six kinds, several seeds) is played three times with the same
fleet, traffic and faults: `solver` (tables by zone and class, solved), `hand` (benchmarks/hand_pilot.py) and `slices`
(the planner alone on 96 slices). Service is the priority weight answered in time over the priority weight requested.
For comparison, the result contains what the same model would serve if it received the true capacities each second.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import statistics
import sys
import tempfile
from pathlib import Path

from damsonpick.solver.model import Costs, Demand, Problem, RequestClass, Server
from damsonpick.solver.plan import plan
from damsonpick.solver.program import Program
from damsonpick.testing.scenarios import outcome as outcomes
from damsonpick.testing.scenarios import player
from damsonpick.testing.scenarios.script import Script

ROOT = Path(__file__).resolve().parent.parent
SECOND = 1_000_000_000
FAULTS = {
    "calm": {},
    "rush": {"rush": {"kind": "rush", "at": "7 s", "len": "13 s", "size": "1.6"}},
    "half_building": {"half": {"kind": "half_building", "at": "8 s", "len": "9 s"}},
    "misreport": {"liar": {"kind": "false_reports", "at": "6 s", "len": "18 s", "part": "0.13", "size": "4"}},
    "slow": {"slow": {"kind": "slow", "at": "6 s", "len": "18 s", "part": "0.2", "size": "3"}},
    "deploy": {"release": {"kind": "deploy", "at": "5 s", "len": "18 s", "part": "0.7", "size": "0.13", "extra": "3"}},
}
ARMS = ("solver", "hand", "slices")
# Two-sided 95% points of Student's t distribution, by degrees of freedom.
STUDENT_T_95 = {1: 12.706, 2: 4.303, 3: 3.182, 4: 2.776, 5: 2.571, 6: 2.447, 7: 2.365, 8: 2.306, 9: 2.262, 29: 2.045}


def script(kind: str, arm: str) -> Script:
    shared = {"aim": "1.5 s", "deadline": "4 s", "work": "300 ms"}
    return Script.model_validate(
        {
            "day": {
                "length": "28 s",
                "rate": 3,
                "gateways": 12,
                "servers": 16,
                "load": 0.55,
                "cores": 2,
                "slices": 96 if arm == "slices" else 0,
            },
            "classes": {"page": {**shared, "share": 0.6}, "tally": {**shared, "share": 0.4, "worth": 2}},
            "faults": FAULTS[kind],
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
                "solver": {"every": "2 s", "cross": "0.02"},
            },
        }
    )


async def play(kind: str, arm: str, seed: int) -> dict[str, object]:
    pilot = [sys.executable, str(ROOT / "benchmarks" / "hand_pilot.py")] if arm == "hand" else None
    with tempfile.TemporaryDirectory() as scratch:
        outcome = await player.play(script(kind, arm), seed, Path(scratch), pilot)
        ideal_service = service_with_true_capacities(Path(scratch)) if arm == "solver" else None
    return {
        "kind": kind,
        "arm": arm,
        "seed": seed,
        "service": outcome.service,
        "requests": outcome.requests,
        "kept": outcome.kept,
        "broken": [r.name for r in outcome.rules if r.breaches],
        "ends": outcome.endings,
        "knowing": ideal_service,
    }


def service_with_true_capacities(folder: Path) -> float:
    """Return the service that the model would have achieved with true capacities and demand, second by second."""
    events = outcomes.read_records(folder)
    kinds = {"page": RequestClass("page", 1.0, 0.0, 0.325, 1.5), "tally": RequestClass("tally", 2.0, 0.0, 0.325, 1.5)}
    zones, alive, slow = {}, {}, {}
    done = [e for e in events if e["e"] == "done"]
    first = min(e["begun"] for e in done) + 2 * SECOND
    last = max(e["begun"] for e in done)
    for e in events:
        if e["e"] == "stream" and e["up"]:
            zones[e["gw"]] = e["zone"]
    changes = [e for e in events if e["e"] in ("up", "down", "speed")]
    asked = served = 0.0
    program, t, change_index = Program(), first, 0
    while t < last:
        while change_index < len(changes) and changes[change_index]["t"] <= t:
            e = changes[change_index]
            change_index += 1
            if e["e"] == "up":
                alive[e["server"]], slow[e["server"]] = e, 1.0
            elif e["e"] == "down":
                alive.pop(e["server"], None)
            else:
                slow[e["server"]] = e["slow"]
        request_rates: dict[tuple[str, str], float] = {}
        for e in done:
            if abs(e["begun"] - t - SECOND / 2) < 1.5 * SECOND:
                key = (zones[e["gw"]], e["kind"])
                request_rates[key] = request_rates.get(key, 0.0) + 1 / 3
        servers = []
        for name, e in sorted(alive.items()):
            age = (t - e["started"]) / e["cold_time"] if e["started"] else 1.0
            ramp = min(1.0, e["cold_share"] + (1 - e["cold_share"]) * age)
            servers.append(Server(name, e["zone"], e["capacity"] * ramp / slow[name], 2))
        worth = sum(kinds[k].priority_weight * r for (_, k), r in request_rates.items())
        if servers and worth:
            no_costs = Costs(cross_zone=0.0, move=0.0, min_share=0.0, headroom=0.0, demand_spread=0.0)
            solution = plan(
                program,
                Problem(
                    tuple(kinds.values()),
                    tuple(servers),
                    tuple(Demand(z, k, r) for (z, k), r in sorted(request_rates.items())),
                    no_costs,
                ),
            )
            asked += worth
            served += min(worth, max(0.0, solution.objective))
        t += SECOND
    return served / asked if asked else 0.0


def interval(values: list[float]) -> list[float]:
    """Return the mean of the values and the half width of its 95% interval."""
    mean = statistics.mean(values)
    if len(values) < 2:
        return [round(mean, 4), 0.0]
    t = STUDENT_T_95.get(len(values) - 1, 2.0)
    return [round(mean, 4), round(t * statistics.stdev(values) / len(values) ** 0.5, 4)]


def summary(rows: list[dict]) -> dict[str, object]:
    result = {}
    for kind in FAULTS:
        row_by_run = {(r["arm"], r["seed"]): r for r in rows if r["kind"] == kind}
        seeds = sorted({s for _, s in row_by_run})
        if not seeds:
            continue
        service = {a: [row_by_run[a, s]["service"] for s in seeds] for a in ARMS}
        result[kind] = {
            "service": {a: round(statistics.mean(v), 4) for a, v in service.items()},
            "solver_less_hand": interval([a - b for a, b in zip(service["solver"], service["hand"], strict=True)]),
            "solver_less_slices": interval([a - b for a, b in zip(service["solver"], service["slices"], strict=True)]),
            "gap_to_all_knowing": interval(
                [row_by_run["solver", s]["knowing"] - row_by_run["solver", s]["service"] for s in seeds]
            ),
            "rules_kept": all(r["kept"] for r in row_by_run.values()),
        }
    return result


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--jobs", type=int, default=4)
    parser.add_argument("--kinds", nargs="*", default=list(FAULTS))
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    slots, rows = asyncio.Semaphore(args.jobs), []

    async def play_in_process(kind: str, arm: str, seed: int) -> None:
        async with slots:
            code = (
                "import asyncio, json, sys; sys.path.insert(0, 'benchmarks'); import solver_scenarios as s; "
                f"print(json.dumps(asyncio.run(s.play({kind!r}, {arm!r}, {seed}))))"
            )
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", code, cwd=ROOT, stdout=asyncio.subprocess.PIPE
            )
            out, _ = await process.communicate()
            rows.append(json.loads(out.splitlines()[-1]))

    await asyncio.gather(
        *(play_in_process(k, a, s) for k in args.kinds for s in range(1, args.seeds + 1) for a in ARMS)
    )
    result = summary(rows)
    print(json.dumps(result, indent=1))
    if args.out:
        machine = {"python": platform.python_version(), "cores": os.cpu_count(), "jobs": args.jobs}
        args.out.write_text(
            json.dumps(
                {
                    "command": "python benchmarks/solver_scenarios.py --out benchmarks/solver_scenarios.json",
                    "machine": machine,
                    "summary": result,
                    "rows": rows,
                },
                indent=1,
            )
            + "\n"
        )


if __name__ == "__main__":
    asyncio.run(main())
