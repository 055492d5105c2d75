"""Connects a proxy to the control service: receives tables on an ADS stream and sends load reports on an LRS stream.

This module only transfers messages. `AdsClient` builds and parses those of ADS, and `load_stats` builds the load
reports.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc
from envoy.service.load_stats.v3 import lrs_pb2_grpc
from structlog.typing import FilteringBoundLogger

from damsonpick.protocols.shared import grpc_stream
from damsonpick.protocols.xds import load_stats
from damsonpick.protocols.xds.names import CDS, EDS, RDS
from damsonpick.proxy.ads_client import AdsClient, ParsedResponse, Response
from damsonpick.proxy.received_resources import ReceivedResource
from damsonpick.proxy.received_state import ReceivedState
from damsonpick.proxy.response_errors import ResponseRejectedError
from damsonpick.runtime.backoff import Backoff
from damsonpick.runtime.clock import Clock
from damsonpick.state.published_tables import ROUTES

CHANNEL_OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.keepalive_time_ms", 10000),
    ("grpc.keepalive_timeout_ms", 10000),
]
CONNECT_CHECK_PERIOD_S = 0.05


@dataclass(slots=True)
class WatchCallbacks:
    """Functions of its owner that a watch client calls.

    Attributes:
        addresses: Returns the addresses of the control service to try now, in order.
        resources_applied: Called with type URL, changed resources and names of removed resources.
        take_counts: Returns the counts by slice since the last call.
        record: Called with the name and fields of an event, for test scenarios.
        may_connect: Returns whether a connection to the control service is allowed. An open stream ends when it is no
            longer allowed.
        read_pause: Returns the wall seconds to wait before a response is processed.
    """

    addresses: Callable[[], list[str]]
    resources_applied: Callable[[str, list[ReceivedResource], list[str]], None]
    take_counts: Callable[[], dict[int, load_stats.SliceCounts]]
    record: Callable[..., None]
    may_connect: Callable[[], bool] = lambda: True
    read_pause: Callable[[], float] = lambda: 0.0


class WatchClient:
    """Watches one instance of the control service at a time, and switches to the next instance when the stream ends.

    Attributes:
        callbacks: Functions of the owner. Each may be replaced.
        connected: Whether the tables were requested on the current stream.
        report_delay: Time in ns by which load reports are delayed, for test scenarios.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        received_state: ReceivedState,
        callbacks: WatchCallbacks,
        clock: Clock,
        backoff: Backoff,
        log: FilteringBoundLogger,
        delta: bool = True,
    ) -> None:
        """Create a client. `run` connects it.

        Args:
            name: Node id of the proxy.
            zone: Zone of the proxy, its xDS locality.
            received_state: State that responses are applied to.
            callbacks: Functions of the owner.
            clock: Clock that times load reports.
            backoff: Backoff between connections.
            log: A structlog logger.
            delta: Whether to use the delta (incremental) variant of xDS.
        """
        self.name = name
        self.zone = zone
        self.received_state = received_state
        self.callbacks = callbacks
        self.delta = delta
        self.connected = False
        self.report_delay = 0
        self._clock = clock
        self._backoff = backoff
        self._log = log
        self._was_connected = False  # whether the tables were requested on any stream so far
        self._version_info: dict[str, str] = {}  # version of the last applied response by type URL

    async def run(self) -> None:
        """Watch until cancelled. Received resources stay in use while the control service is unreachable."""
        attempts = 0
        while True:
            addresses = self.callbacks.addresses()
            if addresses and self.callbacks.may_connect():
                await self._watch(addresses[attempts % len(addresses)])
                attempts += 1
            await anyio.sleep(self._backoff.next_delay_s() / self._clock.rate)

    async def _watch(self, address: str) -> None:
        """Watch one instance until its stream ends."""
        reason = "ended"
        try:
            await grpc_stream.guarded(self._stream(address))
        except* grpc_stream.StreamEndedError as group:
            reason = str(group.exceptions[0])
        except* Exception as group:  # an error from one response ends its stream, not the proxy
            reason = repr(group.exceptions[0])
            self._log.error("watch_failed", pilot=address, error=reason, exc_info=group.exceptions[0])
        if self.connected:
            self.connected = False
            self._log.warning(
                "pilot_disconnected", pilot=address, reason=reason, tables="the last accepted tables stay in use"
            )
            self.callbacks.record("stream", up=False)

    async def _stream(self, address: str) -> None:
        async with grpc.aio.insecure_channel(address, CHANNEL_OPTIONS) as channel:
            stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
            call = stub.DeltaAggregatedResources() if self.delta else stub.StreamAggregatedResources()
            ads = AdsClient(self.received_state, self.name, self.zone, self.delta)
            if not self.delta:
                self.received_state.start_sotw_stream()
            await grpc_stream.write(call, ads.subscribe(CDS, [], self._version_info.get(CDS, "")))
            # If no cluster has changed since the last stream, no response with clusters follows, so the tables of the
            # known clusters are requested now.
            if self.delta and self.received_state.versions[CDS]:
                await self._request_tables(call, ads, address)
            async with anyio.create_task_group() as group:
                group.start_soon(self._send_reports, channel)
                group.start_soon(self._end_when_disallowed, group.cancel_scope)
                await self._read_responses(call, ads, address)

    async def _end_when_disallowed(self, scope: anyio.CancelScope) -> None:
        while self.callbacks.may_connect():
            await anyio.sleep(CONNECT_CHECK_PERIOD_S)
        scope.cancel()

    async def _read_responses(self, call: grpc.aio.StreamStreamCall, ads: AdsClient, address: str) -> None:
        while True:
            response = await grpc_stream.read(call)
            pause_s = self.callbacks.read_pause()
            if pause_s > 0:
                await anyio.sleep(pause_s)
            parsed = ads.parse(response)
            error_text = self._apply(response, parsed)
            await grpc_stream.write(call, ads.acknowledge(response, error_text))
            if parsed.type_url == CDS:
                if self.connected:
                    await self._request_new_tables(call, ads, [resource.name for resource in parsed.resources])
                else:
                    await self._request_tables(call, ads, address)

    def _apply(self, response: Response, parsed: ParsedResponse) -> str:
        """Apply a response. Return the reason if it is rejected, otherwise ''."""
        removed = parsed.removed
        error_text = ""
        try:
            replaced = self.received_state.apply(parsed.type_url, parsed.resources, removed, parsed.statement)
            removed = [*removed, *replaced]
            self._version_info[parsed.type_url] = response.system_version_info if self.delta else response.version_info
            self.callbacks.resources_applied(parsed.type_url, parsed.resources, removed)
        except ResponseRejectedError as error:
            error_text = str(error)
            self._log.warning("response_rejected", reason=error_text)
        self.callbacks.record(
            "got",
            type=parsed.type_url,
            nonce=response.nonce,
            resources=parsed.resources,
            removed=removed,
            nack=error_text,
        )
        return error_text

    async def _request_tables(self, call: grpc.aio.StreamStreamCall, ads: AdsClient, address: str) -> None:
        """Subscribe to the tables of all known clusters and to the routes, and record the stream as connected."""
        clusters = sorted(self.received_state.versions[CDS])
        await grpc_stream.write(call, ads.subscribe(EDS, clusters, self._version_info.get(EDS, "")))
        await grpc_stream.write(call, ads.subscribe(RDS, [ROUTES], self._version_info.get(RDS, "")))
        self.connected = True
        self._backoff.reset()
        self._log.info("pilot_connected", pilot=address)
        self.callbacks.record("stream", up=True, zone=self.zone, fresh=not self._was_connected)
        self._was_connected = True

    async def _request_new_tables(self, call: grpc.aio.StreamStreamCall, ads: AdsClient, clusters: list[str]) -> None:
        """Subscribe to the tables of clusters that are new on this stream."""
        known = set(ads.subscribed.get(EDS, []))
        new = [name for name in clusters if name not in known]
        if new:
            await grpc_stream.write(call, ads.extend_subscription(EDS, new))

    async def _send_reports(self, channel: grpc.aio.Channel) -> None:
        """Send load reports with the period that the control service requests."""
        call = lrs_pb2_grpc.LoadReportingServiceStub(channel).StreamLoadStats()
        await grpc_stream.write(call, load_stats.identification_request(self.name, self.zone))
        subscription = await grpc_stream.read(call)
        period = subscription.load_reporting_interval.ToNanoseconds()
        self.callbacks.take_counts()  # discard the counts from the time without a stream
        reported_at = self._clock.now()
        while True:
            await anyio.sleep(self._clock.seconds(period))
            now = self._clock.now()
            report = load_stats.write(now - reported_at, self.callbacks.take_counts())
            reported_at = now
            if self.report_delay:
                await anyio.sleep(self._clock.seconds(self.report_delay))
            await grpc_stream.write(call, report)
