"""Measure versions of the tables: the cost of deltas and hashes, the store, and the time of a rollback.

    python -m benchmarks.versions --out benchmarks/versions.json

`deltas`: 400 slices of 60 entries each, with the sessions and the state of the gateways in one process and without
sockets: bytes and CPU of a change of one entry, of 1% and of all, against the whole table (the baseline, which a pilot
without versions would send), and the cost of stating and checking roots. `store`: 10,000 versions. `hash`: the update
of a digest against a digest computed anew. `back`: a `rollback` by the command line on a pilot process, with fifty
gateways and ten proxies that lose a tenth of their streams.
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
from damsonpick.proxy.settings import ProxySection, ProxySettings, RequestClass
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
    """The received state of a gateway and the pilot's session for it, connected directly, without a transport."""

    def __init__(self, catalogue: Catalogue, checks_roots: bool, name: str, applies_responses: bool) -> None:
        # Only a sample of the gateways applies the responses. The others just acknowledge them.
        self.applies_responses = applies_responses
        self.session, self.received_state = DeltaSession(catalogue, 1), ReceivedState()
        self.ads = AdsClient(self.received_state, name, "a", True)
        if not checks_roots:
            del self.ads.node.client_features[:]
        units = list(catalogue.by_type[EDS])
        self.session.receive(0, self.ads.subscribe(EDS, units))

    def receive_pending(self, now: int) -> tuple[int, float, float]:
        """Receive all pending responses. Return bytes, CPU seconds of the pilot and CPU seconds of the gateway."""
        size, pilot_s, gateway_s = 0, 0.0, 0.0
        while True:
            start = time.process_time()
            response = self.session.compose(now)
            pilot_s += time.process_time() - start
            if response is None:
                return size, pilot_s, gateway_s
            size += len(response)
            message = discovery_pb2.DeltaDiscoveryResponse.FromString(response)
            if self.applies_responses:
                start = time.process_time()
                self.received_state.apply(*self.ads.parse(message))
                gateway_s += time.process_time() - start
            start = time.process_time()
            self.session.receive(now, self.ads.acknowledge(message))
            pilot_s += time.process_time() - start


def make_catalogue(folder: Path) -> tuple[PublishedTables, Catalogue]:
    (folder / "pilot.ini").write_text(SETTINGS.format(slices=SLICES, rate=0))
    published = PublishedTables(("page",), SLICES)
    for n in range(SLICES):
        published.restore(n, {server(k): 1.0 for k in range(LINES)})
    return published, Catalogue(published, load(folder / "pilot.ini"), lambda name: "a")


