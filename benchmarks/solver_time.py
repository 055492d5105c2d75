"""Measure how long a plan takes and how much memory it needs.

    python benchmarks/solver_time.py --out benchmarks/solver_time.json

Random fleets. `cold` is the first solve. `warm` is a solve from the last basis after all capacities have moved a
little. Both call HiGHS directly (highspy). For comparison, the same program is solved through scipy.optimize.linprog,
which keeps no basis.
"""

from __future__ import annotations

import argparse
import json
import os
import platform
import random
import resource
import statistics
import subprocess
import sys
import time
from pathlib import Path

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import csr_matrix

from damsonpick.solver.model import Costs, Demand, Problem, RequestClass, Server
from damsonpick.solver.plan import plan
from damsonpick.solver.program import Program, ProgramBuilder

SIZES = ((16, 4), (67, 4), (250, 8), (1000, 16), (4000, 32))
KINDS = (RequestClass("page", 1.0, 0.1, 0.3, 1.5), RequestClass("tally", 2.0, 0.2, 0.3, 1.5))


def fleet(servers: int, zones: int, rng: random.Random) -> Problem:
    names = [f"z{k}" for k in range(zones)]
    generated_servers = tuple(
        Server(f"s{k}", names[k % zones], rng.choice((3, 6)) * rng.uniform(0.6, 1.6), rng.choice((3, 6)))
        for k in range(servers)
    )
    capacity = sum(s.capacity for s in generated_servers)
    demand = tuple(
        Demand(z, k.name, 0.6 * capacity / zones / 2 / k.mean_work_s * rng.uniform(0.5, 1.5))
        for z in names
        for k in KINDS
    )
    return Problem(KINDS, generated_servers, demand, Costs())


def perturb(problem: Problem, shares: dict[str, float], rng: random.Random) -> Problem:
    return problem._replace(
        servers=tuple(
            s._replace(capacity=s.capacity * rng.uniform(0.97, 1.03), work_share=shares[s.name])
            for s in problem.servers
        ),
        demand=tuple(Demand(z, c, r * rng.uniform(0.97, 1.03)) for z, c, r in problem.demand),
    )


def time_scipy(problem: Problem) -> float:
    """Build and solve the same program through scipy. Return the time in seconds."""
    start = time.perf_counter()
    lp = ProgramBuilder(problem).build().to_highs()
    a = csr_matrix((lp.a_matrix_.value_, lp.a_matrix_.index_, lp.a_matrix_.start_), (lp.num_row_, lp.num_col_))
    low, high = np.array(lp.row_lower_), np.array(lp.row_upper_)
    up, down, same = np.isfinite(high) & (low != high), np.isfinite(low) & (low != high), low == high
    from scipy.sparse import vstack

    linprog(
        lp.col_cost_,
        A_ub=vstack([a[up], -a[down]]),
        b_ub=np.concatenate([high[up], -low[down]]),
        A_eq=a[same] if same.any() else None,
        b_eq=high[same] if same.any() else None,
        bounds=list(zip(lp.col_lower_, lp.col_upper_, strict=True)),
        method="highs",
    )
    return time.perf_counter() - start


def measure(servers: int, zones: int, seed: int, repeat: int) -> dict[str, object]:
    rng, program = random.Random(seed), Program(60.0)
    problem = fleet(servers, zones, rng)
    start = time.perf_counter()
    solution = plan(program, problem)
    cold, warm, scipy_s = time.perf_counter() - start, [], []
    for k in range(repeat):
        problem = perturb(problem, {r.name: r.share for r in solution.servers}, rng)
        start = time.perf_counter()
        solution = plan(program, problem)
        warm.append(time.perf_counter() - start)
        if k < 3:
            scipy_s.append(time_scipy(problem))
    return {
        "servers": servers,
        "zones": zones,
        "seed": seed,
        "cold_ms": cold * 1e3,
        "warm_ms": warm,
        "scipy_ms": scipy_s,
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024,
        "status": solution.status,
    }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--one", nargs=4, type=int)
    parser.add_argument("--repeat", type=int, default=8)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    if args.one:
        print(json.dumps(measure(*args.one)))
        return
    rows = []
    for servers, zones in SIZES:
        runs = [
            json.loads(
                subprocess.run(
                    [sys.executable, __file__, "--one", str(servers), str(zones), str(seed), str(args.repeat)],
                    check=True,
                    capture_output=True,
                    text=True,
                ).stdout.splitlines()[-1]
            )
            for seed in range(1, args.seeds + 1)
        ]
        warm = [x * 1e3 for r in runs for x in r["warm_ms"]]
        scipy_ms = [x * 1e3 for r in runs for x in r["scipy_ms"]]
        rows.append(
            {
                "servers": servers,
                "zones": zones,
                "cold_ms": [round(f(r["cold_ms"] for r in runs), 1) for f in (min, statistics.median, max)],
                "warm_ms": [round(f(warm), 1) for f in (min, statistics.median, max)],
                "scipy_ms": [round(f(scipy_ms), 1) for f in (min, statistics.median, max)],
                "scipy_to_warm": round(statistics.median(scipy_ms) / statistics.median(warm), 2),
                "memory_mb": round(max(r["memory_mb"] for r in runs)),
            }
        )
        print(json.dumps(rows[-1]), flush=True)
    if args.out:
        machine = {"python": platform.python_version(), "cores": os.cpu_count()}
        args.out.write_text(
            json.dumps(
                {
                    "command": "python benchmarks/solver_time.py --out benchmarks/solver_time.json",
                    "seeds": args.seeds,
                    "machine": machine,
                    "columns": "[min, median, max]",
                    "rows": rows,
                },
                indent=1,
            )
            + "\n"
        )


if __name__ == "__main__":
    main()
