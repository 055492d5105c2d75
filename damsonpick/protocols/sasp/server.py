"""The SASP server: TCP sessions on anyio. Decisions are the session's, the registry's and the advisor's."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

import anyio
import structlog
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.stapled import MultiListener

from damsonpick import interface as api
from damsonpick.protocols.sasp import codec
from damsonpick.protocols.sasp.access import AccessPolicy
from damsonpick.protocols.sasp.advisor import WeightAdvisor
from damsonpick.protocols.sasp.errors import ListenError
from damsonpick.protocols.sasp.fleet import Controller, Fleet
from damsonpick.protocols.sasp.layout import LbFlag
from damsonpick.protocols.sasp.member_source import MemberSource
from damsonpick.protocols.sasp.operator_view import describe_registry
from damsonpick.protocols.sasp.pacing import MessageRateLimiter, PollPacer
from damsonpick.protocols.sasp.registry import Limits, Registry
from damsonpick.protocols.sasp.session import SaspSession
from damsonpick.protocols.sasp.weights import MemberStatus
from damsonpick.protocols.shared.session import Session
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.runtime.clock import Clock
from damsonpick.runtime.supervision import ConnectionServer, keep_running
from damsonpick.settings.model import PilotSettings

PEER_LEFT = "the peer left"
READ_BYTES = 65_536
MAX_CONCURRENT_REQUESTS = 4  # worked on between two turns of the event loop: a burst of polls delays no push
REFRESH_INTERVAL_S = 1.0  # between looks at what only time changes
UNSENT_ADVICE_SHARE = 0.05  # of the send queue's limit that all sessions may take in one look without a table change


@dataclass(slots=True, eq=False)
class Connection:
    """One TCP connection with its session.

    Attributes:
        stream: the connection.
        session: its state machine.
        write_lock: held while a reply or a push is written.
        push_ready: set when the session may have something to push.
        end_reason: why it ended.
    """

    stream: SocketStream
    session: SaspSession
    write_lock: anyio.Lock = field(default_factory=anyio.Lock)
    push_ready: anyio.Event = field(default_factory=anyio.Event)
    end_reason: str = PEER_LEFT


class SaspServer:
    """Serves load balancers.

    Args:
        settings: the pilot's settings.
        session_manager: keeps all sessions in step with what is published.
        controller: whose state is read.
        clock: the pilot's clock.
        notify: wakes the controller's loop.
        receive_members: takes registered members as entries of the endpoint list.
        log: structured log.

    Attributes:
        port: where it listens; 0: not yet.
    """

    def __init__(
        self,
        settings: PilotSettings,
        session_manager: SessionManager,
        controller: Controller,
        clock: Clock,
        notify: Callable[[], None],
        receive_members: Callable[[list[api.EndpointEntry]], None],
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        """Prepare; `open` listens."""
        self.settings = settings
        self.session_manager = session_manager
        self.clock = clock
        self.notify = notify
        self.log = log
        self.access = AccessPolicy(settings)
        self.fleet = Fleet(controller, clock)
        limits = Limits(settings.sasp.groups, settings.sasp.members)
        self.registry = Registry(limits, self.access.coverage_of, self.access.access_of)
        self.member_source = MemberSource(self.registry, controller, settings.pilot.zone, receive_members)
        self.advisor = WeightAdvisor(
            published=controller.published,
            registry=self.registry,
            pacer=PollPacer(random.Random(settings.pilot.seed)),
            load_of=self.fleet.load_of,
            status_of=self.fleet.status_of,
            queue_fill=self._queue_fill,
            fallback_capacities=self.fleet.fallback_capacities,
        )
        self.port = 0
        self._listener: MultiListener[SocketStream] | None = None
        self._connections: dict[SaspSession, Connection] = {}
        self._sessions_by_address: Counter[str] = Counter()
        self._request_slots = anyio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self._statuses: dict[str, MemberStatus] = {}

    def _queue_fill(self) -> float:
        send_queue = self.session_manager.send_queue
        return send_queue.waiting() / send_queue.limit

    # -- life cycle

    async def open(self) -> None:
        """Listen.

        Raises:
            ListenError: the address cannot be opened.
        """
        address = self.settings.sasp.listen
        assert address is not None, "there is no server without an address"
        host, _, port = address.rpartition(":")
        try:
            self._listener = await anyio.create_tcp_listener(local_host=host.strip("[]"), local_port=int(port))
        except OSError as error:
            raise ListenError(address, error) from None
        self.port = self._listener.extra(SocketAttribute.local_port)
        self.log.info("sasp_opened", port=self.port)

    async def run(self) -> None:
        """Serve until cancelled; `open` comes first."""
        assert self._listener is not None, "open first"
        async with self._listener, anyio.create_task_group() as group:
            group.start_soon(keep_running, "sasp refresh", self._refresh_periodically, self.log)
            server = ConnectionServer("sasp", self._serve, self.log)
            for listener in self._listener.listeners:
                group.start_soon(server.serve, listener, group)

    async def _refresh_periodically(self) -> None:
        """Expire registrations, and offer advice that moves without a table: load, reports, the endpoint list."""
        while True:
            await anyio.sleep(REFRESH_INTERVAL_S / self.clock.rate)
            for lb in self.registry.expire(self.clock.now()):
                self.log.info("balancer_expired", balancer=repr(lb))
            self._refresh()

    def _refresh(self) -> None:
        """Something beside the tables may have changed advice."""
        if self.settings.sasp.members_as_list:
            self.member_source.update()
        self.update_statuses()
        for session in self._connections:
            self._enqueue_unsent(session)

    def update_statuses(self) -> None:
        """Take over what is known of endpoints.

        Polls hear of a drain at once. Pushes bring it with the withdrawal that the planner orders, behind those to
        gateways, which are a single entry each.
        """
        statuses = self.fleet.statuses()
        if statuses != self._statuses:
            self._statuses = statuses
            self.advisor.note_status_change()

    def _enqueue_unsent(self, session: SaspSession) -> None:
        if self._has_pending(session):
            return  # its next message brings all that has changed by then
        now = self.clock.now()
        queue_limit = self.session_manager.send_queue.limit
        max_entries = max(1, int(UNSENT_ADVICE_SHARE * queue_limit / max(1, len(self._connections))))
        entries, urgent = session.unsent_advice(now, max_entries)
        if entries:
            self.session_manager.enqueue(now, session, entries, urgent)
            self.notify()

    def _has_pending(self, session: SaspSession) -> bool:
        client = self.session_manager.by_session.get(session)
        if client is None:
            return False
        pending = self.session_manager.send_queue.pending.get(client.number)
        return pending is not None and bool(pending.units)

    def wake(self, sessions: list[Session]) -> None:
        """Wake the writers of these sessions."""
        for session in sessions:
            if isinstance(session, SaspSession) and session in self._connections:
                self._connections[session].push_ready.set()

    def view(self) -> dict[str, Any]:
        """Registrations, for operators."""
        return describe_registry(self.registry, self.port, self.clock.now())

    # -- one connection

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            address = str(stream.extra(SocketAttribute.remote_address)[0])
            max_sessions = self.settings.sasp.sessions
            if self._sessions_by_address[address] >= max_sessions:
                self.log.warning(
                    "sasp_session_refused",
                    address=address,
                    why="too many sessions from one address",
                    limit=max_sessions,
                    remedy="[sasp] sessions",
                )
                return
            with self._connected(stream, address) as connection:
                await self._serve_session(connection)

    @contextmanager
    def _connected(self, stream: SocketStream, address: str) -> Iterator[Connection]:
        """A connection, known to the server while the context lasts."""
        rate_limiter = MessageRateLimiter(self.settings.sasp.messages_per_second)
        session = SaspSession(self.advisor, self.access.zone_of, rate_limiter)
        connection = Connection(stream, session)
        self._connections[session] = connection
        self._sessions_by_address[address] += 1
        try:
            yield connection
        finally:
            del self._connections[session]
            self._sessions_by_address[address] -= 1
            if not self._sessions_by_address[address]:
                del self._sessions_by_address[address]
            self.registry.leave(self.clock.now(), session)
            if session in self.session_manager.by_session:
                self.log.info("balancer_left", balancer=session.node, why=connection.end_reason)
            self.session_manager.leave(session)
            self.notify()

    async def _serve_session(self, connection: Connection) -> None:
        """Read and push until the connection ends, and note why it did."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._push, connection)
                connection.end_reason = await self._read(connection)
                group.cancel_scope.cancel()
        except* (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError) as errors:
            connection.end_reason = "it does not read" if errors.subgroup(TimeoutError) else "the stream broke"
        except* Exception as errors:  # a fault of this program ends this session and nothing else
            connection.end_reason = "a fault of the program"
            self.log.error(
                "sasp_session_failed",
                balancer=connection.session.node,
                error=repr(errors.exceptions[0]),
                remedy="send this to the maintainers",
                exc_info=errors.exceptions[0],
            )

    async def _read(self, connection: Connection) -> str:
        """Answer requests until the peer leaves or its stream cannot be followed; returns why."""
        splitter = codec.Splitter()
        while True:
            try:
                data = await connection.stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                return PEER_LEFT
            try:
                for frame in splitter.feed(data):
                    await self._answer(connection, frame)
            except codec.FrameError as error:
                self.log.warning("sasp_frame_invalid", balancer=connection.session.node, why=str(error))
                return str(error)

    async def _answer(self, connection: Connection, frame: bytes) -> None:
        session = connection.session
        async with self._request_slots:
            reply = self._handle(session, frame)
            await anyio.lowlevel.checkpoint()
        await self._send(connection, reply)
        delay_s = session.rate_limiter.delay(self.clock.now())
        if delay_s > 0:
            await anyio.sleep(delay_s / self.clock.rate)

    async def _send(self, connection: Connection, data: bytes) -> None:
        with anyio.fail_after(self.clock.seconds(self.settings.sasp.send_timeout)):
            async with connection.write_lock:
                await connection.stream.send(data)

    def _handle(self, session: SaspSession, frame: bytes) -> bytes:
        """The reply to a request, once all that follows from it is under way."""
        revision = self.registry.revision
        was_joined = session.joined
        reply = session.receive(self.clock.now(), frame)
        if session.decode_error:
            self.log.warning("sasp_message_invalid", balancer=session.node, why=session.decode_error)
        has_joined = session.joined and not was_joined
        if has_joined:
            self._join(session)
        if self.registry.revision != revision:
            self._refresh()
        elif has_joined:
            self._enqueue_unsent(session)
        return reply

    def _join(self, session: SaspSession) -> None:
        client = self.session_manager.join(self.clock.now(), session)
        self.log.info(
            "balancer_joined",
            balancer=session.node,
            number=client.number,
            zone=session.zone,
            pushes=session.accepts_pushes,
            trusts=bool(session.flags & LbFlag.TRUST),
            note="SASP acknowledges nothing: a drain binds it at its next poll or push",
        )
        self.notify()

    async def _push(self, connection: Connection) -> None:
        session = connection.session
        while True:
            await connection.push_ready.wait()
            # A new event before composing: what is enqueued meanwhile wakes this task again.
            connection.push_ready = anyio.Event()
            push = session.compose(self.clock.now())
            while push is not None:
                self.session_manager.send_queue.charge(session.pushed_members)
                await self._send(connection, push)
                session.push_written()
                push = session.compose(self.clock.now())
            self.session_manager.acknowledge(self.clock.now(), session)
            if self.session_manager.update_ready(session) or self.session_manager.events:
                self.notify()
