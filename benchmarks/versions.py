"""Versions of the tables: cost of deltas and hashes, the store, and the time of a way back.

    python -m benchmarks.versions --out benchmarks/versions.json

`deltas`: 400 slices of 60 lines each, sessions and gateways' state in one process, no sockets: bytes and CPU of a
change of one line, of 1% and of all, against the whole table (the baseline, what a pilot without versions would send),
and what stating and checking roots costs. `store`: 10,000 versions. `hash`: a change against a digest made anew.
`back`: a pilot's process, fifty gateways and ten proxies that lose a tenth of their streams, `rollback` by the
command line.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import platform
import random
import statistics
import tempfile
import time
from pathlib import Path

import anyio
import structlog
from envoy.service.discovery.v3 import discovery_pb2

from damsonpick import interface as api
from damsonpick.protocols.shared.session import CoveredChanges
from damsonpick.protocols.xds.delta_session import DeltaSession
from damsonpick.protocols.xds.names import EDS
from damsonpick.protocols.xds.resources import Catalogue
from damsonpick.proxy.ads_client import AdsClient
from damsonpick.proxy.program import Proxy
from damsonpick.proxy.received_state import ReceivedState
from damsonpick.proxy.settings import Own, ProxySettings, RequestClass
from damsonpick.proxy.watch_client import WatchCallbacks, WatchClient
from damsonpick.runtime.backoff import Backoff
from damsonpick.runtime.clock import Clock
from damsonpick.settings import load
from damsonpick.state.history.database import HistoryDatabase
from damsonpick.state.history.digest import Digest
from damsonpick.state.history.history import Retention
from damsonpick.state.history.recorder import HistoryRecorder
from damsonpick.state.published_tables import PublishedTables
from tests.pilots import SETTINGS, Pilot

SLICES, LINES, READERS = 400, 60, 10
LOG = structlog.wrap_logger(None, processors=[structlog.testing.LogCapture()])


def server(k: int) -> str:
    return f"127.0.0.1:{9001 + k}"


class Gateway:
    """One gateway's received state and the pilot's session for it, with nothing between."""

    def __init__(self, catalogue: Catalogue, checks: bool, name: str, reads: bool) -> None:
        self.reads = reads  # a sample of the gateways does; the others acknowledge what they are sent
        self.session, self.received_state = DeltaSession(catalogue, 1), ReceivedState()
        self.ads = AdsClient(self.received_state, name, "a", True)
        if not checks:
            del self.ads.node.client_features[:]
        units = list(catalogue.by_type[EDS])
        self.session.receive(0, self.ads.subscribe(EDS, units))

    def take(self, now: int) -> tuple[int, float, float]:
        """All that is due: bytes, CPU of the pilot, CPU of the gateway."""
        size, pilot, own = 0, 0.0, 0.0
        while True:
            start = time.process_time()
            response = self.session.compose(now)
            pilot += time.process_time() - start
            if response is None:
                return size, pilot, own
            size += len(response)
            message = discovery_pb2.DeltaDiscoveryResponse.FromString(response)
            if self.reads:
                start = time.process_time()
                self.received_state.apply(*self.ads.parse(message))
                own += time.process_time() - start
            start = time.process_time()
            self.session.receive(now, self.ads.acknowledge(message))
            pilot += time.process_time() - start


def filled(folder: Path) -> tuple[PublishedTables, Catalogue]:
    (folder / "pilot.ini").write_text(SETTINGS.format(slices=SLICES, rate=0))
    published = PublishedTables(("page",), SLICES)
    for n in range(SLICES):
        published.restore(n, {server(k): 1.0 for k in range(LINES)})
    return published, Catalogue(published, load(folder / "pilot.ini"), lambda name: "a")


def deltas(folder: Path, count: int, rng: random.Random) -> dict[str, object]:
    published, catalogue = filled(folder)
    found: dict[str, object] = {"gateways": count}
    fleets = {
        checks: [Gateway(catalogue, checks, f"g{k}", k < READERS) for k in range(count)] for checks in (True, False)
    }
    for checks, fleet in fleets.items():
        runs = [g.take(1) for g in fleet]
        found[f"whole, roots {'checked' if checks else 'not stated'}"] = _row(runs)
    sizes = {"one line": 1, "1%": SLICES * LINES // 100, "all": SLICES * LINES}
    for name, number in sizes.items():
        places = [(n, k) for n in range(SLICES) for k in range(LINES)]
        orders = [api.SetEntry(n, server(k), rng.uniform(1, 9)) for n, k in rng.sample(places, number)]
        change = published.apply(orders)
        start = time.process_time()
        catalogue.refresh(change.entries)
        refresh = time.process_time() - start
        for checks, fleet in fleets.items():
            for g in fleet:
                g.session.enqueue(change.entries, CoveredChanges(change.seq, 1, change.entry_count()))
            row = _row([g.take(2) for g in fleet])
            whole = found[f"whole, roots {'checked' if checks else 'not stated'}"]
            row |= {
                "refresh_ms": round(refresh * 1e3, 2),
                "bytes_to_whole": round(row["bytes"] / whole["bytes"], 5),
                "pilot_cpu_to_whole": round(row["pilot_us"] / whole["pilot_us"], 4),
            }
            found[f"{name}, roots {'checked' if checks else 'not stated'}"] = row
    first = fleets[True][0].received_state.versions[EDS]
    assert all(g.received_state.versions[EDS] == first for f in fleets.values() for g in f[:READERS])
    return found


def _row(runs: list[tuple[int, float, float]]) -> dict[str, float]:
    """Means for one gateway."""
    size, pilot = (statistics.mean(r[k] for r in runs) for k in range(2))
    own = statistics.mean(r[2] for r in runs[:READERS])
    return {"bytes": round(size), "pilot_us": round(pilot * 1e6, 1), "gateway_us": round(own * 1e6, 1)}


def hashes() -> dict[str, float]:
    """A digest moved by a change of so many names, to one made anew of all."""
    names = {f"slice/{n}": f"{n:016x}" for n in range(SLICES)}
    start = time.process_time()
    for _ in range(20):
        Digest(names).root()
    anew = (time.process_time() - start) / 20
    found = {"anew_us": round(anew * 1e6, 1)}
    digest = Digest(names)
    for changed in (1, 4, 40, 400):
        start = time.process_time()
        for k in range(20):
            for n in range(changed):
                digest.change(f"slice/{n}", f"{n + k:016x}", f"{n + k + 1:016x}")
            digest.root()
        found[f"change of {changed}, to anew"] = round((time.process_time() - start) / 20 / anew, 4)
    return found


def store(folder: Path, count: int, rng: random.Random) -> dict[str, float]:
    """`count` versions of one to ten lines each."""
    published, catalogue = filled(folder)
    recorder = HistoryRecorder(
        published, catalogue.versions, HistoryDatabase(folder / "v.db"), Retention(count + 10, 10**18), LOG
    )
    recorder.start(0)
    start = time.perf_counter()
    for k in range(count):
        change = published.apply(
            [
                api.SetEntry(rng.randrange(SLICES), server(rng.randrange(LINES)), rng.uniform(1, 9))
                for _ in range(rng.randint(1, 10))
            ]
        )
        catalogue.refresh(change.entries)
        recorder.record(k, change.entries, "module")
    took = time.perf_counter() - start
    recorder.database.close()
    size = sum(p.stat().st_size for p in folder.glob("v.db*"))
    again = HistoryRecorder(
        published, catalogue.versions, HistoryDatabase(folder / "v.db"), Retention(count + 10, 10**18), LOG
    )
    start = time.perf_counter()
    again.start(count)
    opened = time.perf_counter() - start
    start = time.perf_counter()
    again.history.state_at(1)
    return {
        "versions": count,
        "bytes_a_version": round(size / count),
        "ms_a_version": round(took / count * 1e3, 3),
        "start_s": round(opened, 3),
        "oldest_state_s": round(time.perf_counter() - start, 3),
    }


# -- the way back, through sockets


class Watched:
    """Checks after each message how long a slice is without an open line: a drain's withdrawal comes just before
    the tables that name others, and the rule allows 2.8 s."""

    def __init__(self, name: str, received_state: ReceivedState) -> None:
        self.name, self.received_state, self.seen, self.longest = name, received_state, 0, 0.0
        self.since: dict[str, float] = {}
        self.joined = time.monotonic()
        self.drain, self.late = "", 0.0  # a server that drains; longest that it was in reach, s
        self.told = 0.0

    def watch(self, server: str) -> None:
        """From now on this server drains."""
        self.drain, self.told = server, time.monotonic()

    def reaches(self) -> bool:
        return any(self.drain in self.received_state.available_entries(n) for n in self.received_state.tables)

    def said(self, event: str, **details: object) -> None:
        if event == "stream" and details["up"]:
            self.joined = time.monotonic()
        if self.drain and event == "got" and self.reaches():  # the drain rule counts from the later of both
            self.late = max(self.late, time.monotonic() - max(self.told, self.joined))
        if event == "got" and not details["nack"]:
            self.seen += 1
            tables = self.received_state.tables
            now = time.monotonic()
            bare = {
                n for n in tables if n != "fleet" and tables[n].entries and not self.received_state.available_entries(n)
            }
            ended = [now - t for n, t in self.since.items() if n not in bare]
            self.longest = max([self.longest, *ended])
            self.since = {n: self.since.get(n, now) for n in bare}


async def back(folder: Path, seed: int) -> dict[str, float]:
    pilot = Pilot(folder, slices=100)
    listed(pilot)
    await anyio.to_thread.run_sync(pilot.start)
    try:
        return await _back(pilot, random.Random(seed))
    finally:
        pilot.stop()


def listed(pilot: Pilot, draining: str = "") -> None:
    pilot.list(**{n: "terminating" if n == draining else "in_service" for n in (f"s{k}" for k in range(1, 13))})


async def _back(pilot: Pilot, rng: random.Random) -> dict[str, float]:
    gates: list[WatchClient] = []
    watched: list[Watched] = []
    cut = {"on": False}
    down: dict[str, float] = {}
    failed: list[Exception] = []
    async with anyio.create_task_group() as group:
        for k in range(50):
            received_state = ReceivedState()
            watch = Watched(f"g{k}", received_state)
            callbacks = WatchCallbacks(lambda: [f"127.0.0.1:{pilot.port}"], lambda *a: None, lambda: {}, watch.said)
            backoff = Backoff(rng, 0.05, 0.3)
            gates.append(WatchClient(f"g{k}", "ab"[k % 2], received_state, callbacks, Clock(), backoff, LOG))
            watched.append(watch)
            group.start_soon(gates[-1].run)
        for k in range(10):
            settings = ProxySettings(
                proxy=Own(name=f"p{k}", zone="ab"[k % 2], slices=100, port_file=pilot.port_file),
                classes={"page": RequestClass(deadline=10**9)},
            )
            proxy = Proxy(settings, LOG, seed=k)
            watch = Watched(f"p{k}", proxy.router.received_state)
            proxy.watch_client.callbacks.record = watch.said
            gates.append(proxy.watch_client)
            watched.append(watch)
            group.start_soon(_run, proxy)
        for gate in gates:
            gate.callbacks.may_connect = lambda n=gate.name: down.get(n, 0.0) < anyio.current_time()

        async def lose() -> None:
            """Every 0.3 s a tenth of the gateways loses its stream for a moment."""
            while True:
                await anyio.sleep(0.3)
                if cut["on"]:
                    for gate in rng.sample(gates, len(gates) // 10):
                        down[gate.name] = anyio.current_time() + rng.uniform(0.05, 0.3)

        group.start_soon(lose)
        try:
            result = await _script(pilot, cut, watched)
        except Exception as error:
            failed.append(error)
        group.cancel_scope.cancel()
    if failed:
        raise failed[0]
    return result


async def _script(pilot: Pilot, cut: dict[str, bool], watched: list[Watched]) -> dict[str, float]:
    """A server drains and returns; back to before, while streams are lost."""
    await _until(pilot, 60, False)
    first = (await _say(pilot, "list"))["newest"]
    for w in watched:
        w.watch(server(3))
    listed(pilot, draining="s4")
    await anyio.sleep(1.0)
    first_drain = max(w.late for w in watched)
    for w in watched:
        w.drain, w.late = "", 0.0
    listed(pilot)
    await anyio.sleep(0.5)
    cut["on"] = True
    await anyio.sleep(1.0)
    start = anyio.current_time()
    done = await _say(pilot, "rollback", str(first))
    said = anyio.current_time() - start
    listed(pilot, draining="s7")  # a drain while the rollback is under way and streams break
    for w in watched:
        w.watch(server(6))
    await anyio.sleep(0.6)
    cut["on"] = False
    await _until(pilot, 60, True)
    took = anyio.current_time() - start
    reached = sum(w.reaches() for w in watched)
    return {
        "rollback_said_s": round(said, 3),
        "all_verified_s": round(took, 3),
        "lines": done["lines"],
        "drain_in_reach_s": round(first_drain, 3),
        "drained_in_reach_at_the_end": reached,
        "drain_while_going_back_s": round(max(w.late for w in watched), 3),
        "bare_at_the_end": sum(len(w.since) for w in watched),
        "longest_bare_s": round(max(w.longest for w in watched), 4),
        "messages": sum(w.seen for w in watched),
    }


async def _run(proxy: Proxy) -> None:
    async with proxy.running():
        await anyio.sleep_forever()


async def _say(pilot: Pilot, *words: str) -> dict:
    done = await anyio.to_thread.run_sync(lambda: pilot.versions(*words))
    if done.returncode not in (0, 1):
        raise RuntimeError(done.stderr)
    return json.loads(done.stdout)


async def _until(pilot: Pilot, count: int, verified: bool) -> None:
    """Until every gateway holds the newest version."""
    with anyio.fail_after(20):
        while True:
            with contextlib.suppress(RuntimeError):
                rows = (await _say(pilot, "who"))["gateways"]
                if len(rows) == count and all(g["holds"] and (g["verified"] or not verified) for g in rows):
                    return
            await anyio.sleep(0.02)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--out", type=Path)
    parser.add_argument("--repeat", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    result: dict[str, object] = {
        "command": "python -m benchmarks.versions --out benchmarks/versions.json",
        "seed": args.seed,
        "machine": {"python": platform.python_version(), "cores": os.cpu_count()},
        "hash": hashes(),
        "deltas": [],
        "back": [],
    }
    with tempfile.TemporaryDirectory() as scratch:
        folder = Path(scratch)
        for count in (100, 1000):
            result["deltas"].append(deltas(folder, count, random.Random(args.seed)))
            print(json.dumps(result["deltas"][-1], indent=1), flush=True)
        result["store"] = store(folder, 10_000, random.Random(args.seed))
        print(json.dumps(result["hash"]), json.dumps(result["store"]), flush=True)
    for k in range(args.repeat):
        with tempfile.TemporaryDirectory() as scratch:
            result["back"].append(anyio.run(back, Path(scratch), args.seed + k))
            print(json.dumps(result["back"][-1]), flush=True)
    if args.out:
        args.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