def deltas(folder: Path, count: int, rng: random.Random) -> dict[str, object]:
    published, catalogue = make_catalogue(folder)
    result: dict[str, object] = {"gateways": count}
    fleets = {
        checks_roots: [Gateway(catalogue, checks_roots, f"g{k}", k < READERS) for k in range(count)]
        for checks_roots in (True, False)
    }
    for checks_roots, fleet in fleets.items():
        runs = [g.receive_pending(1) for g in fleet]
        result[f"whole, roots {'checked' if checks_roots else 'not stated'}"] = _mean_row(runs)
    sizes = {"one line": 1, "1%": SLICES * LINES // 100, "all": SLICES * LINES}
    for name, number in sizes.items():
        places = [(n, k) for n in range(SLICES) for k in range(LINES)]
        orders = [api.SetEntry(n, server(k), rng.uniform(1, 9)) for n, k in rng.sample(places, number)]
        change = published.apply(orders)
        start = time.process_time()
        catalogue.refresh(change.entries)
        refresh = time.process_time() - start
        for checks_roots, fleet in fleets.items():
            for g in fleet:
                g.session.enqueue(change.entries, CoveredChanges(change.seq, 1, change.entry_count()))
            row = _mean_row([g.receive_pending(2) for g in fleet])
            whole = result[f"whole, roots {'checked' if checks_roots else 'not stated'}"]
            row |= {
                "refresh_ms": round(refresh * 1e3, 2),
                "bytes_to_whole": round(row["bytes"] / whole["bytes"], 5),
                "pilot_cpu_to_whole": round(row["pilot_us"] / whole["pilot_us"], 4),
            }
            result[f"{name}, roots {'checked' if checks_roots else 'not stated'}"] = row
    first = fleets[True][0].received_state.versions[EDS]
    assert all(g.received_state.versions[EDS] == first for f in fleets.values() for g in f[:READERS])
    return result


def _mean_row(runs: list[tuple[int, float, float]]) -> dict[str, float]:
    """Return the means per gateway."""
    size, pilot_s = (statistics.mean(r[k] for r in runs) for k in range(2))
    gateway_s = statistics.mean(r[2] for r in runs[:READERS])
    return {"bytes": round(size), "pilot_us": round(pilot_s * 1e6, 1), "gateway_us": round(gateway_s * 1e6, 1)}


def hashes() -> dict[str, float]:
    """Compare updating a digest for a number of changed names with computing the digest of all names anew."""
    names = {f"slice/{n}": f"{n:016x}" for n in range(SLICES)}
    start = time.process_time()
    for _ in range(20):
        Digest(names).root()
    anew_s = (time.process_time() - start) / 20
    result = {"anew_us": round(anew_s * 1e6, 1)}
    digest = Digest(names)
    for changed in (1, 4, 40, 400):
        start = time.process_time()
        for k in range(20):
            for n in range(changed):
                digest.change(f"slice/{n}", f"{n + k:016x}", f"{n + k + 1:016x}")
            digest.root()
        result[f"change of {changed}, to anew"] = round((time.process_time() - start) / 20 / anew_s, 4)
    return result


def store(folder: Path, count: int, rng: random.Random) -> dict[str, float]:
    """Record `count` versions of one to ten changed entries each, and measure the store."""
    published, catalogue = make_catalogue(folder)
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
    record_s = time.perf_counter() - start
    recorder.database.close()
    size = sum(p.stat().st_size for p in folder.glob("v.db*"))
    reopened_recorder = HistoryRecorder(
        published, catalogue.versions, HistoryDatabase(folder / "v.db"), Retention(count + 10, 10**18), LOG
    )
    start = time.perf_counter()
    reopened_recorder.start(count)
    open_s = time.perf_counter() - start
    start = time.perf_counter()
    reopened_recorder.history.state_at(1)
    return {
        "versions": count,
        "bytes_a_version": round(size / count),
        "ms_a_version": round(record_s / count * 1e3, 3),
        "start_s": round(open_s, 3),
        "oldest_state_s": round(time.perf_counter() - start, 3),
    }


# -- the rollback, through sockets


class Observer:
    """Checks after each message how long a slice is bare, that is, has no available entry.

    A drain withdraws entries just before the tables with other endpoints arrive. The rule allows 2.8 s without an
    available entry.

    Attributes:
        seen: Number of messages accepted.
        longest: Longest time for which a slice was bare, in seconds.
        since: Time from which each slice that is bare now has been bare.
        joined: Time when the stream opened last.
        drain: The server that drains, or empty.
        late: Longest time for which the draining server was in reach, in seconds.
        told: Time when the drain began.
    """

    def __init__(self, name: str, received_state: ReceivedState) -> None:
        self.name, self.received_state, self.seen, self.longest = name, received_state, 0, 0.0
        self.since: dict[str, float] = {}
        self.joined = time.monotonic()
        self.drain, self.late = "", 0.0
        self.told = 0.0

    def watch(self, server: str) -> None:
        """Observe the drain of `server`, which begins now."""
        self.drain, self.told = server, time.monotonic()

    def reaches(self) -> bool:
        """Return whether the draining server is available in any table."""
        return any(self.drain in self.received_state.available_entries(n) for n in self.received_state.tables)

    def on_event(self, event: str, **details: object) -> None:
        if event == "stream" and details["up"]:
            self.joined = time.monotonic()
        if self.drain and event == "got" and self.reaches():  # The drain rule counts from the later of drain and join.
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


async def measure_rollback(folder: Path, seed: int) -> dict[str, float]:
    pilot = Pilot(folder, slices=100)
    write_list(pilot)
    await anyio.to_thread.run_sync(pilot.start)
    try:
        return await _roll_back_fleet(pilot, random.Random(seed))
    finally:
        pilot.stop()


def write_list(pilot: Pilot, draining: str = "") -> None:
    pilot.list(**{n: "terminating" if n == draining else "in_service" for n in (f"s{k}" for k in range(1, 13))})


async def _roll_back_fleet(pilot: Pilot, rng: random.Random) -> dict[str, float]:
    watch_clients: list[WatchClient] = []
    observers: list[Observer] = []
    stream_losses = {"on": False}
    disconnected_until: dict[str, float] = {}
    failed: list[Exception] = []
    async with anyio.create_task_group() as group:
        for k in range(50):
            received_state = ReceivedState()
            observer = Observer(f"g{k}", received_state)
            callbacks = WatchCallbacks(
                lambda: [f"127.0.0.1:{pilot.port}"], lambda *a: None, lambda: {}, observer.on_event
            )
            backoff = Backoff(rng, 0.05, 0.3)
            watch_clients.append(WatchClient(f"g{k}", "ab"[k % 2], received_state, callbacks, Clock(), backoff, LOG))
            observers.append(observer)
            group.start_soon(watch_clients[-1].run)
        for k in range(10):
            settings = ProxySettings(
                proxy=ProxySection(name=f"p{k}", zone="ab"[k % 2], slices=100, port_file=pilot.port_file),
                classes={"page": RequestClass(deadline=10**9)},
            )
            proxy = Proxy(settings, LOG, seed=k)
            observer = Observer(f"p{k}", proxy.router.received_state)
            proxy.watch_client.callbacks.record = observer.on_event
            watch_clients.append(proxy.watch_client)
            observers.append(observer)
            group.start_soon(_run_proxy, proxy)
        for watch_client in watch_clients:
            watch_client.callbacks.may_connect = lambda n=watch_client.name: (
                disconnected_until.get(n, 0.0) < anyio.current_time()
            )

        async def cut_streams() -> None:
            """Every 0.3 s, disconnect a tenth of the gateways for a moment."""
            while True:
                await anyio.sleep(0.3)
                if stream_losses["on"]:
                    for watch_client in rng.sample(watch_clients, len(watch_clients) // 10):
                        disconnected_until[watch_client.name] = anyio.current_time() + rng.uniform(0.05, 0.3)

        group.start_soon(cut_streams)
        try:
            result = await _roll_back_during_losses(pilot, stream_losses, observers)
        except Exception as error:
            failed.append(error)
        group.cancel_scope.cancel()
    if failed:
        raise failed[0]
    return result


async def _roll_back_during_losses(
    pilot: Pilot, stream_losses: dict[str, bool], observers: list[Observer]
) -> dict[str, float]:
    """A server drains and returns. Then the tables are rolled back to the first version while streams are lost."""
    await _wait_until_all_hold(pilot, 60, False)
    first_version = (await _run_command(pilot, "list"))["newest"]
    for w in observers:
        w.watch(server(3))
    write_list(pilot, draining="s4")
    await anyio.sleep(1.0)
    first_drain = max(w.late for w in observers)
    for w in observers:
        w.drain, w.late = "", 0.0
    write_list(pilot)
    await anyio.sleep(0.5)
    stream_losses["on"] = True
    await anyio.sleep(1.0)
    start = anyio.current_time()
    done = await _run_command(pilot, "rollback", str(first_version))
    command_s = anyio.current_time() - start
    write_list(pilot, draining="s7")  # This drain begins while the rollback is in progress and streams break.
    for w in observers:
        w.watch(server(6))
    await anyio.sleep(0.6)
    stream_losses["on"] = False
    await _wait_until_all_hold(pilot, 60, True)
    verified_s = anyio.current_time() - start
    still_reaching = sum(w.reaches() for w in observers)
    return {
        "rollback_said_s": round(command_s, 3),
        "all_verified_s": round(verified_s, 3),
        "lines": done["lines"],
        "drain_in_reach_s": round(first_drain, 3),
        "drained_in_reach_at_the_end": still_reaching,
        "drain_while_going_back_s": round(max(w.late for w in observers), 3),
        "bare_at_the_end": sum(len(w.since) for w in observers),
        "longest_bare_s": round(max(w.longest for w in observers), 4),
        "messages": sum(w.seen for w in observers),
    }


async def _run_proxy(proxy: Proxy) -> None:
    async with proxy.running():
        await anyio.sleep_forever()


async def _run_command(pilot: Pilot, *arguments: str) -> dict:
    done = await anyio.to_thread.run_sync(lambda: pilot.versions(*arguments))
    if done.returncode not in (0, 1):
        raise RuntimeError(done.stderr)
    return json.loads(done.stdout)


async def _wait_until_all_hold(pilot: Pilot, count: int, verified: bool) -> None:
    """Wait until `count` gateways hold the newest version and, if `verified`, all have verified it."""
    with anyio.fail_after(20):
        while True:
            with contextlib.suppress(RuntimeError):
                rows = (await _run_command(pilot, "who"))["gateways"]
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
            result["back"].append(anyio.run(measure_rollback, Path(scratch), args.seed + k))
            print(json.dumps(result["back"][-1]), flush=True)
    if args.out:
        args.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main()
