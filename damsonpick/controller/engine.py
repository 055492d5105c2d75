"""Hands events to the planner and carries out its orders. No sockets; the store and the history are what it writes.

The engine is the only caller of `Planner.handle` and the only writer of the published state. An exception in the
planner leaves the last tables in service: they stay published, the events that led to it are logged, and a new planner
is started from the store, at once the first time and within a second ever after.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

from structlog.typing import FilteringBoundLogger

from damsonpick import interface as api
from damsonpick.controller import explain
from damsonpick.controller.decision_log import DecisionLog, change_cause
from damsonpick.controller.planner_start import PlannerStart
from damsonpick.controller.slice_ownership import SliceOwnership
from damsonpick.controller.table_persistence import TablePersistence
from damsonpick.controller.table_pin import RollbackRequest, TablePin, VersionRollback
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.shared.session import Session
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.runtime.decision_loop import DecisionLoop, Step
from damsonpick.settings.model import PilotSettings
from damsonpick.state.endpoint_list.validation import EndpointList
from damsonpick.state.history.recorder import HistoryRecorder
from damsonpick.state.history.version import Cause
from damsonpick.state.learned import ageing, capture
from damsonpick.state.learned.snapshot import HostTime, Snapshot
from damsonpick.state.published_tables import Change, PublishedTables
from damsonpick.state.store.sqlite import Store

PLANNERS_A_SEED = 1000  # planners started under one seed of the settings draw differently up to this many


class Engine(DecisionLoop):
    """The decision loop of one controller, with what it owns, publishes and stores.

    Args:
        settings: the settings of the controller.
        store: tables, standing orders and slice leases.
        published: the published state.
        session_manager: connected clients.
        endpoint_list: the endpoint list in force.
        log: a structlog logger.
        make: makes a planner from settings and seed; tests hand in ones that fail.
        recorder: history of the tables, with the pin.
    """

    def __init__(
        self,
        settings: PilotSettings,
        store: Store,
        published: PublishedTables,
        session_manager: SessionManager,
        endpoint_list: EndpointList,
        log: FilteringBoundLogger,
        make: Callable[[api.Settings, int], Planner],
        recorder: HistoryRecorder,
    ) -> None:
        """Build the parts; `start` takes up the stored state."""
        super().__init__(log)
        self.settings = settings
        self.store = store
        self.published = published
        self.session_manager = session_manager
        self.endpoint_list = endpoint_list
        self.make = make
        self.recorder = recorder
        self.ownership = SliceOwnership(store, settings.pilot.name)
        self.persistence = TablePersistence(store, published, log)
        self.pin = TablePin(recorder, published)
        self.planner_start = PlannerStart(
            endpoint_list, published, session_manager, self.ownership, self.pin.removed_entries, log
        )
        self.decision_log = DecisionLog(published, log)
        self.list_changed = False  # since the last step
        self.captured_state: Snapshot | None = None  # what a planner that failed had learned

    @property
    def owned(self) -> set[int]:
        """Slices that this controller owns."""
        return self.ownership.owned

    @property
    def unsaved(self) -> set[int]:
        """Slices whose tables the store does not hold yet."""
        return self.persistence.unsaved

    # -- starting a planner

    def start(self, now: int, learned: Snapshot | None = None, away: int | None = None) -> None:
        """Publish what the store holds and start a planner on it.

        Args:
            now: ns.
            learned: what an earlier process learned, aged.
            away: ns since that process was last seen; None: not known.
        """
        now = self.clock.advance_to(now)
        self.persistence.load(ageing.admission_levels_valid(away))
        self.decision_log.restored()
        self.endpoint_list.restore(self.store.load_endpoint_list())
        self.session_manager.catalogue.refresh(self.published.units())
        self.recorder.start(now)
        if self.pin.holds(now):
            self.pin.restore_removed()
        self.ownership.owned = self.ownership.claim(now)
        self._start_planner(learned)

    def forget(self, now: int) -> None:
        """Replace the planner by one that has learned nothing; tables and orders stay."""
        self.clock.advance_to(now)
        self._start_planner(replaces_planner=True)

    def _start_planner(self, learned: Snapshot | None = None, replaces_planner: bool = False) -> None:
        """Start a planner and queue the present state as its first events.

        Args:
            learned: what an earlier planner learned, aged.
            replaces_planner: a planner of this process is at work. One that has failed is replaced in any case.
        """
        replaces_planner = replaces_planner or bool(self.failures)
        seed = self.settings.pilot.seed * PLANNERS_A_SEED + self.failures
        events = self.planner_start.events(learned, replaces_planner)
        self._drop_stale_events(replaces_planner)
        self.begin_with(self.make(self.settings.planner(), seed), events)

    def _drop_stale_events(self, replaces_planner: bool) -> None:
        """Drop what clients did before the new planner starts.

        The sync tokens of an earlier planner mean nothing to it, and clients that joined under one are among its first
        events.
        """
        manager = self.session_manager
        if replaces_planner:
            manager.events = []
        else:
            manager.events = [event for event in manager.events if not isinstance(event, api.SyncAcknowledged)]

    def set_confidence_source(self, events: Callable[[], list[api.Event]]) -> None:
        """Set what tells a new planner the present confidence in entries of the endpoint list."""
        self.planner_start.confidence_events = events

    def learned_state(self) -> Snapshot | None:
        """What the planner at work has learned, to be handed to the next one; None: it cannot be read."""
        if not isinstance(self.planner, Planner):
            return None
        return capture.take_snapshot(self.planner, capture.SnapshotInfo(0, self.ownership.owner, HostTime(0, "", 0)))

    def capture_learned_state(self) -> None:
        """Keep what a planner that failed had learned, if it can be read.

        It may be the cause of the failure: it is handed on once, and not after a second failure.
        """
        self.captured_state = None
        try:
            self.captured_state = self.learned_state() if self.failures == 1 else None
        except Exception as error:  # the planner failed: anything of it may be damaged
            self.log.warning("learned_state_not_captured", error=repr(error))

    # -- events from outside the planner

    def enqueue(self, *events: api.Event) -> None:
        """Queue events for the next step, in order."""
        super().enqueue(*events)
        self.list_changed |= any(isinstance(event, api.EndpointListChanged) for event in events)

    def relocate(self, now: int, endpoints: Iterable[str]) -> list[Session]:
        """Publish the tables again that name endpoints whose zone has changed.

        Returns:
            Sessions that may acknowledge sync tokens now.
        """
        change = self.published.touch(endpoints)
        now = self.clock.advance_to(now)
        return self._publish(now, change, "list", "endpoints that moved") if change.entries else []

    def renew(self, now: int) -> None:
        """Renew the leases; tell the planner of slices lost to another controller, and of slices taken over."""
        claimed = self.ownership.claim(self.clock.advance_to(now))
        for number in sorted(self.owned - claimed):
            self.enqueue(api.SliceOwnershipChanged(number, False))
        taken_over = sorted(claimed - self.owned)
        if taken_over:
            stored = self.store.load_tables()
            for number in taken_over:
                self._take_over(number, stored[number])
        self.ownership.owned = claimed  # last: if the store fails, the next renewal finds the same difference

    def _take_over(self, number: int, entries: Mapping[str, float]) -> None:
        self.published.restore(number, entries)
        self.enqueue(api.SliceOwnershipChanged(number, True))
        self.enqueue(*(api.StoredEntry(number, endpoint, weight) for endpoint, weight in entries.items()))

    # -- one step

    def due(self) -> int | None:
        """When the next step must run, ns; None: only when something happens."""
        times: list[int] = []
        next_step = self.next_step()
        if next_step is not None:
            times.append(next_step)
        if self.persistence.failing:
            times.append(self.persistence.retry_at)
        if self.pin.applied:
            times.append(self.recorder.pin.until)
        if self.recorder.pending:
            times.append(self.recorder.retry_at)
        return min(times, default=None)

    def step(self, now: int) -> list[Session]:
        """Hand the planner what happened and carry out its orders.

        Returns:
            Sessions that may acknowledge sync tokens now.
        """
        now = self.clock.advance_to(now)
        self._retry_writes(now)
        if self.planner is None:
            if now < self.restart_at:
                return []
            self._start_planner(self.captured_state)
        if self.pin.applied != self.pin.holds(now):
            self._apply_pin(now)
        if self.list_changed:
            self.session_manager.release_staged(now)
            self.list_changed = False
        client_events, self.session_manager.events = self.session_manager.events, []
        step = self.advance(now, client_events)
        return self._carry_out(now, step) if step else []

    def _retry_writes(self, now: int) -> None:
        if self.persistence.retry_due(now):
            self.persistence.save(now)
        if self.recorder.pending and now >= self.recorder.retry_at:
            self.recorder.flush(now)

    def _carry_out(self, now: int, step: Step) -> list[Session]:
        """Apply the planner's orders: first to memory, then to the store, then to the clients."""
        orders = self._owned_orders(step.actions)
        if not orders:
            return []
        orders = self.pin.filter(orders, self.may_not_be_picked)
        change = self.published.apply(orders)
        touched = {order.table for order in orders if isinstance(order, api.SetEntry | api.ClearTable)}
        self.persistence.save(now, touched)
        self.decision_log.write(self.planner, orders, change.entry_count())
        return self._publish(now, change, change_cause(step.events))

    def _owned_orders(self, actions: list[api.Action]) -> list[api.Action]:
        """Orders to publish, without those on slices whose lease was lost meanwhile."""
        orders: list[api.Action] = []
        for action in actions:
            if not isinstance(action, api.TableOrder):
                continue
            if isinstance(action, api.SetEntry | api.ClearTable) and action.table not in self.owned:
                continue
            orders.append(action)
        return orders

    def _publish(
        self, now: int, change: Change, cause: Cause, note: str = "", delay_by_zone: Mapping[str, int] | None = None
    ) -> list[Session]:
        idle = self.session_manager.publish(now, change, delay_by_zone)
        if change.entries:
            self.recorder.record(now, change.entries, cause, note)
        return idle

    # -- pin and rollback

    def roll_back(self, now: int, request: RollbackRequest) -> dict[str, Any]:
        """Set the tables as a kept version had them, as far as is safe, and pin them.

        Returns:
            What was, or would be, changed, as `damsonpick versions rollback` answers it.

        Raises:
            ValueError: no such version is kept, or another operator acted meanwhile.
        """
        now = self.clock.advance_to(now)
        plan = self.pin.plan_rollback(request, self.owned, self.may_not_be_picked, self.is_warming_up)
        if request.dry_run:
            return plan.reply() | {"done": False, "generation": self.recorder.pin.generation}
        self._apply_rollback(now, plan, request)
        newest = self.recorder.history.newest()
        self.log.warning(
            "tables_rolled_back",
            target_version=plan.target.number,
            new_version=newest.number,
            entries=len(plan.table_plan.actions),
            entries_kept=len(plan.table_plan.kept),
        )
        return plan.reply() | {
            "done": True,
            "now": newest.number,
            "now_root": newest.root,
            "generation": self.recorder.pin.generation,
            "same": newest.root == plan.target.root,
        }

    def _apply_rollback(self, now: int, plan: VersionRollback, request: RollbackRequest) -> None:
        orders = plan.table_plan.actions
        self.pin.remember_removed(orders)
        change = self.published.apply([*orders, *plan.admission_orders])
        self.persistence.save(now, plan.slices())
        self.recorder.set_pin(plan.target.number, request.pinned_until, request.restore_admission)
        self._publish(now, change, "rollback", f"to {plan.target.number}", request.delay_by_zone)
        self._apply_pin(now)

    def _apply_pin(self, now: int) -> None:
        """A pin has begun or ended: a new planner goes on from the tables as they are, so that none of them jumps."""
        self.pin.applied = self.pin.holds(now)
        if not self.pin.applied:
            self.pin.removed_entries.clear()
        self.log.info(
            "tables_pinned" if self.pin.applied else "tables_unpinned",
            version=self.recorder.pin.version,
            withheld_orders=self.pin.withheld_orders,
        )
        self._start_planner(self.learned_state(), replaces_planner=True)

    def may_not_be_picked(self, name: str) -> bool:
        """Whether an endpoint may not be picked now: unlisted, draining, gone or withdrawn."""
        entry = self.endpoint_list.entries.get(name)
        return entry is None or entry.state != "in_service" or name in self.published.withdrawn

    def is_warming_up(self, name: str) -> bool:
        """Whether an endpoint has not reached its full share since its start."""
        planner = self.planner
        endpoint = planner.endpoints.get(name) if planner else None
        return planner is not None and endpoint is not None and planner.warm_up_share(endpoint) < 1

    # -- for operators

    def view(self) -> list[dict[str, object]]:
        """Endpoints as the planner sees them; empty while it is being restarted."""
        return list(explain.endpoint_rows(self.planner, self.published)) if self.planner else []
