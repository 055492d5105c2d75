"""Builds the components of one pilot from the settings and connects them. Opens only the state folder, no sockets."""

from __future__ import annotations

from collections.abc import Callable

from structlog.typing import FilteringBoundLogger

from damsonpick import interface as api
from damsonpick.controller.control_requests import ControlRequest, Query, VersionsRequest
from damsonpick.controller.control_socket import Reply
from damsonpick.controller.drive_loop import DriveLoop, StreamServer, Wakeup
from damsonpick.controller.engine import Engine
from damsonpick.controller.lease_task import LeaseTask
from damsonpick.controller.list_queries import ListQuery
from damsonpick.controller.list_updates import ListUpdater
from damsonpick.controller.list_watch import ListWatch
from damsonpick.controller.load_report_task import LoadReportTask
from damsonpick.controller.queries import Ports, QueryRouter, StatusQuery, TablesQuery, sasp_query, weights_query
from damsonpick.controller.snapshot_task import SnapshotTask
from damsonpick.controller.solver_task import SolverTask
from damsonpick.controller.version_queries import VersionQueries
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.sasp.server import SaspServer
from damsonpick.protocols.shared.send_queue import SendQueue
from damsonpick.protocols.shared.session_manager import SessionManager
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
from damsonpick.state.learned.list_confidence import ListConfidence
from damsonpick.state.load_reports import LoadReports
from damsonpick.state.published_tables import PublishedTables
from damsonpick.state.store.sqlite import Store

PlannerFactory = Callable[[api.Settings, int], Planner]
AdvisorFactory = Callable[[PilotSettings, Callable[[str], str]], Advisor]


