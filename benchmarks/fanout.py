"""Measure what a change of the endpoint list costs until every gateway has acknowledged it.

    python benchmarks/fanout.py --out benchmarks/fanout.json

Each number of gateways is measured with each variant, on a pilot as users run it (60 servers, 400 slices, no rate
limit on the channel), simple clients that acknowledge at once, and a fake list server. One change drains a server, the
next change returns it to service, and so on. Each change is timed from the write to the list to the acknowledgement of
the last client. For comparison, the result contains the project's baseline: the same tables sent whole, as on a join.
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
    """A pilot process with its fake list server and its clients.

    Attributes:
        seen: Acknowledged responses: monotonic time, client, bytes, resources, bytes of the acknowledgement.
        workers: Processes that run clients.
        empty_rss: Resident memory of the pilot without clients, in bytes.
    """

    def __init__(self, folder: Path, gateways: int, variant: str, seed: int) -> None:
        self.folder, self.gateways, self.variant, self.seed = folder, gateways, variant, seed
        self.seen: list[tuple[float, str, int, int, int]] = []
        self.workers: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        self.list_server = FakeListServer("servers", Recorder(self.folder / "list.jsonl", Clock().now))
        self.list_server.update_entries(*(entry(k) for k in range(SERVERS)))
        self.server, address = await self.list_server.start()
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
        self.empty_rss = self.process.memory_info().rss

    async def join(self, count: int, prefix: str) -> float:
        """Start `count` clients. Return the seconds until every client has all tables."""
        start, clients_per_worker = time.monotonic(), -(-count // WORKERS)
        before = len({n for _, n, *_ in self.seen})
        for w in range(WORKERS):
            client_count = min(clients_per_worker, count - w * clients_per_worker)
            if client_count <= 0:
                break
            worker = await asyncio.create_subprocess_exec(
                sys.executable,
                str(HERE / "clients.py"),
                self.port,
                str(client_count),
                self.variant,
                str(SLICES),
                f"{prefix}{w}",
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                limit=1 << 22,
            )
            self.workers.append(worker)
            asyncio.get_running_loop().create_task(self._collect(worker))
        await self.until(lambda: self.count_complete_clients() - before >= count, 120)
        return max(t for t, *_ in self.seen) - start

    def count_complete_clients(self) -> int:
        """Return the number of clients that were sent every table at least once."""
        got: dict[str, int] = {}
        for _, name, _, count, _ in self.seen:
            got[name] = got.get(name, 0) + count
        return sum(v > SLICES for v in got.values())

    async def _collect(self, worker: asyncio.subprocess.Process) -> None:
        async for line in worker.stdout:
            t, name, size, count, reply = line.decode().split()
            self.seen.append((float(t), name, int(size), int(count), int(reply)))

    async def until(self, what, patience: float) -> None:
        """Wait until `what()` is true, for at most `patience` seconds."""
        end = time.monotonic() + patience
        while not what():
            if time.monotonic() > end:
                raise TimeoutError(f"the condition was not met within {patience} s")
            await asyncio.sleep(0.02)

    async def wait_until_idle(self, idle_s: float = 0.5) -> None:
        """Wait until no client has acknowledged a response for `idle_s` seconds."""
        while True:
            before = len(self.seen)
            await asyncio.sleep(idle_s)
            if len(self.seen) == before:
                return

    async def change(self, k: int, state: str) -> dict[str, float]:
        """Make one change of the list and return what it cost."""
        first, cpu = len(self.seen), self.process.cpu_times()
        start = time.monotonic()
        self.list_server.update_entries(entry(k, state))
        await self.until(lambda: len({n for _, n, *_ in self.seen[first:]}) >= self.gateways, 30)
        await self.wait_until_idle(0.4)
        responses = self.seen[first:]
        ended = self.process.cpu_times()
        first_ack_s: dict[str, float] = {}
        for t, name, *_ in responses:
            first_ack_s.setdefault(name, t - start)
        return {
            "last_ack_ms": max(first_ack_s.values()) * 1e3,
            "median_ack_ms": statistics.median(first_ack_s.values()) * 1e3,
            "bytes_out": sum(size for _, _, size, _, _ in responses) / self.gateways,
            "bytes_in": sum(reply for *_, reply in responses) / self.gateways,
            "resources": sum(c for *_, c, _ in responses) / self.gateways,
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
        join_s = await run.join(gateways, "g")
        await run.wait_until_idle()
        rss = run.process.memory_info().rss
        table_bytes = sum(size for _, _, size, _, _ in run.seen) / gateways
        drains, returns = [], []
        for k in range(changes):
            drains.append(await run.change(k, "terminating"))
            returns.append(await run.change(k, "in_service"))
        other = None
        if gateways >= 1000:
            other = await cold_start(run, seed)
        await run.end()
    last_ack_ms = sorted(d["last_ack_ms"] for d in drains)
    return {
        "gateways": gateways,
        "variant": variant,
        "seed": seed,
        "join_s": round(join_s, 2),
        "drain_last_ack_ms": {
            "p50": round(statistics.median(last_ack_ms), 1),
            "p99": round(last_ack_ms[-1], 1),
            "min": round(last_ack_ms[0], 1),
        },
        "drain_median_ack_ms": round(statistics.median(d["median_ack_ms"] for d in drains), 1),
        "update_bytes_out": round(statistics.mean(d["bytes_out"] for d in drains)),
        "update_bytes_in": round(statistics.mean(d["bytes_in"] for d in drains)),
        "update_resources": round(statistics.mean(d["resources"] for d in drains), 1),
        "update_cpu_ms": round(statistics.median(d["cpu_ms"] for d in drains), 1),
        "return_cpu_ms": round(statistics.median(d["cpu_ms"] for d in returns), 1),
        "whole_table_bytes": round(table_bytes),
        "update_to_whole": round(statistics.mean(d["bytes_out"] for d in drains) / table_bytes, 4),
        "memory_per_stream_kb": round((rss - run.empty_rss) / gateways / 1024, 1),
        "cold_start": other,
    }


async def cold_start(run: Run, seed: int) -> dict[str, float]:
    """Let as many gateways again join at once. Meanwhile, time a drain at the gateways that had joined before."""
    earlier_clients = {n for _, n, *_ in run.seen}
    first, count = len(run.seen), run.gateways
    join = asyncio.get_running_loop().create_task(run.join(count, "late"))
    await run.until(lambda: len(run.seen) > first + count // 10, 60)
    start, mark = time.monotonic(), len(run.seen)
    run.list_server.update_entries(entry(SERVERS - 1, "terminating"))
    await run.until(lambda: len({n for _, n, *_ in run.seen[mark:] if n in earlier_clients}) >= count, 60)
    last = max(next(t for t, m, *_ in run.seen[mark:] if m == n) for n in earlier_clients)
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
