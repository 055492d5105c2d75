"""Measure the SASP server: polls per second, the push of a drain during a poll storm, and the cost of sessions.

    python -m benchmarks.sasp --out benchmarks/sasp.json

`polls`: one session against the advisor, without sockets, 60 members, 1 to 1,000 groups. The baseline, `made anew`, is
a reply whose advice and text are computed for that poll alone. `storm`: a pilot process, 500 balancers in another
process that poll as fast as they receive replies, and one balancer that receives pushes. Measured is the time from the
change of the list (the pilot reads its file every 20 ms) to the push, and to the withdrawal at an xDS gateway, against
the same without the storm. `sessions`: memory and CPU of the pilot with 500 idle sessions.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import platform
import random
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import anyio
import psutil

from damsonpick.protocols.sasp import codec
from damsonpick.protocols.sasp.advisor import WeightAdvisor
from damsonpick.protocols.sasp.client import connect
from damsonpick.protocols.sasp.layout import GetWeights, Group, LbFlag, MemberGroup, Message, Sender, member
from damsonpick.protocols.sasp.pacing import MessageRateLimiter, PollPacer
from damsonpick.protocols.sasp.registry import AccessLevel, Limits, Registry
from damsonpick.protocols.sasp.session import SaspSession
from damsonpick.protocols.sasp.weights import MemberStatus
from damsonpick.state.published_tables import PublishedTables
from tests.gates import RecordingGateway
from tests.pilots import Pilot, server_address

NOW = 10**18
MEMBERS, BALANCERS = 60, 500
SASP = "\n[sasp]\nlisten = 127.0.0.1:0\nsessions = 2000\n"


def polls(groups: int, seconds: float = 1.0) -> dict[str, float]:
    """Measure how many polls of all groups of one balancer are answered per second of CPU."""
    published = PublishedTables(("page",), 400)
    for n in range(400):
        published.restore(n, {server_address(1 + n % MEMBERS): 1.0, server_address(1 + (n + 7) % MEMBERS): 1.0})
    registry = Registry(
        Limits(2000, 1000),
        lambda text: "fleet" if text == b"all" else f"slices {int(text) % 400}",
        lambda lb: AccessLevel.REGISTER,
    )
    advisor = WeightAdvisor(
        published,
        registry,
        PollPacer(random.Random(1)),
        lambda n: 1.0 + n % 5,
        lambda n: MemberStatus(True, True, True),
        lambda: 0.0,
    )
    session = SaspSession(advisor, lambda lb: "a", MessageRateLimiter(1e9))
    listed = tuple(member(server_address(k)) for k in range(1, MEMBERS + 1))
    keys = [Group(b"lb", b"all")] if groups == 1 else [Group(b"lb", b"%d" % n) for n in range(groups)]
    registry.register(session, Sender.BALANCER, [MemberGroup(k, listed) for k in keys])
    request = codec.encode(Message(1, GetWeights(tuple(keys))))
    polls_per_s = {}
    for how in ("kept", "made anew"):
        count, start = 0, time.process_time()
        while time.process_time() - start < seconds:
            if how == "made anew":
                advisor.clear_caches()
            size = len(session.receive(NOW, request))
            count += 1
        polls_per_s[how] = count / (time.process_time() - start)
    return {
        "groups": groups,
        "polls_per_s": round(polls_per_s["kept"], 1),
        "made_anew_per_s": round(polls_per_s["made anew"], 1),
        "kept_to_made_anew": round(polls_per_s["kept"] / polls_per_s["made anew"], 2),
        "bytes": size,
    }


async def run_balancers(address: str, polling: bool) -> None:
    """Run 500 balancers in this process until standard input ends.

    Prints `ready` when all have registered, and at the end the polls per second.
    """
    listed = [member(server_address(k)) for k in range(1, MEMBERS + 1)]
    ready, done = 0, 0
    rng = random.Random(1)

    async def run_balancer(k: int) -> None:
        nonlocal ready, done
        async with connect(address, f"storm-{k}".encode()) as client:
            await client.set_lb_state()
            await client.register(b"all", listed)
            ready += 1
            while polling:
                await client.weights(b"all")
                done += 1
                await anyio.sleep(rng.uniform(0, 0.001))
            await anyio.sleep_forever()

    async with anyio.create_task_group() as group:
        for k in range(BALANCERS):
            group.start_soon(run_balancer, k)
        while ready < BALANCERS:
            await anyio.sleep(0.05)
        print("ready", flush=True)
        start, before = time.monotonic(), done
        await anyio.to_thread.run_sync(sys.stdin.read)
        print((done - before) / (time.monotonic() - start), flush=True)
        group.cancel_scope.cancel()


@contextlib.contextmanager
def balancer_process(address: str, polling: bool) -> Any:
    """Run the balancers in another process while the context is active."""
    process = subprocess.Popen(
        [sys.executable, "-m", "benchmarks.sasp", "--crowd", address, str(int(polling))],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout.readline().strip() == "ready"
        yield process
    finally:
        process.stdin.close()
        process.wait(20)


def write_list(pilot: Pilot, draining: int) -> None:
    pilot.list(**{f"s{k}": "terminating" if k == draining else "in_service" for k in range(1, MEMBERS + 1)})


async def measure_drains(pilot: Pilot, address: str, repeats: int) -> dict[str, list[float]]:
    """Return the times in ms from a change of the list to the push, and to the withdrawal at an xDS gateway."""
    pushes: list[Any] = []
    xds_gateway, rng = RecordingGateway(pilot.folder, f"g-{time.monotonic_ns()}"), random.Random(repeats)
    times: dict[str, list[float]] = {"push": [], "xds": []}
    async with (
        connect(address, f"push-{time.monotonic_ns()}".encode(), pushes.append) as client,
        anyio.create_task_group() as group,
    ):
        group.start_soon(xds_gateway.watch_client.run)
        await client.set_lb_state(LbFlag.PUSH)
        await client.register(b"all", [member(server_address(k)) for k in range(1, MEMBERS + 1)])
        while len(xds_gateway.received_state.tables) < 7:
            await anyio.sleep(0.05)
        for k in range(1, repeats + 1):
            await anyio.sleep(rng.uniform(0.4, 0.6))  # Avoids synchronization with the polls of the list.
            pushes.clear()
            assert any(
                server_address(k) in xds_gateway.received_state.available_entries(n)
                for n in xds_gateway.received_state.tables
            ), server_address(k)
            start, elapsed_s = time.perf_counter(), {}
            write_list(pilot, k)
            while len(elapsed_s) < 2:
                if "push" not in elapsed_s and any(
                    w.member.endpoint == server_address(k) and not w.weight
                    for p in pushes
                    for g in p.groups
                    for w in g.weights
                ):
                    elapsed_s["push"] = time.perf_counter() - start
                if "xds" not in elapsed_s and not any(
                    server_address(k) in xds_gateway.received_state.available_entries(n)
                    for n in xds_gateway.received_state.tables
                ):
                    elapsed_s["xds"] = time.perf_counter() - start
                await anyio.sleep(0.0005)
                if time.perf_counter() - start > 10:
                    raise TimeoutError(f"{set(times) - set(elapsed_s)} took over 10 s")
            for what, took in elapsed_s.items():
                times[what].append(took * 1e3)
        group.cancel_scope.cancel()
    return times


def summarize(times: list[float]) -> dict[str, float]:
    return {
        "median_ms": round(statistics.median(times), 1),
        "least": round(min(times), 1),
        "most": round(max(times), 1),
    }


async def sockets(folder: Path, repeats: int) -> dict[str, Any]:
    """Measure `storm` and `sessions` on a pilot process."""
    pilot = Pilot(folder, slices=2 * MEMBERS)  # Each server has entries, so that a drain withdraws some.
    pilot.file.write_text(pilot.file.read_text() + SASP)
    write_list(pilot, 0)
    await anyio.to_thread.run_sync(pilot.start)
    try:
        while not pilot.log("sasp_opened"):
            await anyio.sleep(0.05)
        address = f"127.0.0.1:{pilot.log('sasp_opened')[0]['port']}"
        pilot_process = psutil.Process(pilot.process.pid)
        await anyio.sleep(1)
        rss_without, cpu_without = pilot_process.memory_info().rss, cpu_share(pilot_process)
        with balancer_process(address, False):  # Runs first, before earlier balancers leave free memory.
            await anyio.sleep(1)
            rss_with, cpu_with = pilot_process.memory_info().rss, cpu_share(pilot_process)
        await anyio.sleep(1)
        quiet = await measure_drains(pilot, address, repeats)
        with balancer_process(address, True) as process:
            storm = await measure_drains(pilot, address, repeats)
            process.stdin.close()
            rate = float(process.stdout.read().split()[-1])
        medians = {k: (statistics.median(quiet[k]), statistics.median(storm[k])) for k in quiet}
        return {
            "storm": {
                "balancers": BALANCERS,
                "polls_per_s": round(rate),
                **{
                    k: {
                        "quiet": summarize(quiet[k]),
                        "storm": summarize(storm[k]),
                        "storm_to_quiet": round(medians[k][1] / medians[k][0], 2),
                    }
                    for k in quiet
                },
            },
            "sessions": {
                "pilot_mib": round(rss_without / 2**20, 1),
                "kib_a_session": round((rss_with - rss_without) / 1024 / BALANCERS, 1),
                "cpu_without": cpu_without,
                "cpu_with_500_idle": cpu_with,
            },
        }
    finally:
        pilot.stop()


def cpu_share(of: psutil.Process, seconds: float = 4.0) -> float:
    """Return the share of a core that a process uses."""
    start = sum(of.cpu_times()[:2])
    time.sleep(seconds)
    return round((sum(of.cpu_times()[:2]) - start) / seconds, 4)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--out", type=Path)
    parser.add_argument("--repeat", type=int, default=15)
    parser.add_argument("--crowd", nargs=2)
    args = parser.parse_args()
    if args.crowd:
        anyio.run(run_balancers, args.crowd[0], args.crowd[1] == "1")
        return
    result: dict[str, Any] = {
        "command": "python -m benchmarks.sasp --out benchmarks/sasp.json",
        "seed": 1,
        "repeats": args.repeat,
        "machine": {"python": platform.python_version(), "cores": os.cpu_count()},
        "polls": [polls(n) for n in (1, 100, 1000)],
    }
    print(json.dumps(result["polls"]), flush=True)
    # Use a folder in memory if there is one: on a disk, the rename over a file waits for the disk, and the pilot reads
    # the drain meanwhile.
    with tempfile.TemporaryDirectory(dir="/dev/shm" if Path("/dev/shm").is_dir() else None) as scratch:
        result |= anyio.run(sockets, Path(scratch), args.repeat)
    print(json.dumps({k: result[k] for k in ("storm", "sessions")}, indent=1))
    if args.out:
        args.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
