"""The gRPC server for xDS: ADS in both variants, and LRS. It transfers bytes; the sessions decide what is sent."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import TypeAlias

import anyio
import grpc
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError
from structlog.typing import FilteringBoundLogger

from damsonpick.protocols.shared.session_manager import FIRST_DUPLICATE_NUMBER, SessionManager
from damsonpick.protocols.xds import load_stats
from damsonpick.protocols.xds.delta_session import DeltaSession
from damsonpick.protocols.xds.errors import RequestFormatError, StreamError, TooManyNodesError
from damsonpick.protocols.xds.names import ADS_SERVICE, LRS_SERVICE
from damsonpick.protocols.xds.request_rate import load_report_limit
from damsonpick.protocols.xds.session import Session, check_node_id
from damsonpick.protocols.xds.session_events import WARNING_EVENTS
from damsonpick.protocols.xds.sotw_session import SotwSession
from damsonpick.state.load_reports import ClientReport
from damsonpick.state.store.errors import GatewayLimitError

SERVER_OPTIONS = [  # the server detects within 20 s that a client has disappeared without closing its connection
    ("grpc.keepalive_time_ms", 10000),
    ("grpc.keepalive_timeout_ms", 10000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
    ("grpc.so_reuseport", 0),
]

MAX_STREAMS = 8_192  # open streams of the process, ADS and LRS together; further ones get RESOURCE_EXHAUSTED

RequestType: TypeAlias = type[discovery_pb2.DiscoveryRequest] | type[discovery_pb2.DeltaDiscoveryRequest]


class Stream:
    """A session, with the event that wakes the task that sends its responses (the writer)."""

    def __init__(self, session: Session, request_type: RequestType) -> None:
        """Create a stream for a session and the type of the requests that the session accepts."""
        self.session = session
        self.request_type = request_type
        self.error: StreamError | None = None  # error with which the server ends the stream; None if there is none
        self._wakeup = anyio.Event()

    def notify(self) -> None:
        """Wake the writer."""
        self._wakeup.set()

    async def wait(self) -> None:
        """Wait until `notify` is called."""
        await self._wakeup.wait()
        self._wakeup = anyio.Event()


class XdsServer:
    """Serves the xDS sessions of one session manager."""

    def __init__(
        self,
        session_manager: SessionManager,
        epoch: int,
        now: Callable[[], int],
        notify: Callable[[], None],
        receive_report: Callable[[ClientReport], None],
        report_period: int,
        log: FilteringBoundLogger,
    ) -> None:
        """Create a server; `start` opens its port.

        Args:
            session_manager: Manager of all sessions.
            epoch: Number of starts of the control service so far.
            now: Returns the current time, ns.
            notify: Called when the controller has work to do.
            receive_report: Called with each load report of a client.
            report_period: Time between two load reports of a client, ns.
            log: Logger.
        """
        self.session_manager = session_manager
        self.epoch = epoch
        self.report_period = report_period
        self.log = log
        self.streams: dict[Session, Stream] = {}
        self._now = now
        self._notify = notify
        self._receive_report = receive_report

    async def start(self, address: str, max_message_bytes: int) -> tuple[grpc.aio.Server, int]:
        """Listen on an address and return the server and its port."""
        options = [*SERVER_OPTIONS, ("grpc.max_receive_message_length", max_message_bytes)]
        server = grpc.aio.server(options=options, maximum_concurrent_rpcs=MAX_STREAMS)
        ads_methods = {
            "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(self._serve_sotw),
            "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(self._serve_delta),
        }
        lrs_methods = {"StreamLoadStats": grpc.stream_stream_rpc_method_handler(self._serve_load_stats)}
        server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(ADS_SERVICE, ads_methods),
                grpc.method_handlers_generic_handler(LRS_SERVICE, lrs_methods),
            )
        )
        port = server.add_insecure_port(address)
        await server.start()
        return server, port

    def wake(self, sessions: list[Session]) -> None:
        """Wake the writers of the given sessions, except those that belong to other servers."""
        for session in sessions:
            if session in self.streams:
                self.streams[session].notify()

    # -- ADS

    async def _serve_sotw(self, requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext) -> None:
        session = SotwSession(self.session_manager.catalogue, self.epoch)
        await self._serve(Stream(session, discovery_pb2.DiscoveryRequest), requests, context)

    async def _serve_delta(self, requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext) -> None:
        session = DeltaSession(self.session_manager.catalogue, self.epoch)
        await self._serve(Stream(session, discovery_pb2.DeltaDiscoveryRequest), requests, context)

    async def _serve(self, stream: Stream, requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext) -> None:
        """Serve a stream until the client or the server ends it."""
        self.streams[stream.session] = stream
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._read, stream, requests, group.cancel_scope)
                await self._write(stream, context)
        finally:
            self._leave(stream)
        if stream.error is not None:
            await context.abort(grpc.StatusCode[stream.error.status], str(stream.error))

    async def _write(self, stream: Stream, context: grpc.aio.ServicerContext) -> None:
        """Send responses until the task is cancelled."""
        session = stream.session
        while True:
            await stream.wait()
            while (response := session.compose(self._now())) is not None:
                await context.write(response)
                await anyio.lowlevel.checkpoint()
            if self.session_manager.update_ready(session):
                self._notify()  # changes that were merged while the client was not ready may be sent now

    async def _read(self, stream: Stream, requests: AsyncIterator[bytes], scope: anyio.CancelScope) -> None:
        """Process requests until the stream ends, then cancel its writer."""
        message_name = stream.request_type.DESCRIPTOR.name
        try:
            async for raw_request in requests:
                self._receive(stream, raw_request)
        except DecodeError:
            stream.error = RequestFormatError(message_name)
        except StreamError as error:
            stream.error = error
        if stream.error is not None:
            self.log.warning("stream_rejected", gateway=stream.session.node, reason=str(stream.error))
        scope.cancel()

    def _receive(self, stream: Stream, raw_request: bytes) -> None:
        session = stream.session
        was_joined = session.joined
        session.receive(self._now(), stream.request_type.FromString(raw_request))
        if session.joined and not was_joined:
            self._join(session)
        self._log_events(session)
        self.session_manager.acknowledge(self._now(), session)
        stream.notify()
        if self.session_manager.update_ready(session) or self.session_manager.events:
            self._notify()

    def _join(self, session: Session) -> None:
        try:
            client = self.session_manager.join(self._now(), session)
        except GatewayLimitError as error:
            raise TooManyNodesError(str(error)) from None
        self.log.info(
            "gateway_joined",
            gateway=session.node,
            number=client.number,
            zone=session.zone,
            variant=session.variant,
            fresh=session.fresh,
        )
        if client.number >= FIRST_DUPLICATE_NUMBER:
            self.log.warning(
                "node_id_duplicated",
                gateway=session.node,
                remedy="two streams use the same node id; both are served, but give each gateway a node id of its own",
            )

    def _leave(self, stream: Stream) -> None:
        session = stream.session
        del self.streams[session]
        if session in self.session_manager.by_session:
            reason = "the stream ended" if stream.error is None else str(stream.error)
            self.log.info("gateway_left", gateway=session.node, reason=reason)
        self.session_manager.leave(session)
        self._notify()

    def _log_events(self, session: Session) -> None:
        for event in session.events:
            log_method = self.log.warning if event.kind in WARNING_EVENTS else self.log.info
            log_method(event.kind.value, gateway=session.node, type=event.type_name, **event.fields)
        session.events.clear()

    # -- LRS

    async def _serve_load_stats(self, requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext) -> None:
        """Receive load reports.

        The first message identifies the node. The server answers it with a LoadStatsResponse, which asks the client to
        report on all clusters and their endpoints once per report period.
        """
        rejection: StreamError | None = None
        try:
            await self._receive_load_stats(requests, context)
        except DecodeError:
            rejection = RequestFormatError("LoadStatsRequest")
        except StreamError as error:
            rejection = error
        if rejection is not None:
            self.log.warning("stream_rejected", gateway=context.peer(), reason=str(rejection))
            await context.abort(grpc.StatusCode[rejection.status], str(rejection))

    async def _receive_load_stats(self, requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext) -> None:
        node, zone, number = "", "", -1
        rate_limit = load_report_limit(self.report_period)
        async for raw_request in requests:
            rate_limit.count_request(self._now())
            request = lrs_pb2.LoadStatsRequest.FromString(raw_request)
            if not node:
                node, zone = request.node.id, request.node.locality.zone
                number = self._number_of(node)
                await context.write(load_stats.report_request(self.report_period).SerializeToString())
            report = load_stats.read(number, zone, request)
            if report is not None:
                self._receive_report(report)

    def _number_of(self, node: str) -> int:
        check_node_id(node)
        try:
            return self.session_manager.number_of(node)
        except GatewayLimitError as error:
            raise TooManyNodesError(str(error)) from None
