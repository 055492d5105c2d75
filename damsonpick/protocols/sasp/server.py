"""The SASP front's shell: TCP sessions on anyio. Decisions are the session's, the registry's and the desk's."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any, Protocol

import anyio
from anyio.abc import SocketAttribute, SocketStream

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.sasp import codec, weights
from damsonpick.protocols.sasp.layout import LbFlag
from damsonpick.protocols.sasp.pacing import Meter, Pace
from damsonpick.protocols.sasp.registry import Limits, Registry
from damsonpick.protocols.sasp.session import Desk, SaspSession
from damsonpick.protocols.shared.send_queue import PendingChanges
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.runtime.clock import Clock
from damsonpick.settings.model import PilotSettings
from damsonpick.state.endpoint_list.validation import EndpointList
from damsonpick.state.published_tables import PublishedTables

CHUNK = 65_536
AT_ONCE = 4  # messages worked on between two turns of the loop: a crowd of polls holds up no push
LOOK = 1.0  # s between looks at what only time changes
SHARE = 0.05  # of the channel's limit that advice without a change of the tables may take in one look, all sessions
IDLE = PendingChanges()
SILENT = 60_000_000_000  # ns without any report after which advice goes by capacity
HEARD = 10_000_000_000  # ns within which evidence counts as lately


class Controller(Protocol):
    """What the server reads of the controller that owns it."""

    planner: Planner | None  # None while it is being restarted
    published: PublishedTables
    endpoint_list: EndpointList


class FrontError(Exception):
    """The front cannot be opened; the text names setting and remedy."""


class SaspServer:
    """Args: settings, hub, engine, clock of one pilot; stir: wakes its loop; feed: takes what members say of themselves
    as list entries; log: structlog."""

    def __init__(
        self,
        settings: PilotSettings,
        session_manager: SessionManager,
        engine: Controller,
        clock: Clock,
        stir: Callable[[], None],
        feed: Callable[[list[api.EndpointEntry]], None],
        log: Any,
    ) -> None:
        self.settings, self.session_manager, self.engine, self.clock = settings, session_manager, engine, clock
        self.stir, self.feed, self.log = stir, feed, log
        s = settings.sasp
        self.registry = Registry(Limits(s.groups, s.members), self._covers, self._rights)
        self.desk = Desk(
            engine.published,
            self.registry,
            Pace(random.Random(settings.pilot.seed)),
            self._heat,
            self._known,
            lambda: session_manager.send_queue.waiting() / session_manager.send_queue.limit,
            self._blind,
        )
        self.streams: dict[SaspSession, anyio.Event] = {}
        self.addresses: dict[str, int] = {}
        self.turn = anyio.Semaphore(AT_ONCE)
        self.port = 0
        self.listener: anyio.abc.Listener | None = None
        self.fed: dict[str, bool] = {}
        self.stamp = 0
        self.about: dict[str, weights.Known] = {}

    # -- what the desk asks

    def _covers(self, name: bytes) -> str | None:
        text = name.decode("utf-8", "replace")
        named = self.settings.sasp_groups.get(text)
        if named is not None:
            return named.covers
        kind, _, number = text.partition("/")
        if kind == "slice" and number.isdigit() and int(number) < self.settings.table_count():
            return f"slices {int(number)}"
        return "fleet" if self.settings.sasp.default_coverage == "fleet" else None

    def _rights(self, lb: bytes) -> str:
        named = self.settings.sasp_balancers.get(lb.decode("utf-8", "replace"))
        return named.rights if named is not None else self.settings.sasp.default_rights

    def _zone(self, lb: bytes) -> str:
        named = self.settings.sasp_balancers.get(lb.decode("utf-8", "replace"))
        return named.zone if named is not None and named.zone else self.settings.pilot.zone

    def _heat(self, number: int) -> float:
        piece = self.engine.planner.slices.get(number) if self.engine.planner else None
        return piece.load if piece is not None else 0.01

    def _blind(self) -> dict[str, float]:
        planner = self.engine.planner
        if planner is None or (planner.last_report_at and planner.now - planner.last_report_at < SILENT):
            return {}
        return {n: planner.capacity_of(ep) for n, ep in planner.endpoints.items() if not planner.is_unroutable(n)}

    def _known(self, name: str) -> weights.Known:
        entry = self.engine.endpoint_list.entries.get(name)
        ep = self.engine.planner.endpoints.get(name) if self.engine.planner else None
        lately = ep is not None and bool(ep.last_report_at) and self.clock.now() - ep.last_report_at < HEARD
        return weights.Known(entry is not None, entry is not None and entry.state == "in_service", lately)

    # -- life

    async def open(self) -> None:
        """Listen.

        Raises:
            FrontError: the address cannot be had.
        """
        address = self.settings.sasp.listen
        host, _, port = address.rpartition(":")
        try:
            self.listener = await anyio.create_tcp_listener(local_host=host.strip("[]"), local_port=int(port))
        except OSError as error:
            raise FrontError(
                f"[sasp] listen = {address}: cannot be opened ({error}); free the port or choose another"
            ) from None
        self.port = self.listener.extra(SocketAttribute.local_port)
        self.log.info("sasp_open", port=self.port)

    async def run(self) -> None:
        """Serve until cancelled."""
        async with self.listener, anyio.create_task_group() as group:
            group.start_soon(self._look)
            await self.listener.serve(self._serve)

    async def _look(self) -> None:
        """Registrations that expire, and advice that moves without a table: heat, evidence, the list."""
        while True:
            await anyio.sleep(LOOK / self.clock.rate)
            for lb in self.registry.expire(self.clock.now()):
                self.log.info("sasp_forgotten", balancer=repr(lb))
            self.changed()

    def changed(self) -> None:
        """Something beside the tables may have changed advice: what is news goes through the channel."""
        self._feed()
        self.learn()
        for session in self.streams:
            self._offer(session)

    def learn(self) -> None:
        """What is known of endpoints. Polls hear of a drain at once; pushes with the withdrawal that the module orders,
        behind those to gateways, which are a line each."""
        about = {n: self._known(n) for n in self.engine.endpoint_list.entries}
        if about != self.about:
            self.about = about
            self.desk.listed += 1

    def _offer(self, session: SaspSession) -> None:
        now = self.clock.now()
        send_queue = self.session_manager.send_queue
        if send_queue.pending.get(
            self.session_manager.by_session[session].number if session in self.session_manager.by_session else -1, IDLE
        ).units:
            return  # what waits for it is looked at when its turn comes
        lines, urgent = session.news(now, max(1, int(SHARE * send_queue.limit / max(1, len(self.streams)))))
        if lines:
            self.session_manager.enqueue(now, session, lines, urgent)
            self.stir()

    def _feed(self) -> None:
        if not self.settings.sasp.members_as_list or self.registry.stamp == self.stamp:
            return
        self.stamp = self.registry.stamp
        said = self.registry.endpoints()
        if said == self.fed:
            return
        self.fed = said
        known = self.engine.endpoint_list
        self.feed(
            [
                api.EndpointEntry(
                    n,
                    known.known_zones.get(n, self.settings.pilot.zone),
                    "terminating" if quiesced else "in_service",
                    known.entries[n].weight if n in known.entries else 1.0,
                    known.entries[n].started if n in known.entries else 0,
                )
                for n, quiesced in said.items()
            ]
        )

    def ring(self, sessions: list[Any]) -> None:
        """Wake the writers of these sessions."""
        for session in sessions:
            if session in self.streams:
                self.streams[session].set()

    # -- one connection

    async def _serve(self, stream: SocketStream) -> None:
        async with stream:
            address = str(stream.extra(SocketAttribute.remote_address)[0])
            if self.addresses.get(address, 0) >= self.settings.sasp.sessions:
                self.log.warning(
                    "sasp_refused",
                    address=address,
                    why="too many sessions from one address",
                    limit=self.settings.sasp.sessions,
                    remedy="[sasp] sessions",
                )
                return
            self.addresses[address] = self.addresses.get(address, 0) + 1
            session = SaspSession(self.desk, self._zone, Meter(self.settings.sasp.messages_per_second))
            lock = anyio.Lock()  # replies and pushes share the stream
            self.streams[session] = anyio.Event()
            why = "the peer left"
            try:
                async with anyio.create_task_group() as group:
                    group.start_soon(self._push, stream, session, lock)
                    why = await self._read(stream, session, lock)
                    group.cancel_scope.cancel()
            except* (anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError) as errors:
                why = "it does not read" if errors.subgroup(TimeoutError) else "the stream broke"
            except* Exception as errors:  # a fault of ours ends this session and nothing else
                why = "a fault of the program"
                self.log.error(
                    "sasp_failed",
                    balancer=session.node,
                    error=repr(errors.exceptions[0]),
                    remedy="send this to the maintainers",
                    exc_info=errors.exceptions[0],
                )
            finally:
                self._left(session, address, why)

    def _left(self, session: SaspSession, address: str, why: str) -> None:
        del self.streams[session]
        self.addresses[address] -= 1
        if not self.addresses[address]:
            del self.addresses[address]
        self.registry.leave(self.clock.now(), session)
        if session in self.session_manager.by_session:
            self.log.info("balancer_left", balancer=session.node, why=why)
        self.session_manager.leave(session)
        self.stir()

    async def _read(self, stream: SocketStream, session: SaspSession, lock: anyio.Lock) -> str:
        """Until the peer leaves or its stream cannot be followed; returns why."""
        splitter = codec.Splitter()
        while True:
            try:
                data = await stream.receive(CHUNK)
            except anyio.EndOfStream:
                return "the peer left"
            try:
                for frame in splitter.feed(data):
                    async with self.turn:
                        reply = self._handle(session, frame)
                        await anyio.lowlevel.checkpoint()
                    await self._send(stream, lock, reply)
                    if (wait := session.meter.wait(self.clock.now())) > 0:
                        await anyio.sleep(wait / self.clock.rate)
            except codec.FrameError as error:
                self.log.warning("sasp_broken", balancer=session.node, why=str(error))
                return str(error)

    async def _send(self, stream: SocketStream, lock: anyio.Lock, data: bytes) -> None:
        with anyio.fail_after(self.clock.seconds(self.settings.sasp.send_timeout)):
            async with lock:
                await stream.send(data)

    def _handle(self, session: SaspSession, frame: bytes) -> bytes:
        now, stamp, joined = self.clock.now(), self.registry.stamp, session.joined
        reply = session.receive(now, frame)
        if session.rejections:
            self.log.warning("sasp_not_understood", balancer=session.node, why=session.rejections.pop("message"))
        if session.joined and not joined:
            self._joined(session)
        if self.registry.stamp != stamp:
            self.changed()
        elif session.joined and not joined:
            self._offer(session)
        return reply

    def _joined(self, session: SaspSession) -> None:
        client = self.session_manager.join(self.clock.now(), session)
        self.log.info(
            "balancer_joined",
            balancer=session.node,
            number=client.number,
            zone=session.zone,
            pushes=bool(session.flags & LbFlag.PUSH),
            trusts=bool(session.flags & LbFlag.TRUST),
            note="SASP acknowledges nothing: a drain binds it at its next poll or push",
        )
        self.stir()

    async def _push(self, stream: SocketStream, session: SaspSession, lock: anyio.Lock) -> None:
        while True:
            await self.streams[session].wait()
            self.streams[session] = anyio.Event()
            while (push := session.compose(self.clock.now())) is not None:
                self.session_manager.send_queue.charge(session.rows)
                await self._send(stream, lock, push)
                session.written()
            self.session_manager.acknowledge(self.clock.now(), session)
            if self.session_manager.update_ready(session) or self.session_manager.events:
                self.stir()

    # -- questions

    def view(self) -> dict[str, Any]:
        """For operators."""
        now = self.clock.now()
        return {
            "port": self.port,
            "balancers": [
                {
                    "balancer": lb.decode("utf-8", "backslashreplace"),
                    "health": b.health,
                    "sessions": len(b.sessions),
                    "pushes": any(f & LbFlag.PUSH for f in b.sessions.values()),
                    "trusted": self.registry.trusts(lb),
                    "groups": {
                        g.key.name.decode("utf-8", "backslashreplace"): {
                            "covers": g.covers,
                            "members": len(g.members),
                            "quiesced": [m.endpoint for m, e in g.members.items() if e.quiesced],
                        }
                        for g in b.groups.values()
                    },
                    "seen": max((s.seen for s in b.sessions), default=None),
                    "last_told_s": round((now - max(s.acknowledged_at() for s in b.sessions)) / 1e9, 1)
                    if any(s.acknowledged_at() for s in b.sessions)
                    else None,
                }
                for lb, b in self.registry.balancers.items()
            ],
        }
