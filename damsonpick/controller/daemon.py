"""The daemon: sockets and timers round the engine. Every decision is the module's or a sans-I/O part's."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
from anyio.abc import TaskGroup

from damsonpick import interface as api
from damsonpick.controller import control_socket
from damsonpick.controller.engine import Engine
from damsonpick.controller.list_watch import Listing
from damsonpick.controller.snapshots import Remembering
from damsonpick.controller.solver_task import Solving
from damsonpick.controller.version_queries import VersionQueries
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.sasp.server import SaspServer
from damsonpick.protocols.shared.send_queue import SendQueue
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.protocols.xds.names import EDS
from damsonpick.protocols.xds.resources import Catalogue
from damsonpick.protocols.xds.server import XdsServer
from damsonpick.runtime.clock import Clock
from damsonpick.settings.model import PilotSettings
from damsonpick.solver.advice import Advisor
from damsonpick.state.endpoint_list.validation import EndpointList
from damsonpick.state.history.database import open_history
from damsonpick.state.history.history import Retention
from damsonpick.state.history.recorder import HistoryRecorder
from damsonpick.state.learned.disk import FolderLock
from damsonpick.state.load_reports import ClientReport, LoadReports
from damsonpick.state.published_tables import PublishedTables
from damsonpick.state.store.sqlite import Store

SECOND = 1_000_000_000
GATHER = 0.001  # real s: what happens within it is handed over in one step; a thousand joins are not a thousand steps
RENEW = 2 * SECOND  # ns between looks at custody


class Pilot:
    """One pilot, from settings to open sockets.

    Args:
        settings: checked settings.
        log: a structlog logger.
        make: how a planner is made; tests hand in ones that fail.
        advisor: how an advisor is made; benchmarks hand in a hand-made weighting.
        solve: replaces the solver's work; tests hand in slow and failing ones.
    """

    def __init__(
        self,
        settings: PilotSettings,
        log: Any,
        make: Callable[[api.Settings, int], Planner] = Planner,
        advisor: Callable = Advisor,
        solve: Callable | None = None,
    ) -> None:
        s = self.settings = settings
        self.log = log
        self.clock = Clock(s.pilot.clock_rate)
        count = s.table_count()
        self.lock = FolderLock(s.pilot.state)
        self.remembering = Remembering(s, self.clock, log)
        self.store = Store(s.store_path(), count)
        self.epoch = self.store.next_epoch()
        self.published = PublishedTables(tuple(s.classes), count)
        self.endpoint_list = EndpointList(s.pilot.zones)
        c = s.channel
        self.send_queue = SendQueue(c.lines_per_second, c.head, c.limit, c.messages, c.window)
        self.catalogue = Catalogue(self.published, s, lambda endpoint: self.endpoint_list.known_zones.get(endpoint, ""))
        self.session_manager = SessionManager(
            self.published, self.catalogue, self.send_queue, self.store.gateway_number
        )
        self.session_manager.stop_share = s.versions.stop
        self.history = open_history(s.history_path())
        self.recorder = HistoryRecorder(
            self.published, self.catalogue.versions, self.history, Retention(s.versions.keep, s.versions.age), log
        )
        self.engine = Engine(
            s, self.store, self.published, self.session_manager, self.endpoint_list, log, make, self.recorder
        )
        self.questions = VersionQueries(self.engine, self.recorder, self.session_manager, s)
        self.load_reports = LoadReports(tuple(s.classes), count, s.reports.every, s.reports.oldest)
        self.bell = anyio.Event()
        self.xds = XdsServer(
            self.session_manager, self.epoch, self.clock.now, self.stir, self._hear, s.reports.every, log
        )
        self.sasp: SaspServer | None = None
        self.advisor = advisor(s, lambda endpoint: self.endpoint_list.known_zones.get(endpoint, ""))
        more = {"solve": solve} if solve else {}
        self.solving = Solving(self.advisor, self.engine, self.clock, self.stir, log, **more)
        self.port = 0
        self.listing = Listing(
            s, self.clock, self.endpoint_list, self.engine, self.load_reports, self.store, self.stir, log
        )
        if s.sasp.listen is not None:
            self.sasp = SaspServer(
                s, self.session_manager, self.engine, self.clock, self.stir, self.listing.members, log
            )
        self.remembering.vouched = self.listing.vouched
        self.listing.changed = self._replan

    def stir(self) -> None:
        """Something happened that the engine should look at."""
        self.bell.set()

    # -- life

    @asynccontextmanager
    async def running(self) -> AsyncIterator[TaskGroup]:
        """The pilot serves while the block runs, and ends in order after it."""
        learned, away = self.remembering.read() if self.settings.knowledge.keep else (None, None)
        self.engine.start(self.clock.now(), learned, away)
        self.listing.begin(learned, away)
        self.remembering.answered = self.listing.trust.last_success_at
        s = self.settings
        if self.sasp is not None:
            await self.sasp.open()
        server, self.port = await self.xds.start(self.settings.listen.xds, self.settings.listen.largest_request)
        self.log.info(
            "pilot_started",
            name=self.settings.pilot.name,
            port=self.port,
            epoch=self.epoch,
            slices=len(self.engine.owned),
            listed=len(self.endpoint_list.entries),
        )
        try:
            async with anyio.create_task_group() as group:
                await group.start(self._control)
                group.start_soon(self.listing.run)
                group.start_soon(self._reports)
                group.start_soon(self._custody)
                if self.sasp is not None:
                    group.start_soon(self.sasp.run)
                group.start_soon(self._drive)
                if s.knowledge.keep:
                    group.start_soon(self.remembering.run, self.engine)
                if s.solved:
                    group.start_soon(self.solving.run)
                yield group
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await server.stop(0.2)
                if s.knowledge.keep:
                    await self.remembering.once(self.engine)
            self.store.close()
            self.history.close()
            self.lock.release()
            self.log.info("pilot_ended", name=self.settings.pilot.name)

    async def _control(self, *, task_status: Any) -> None:
        await control_socket.serve(self.settings.control_path(), self.answer, task_status.started)

    async def _drive(self) -> None:
        """The one loop that steps the engine and lets the channel flow."""
        while True:
            now = self.clock.now()
            self.bell = anyio.Event()
            touched = self.engine.step(now)
            stirred, pause = self.session_manager.dispatch(now)
            for session in touched:
                self.session_manager.acknowledge(now, session)
            self._held_back()
            self.xds.ring(stirred)
            if self.sasp is not None:
                self.sasp.ring(stirred)
            await anyio.sleep(GATHER)
            if self.session_manager.events or self.engine.inbox:
                continue
            due = self.engine.due()
            waits = [w for w in (pause, None if due is None else due - now) if w is not None]
            with anyio.move_on_after(max(0.001, self.clock.seconds(min(waits))) if waits else None):
                await self.bell.wait()

    def _held_back(self) -> None:
        for name, version, count in self.session_manager.stopped_rollouts:
            self.log.error(
                "rollout_stopped",
                resource=name,
                version=version,
                refused_by=count,
                remedy="others keep the former one; see `versions who`, then go back or change the table",
            )
        self.session_manager.stopped_rollouts.clear()

    def _replan(self) -> None:
        """The list has changed: tables that the solver lays follow at once, and advice on members does."""
        if self.sasp is not None:
            self.sasp.learn()
        if self.settings.solved:
            self.engine.step(self.clock.now())
            self.solving.first()

    def _hear(self, sums: ClientReport) -> None:
        now = self.clock.now()
        self.load_reports.join(now, sums.client)
        for doubt in self.load_reports.add(now, sums)[:3]:
            self.log.info("sum_doubted", gateway=sums.client, what=doubt)

    async def _reports(self) -> None:
        while True:
            await anyio.sleep(self.clock.seconds(self.settings.reports.every))
            events = self.load_reports.flush()
            self.listing.trust.apply_reports(self.clock.now(), events)
            if events:
                self.engine.tell(*events)
                self.stir()

    async def _custody(self) -> None:
        while True:
            await anyio.sleep(self.clock.seconds(RENEW))
            try:
                self.engine.renew(self.clock.now())
            except Exception as error:
                self.log.error(
                    "custody_not_renewed", error=str(error), remedy="see space and rights of the state folder"
                )
            self.stir()

    # -- questions

    def answer(self, request: dict[str, Any]) -> dict[str, Any]:
        """What `status` and `tables` ask."""
        what = request.get("ask")
        if what == "status":
            return self._status()
        if what == "tables":
            return self._tables(request.get("slices"))
        if what == "weights":
            return (
                self.advisor.explain()
                if self.settings.solved
                else {"error": "the solver has nothing to do here; see [solver] in docs/operators/weights.md"}
            )
        if what == "versions":
            reply = self.questions.answer(self.clock.now(), request)
            self.stir()
            return reply
        if what == "sasp":
            return (
                self.sasp.view()
                if self.sasp is not None
                else {"error": "there is no SASP front; give [sasp] listen an address"}
            )
        if what == "list":
            return self.listing.answer(request)
        if what == "forget":
            self.remembering.forget()
            self.engine.forget(self.clock.now())
            self.stir()
            return {"forgotten": True}
        return {"error": f"unknown question {what!r}; ask status, tables, weights, versions, list, sasp or forget"}

    def _status(self) -> dict[str, Any]:
        now = self.clock.now()
        classes = self.published.classes
        return {
            "pilot": self.settings.pilot.name,
            "epoch": self.epoch,
            "port": self.port,
            "sasp_port": self.sasp.port if self.sasp else 0,
            "published": self.published.seq,
            "module": "running" if self.engine.planner else "being started over",
            "list": self.listing.said,
            "failures": self.engine.failures,
            "slices": len(self.engine.owned),
            "unsaved": len(self.engine.unsaved),
            "levels": {name: self.published.level(None, k) for k, name in enumerate(classes)},
            "knowledge": self.remembering.written,
            "channel": {
                "waiting": self.send_queue.waiting(),
                "most": self.send_queue.most_waiting,
                "limit": self.send_queue.limit,
            },
            "gateways": list(self.session_manager.view(now)),
            "endpoints": self.engine.view(),
        }

    def _tables(self, numbers: list[int] | None) -> dict[str, Any]:
        chosen = range(self.published.slices) if numbers is None else numbers
        rows = []
        for n in chosen:
            if n not in self.published.tables:
                raise ValueError(f"slice {n}: there are {self.published.slices}, from 0")
            resource = self.catalogue.get(EDS, f"slice/{n}")
            rows.append(
                {
                    "slice": n,
                    "version": resource.version,
                    "changed": self.published.changed[f"slice/{n}"],
                    "lines": self.published.tables[n],
                    "open": self.published.routable_endpoints(n),
                }
            )
        return {"tables": rows, "withdrawn": sorted(self.published.withdrawn)}
