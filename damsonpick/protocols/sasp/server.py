"""The SASP server: accepts TCP connections on anyio and runs their sessions.

The session, the registry and the advisor make all decisions about the protocol.
"""

from __future__ import annotations

import math
import random
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
from damsonpick.runtime.connection_slots import ConnectionSlots, NoSlotError, Slot
from damsonpick.runtime.socket_stream import PulledSocketListener, PulledSocketStream
from damsonpick.runtime.supervision import ConnectionServer, keep_running
from damsonpick.settings.model import PilotSettings
from damsonpick.state.store.errors import GatewayLimitError

PEER_CLOSED = "the peer closed the connection"
READ_BYTES = 65_536
MAX_CONCURRENT_REQUESTS = 4  # requests per iteration of the event loop, limited so that a burst of polls delays no push
MAX_SESSIONS = 2000  # open sessions of the process
MESSAGE_TIMEOUT_S = 10.0  # longest time for the rest of a message that was received in part
REFRESH_INTERVAL_S = 1.0  # interval of checks for changes that occur without a request or a table change
# Approximate share of the send queue's limit that one refresh may enqueue for all sessions together. Groups with newly
# quiesced members are enqueued even above it.
UNSENT_ADVICE_SHARE = 0.05


@dataclass(slots=True, eq=False)
class Connection:
    """One TCP connection with its session.

    Attributes:
        stream: The byte stream of the connection.
        session: State machine of the session.
        slot: Slot of the connection, which is idle until the peer has sent a complete message.
        write_lock: Lock that is held while a reply or a push is written.
        push_ready: Event that is set when the session may have something to push.
        end_reason: Why the connection ended.
    """

    stream: PulledSocketStream
    session: SaspSession
    slot: Slot
    write_lock: anyio.Lock = field(default_factory=anyio.Lock)
    push_ready: anyio.Event = field(default_factory=anyio.Event)
    end_reason: str = PEER_CLOSED


