"""A gateway that stands in: an xDS and LRS client, and plain forwarding by the tables it was given."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import anyio
import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc
from envoy.service.load_stats.v3 import lrs_pb2_grpc

from damsonpick.engine.clock import Clock
from damsonpick.proxy.holdings import Asker, Bad, Holdings
from damsonpick.roster.redial import Redial
from damsonpick.standins import http
from damsonpick.standins.picking import Picker
from damsonpick.standins.record import Recorder
from damsonpick.wire import calls
from damsonpick.xds import loads
from damsonpick.xds.names import CDS, EDS, RDS, slice_of

HOLD = 500_000_000  # ns that a request waits for a table with a line
CONNECT = 400_000_000  # ns
NEVER_RAN, ANY = "connect-failure", "5xx"
OPTIONS = [("grpc.use_local_subchannel_pool", 1), ("grpc.keepalive_time_ms", 5000),
           ("grpc.keepalive_timeout_ms", 5000)]


def shown(holdings: Holdings, kind: str, nonce: str, resources: list, removed: list[str], bad: str) -> dict[str, Any]:
    """A response as the rule checker reads it."""
    found: dict[str, Any] = {}
    for name, version, _ in resources:
        found[name] = {"v": version}
        if kind == EDS and not bad:
            table = holdings.tables[name]
            found[name] |= {"lines": {n: w for n, (w, _) in table.lines.items()}, "levels": table.levels}
    return {"type": kind.rpartition(".")[2], "nonce": nonce, "res": found, "removed": removed, "nack": bad}


class Kind(NamedTuple):
    """A request class as gateways know it. Times in ns."""

    name: str
    aim: int
    deadline: int
    effect: str


class Links:
    """Which zones reach which, and which gateways reach the pilot."""

    def __init__(self) -> None:
        self.cut: set[str] = set()  # zones cut off from the others
        self.away: set[str] = set()  # gateways that reach no pilot
        self.pilot_zone = ""

    def joined(self, one: str, other: str) -> bool:
        return one == other or (one not in self.cut and other not in self.cut)

    def to_pilot(self, gateway: str, zone: str) -> bool:
        return gateway not in self.away and self.joined(zone, self.pilot_zone)


class Gateway:
    """One gateway.

    Args:
        name, zone: node id and locality.
        delta: which variant it speaks.
        dial: gives the pilot's address, or '' while there is none.
        kinds: request classes by name.
    """

    def __init__(self, name: str, zone: str, delta: bool, dial: Callable[[], str], kinds: dict[str, Kind],
                 clock: Clock, record: Recorder, links: Links, rng: random.Random) -> None:
        self.name, self.zone, self.delta, self.dial, self.kinds = name, zone, delta, dial, kinds
        self.clock, self.record, self.links, self.rng = clock, record, links, rng
        self.holdings, self.picker = Holdings(), Picker(rng)
        self.version: dict[str, str] = {}
        self.pools: dict[str, list[http.Wire]] = {}
        self.counts: dict[int, loads.SliceCounts] = {}
        self.changed = anyio.Event()
        self.stalled_until = 0
        self.read_delay = self.report_delay = 0  # ns
        self.redial = Redial(rng, 0.1, 1.0)
        self.seen = False  # a stream has been up since the start

    # -- the pilot

    async def follow(self) -> None:
        """Keep a stream to the pilot, for ever."""
        while True:
            address = self.dial()
            if address and self.links.to_pilot(self.name, self.zone):
                try:
                    await self._session(address)
                except* calls.StreamEnded:
                    pass
                self.record.put("stream", gw=self.name, up=False)
            await anyio.sleep(self.redial.failed() / self.clock.rate)

    async def _session(self, address: str) -> None:
        async with grpc.aio.insecure_channel(address, OPTIONS) as channel:
            stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
            call = stub.DeltaAggregatedResources() if self.delta else stub.StreamAggregatedResources()
            asker = Asker(self.holdings, self.name, self.zone, self.delta)
            await calls.write(call, asker.opening(CDS, [], self.version.get(CDS, "")))
            async with anyio.create_task_group() as group:
                group.start_soon(self._report, channel)
                group.start_soon(self._watch_links, group.cancel_scope)
                await self._read(call, asker)
                group.cancel_scope.cancel()

    async def _watch_links(self, scope: anyio.CancelScope) -> None:
        """A cut link breaks the stream (a call cancelled here would raise in its reader as a cancelled task)."""
        while self.links.to_pilot(self.name, self.zone):
            await anyio.sleep(0.05)
        scope.cancel()

    async def _read(self, call: Any, asker: Asker) -> None:
        begun = False
        while True:
            response = await calls.read(call)
            await self._stand_still(self.read_delay)
            kind, resources, removed = asker.read(response)
            bad = ""
            try:
                self.holdings.take(kind, resources, removed)
                self.version[kind] = response.system_version_info if self.delta else response.version_info
                self.changed.set()
                self.changed = anyio.Event()
            except Bad as error:
                bad = str(error)
            self._record(kind, response.nonce, resources, removed, bad)
            await calls.write(call, asker.verdict(response, bad))
            if not begun and kind == CDS:
                begun = True
                self.redial.succeeded()
                names = sorted(self.holdings.versions[CDS])
                self.record.put("stream", gw=self.name, up=True, zone=self.zone, fresh=not self.seen)
                self.seen = True
                await calls.write(call, asker.opening(EDS, names, self.version.get(EDS, "")))
                await calls.write(call, asker.opening(RDS, ["routes"], self.version.get(RDS, "")))

    def _record(self, kind: str, nonce: str, resources: list, removed: list[str], bad: str) -> None:
        self.record.put("got", gw=self.name, **shown(self.holdings, kind, nonce, resources, removed, bad))

    async def _report(self, channel: Any) -> None:
        """Sums to the pilot at the interval that it asks for."""
        call = lrs_pb2_grpc.LoadReportingServiceStub(channel).StreamLoadStats()
        first = loads.write(1, {})
        first.node.id, first.node.locality.zone = self.name, self.zone
        del first.cluster_stats[:]
        await calls.write(call, first)
        wanted = await calls.read(call)
        self.counts, since = {}, self.clock.now()
        while True:
            await anyio.sleep(self.clock.seconds(wanted.load_reporting_interval.ToNanoseconds()))
            now = self.clock.now()
            report = loads.write(now - since, self.counts)
            self.counts, since = {}, now
            if self.report_delay:
                await anyio.sleep(self.clock.seconds(self.report_delay))
            await calls.write(call, report)

    async def _stand_still(self, extra: int = 0) -> None:
        wait = max(self.stalled_until - self.clock.now(), 0) + extra
        if wait > 0:
            await anyio.sleep(self.clock.seconds(wait))

    # -- requests

    async def serve(self, rid: str, kind: Kind, cluster: str, work: float) -> tuple[bool, str]:
        """Forward one request; returns whether it was answered, and how it ended."""
        start = self.clock.now()
        counts = self.counts.setdefault(slice_of(cluster), loads.SliceCounts())
        if self.rng.random() >= self.holdings.level(cluster, kind.name):
            counts.refused(kind.name)
            return False, "refused"
        counts.came(kind.name)
        await self._stand_still()
        good, how = await self._tries(rid, kind, cluster, work, start + kind.deadline)
        if not good:
            counts = self.counts.setdefault(slice_of(cluster), loads.SliceCounts())
            counts.came(kind.name, failed=True)
        return good, how

    async def _tries(self, rid: str, kind: Kind, cluster: str, work: float, end: int) -> tuple[bool, str]:
        tried: set[str] = set()
        most = self.holdings.retry(cluster, kind.name)[1]
        how = "no server"
        for number in range(most + 1):
            server = await self._choose(cluster, tried, end, number)
            if server is None:
                return False, how
            tried.add(server)
            how = await self._try(rid, kind, cluster, server, work, end)
            if how == "ok":
                return True, how
            conditions = self.holdings.retry(cluster, kind.name)[0]
            if not ((how == "never ran" and NEVER_RAN in conditions) or ANY in conditions):
                return False, how
        return False, how

    async def _choose(self, cluster: str, tried: set[str], end: int, number: int) -> str | None:
        """A server; the first try waits a little for a table with a line, then is given up."""
        until = min(end, self.clock.now() + HOLD) if number == 0 else 0
        while True:
            server = self.picker.pick(self.clock.now(), self.holdings.open_lines(cluster), tried)
            left = until - self.clock.now()
            if server is not None or left <= 0:
                return server
            with anyio.move_on_after(self.clock.seconds(left)):
                await self.changed.wait()

    async def _try(self, rid: str, kind: Kind, cluster: str, server: str, work: float, end: int) -> str:
        start = self.clock.now()
        zone = self.holdings.open_lines(cluster).get(server, (0, ""))[1]
        self.record.put("try", gw=self.name, id=rid, kind=kind.name, slice=slice_of(cluster), server=server)
        self.picker.sent(server)
        how = "too late"
        with anyio.move_on_after(self.clock.seconds(end - start)):
            how = await self._exchange(rid, kind, cluster, server, zone, work)
        now, good = self.clock.now(), how == "ok"
        self.picker.ended(now, server, good, self.holdings.strikes)
        counts = self.counts.setdefault(slice_of(cluster), loads.SliceCounts())
        counts.tried(zone, server, good, (now - start) / 1e6)
        return how

    async def _exchange(self, rid: str, kind: Kind, cluster: str, server: str, zone: str, work: float) -> str:
        if zone and not self.links.joined(self.zone, zone):
            await anyio.sleep(self.clock.seconds(CONNECT))  # across a cut link nothing answers
            return "never ran"
        wire, done = None, False
        try:
            wire = await self._wire(server)
            said = await wire.ask("/", {"x-request-id": rid, "x-damson-class": kind.name, "x-work-ms": f"{work:.1f}",
                                        "x-slice": str(slice_of(cluster))})
            done = True
            if said.status == 200:
                return "ok"
            return "never ran" if "x-not-run" in said.headers else f"status {said.status}"
        except http.NeverRan:
            return "never ran"
        except http.Broken:
            return "broken"
        finally:
            if wire is not None:
                if done and wire.reuse():
                    self.pools.setdefault(server, []).append(wire)
                else:
                    with anyio.CancelScope(shield=True):
                        await wire.close()

    async def _wire(self, server: str) -> http.Wire:
        pool = self.pools.get(server)
        while pool:
            wire = pool.pop()
            if wire.idle():
                return wire
            await wire.close()
        return await http.Wire.dial(server, self.clock.seconds(CONNECT))