class Components:
    """The connected components of one pilot.

    Args:
        settings: Validated settings.
        log: Logger of the program.
        planner_factory: Creates a planner from its settings and a seed.
        advisor_factory: Creates the advisor of the solver.
        solve: Function that the solver's worker process runs.

    Raises:
        LockError: Another process uses the state folder.
        StoreError: The store cannot be used.
    """

    def __init__(
        self,
        settings: PilotSettings,
        log: FilteringBoundLogger,
        planner_factory: PlannerFactory,
        advisor_factory: AdvisorFactory,
        solve: Callable,
    ) -> None:
        """Open the state folder and create the components."""
        self.settings = settings
        self.log = log
        self.clock = Clock(settings.pilot.clock_rate)
        self.wakeup = Wakeup()
        self.ports = Ports()
        # The order matters: each step uses components that the previous steps created.
        self._open_state()
        self._make_publication()
        self._make_engine(planner_factory)
        self._make_list_watch()
        self._make_servers()
        self._make_solver(advisor_factory, solve)
        self._make_tasks()
        self._make_queries()

    def close(self) -> None:
        """Close the databases in the state folder and release its lock for another process."""
        self.store.close()
        self.history.close()
        self.lock.release()

    def _open_state(self) -> None:
        """Lock the state folder before opening any file in it."""
        settings = self.settings
        self.lock = FolderLock(settings.pilot.state)
        self.store = Store(settings.store_path(), settings.table_count())
        self.epoch = self.store.next_epoch()
        self.history = open_history(settings.history_path())

    def _make_publication(self) -> None:
        """Create the published state and the queue and session manager that deliver it to clients."""
        settings = self.settings
        budget = settings.channel
        self.published = PublishedTables(tuple(settings.classes), settings.table_count())
        self.endpoint_list = EndpointList(settings.pilot.zones)
        self.send_queue = SendQueue(
            budget.lines_per_second,
            budget.message_overhead,
            budget.limit,
            budget.messages_per_window,
            budget.message_window,
        )
        self.catalogue = Catalogue(self.published, settings, self._zone_of)
        self.session_manager = SessionManager(
            self.published, self.catalogue, self.send_queue, self.store.gateway_number
        )
        self.session_manager.stop_share = settings.versions.stop_share

    def _make_engine(self, planner_factory: PlannerFactory) -> None:
        versions = self.settings.versions
        self.recorder = HistoryRecorder(
            self.published,
            self.catalogue.versions,
            self.history,
            Retention(versions.max_count, versions.max_age),
            self.log,
        )
        self.engine = Engine(
            self.settings,
            self.store,
            self.published,
            self.session_manager,
            self.endpoint_list,
            self.log,
            planner_factory,
            self.recorder,
        )

    def _make_list_watch(self) -> None:
        """Create the components for the endpoint list, the confidence in its entries, and gateway load reports."""
        settings, reports = self.settings, self.settings.reports
        self.load_reports = LoadReports(
            tuple(settings.classes), settings.table_count(), reports.period, reports.max_age
        )
        self.confidence = ListConfidence()
        self.engine.set_confidence_source(self.confidence.published_events)
        self.list_updater = ListUpdater(
            clock=self.clock,
            endpoint_list=self.endpoint_list,
            confidence=self.confidence,
            engine=self.engine,
            load_reports=self.load_reports,
            store=self.store,
            on_change=self._list_changed,
            notify=self.wakeup.notify,
            log=self.log,
        )
        self.list_watch = ListWatch(settings, self.clock, self.list_updater, self.wakeup.notify, self.log)
        self.load_report_task = LoadReportTask(
            load_reports=self.load_reports,
            confidence=self.confidence,
            engine=self.engine,
            clock=self.clock,
            period=reports.period,
            notify=self.wakeup.notify,
            log=self.log,
        )

    def _make_servers(self) -> None:
        self.xds = XdsServer(
            self.session_manager,
            self.epoch,
            self.clock.now,
            self.wakeup.notify,
            self.load_report_task.receive,
            self.settings.reports.period,
            self.log,
        )
        self.sasp: SaspServer | None = None
        if self.settings.sasp.listen is not None:
            self.sasp = SaspServer(
                self.settings,
                self.session_manager,
                self.engine,
                self.clock,
                self.wakeup.notify,
                self.list_watch.receive_members,
                self.log,
            )

    def _make_solver(self, advisor_factory: AdvisorFactory, solve: Callable) -> None:
        self.advisor = advisor_factory(self.settings, self._zone_of)
        self.solver_task = SolverTask(
            advisor=self.advisor,
            engine=self.engine,
            clock=self.clock,
            notify=self.wakeup.notify,
            log=self.log,
            solve=solve,
        )

    def _make_tasks(self) -> None:
        self.snapshot_task = SnapshotTask(
            settings=self.settings,
            clock=self.clock,
            engine=self.engine,
            list_confirmed_at=self.list_watch.confirmed_at,
            last_success_at=lambda: self.confidence.last_success_at,
            log=self.log,
        )
        self.lease_task = LeaseTask(engine=self.engine, clock=self.clock, notify=self.wakeup.notify, log=self.log)
        servers: list[StreamServer] = [self.xds]
        if self.sasp is not None:
            servers.append(self.sasp)
        self.drive_loop = DriveLoop(
            engine=self.engine,
            session_manager=self.session_manager,
            servers=servers,
            clock=self.clock,
            wakeup=self.wakeup,
            log=self.log,
        )

    def _make_queries(self) -> None:
        self.version_queries = VersionQueries(self.engine, self.recorder, self.session_manager, self.settings)
        status = StatusQuery(
            name=self.settings.pilot.name,
            epoch=self.epoch,
            ports=self.ports,
            clock=self.clock,
            engine=self.engine,
            published=self.published,
            session_manager=self.session_manager,
            send_queue=self.send_queue,
            list_watch=self.list_watch,
            snapshot_task=self.snapshot_task,
        )
        self.queries = QueryRouter(
            {
                Query.STATUS: status.answer,
                Query.TABLES: TablesQuery(self.published, self.catalogue).answer,
                Query.WEIGHTS: weights_query(self.advisor, self.settings.needs_solver),
                Query.VERSIONS: self._answer_versions,
                Query.LIST: ListQuery(self.list_watch, self.list_updater, self.clock).answer,
                Query.SASP: sasp_query(self.sasp),
                Query.FORGET: self._forget,
            }
        )

    def _zone_of(self, endpoint: str) -> str:
        """Return the zone in which an endpoint was last listed, or an empty string if it was never listed."""
        return self.endpoint_list.known_zones.get(endpoint, "")

    def _list_changed(self) -> None:
        """Refresh the statuses in SASP advice after a change of the list.

        If the solver is enabled, also step the engine and send advice that needs no solve, so that the tables that the
        solver assigns follow the change at once.
        """
        if self.sasp is not None:
            self.sasp.update_statuses()
        if self.settings.needs_solver:
            self.engine.step(self.clock.now())
            self.solver_task.send_immediate_advice()

    def _answer_versions(self, request: VersionsRequest) -> Reply:
        reply = self.version_queries.answer(self.clock.now(), request)
        self.wakeup.notify()  # a rollback or pin requires an engine step
        return reply

    def _forget(self, request: ControlRequest) -> Reply:
        """Discard the learned state on disk and in the planner."""
        del request  # the request has no parameters
        self.snapshot_task.forget()
        self.engine.forget(self.clock.now())
        self.wakeup.notify()
        return {"forgotten": True}