class SaspServer:
    """Accepts connections of load balancers and runs their sessions.

    Args:
        settings: The pilot's settings.
        session_manager: Sends each session the changes of the published state.
        controller: Controller whose state is read.
        clock: The pilot's clock.
        notify: Callback that wakes the controller's loop.
        receive_members: Callback for the registered members as entries of the endpoint list.
        log: Structured log.

    Attributes:
        port: TCP port of the server; 0 until `open` has returned.
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
        """Create the server. It does not listen before `open` is called."""
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
        self._slots = ConnectionSlots(MAX_SESSIONS, settings.sasp.sessions)
        self._request_slots = anyio.Semaphore(MAX_CONCURRENT_REQUESTS)
        self._statuses: dict[str, MemberStatus] = {}

    def _queue_fill(self) -> float:
        send_queue = self.session_manager.send_queue
        return send_queue.waiting() / send_queue.limit

    # -- life cycle

    async def open(self) -> None:
        """Listen on the address in the settings.

        Raises:
            ListenError: The address cannot be opened.
        """
        address = self.settings.sasp.listen
        assert address is not None, "the server is created only if [sasp] listen is set"
        host, _, port = address.rpartition(":")
        try:
            self._listener = await anyio.create_tcp_listener(local_host=host.strip("[]"), local_port=int(port))
        except OSError as error:
            raise ListenError(address, error) from None
        self.port = self._listener.extra(SocketAttribute.local_port)
        self.log.info("sasp_opened", port=self.port)

    async def run(self) -> None:
        """Serve connections until cancelled. `open` must have been called before."""
        assert self._listener is not None, "call open() before run()"
        async with self._listener, anyio.create_task_group() as group:
            group.start_soon(keep_running, "sasp refresh", self._refresh_periodically, self.log)
            server = ConnectionServer("sasp", self._serve, self.log)
            for listener in self._listener.listeners:
                group.start_soon(server.serve, PulledSocketListener(listener), group)

    async def _refresh_periodically(self) -> None:
        """Expire registrations and enqueue advice that changed without a table change, every `REFRESH_INTERVAL_S`.

        Advice also depends on load, load reports and the endpoint list.
        """
        while True:
            await anyio.sleep(REFRESH_INTERVAL_S / self.clock.rate)
            for lb in self.registry.expire(self.clock.now()):
                self.log.info("balancer_expired", balancer=repr(lb))
            self._refresh()

    def _refresh(self) -> None:
        """Read the endpoint statuses and enqueue the advice that has changed.

        If the settings make the registered members a source of the endpoint list, this source is updated first.
        """
        if self.settings.sasp.members_as_list:
            self.member_source.update()
        self.update_statuses()
        for session in self._connections:
            self._enqueue_unsent(session)

    def update_statuses(self) -> None:
        """Read the statuses of all endpoints and invalidate the cached advice if they have changed.

        Poll replies show a draining endpoint immediately. A push shows it when the planner has ordered the withdrawal,
        or after the next refresh. The push is sent after the withdrawal messages to gateways, each of which is a single
        entry.
        """
        statuses = self.fleet.statuses()
        if statuses != self._statuses:
            self._statuses = statuses
            self.advisor.note_status_change()

    def _enqueue_unsent(self, session: SaspSession) -> None:
        if self._has_pending(session):
            return  # the pending push will include every change up to the time it is composed
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
        """Wake the push tasks of these sessions."""
        for session in sessions:
            if isinstance(session, SaspSession) and session in self._connections:
                self._connections[session].push_ready.set()

    def view(self) -> dict[str, Any]:
        """Return the registrations as JSON values for operators."""
        return describe_registry(self.registry, self.port, self.clock.now())

    # -- one connection

    async def _serve(self, stream: PulledSocketStream) -> None:
        async with stream:
            address = stream.peer_host()
            try:
                with self._slots.occupy(address) as slot, self._connected(stream, slot) as connection:
                    await self._serve_session(connection)
            except NoSlotError:
                self._log_refusal(address)

    def _log_refusal(self, address: str) -> None:
        if self._slots.count() < MAX_SESSIONS:
            limit, why, remedy = self._slots.limit_by_owner, "too many sessions from one address", "[sasp] sessions"
        else:
            limit, why, remedy = MAX_SESSIONS, "too many sessions", "find out who opens them"
        self.log.warning("sasp_session_refused", address=address, why=why, limit=limit, remedy=remedy)

    @contextmanager
    def _connected(self, stream: PulledSocketStream, slot: Slot) -> Iterator[Connection]:
        """Create a connection that is registered with the server for the duration of the context."""
        rate_limiter = MessageRateLimiter(self.settings.sasp.messages_per_second)
        session = SaspSession(self.advisor, self.access.zone_of, rate_limiter)
        connection = Connection(stream, session, slot)
        self._connections[session] = connection
        try:
            yield connection
        finally:
            del self._connections[session]
            self.registry.leave(self.clock.now(), session)
            if session in self.session_manager.by_session:
                self.log.info("balancer_left", balancer=session.node, why=connection.end_reason)
            self.session_manager.leave(session)
            self.notify()

    async def _serve_session(self, connection: Connection) -> None:
        """Read requests and write pushes until the connection ends, and store the reason for its end."""
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._push, connection)
                connection.end_reason = await self._read(connection)
                group.cancel_scope.cancel()
        except* (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError) as errors:
            connection.end_reason = "the peer does not read" if errors.subgroup(TimeoutError) else "connection failed"
        except* GatewayLimitError as errors:
            connection.end_reason = str(errors.exceptions[0])
            self.log.warning(
                "sasp_session_refused",
                address=connection.slot.owner,
                why=connection.end_reason,
                limit=errors.exceptions[0].limit,
                remedy="let balancers keep their ids",
            )
        except* Exception as errors:  # an internal error must end this session only
            connection.end_reason = "internal error"
            self.log.error(
                "sasp_session_failed",
                balancer=connection.session.node,
                error=repr(errors.exceptions[0]),
                remedy="send this to the maintainers",
                exc_info=errors.exceptions[0],
            )

    async def _read(self, connection: Connection) -> str:
        """Answer requests until the peer disconnects or a frame is invalid, and return the reason."""
        splitter = codec.Splitter()
        deadline_s = math.inf  # for the rest of a message
        while True:
            try:
                with anyio.fail_at(deadline_s):
                    data = await connection.stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                return PEER_CLOSED
            except TimeoutError:
                return f"a message was not complete after {MESSAGE_TIMEOUT_S:g} s"
            try:
                for frame in splitter.feed(data):
                    deadline_s = math.inf
                    if connection.stream.is_reset():
                        return PEER_CLOSED
                    await self._answer(connection, frame)
                if splitter.buffer and deadline_s == math.inf:
                    deadline_s = anyio.current_time() + MESSAGE_TIMEOUT_S
            except codec.FrameError as error:
                self.log.warning("sasp_frame_invalid", balancer=connection.session.node, why=str(error))
                return str(error)

    async def _answer(self, connection: Connection, frame: bytes) -> None:
        session = connection.session
        connection.slot.idle = False
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
        """Process a request and return the reply.

        If the request identifies the load balancer, its session joins the session manager. If the request changes
        registrations, advice is refreshed.
        """
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
            note="SASP has no acknowledgements: a drain takes effect at the next poll or push",
        )
        self.notify()

    async def _push(self, connection: Connection) -> None:
        session = connection.session
        while True:
            await connection.push_ready.wait()
            # Replace the event before composing, so that units enqueued meanwhile wake this task again.
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
