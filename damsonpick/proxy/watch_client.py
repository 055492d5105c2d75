"""A proxy's streams to its pilots: delta xDS in, sums out by LRS. A thin shell; holdings decide."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc
from envoy.service.load_stats.v3 import lrs_pb2_grpc

from damsonpick.protocols.shared import grpc_stream
from damsonpick.protocols.xds import load_stats
from damsonpick.protocols.xds.names import CDS, EDS, RDS
from damsonpick.proxy.received_state import Asker, Bad, Holdings
from damsonpick.runtime.backoff import Backoff
from damsonpick.runtime.clock import Clock

OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 10000),
    ("grpc.keepalive_timeout_ms", 10000),
]


class Follower:
    """Follows one pilot at a time, the next one when a stream breaks.

    Args:
        name, zone: node id and locality.
        pilots: addresses to try now, in order.
        holdings: what is filled.
        took: called with type, names that changed, bodies and names removed.
        said: called with what passed, for records.
        counts: hands over the sums since it was last called.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        pilots: Callable[[], list[str]],
        holdings: Holdings,
        clock: Clock,
        backoff: Backoff,
        took: Callable[..., None],
        counts: Callable[[], dict[int, load_stats.SliceCounts]],
        said: Callable[..., None],
        log: Any,
        delta: bool = True,
    ) -> None:
        self.name, self.zone, self.pilots, self.holdings, self.clock = name, zone, pilots, holdings, clock
        self.backoff, self.took, self.counts, self.said, self.log = backoff, took, counts, said, log
        self.delta, self.seen, self.linked = delta, False, False
        self.version: dict[str, str] = {}  # of the last response taken, by type
        self.may_dial: Callable[[], bool] = lambda: True
        self.pause: Callable[[], float] = lambda: 0.0  # real s to stand still before a response is read
        self.report_delay = 0

    async def run(self) -> None:
        """For ever; what is held stays in force while no pilot answers."""
        turn = 0
        while True:
            known = self.pilots()
            if known and self.may_dial():
                address, turn = known[turn % len(known)], turn + 1
                why = "ended"
                try:
                    await grpc_stream.guarded(self._session(address))
                except* grpc_stream.StreamEndedError as group:
                    why = str(group.exceptions[0])
                if self.linked:
                    self.linked = False
                    self.log.warning("pilot_lost", pilot=address, why=why, tables="the last good ones stay")
                    self.said("stream", up=False)
            await anyio.sleep(self.backoff.failed() / self.clock.rate)

    async def _session(self, address: str) -> None:
        async with grpc.aio.insecure_channel(address, OPTIONS) as channel:
            stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
            call = stub.DeltaAggregatedResources() if self.delta else stub.StreamAggregatedResources()
            asker = Asker(self.holdings, self.name, self.zone, self.delta)
            if not self.delta:
                self.holdings.begin()
            await grpc_stream.write(call, asker.opening(CDS, [], self.version.get(CDS, "")))
            if self.holdings.versions[CDS] and self.delta:  # a pilot that has nothing new of clusters says nothing
                await self._found(call, asker, address)
            async with anyio.create_task_group() as group:
                group.start_soon(self._report, channel)
                group.start_soon(self._watch, group.cancel_scope)
                await self._read(call, asker, address)

    async def _watch(self, scope: anyio.CancelScope) -> None:
        while self.may_dial():
            await anyio.sleep(0.05)
        scope.cancel()

    async def _read(self, call: Any, asker: Asker, address: str) -> None:
        while True:
            response = await grpc_stream.read(call)
            if (wait := self.pause()) > 0:
                await anyio.sleep(wait)
            kind, resources, removed = asker.read(response)
            bad = ""
            try:
                removed = [*removed, *self.holdings.take(kind, resources, removed, asker.stated(response))]
                self.version[kind] = response.system_version_info if self.delta else response.version_info
                self.took(kind, resources, removed)
            except Bad as error:
                bad = str(error)
                self.log.warning("table_refused", why=bad)
            self.said("got", type=kind, nonce=response.nonce, resources=resources, removed=removed, nack=bad)
            await grpc_stream.write(call, asker.verdict(response, bad))
            if kind == CDS and not self.linked:
                await self._found(call, asker, address)
            elif kind == CDS:
                await self._more(call, asker, [n for n, *_ in resources])

    async def _found(self, call: Any, asker: Asker, address: str) -> None:
        """Clusters are known: ask for their tables and the routes."""
        await grpc_stream.write(
            call, asker.opening(EDS, sorted(self.holdings.versions[CDS]), self.version.get(EDS, ""))
        )
        await grpc_stream.write(call, asker.opening(RDS, ["routes"], self.version.get(RDS, "")))
        self.linked = True
        self.backoff.succeeded()
        self.log.info("pilot_found", pilot=address)
        self.said("stream", up=True, zone=self.zone, fresh=not self.seen)
        self.seen = True

    async def _more(self, call: Any, asker: Asker, clusters: list[str]) -> None:
        """Tables of clusters that are new on this stream."""
        known = set(asker.asked.get(EDS, []))
        if new := [n for n in clusters if n not in known]:
            await grpc_stream.write(call, asker.also(EDS, new))

    async def _report(self, channel: Any) -> None:
        call = lrs_pb2_grpc.LoadReportingServiceStub(channel).StreamLoadStats()
        first = load_stats.write(1, {})
        first.node.id, first.node.locality.zone = self.name, self.zone
        del first.cluster_stats[:]
        await grpc_stream.write(call, first)
        wanted = await grpc_stream.read(call)
        self.counts()
        since = self.clock.now()
        while True:
            await anyio.sleep(self.clock.seconds(wanted.load_reporting_interval.ToNanoseconds()))
            now = self.clock.now()
            report = load_stats.write(now - since, self.counts())
            since = now
            if self.report_delay:
                await anyio.sleep(self.clock.seconds(self.report_delay))
            await grpc_stream.write(call, report)
