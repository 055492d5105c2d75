"""The gRPC shell of the xDS front: ADS in both variants and LRS. Bytes in, bytes out; decisions are elsewhere."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import grpc
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.protocols.xds import load_stats
from damsonpick.protocols.xds.names import ADS_SERVICE, LRS_SERVICE
from damsonpick.protocols.xds.session import DeltaSession, ProtocolError, Session, SotwSession
from damsonpick.state.load_reports import ClientReport

KEEPALIVE = [  # a gateway gone without a word is noticed in twenty seconds
    ("grpc.keepalive_time_ms", 10000),
    ("grpc.keepalive_timeout_ms", 10000),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 500),
    ("grpc.so_reuseport", 0),
]


class Stream:
    """A session with the bell that wakes its writer."""

    def __init__(self, session: Session) -> None:
        self.session, self.bell = session, anyio.Event()

    def ring(self) -> None:
        self.bell.set()

    async def wait(self) -> None:
        await self.bell.wait()
        self.bell = anyio.Event()


class XdsServer:
    """Serves one hub.

    Args:
        hub: streams and queues.
        epoch: the pilot's start number.
        now: the pilot's clock.
        stir: called when the engine has something to look at.
        hear: takes gateways' sums.
        report_every: ns between load reports.
        log: a structlog logger.
    """

    def __init__(
        self,
        session_manager: SessionManager,
        epoch: int,
        now: Callable[[], int],
        stir: Callable[[], None],
        hear: Callable[[ClientReport], None],
        report_every: int,
        log: Any,
    ) -> None:
        self.session_manager, self.epoch, self.now, self.stir, self.hear = session_manager, epoch, now, stir, hear
        self.report_every, self.log = report_every, log
        self.streams: dict[Session, Stream] = {}

    async def start(self, address: str, largest: int) -> tuple[grpc.aio.Server, int]:
        """Listen; returns the server and its port."""
        server = grpc.aio.server(options=[*KEEPALIVE, ("grpc.max_receive_message_length", largest)])
        raw = {"request_deserializer": None, "response_serializer": None}
        server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    ADS_SERVICE,
                    {
                        "StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(self._sotw, **raw),
                        "DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(self._delta, **raw),
                    },
                ),
                grpc.method_handlers_generic_handler(
                    LRS_SERVICE, {"StreamLoadStats": grpc.stream_stream_rpc_method_handler(self._loads, **raw)}
                ),
            )
        )
        port = server.add_insecure_port(address)
        await server.start()
        return server, port

    def ring(self, sessions: list[Session]) -> None:
        """Wake the writers of these streams."""
        for session in sessions:
            if session in self.streams:
                self.streams[session].ring()

    async def _sotw(self, requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext) -> None:
        await self._serve(
            SotwSession(self.session_manager.catalogue, self.epoch), discovery_pb2.DiscoveryRequest, requests, context
        )

    async def _delta(self, requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext) -> None:
        await self._serve(
            DeltaSession(self.session_manager.catalogue, self.epoch),
            discovery_pb2.DeltaDiscoveryRequest,
            requests,
            context,
        )

    async def _serve(
        self, session: Session, kind: type, requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext
    ) -> None:
        stream = Stream(session)
        self.streams[session] = stream
        ended: list[ProtocolError] = []
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._read, stream, kind, requests, ended, group.cancel_scope)
                while True:
                    await stream.wait()
                    while (response := session.compose(self.now())) is not None:
                        await context.write(response)
                        await anyio.lowlevel.checkpoint()
                    if self.session_manager.update_ready(session):
                        self.stir()  # room for what was merged meanwhile
        finally:
            del self.streams[session]
            if session in self.session_manager.by_session:
                self.log.info("gateway_left", gateway=session.node, why=str(ended[0]) if ended else "the stream broke")
            self.session_manager.leave(session)
            self.stir()
        if ended:
            await context.abort(grpc.StatusCode[ended[0].code], str(ended[0]))

    async def _read(
        self,
        stream: Stream,
        kind: type,
        requests: AsyncIterator[bytes],
        ended: list[ProtocolError],
        scope: anyio.CancelScope,
    ) -> None:
        session = stream.session
        try:
            async for raw in requests:
                joined = session.joined
                session.receive(self.now(), kind.FromString(raw))
                if session.joined and not joined:
                    self._joined(session)
                self._notes(session)
                self.session_manager.acknowledge(self.now(), session)
                stream.ring()
                if self.session_manager.update_ready(session) or self.session_manager.events:
                    self.stir()
        except DecodeError:
            ended.append(ProtocolError(f"a request is no {kind.DESCRIPTOR.name}; send protobuf as specified"))
        except ProtocolError as error:
            ended.append(error)
        if ended:
            self.log.warning("stream_refused", gateway=session.node, why=str(ended[0]))
        scope.cancel()

    def _joined(self, session: Session) -> None:
        client = self.session_manager.join(self.now(), session)
        self.log.info(
            "gateway_joined",
            gateway=session.node,
            number=client.number,
            zone=session.zone,
            variant=session.variant,
            fresh=session.fresh,
        )
        if client.number >= 60_000:
            self.log.warning(
                "node_id_twice",
                gateway=session.node,
                remedy="two streams use one node id; both are served, but give each gateway its own",
            )

    def _notes(self, session: Session) -> None:
        for note in session.notes:
            level = "warning" if note.kind in ("rejected", "unknown_type") else "info"
            getattr(self.log, level)(note.kind, gateway=session.node, type=note.type, **note.detail)
        session.notes.clear()

    async def _loads(self, requests: AsyncIterator[bytes], context: grpc.aio.ServicerContext) -> None:
        """LRS: the first message names the node and is answered with what is wanted; sums follow."""
        node, zone, number = "", "", -1
        async for raw in requests:
            try:
                report = lrs_pb2.LoadStatsRequest.FromString(raw)
            except DecodeError:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "a report is no LoadStatsRequest")
            if not node:
                node, zone = report.node.id, report.node.locality.zone
                if not node:
                    await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "the first report names no node.id")
                number = self.session_manager.number_of(node)
                await context.write(load_stats.ask_for(self.report_every).SerializeToString())
            sums = load_stats.read(number, zone, report)
            if sums is not None:
                self.hear(sums)
