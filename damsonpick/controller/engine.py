"""Passes events to the planner and applies its orders. Opens no sockets; writes only the store and the history.

The engine is the only caller of `Planner.handle` and the only writer of the published state. If the planner raises an
exception, the last tables stay published, the engine logs the events that led to the exception, and a new planner
starts from the published tables: immediately after the first failure, within a second after each further one.
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
from damsonpick.decisions import handover
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.shared.session import Session
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.runtime.decision_loop import DecisionLoop, Step
from damsonpick.settings.model import PilotSettings
from damsonpick.state.endpoint_list.validation import EndpointList
from damsonpick.state.history.errors import SoleOwnerRollbackError
from damsonpick.state.history.recorder import HistoryRecorder
from damsonpick.state.history.version import Cause
from damsonpick.state.learned import ageing, capture
from damsonpick.state.learned.snapshot import HostTime, Snapshot
from damsonpick.state.published_tables import Change, PublishedTables
from damsonpick.state.store.sqlite import Store

# Number of planner seeds for each seed in the settings. The number of failures in a row selects one of them.
MAX_PLANNERS_PER_SEED = 1000


class Engine(DecisionLoop):
    """The decision loop of one controller, with the state that it owns, publishes and stores.

    Args:
        settings: Settings of the controller.
        store: Stores tables, persistent orders and slice leases.
        published: The published state.
        session_manager: Manages the connected clients.
        endpoint_list: The current endpoint list.
        log: Logger.
        make_planner: Creates a planner from settings and a seed. Tests pass planners that fail.
        recorder: Records the history of the tables and stores the pin.
    """

    def __init__(
        self,
        settings: PilotSettings,
        store: Store,
        published: PublishedTables,
        session_manager: SessionManager,
        endpoint_list: EndpointList,
        log: FilteringBoundLogger,
        make_planner: Callable[[api.Settings, int], Planner],
        recorder: HistoryRecorder,
    ) -> None:
        """Create the components. `start` loads the stored state."""
        super().__init__(log)
        self.settings = settings
        self.store = store
        self.published = published
        self.session_manager = session_manager
        self.endpoint_list = endpoint_list
        self.make_planner = make_planner
        self.recorder = recorder
        self.ownership = SliceOwnership(store, settings.pilot.name)
        self.persistence = TablePersistence(store, published, log)
        self.pin = TablePin(recorder, published)
        self.planner_start = PlannerStart(
            endpoint_list, published, session_manager, self.ownership, self.pin.removed_entries, log
        )
        self.decision_log = DecisionLog(published, log)
        self.list_changed = False  # whether the endpoint list changed since the last step
        self.captured_state: Snapshot | None = None  # learned state of a planner that failed

    @property
    def owned(self) -> set[int]:
        """Numbers of the slices that this controller owns."""
        return self.ownership.owned

    @property
    def unsaved(self) -> set[int]:
        """Numbers of the slices whose current tables are not in the store yet."""
        return self.persistence.unsaved

    # -- starting a planner

    def start(self, now: int, learned: Snapshot | None = None, away: int | None = None) -> None:
        """Publish the stored tables and start a planner from them.

        Args:
            now: Current time in ns.
            learned: Learned state of an earlier process, with its aging applied, or None if there is none.
            away: Time in ns since that process was last seen, or None if unknown.
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
        """Replace the planner by a planner without learned state. Tables and persistent orders stay."""
        self.clock.advance_to(now)
        self._start_planner(replaces_planner=True)

    def _start_planner(self, learned: Snapshot | None = None, replaces_planner: bool = False) -> None:
        """Start a planner and queue the current state as its first events.

        Args:
            learned: Learned state of an earlier planner, with its aging applied, or None if there is none.
            replaces_planner: Whether the new planner replaces a planner of this process. After a failure, this is
                assumed even if the argument is False.
        """
        replaces_planner = replaces_planner or bool(self.failures)
        seed = self.settings.pilot.seed * MAX_PLANNERS_PER_SEED + self.failures
        events = self.planner_start.events(learned, replaces_planner)
        self._drop_stale_events(replaces_planner)
        self.install_planner(self.make_planner(self.settings.planner(), seed), events)

    def _drop_stale_events(self, replaces_planner: bool) -> None:
        """Drop the queued client events that do not apply to the new planner.

        If the new planner replaces a planner of this process, its first events include the connected clients, so all
        queued client events are dropped. Otherwise only acknowledgements are dropped, because the new planner did not
        issue their sync tokens. Later acknowledgements of these tokens do not count either.
        """
        manager = self.session_manager
        manager.discard_sync_tokens()
        if replaces_planner:
            manager.events = []
        else:
            manager.events = [event for event in manager.events if not isinstance(event, api.SyncAcknowledged)]

    def set_confidence_source(self, events: Callable[[], list[api.Event]]) -> None:
        """Set the function that returns the confidence in endpoint list entries, as events for a new planner."""
        self.planner_start.confidence_events = events

    def learned_state(self) -> Snapshot | None:
        """Return the learned state of the running planner for its successor, or None if no `Planner` is running."""
        if not isinstance(self.planner, Planner):
            return None
        return capture.take_snapshot(self.planner, capture.SnapshotInfo(0, self.ownership.owner, HostTime(0, "", 0)))

    def capture_learned_state(self) -> None:
        """Capture the learned state of a planner that failed, if it can be read.

        The learned state may have caused the failure, so it is captured only after the first of consecutive failures.
        After each further failure in a row, the next planner starts without learned state.
        """
        self.captured_state = None
        try:
            self.captured_state = self.learned_state() if self.failures == 1 else None
        except Exception as error:  # any state of the failed planner may be corrupt
            self.log.warning("learned_state_not_captured", error=repr(error))

    # -- events from outside the planner

    def enqueue(self, *events: api.Event) -> None:
        """Queue events for the next step, in order."""
        super().enqueue(*events)
        self.list_changed |= any(isinstance(event, api.EndpointListChanged) for event in events)

    def relocate(self, now: int, endpoints: Iterable[str]) -> list[Session]:
        """Publish again the tables that contain endpoints whose zone is new or has changed.

        Returns:
            Sessions that may acknowledge sync tokens now.
        """
        change = self.published.mark_changed(endpoints)
        now = self.clock.advance_to(now)
        return self._publish(now, change, "list", "endpoints that moved") if change.entries else []

    def renew(self, now: int) -> None:
        """Renew the leases and notify the planner of slices that this controller has lost or acquired."""
        claimed = self.ownership.claim(self.clock.advance_to(now))
        for number in sorted(self.owned - claimed):
            self.enqueue(api.SliceOwnershipChanged(number, False))
        taken_over = sorted(claimed - self.owned)
        if taken_over:
            stored = self.store.load_tables()
            for number in taken_over:
                self._take_over(number, stored[number])
        # Assigned last: if the store fails above, the next renewal computes the same difference.
        self.ownership.owned = claimed

    def _take_over(self, number: int, entries: Mapping[str, float]) -> None:
        self.published.restore(number, entries)
        self.enqueue(api.SliceOwnershipChanged(number, True))
        self.enqueue(*(api.StoredEntry(number, endpoint, weight) for endpoint, weight in entries.items()))

    # -- one step

    def due(self) -> int | None:
        """Return the time in ns at which the next step must run, or None if only an event requires a step."""
        times: list[int] = []
        next_due_at = self.next_due_at()
        if next_due_at is not None:
            times.append(next_due_at)
        if self.persistence.failing:
            times.append(self.persistence.retry_at)
        if self.pin.applied:
            times.append(self.recorder.pin.until)
        if self.recorder.pending:
            times.append(self.recorder.retry_at)
        return min(times, default=None)

    def step(self, now: int) -> list[Session]:
        """Pass pending events to the planner and apply its orders.

        Before that, retry failed writes that are due, start a planner if none runs, and apply the start or end of a
        pin. If no planner runs and the start of the next one is not due yet, only the failed writes are retried.

        Returns:
            Sessions that may acknowledge sync tokens now.
        """
        now = self.clock.advance_to(now)
        self._retry_failed_writes(now)
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

    def _retry_failed_writes(self, now: int) -> None:
        if self.persistence.retry_due(now):
            self.persistence.save(now)
        if self.recorder.pending and now >= self.recorder.retry_at:
            self.recorder.flush(now)

    def _carry_out(self, now: int, step: Step) -> list[Session]:
        """Apply the planner's orders: first to the published state, then to the store, then to the clients."""
        orders = self._owned_orders(step.actions)
        if not orders:
            return []
        orders = self.pin.filter(orders, self.is_unroutable)
        change = self.published.apply(orders)
        touched = {order.table for order in orders if isinstance(order, api.SetEntry | api.ClearTable)}
        self.persistence.save(now, touched)
        self.decision_log.write(self.planner, orders, change.entry_count())
        return self._publish(now, change, change_cause(step.events))

    def _owned_orders(self, actions: list[api.Action]) -> list[api.Action]:
        """Return the table orders without orders on slices whose lease has been lost in the meantime."""
        orders: list[api.Action] = []
        for action in actions:
            if not isinstance(action, api.TableOrder):
                continue
            table = action.table if isinstance(action, api.SetEntry | api.ClearTable | api.SetAdmission) else None
            if table is not None and table not in self.owned:
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
        """Restore the tables of a version in the history, as far as is safe, and pin them.

        Returns:
            The changes made, or planned in a dry run, in the reply format of `damsonpick versions rollback`.

        Raises:
            ValueError: The history does not contain the version, the pin was changed in the meantime, or slices with a
                sole owner would get another one.
        """
        now = self.clock.advance_to(now)
        plan = self.pin.plan_rollback(request, self.owned, self.is_unroutable, self.is_warming_up)
        if request.dry_run:
            return plan.reply() | {"done": False, "generation": self.recorder.pin.generation}
        if plan.slices() and handover.is_required(self.settings.planner()):
            raise SoleOwnerRollbackError(len(plan.slices()))
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
        """Start a new planner from the current tables when a pin begins or ends, so that no table changes abruptly."""
        self.pin.applied = self.pin.holds(now)
        if not self.pin.applied:
            self.pin.removed_entries.clear()
        self.log.info(
            "tables_pinned" if self.pin.applied else "tables_unpinned",
            version=self.recorder.pin.version,
            withheld_orders=self.pin.withheld_orders,
        )
        self._start_planner(self.learned_state(), replaces_planner=True)

    def is_unroutable(self, name: str) -> bool:
        """Return whether an endpoint must not receive requests: it is unlisted, draining, gone or withdrawn.

        `Planner.is_unroutable` differs: it ignores withdrawals, and until a list newer than the restored one is
        received, it is False for an endpoint that only a stored table names.
        """
        entry = self.endpoint_list.entries.get(name)
        return entry is None or entry.state != "in_service" or name in self.published.withdrawn

    def is_warming_up(self, name: str) -> bool:
        """Return whether an endpoint has not reached its full share of requests since its start.

        It is False if no planner runs or the planner does not know the endpoint.
        """
        planner = self.planner
        endpoint = planner.endpoints.get(name) if planner else None
        return planner is not None and endpoint is not None and planner.warm_up_share(endpoint) < 1

    # -- for operators

    def view(self) -> list[dict[str, object]]:
        """Return the planner's view of each endpoint. Empty while the planner is being restarted."""
        return list(explain.endpoint_rows(self.planner, self.published)) if self.planner else []
