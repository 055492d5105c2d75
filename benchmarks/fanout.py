"""What a change of the server list costs on its way to every gateway.

    python benchmarks/fanout.py --out benchmarks/fanout.json

For each number of gateways and each variant: a pilot as users run it (60 servers, 400 slices, channel
without a budget), plain clients that acknowledge at once, a list server that stands in. One change drains
a server, the next brings it back, and so on; each is timed from the list's write to the last client's
acknowledgement. Beside it stands the project's baseline: the same tables sent whole, as at a join.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import platform
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import psutil

from damsonpick import interface as api
from damsonpick.runtime.clock import Clock
from damsonpick.testing.fakes.list_server import FakeListServer
from damsonpick.testing.fakes.record import Recorder

HERE = Path(__file__).resolve().parent
SERVERS, SLICES, WORKERS = 60, 400, 4
SETTINGS = """
[pilot]
zone = a
zones = a, b, c, d
state = state
seed = {seed}
[tables]
slices = 400
[rules]
drain_grace = 2.2 s
bare_limit = 2.8 s
cold_share = 0.2
cold_time = 15 s
fall_multiple = 4
fall_time = 1.5 s
[channel]
lines_per_second = 0
limit = 6000
[list]
source = eds
upstream = {upstream}
[log]
level = warning
[class page]
aim = 1.5 s
deadline = 4 s
"""


def entry(k: int, state: str = "in_service") -> api.EndpointEntry:
    return api.EndpointEntry(f"127.0.0.1:{20000 + k}", "abcd"[k % 4], state, 6.0, 0)


class Run:
    """One pilot with its clients."""

    def __init__(self, folder: Path, gateways: int, variant: str, seed: int) -> None:
        self.folder, self.gateways, self.variant, self.seed = folder, gateways, variant, seed
        self.seen: list[tuple[float, str, int, int, int]] = []
        self.workers: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        self.lists = FakeListServer("servers", Recorder(self.folder / "list.jsonl", Clock().now))
        self.lists.put(*(entry(k) for k in range(SERVERS)))
        self.server, address = await self.lists.start()
        (self.folder / "pilot.ini").write_text(SETTINGS.format(seed=self.seed, upstream=address))
        port = self.folder / "port"
        self.log = (self.folder / "log").open("w")
        self.pilot = subprocess.Popen(
            [sys.executable, "-m", "damsonpick", "run", str(self.folder / "pilot.ini"), "--port-file", str(port)],
            stderr=self.log,
        )
        while not port.exists():
            await asyncio.sleep(0.02)
        self.port = port.read_text().strip()
        self.process = psutil.Process(self.pilot.pid)
        await asyncio.sleep(0.5)
        self.empty = self.process.memory_info().rss

    async def join(self, count: int, prefix: str) -> float:
        """Start clients; returns seconds until all hold all tables."""
        start, per = time.monotonic(), -(-count // WORKERS)
        before = len({n for _, n, *_ in self.seen})
        for w in range(WORKERS):
            mine = min(per, count - w * per)
            if mine <= 0:
                break
            worker = await asyncio.create_subprocess_exec(
                sys.executable,
                str(HERE / "clients.py"),
                self.port,
                str(mine),
                self.variant,
                str(SLICES),
                f"{prefix}{w}",
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                limit=1 << 22,
            )
            self.workers.append(worker)
            asyncio.get_running_loop().create_task(self._collect(worker))
        await self.until(lambda: self.full() - before >= count, 120)
        return max(t for t, *_ in self.seen) - start

    def full(self) -> int:
        """Clients that were sent every table at least once."""
        got: dict[str, int] = {}
        for _, name, _, count, _ in self.seen:
            got[name] = got.get(name, 0) + count
        return sum(v > SLICES for v in got.values())

    async def _collect(self, worker: asyncio.subprocess.Process) -> None:
        async for line in worker.stdout:
            t, name, size, count, reply = line.decode().split()
            self.seen.append((float(t), name, int(size), int(count), int(reply)))

    async def until(self, what, patience: float) -> None:
        end = time.monotonic() + patience
        while not what():
            if time.monotonic() > end:
                raise TimeoutError(f"not within {patience} s")
            await asyncio.sleep(0.02)

    async def quiet(self, still: float = 0.5) -> None:
        """Until nothing has come for a while."""
        while True:
            before = len(self.seen)
            await asyncio.sleep(still)
            if len(self.seen) == before:
                return

    async def change(self, k: int, state: str) -> dict[str, float]:
        """One list change; what it cost."""
        first, cpu = len(self.seen), self.process.cpu_times()
        start = time.monotonic()
        self.lists.put(entry(k, state))
        await self.until(lambda: len({n for _, n, *_ in self.seen[first:]}) >= self.gateways, 30)
        await self.quiet(0.4)
        came = self.seen[first:]
        ended = self.process.cpu_times()
        firsts: dict[str, float] = {}
        for t, name, *_ in came:
            firsts.setdefault(name, t - start)
        return {
            "last_ack_ms": max(firsts.values()) * 1e3,
            "median_ack_ms": statistics.median(firsts.values()) * 1e3,
            "bytes_out": sum(size for _, _, size, _, _ in came) / self.gateways,
            "bytes_in": sum(reply for *_, reply in came) / self.gateways,
            "resources": sum(c for *_, c, _ in came) / self.gateways,
            "cpu_ms": (ended.user + ended.system - cpu.user - cpu.system) * 1e3,
        }

    async def end(self) -> None:
        for worker in self.workers:
            worker.stdin.close()
        for worker in self.workers:
            await worker.wait()
        self.pilot.terminate()
        self.pilot.wait()
        await self.server.stop(None)
        self.log.close()


async def measure(gateways: int, variant: str, seed: int, changes: int) -> dict[str, object]:
    with tempfile.TemporaryDirectory() as scratch:
        run = Run(Path(scratch), gateways, variant, seed)
        await run.start()
        joined = await run.join(gateways, "g")
        await run.quiet()
        rss = run.process.memory_info().rss
        whole = sum(size for _, _, size, _, _ in run.seen) / gateways
        drains, returns = [], []
        for k in range(changes):
            drains.append(await run.change(k, "terminating"))
            returns.append(await run.change(k, "in_service"))
        other = None
        if gateways >= 1000:
            other = await cold_start(run, seed)
        await run.end()
    lasts = sorted(d["last_ack_ms"] for d in drains)
    return {
        "gateways": gateways,
        "variant": variant,
        "seed": seed,
        "join_s": round(joined, 2),
        "drain_last_ack_ms": {
            "p50": round(statistics.median(lasts), 1),
            "p99": round(lasts[-1], 1),
            "min": round(lasts[0], 1),
        },
        "drain_median_ack_ms": round(statistics.median(d["median_ack_ms"] for d in drains), 1),
        "update_bytes_out": round(statistics.mean(d["bytes_out"] for d in drains)),
        "update_bytes_in": round(statistics.mean(d["bytes_in"] for d in drains)),
        "update_resources": round(statistics.mean(d["resources"] for d in drains), 1),
        "update_cpu_ms": round(statistics.median(d["cpu_ms"] for d in drains), 1),
        "return_cpu_ms": round(statistics.median(d["cpu_ms"] for d in returns), 1),
        "whole_table_bytes": round(whole),
        "update_to_whole": round(statistics.mean(d["bytes_out"] for d in drains) / whole, 4),
        "memory_per_stream_kb": round((rss - run.empty) / gateways / 1024, 1),
        "cold_start": other,
    }


async def cold_start(run: Run, seed: int) -> dict[str, float]:
    """As many gateways again join at once; a drain meanwhile is timed at those that were there."""
    there = {n for _, n, *_ in run.seen}
    first, count = len(run.seen), run.gateways
    join = asyncio.get_running_loop().create_task(run.join(count, "late"))
    await run.until(lambda: len(run.seen) > first + count // 10, 60)
    start, mark = time.monotonic(), len(run.seen)
    run.lists.put(entry(SERVERS - 1, "terminating"))
    await run.until(lambda: len({n for _, n, *_ in run.seen[mark:] if n in there}) >= count, 60)
    last = max(next(t for t, m, *_ in run.seen[mark:] if m == n) for n in there)
    return {"joined_s": round(await join, 2), "drain_last_ack_ms_of_those_there": round((last - start) * 1e3, 1)}


async def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--gateways", type=int, nargs="*", default=[20, 100, 500, 1000])
    parser.add_argument("--changes", type=int, default=10)
    parser.add_argument("--repeat", type=int, default=3)
    parser.add_argument("--out", type=Path)
    args = parser.parse_args()
    rows = []
    for gateways in args.gateways:
        for seed in range(1, args.repeat + 1):
            for variant in ("delta", "sotw"):
                rows.append(await measure(gateways, variant, seed, args.changes))
                print(json.dumps(rows[-1]), flush=True)
    machine = {
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "system": platform.system(),
        "memory_gb": round(psutil.virtual_memory().total / 2**30),
    }
    if args.out:
        args.out.write_text(
            json.dumps(
                {
                    "command": "python benchmarks/fanout.py --out benchmarks/fanout.json",
                    "machine": machine,
                    "rows": rows,
                },
                indent=1,
            )
            + "\n"
        )


if __name__ == "__main__":
    asyncio.run(main())
