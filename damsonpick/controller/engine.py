"""Feeds the module what happens and carries out what it decides. No sockets; the store is the one thing written.

The engine is the only caller of `Planner.handle` and the only writer of the published state. An exception
in the module keeps the last tables in service: they stay published, the events that led to it are logged,
and a new planner is started from the store, at once the first time and within a second ever after.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from damsonpick import interface as api
from damsonpick.controller import explain
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.shared.session import Session
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.runtime.decision_loop import SECOND, DecisionLoop
from damsonpick.settings.model import PilotSettings
from damsonpick.state.endpoint_list.validation import EndpointList
from damsonpick.state.history import rollback
from damsonpick.state.history.recorder import HistoryRecorder
from damsonpick.state.history.state_keys import slice_number
from damsonpick.state.learned import ageing, capture, restore
from damsonpick.state.learned.snapshot import HostTime, LearnedFleet, Snapshot
from damsonpick.state.published_tables import Change, PublishedTables
from damsonpick.state.store.sqlite import Store

NOTHING_LEARNED = LearnedFleet(0.0, 0.0)


class Engine(DecisionLoop):
    """One pilot's loop body.

    Args:
        settings: the pilot's settings.
        store, published, hub, roster: what it works on.
        log: a structlog logger.
        make: how a planner is made; tests hand in ones that fail.
        keeper: the history of the tables.
    """

    def __init__(
        self,
        settings: PilotSettings,
        store: Store,
        published: PublishedTables,
        session_manager: SessionManager,
        endpoint_list: EndpointList,
        log: Any,
        make: Callable[[api.Settings, int], Planner] = Planner,
        recorder: HistoryRecorder | None = None,
    ) -> None:
        super().__init__(log)
        self.settings, self.store, self.published, self.session_manager = settings, store, published, session_manager
        self.endpoint_list, self.make = endpoint_list, make
        self.recorder = recorder
        self.owner = settings.pilot.name
        self.owned: set[int] = set()
        self.unsaved: set[int] = set()  # slices whose tables the store does not hold yet
        self.save_at = 0
        self.list_wanted = False
        self.told: dict[str, str] = {}  # endpoint: state as last logged
        self.levels: tuple[float, ...] = ()
        self.pinned = self.list_changed = False
        self.gone: dict[int, dict[str, float]] = {}  # lines that a rollback took out; gateways may hold them yet
        self.doubted: Callable[[], list[api.Event]] = list  # trust that was said, for a new planner
        self.salvaged: Snapshot | None = None  # what a planner that failed had learned
        self.stood: dict[str, float] = {}  # standing orders as the store holds them
        self.withheld = 0  # orders of the last step that the pin held back

    # -- life

    def start(self, now: int, learned: Snapshot | None = None, away: int | None = None) -> None:
        """Take what the store holds and start the module on it.

        Args:
            learned: what an earlier life learned, aged.
            away: ns since that life was last seen; None: not known.
        """
        now = self.clock.take(now)
        for number, lines in self.store.load_tables().items():
            self.published.restore(number, lines)
        self.published.restore_standing(self.store.load_persistent_actions(), ageing.admission_levels_valid(away))
        self.stood = self.published.standing()
        self.endpoint_list.restore(self.store.load_endpoint_list())
        self.session_manager.catalogue.refresh(self.published.units())
        if self.recorder:
            self.recorder.start(now)
            if self.holds(now):
                self._recall_gone()
        self.owned = {lease.slice for lease in self.store.claim(self.owner, now, self.lease())}
        self._begin(now, learned=learned)

    def lease(self) -> int:
        """ns for which a slice stays ours unrenewed: longer than a restart takes, so nobody else need move it."""
        return 10 * SECOND

    def _begin(self, now: int, anew: bool = False, learned: Snapshot | None = None) -> None:
        """A new planner, told the list, the tables and who is joined. `anew`: in place of one that was at work."""
        again = anew or bool(self.failures)
        seed = self.settings.pilot.seed * 1000 + self.failures
        kept = tuple(self.endpoint_list.entries.values())
        events: list[api.Event] = [api.EndpointListChanged("restored", kept)]
        if self.endpoint_list.fresh:
            events.append(api.EndpointListChanged("replace", kept))
        for number in sorted(self.owned):
            events.append(api.SliceOwnershipChanged(number, True))
            # what a rollback took out is told as well: if such a server drains now, it must be withdrawn
            lines = {**self.gone.get(number, {}), **self.published.tables[number]}
            events += [api.StoredEntry(number, name, weight) for name, weight in lines.items()]
        events += [*self._recalled(learned), *self.doubted()]
        if again:  # they hold withdrawals of the planner that failed
            events += [
                api.ProxyJoined(m.number, m.session.zone, 0.0, False) for m in self.session_manager.members.values()
            ]
        self.session_manager.events = (
            [e for e in self.session_manager.events if not isinstance(e, api.SyncAcknowledged)] if not again else []
        )
        self.begin_with(self.make(self.settings.planner(), seed), events)

    def _recalled(self, learned: Snapshot | None) -> list[api.Event]:
        """What an earlier planner learned, and the orders of it that are in force."""
        classes = self.published.classes
        events: list[api.Event] = []
        if learned is not None:
            wrong = restore.settings_mismatch(learned, classes, self.published.slices)
            events, anew = restore.restored_events(learned, self.endpoint_list.entries, self.owned, not wrong)
            self.log.info(
                "recalled",
                servers=sum(isinstance(e, api.EndpointRestored) for e in events),
                started_anew=len(anew),
                left_out=wrong,
            )
        levels = tuple(self.published.level(None, k) for k in range(len(classes)))
        fleet = learned.fleet if learned is not None else NOTHING_LEARNED
        if learned is not None or self.published.withdrawn or min(levels) < 1:
            events.append(
                api.FleetRestored(
                    levels, tuple(self.published.withdrawn), fleet.best_throughput, fleet.throughput_per_capacity
                )
            )
        return events

    def learned(self) -> Snapshot | None:
        """What the planner at work has learned, to hand it to the next one."""
        if not isinstance(self.planner, Planner):
            return None
        return capture.take_snapshot(self.planner, capture.SnapshotInfo(0, self.owner, HostTime(0, "", 0)))

    def forget(self, now: int) -> None:
        """A planner that has learned nothing, in place of the one at work; tables and orders stay."""
        self._begin(self.clock.take(now), anew=True)

    def salvage(self) -> None:
        """What a planner that failed had learned, if it can be read at all. It may be what it failed of: it is
        handed on once, and not after a second failure."""
        self.salvaged = None
        try:
            self.salvaged = self.learned() if self.failures == 1 else None
        except Exception as error:
            self.log.warning("nothing_salvaged", error=repr(error))

    def tell(self, *events: api.Event) -> None:
        """Events for the next step, in order."""
        super().tell(*events)
        self.list_changed |= any(isinstance(e, api.EndpointListChanged) for e in events)

    def relocate(self, now: int, endpoints: list[str]) -> list[Session]:
        """Send tables again whose endpoints turned out to stand elsewhere."""
        change = self.published.touch(endpoints)
        now = self.clock.take(now)
        return self._publish(now, change, "list", "endpoints that moved") if change.lines else []

    def renew(self, now: int) -> None:
        """Keep custody; a slice lost to another pilot is given up, one won is taken over."""
        have = {lease.slice for lease in self.store.claim(self.owner, self.clock.take(now), self.lease())}
        for number in sorted(self.owned - have):
            self.tell(api.SliceOwnershipChanged(number, False))
        if have - self.owned:
            stored = self.store.load_tables()
            for number in sorted(have - self.owned):
                self.published.restore(number, stored[number])
                self.tell(
                    api.SliceOwnershipChanged(number, True),
                    *(api.StoredEntry(number, n, w) for n, w in stored[number].items()),
                )
        self.owned = have

    # -- one step

    def due(self) -> int | None:
        """When the next step must be, ns; None: only when something happens."""
        times = [] if self.next_step() is None else [self.next_step()]
        if self.unsaved:
            times.append(self.save_at)
        if self.pinned:
            times.append(self.recorder.pin.until)
        if self.recorder and self.recorder.pending:
            times.append(self.recorder.retry_at)
        return min(times, default=None)

    def step(self, now: int) -> list[Session]:
        """Hand over what happened, carry out what is decided; returns streams that may answer for marks."""
        now = self.clock.take(now)
        if self.unsaved and now >= self.save_at:
            self._save(now, {})
        if self.recorder and self.recorder.pending and now >= self.recorder.retry_at:
            self.recorder.flush(now)
        if self.planner is None:
            if now < self.restart_at:
                return []
            self._begin(now, learned=self.salvaged)
        if self.pinned != self.holds(now):
            self._repin(now)
        if self.list_changed:
            self.session_manager.hasten(now)
            self.list_changed = False
        more, self.session_manager.events = self.session_manager.events, []
        done = self.advance(now, more)
        return self._carry_out(now, done.actions, _cause(done.events)) if done else []

    def _carry_out(self, now: int, actions: list[api.Action], cause: str) -> list[Session]:
        table_orders = []
        for action in actions:
            if isinstance(action, api.SubscribeEndpointList | api.FetchEndpointList):
                self.list_wanted = True
            elif isinstance(action, api.SetEntry | api.ClearTable) and action.table not in self.owned:
                continue  # not ours any more: the order came too late
            elif isinstance(
                action, api.SetEntry | api.ClearTable | api.SetWithdrawn | api.SetAdmission | api.RequestSync
            ):
                table_orders.append(action)
        if not table_orders:
            return []
        if self.pinned:
            table_orders, self.withheld = self.recorder.pin.filter_actions(
                table_orders, self.published.tables, self.barred, self.published.level
            )
        change = self.published.apply(table_orders)
        touched = {o.table for o in table_orders if isinstance(o, api.SetEntry | api.ClearTable)}
        self._save(now, {n: self.published.tables[n] for n in touched})
        self._say(now, table_orders, change.cost())
        return self._publish(now, change, cause)

    def _publish(
        self, now: int, change: Change, cause: str, words: str = "", stages: dict[str, int] | None = None
    ) -> list[Session]:
        idle = self.session_manager.publish(now, change, stages)
        if self.recorder and change.lines:
            self.recorder.record(now, change.lines, cause, words)
        return idle

    # -- the way back

    def _recall_gone(self) -> None:
        """Lines that rollbacks of this pin took out before the restart: gateways may hold them yet, so that a
        server which drains now must be withdrawn although no table names it."""
        history = self.recorder.history
        for version in history.versions.values():
            if version.cause == "rollback" and version.number > self.recorder.pin.version:
                for unit, keys in version.difference.items():
                    number = slice_number(unit)
                    for key, (before, after) in keys.items():
                        if number is not None and key.startswith("line ") and after is None:
                            self.gone.setdefault(number, {})[key[5:]] = before

    def holds(self, now: int) -> bool:
        return self.recorder is not None and self.recorder.pin.is_active(now)

    def _repin(self, now: int) -> None:
        """A pin has begun or ended: the module goes on from the tables as they are, without a jump."""
        self.pinned = self.holds(now)
        if not self.pinned:
            self.gone.clear()
        self.log.info(
            "pinned" if self.pinned else "unpinned", version=self.recorder.pin.version, withheld=self.withheld
        )
        self._begin(now, anew=True, learned=self.learned())

    def barred(self, name: str) -> bool:
        """Whether an endpoint may not be picked now."""
        entry = self.endpoint_list.entries.get(name)
        return entry is None or entry.state != "in_service" or name in self.published.withdrawn

    def cold(self, name: str) -> bool:
        ep = self.planner.endpoints.get(name) if self.planner else None
        return ep is not None and self.planner.warm_up_share(ep) < 1

    def roll_back(
        self,
        now: int,
        name: str,
        until: int,
        expected: int | None,
        dry: bool,
        stages: dict[str, int] | None = None,
        levels: bool = False,
    ) -> dict[str, Any]:
        """Set the tables as a kept version had them, as far as is safe, and pin them.

        Args:
            name: number or beginning of a root.
            until: ns; how long the tables stay pinned.
            expected: the generation that the operator saw.
            dry: only say what would be done.
            stages: ns to wait by zone.
            levels: set levels and retry modes back as well; while pinned they may then fall and not rise.

        Raises:
            ValueError: no such version, or somebody else acted meanwhile.
        """
        now, recorder = self.clock.take(now), self.recorder
        recorder.pin.check_generation(expected)
        version = recorder.history.find(name)
        owned = {n: self.published.tables[n] for n in self.owned}
        target = recorder.history.state_at(version.number)
        made = rollback.plan_rollback(target, owned, self.barred, self.cold)
        admit = rollback.plan_admission(target, recorder.history.state, len(self.published.classes)) if levels else []
        said = {
            "version": version.number,
            "root": version.root,
            "lines": len(made.actions),
            "levels": len(admit),
            "slices": len({o.table for o in made.actions}),
            "kept": [k._asdict() for k in made.kept],
        }
        if dry:
            return said | {"done": False, "generation": recorder.pin.generation}
        for o in made.actions:
            if not o.weight:
                self.gone.setdefault(o.table, {})[o.endpoint] = self.published.tables[o.table][o.endpoint]
        change = self.published.apply([*made.actions, *admit])
        self._save(now, {n: self.published.tables[n] for n in {o.table for o in made.actions}})
        recorder.set_pin(version.number, until, levels)
        self._publish(now, change, "rollback", f"to {version.number}", stages)
        self._repin(now)
        newest = recorder.history.newest()
        self.log.warning(
            "rolled_back", to=version.number, now=newest.number, lines=len(made.actions), kept=len(made.kept)
        )
        return said | {
            "done": True,
            "now": newest.number,
            "now_root": newest.root,
            "generation": recorder.pin.generation,
            "same": newest.root == version.root,
        }

    def _save(self, now: int, tables: dict[int, dict[str, float]]) -> None:
        """The store before the wire. One that cannot be written is said loudly; service goes on from memory."""
        both = {n: self.published.tables[n] for n in self.unsaved} | tables
        standing = self.published.standing()
        if not both and standing == self.stood:
            return
        try:
            self.store.save_tables(both, standing if standing != self.stood else None)
            self.stood = standing
            if self.unsaved:
                self.log.info("store_caught_up", slices=len(both))
            self.unsaved.clear()
        except Exception as error:
            self.unsaved |= set(both)
            self.save_at = now + SECOND
            self.log.error(
                "store_not_written",
                error=str(error),
                slices=len(self.unsaved),
                remedy="free space or rights on the state folder; orders keep flowing meanwhile",
            )

    # -- words

    def _say(self, now: int, orders: list[api.Action], lines: int) -> None:
        """One log event a decision that matters."""
        planner = self.planner
        for order in orders:
            if isinstance(order, api.SetWithdrawn) and order.withdrawn != (self.told.get(order.endpoint) == "out"):
                self.told[order.endpoint] = "out" if order.withdrawn else "in"
                self.log.info(
                    "withdrawn" if order.withdrawn else "let_in",
                    endpoint=order.endpoint,
                    why=explain.reason(planner, order.endpoint),
                )
        if planner.published_levels != self.levels:
            self.levels = planner.published_levels
            self.log.info(
                "levels",
                let_in=dict(zip(self.published.classes, planner.published_levels, strict=True)),
                why="all that comes fits"
                if planner.admitted_share >= 1
                else f"answers are late: {planner.admitted_rate_limit:.0f} answers/s allowed of what comes",
            )
        moved: dict[int, dict[str, list[str]]] = {}
        for order in orders:
            if isinstance(order, api.SetEntry):
                side = moved.setdefault(order.table, {"to": [], "from": []})
                side["to" if order.weight > 0 else "from"].append(order.endpoint)
        if moved:
            why: dict[str, int] = {}
            for sides in moved.values():
                away = any(n in planner.endpoints and planner.is_unroutable(n) for n in sides["from"])
                cause = "off barred" if away else "balance" if sides["from"] else "new line"
                why[cause] = why.get(cause, 0) + 1
            self.log.info("tables", slices=len(moved), lines=lines, why=why, number=self.published.seq)

    def view(self) -> list[dict[str, object]]:
        """Endpoints as the module sees them; empty while it is being started over."""
        return list(explain.endpoints(self.planner, self.published)) if self.planner else []


def _cause(events: list[api.Event]) -> str:
    """What set off a step, in a word."""
    if any(isinstance(e, api.TableAdvised | api.CapacityAdvised) for e in events):
        return "solver"
    if any(isinstance(e, api.EndpointListChanged) for e in events):
        return "list"
    return "gateways" if any(isinstance(e, api.ProxyJoined | api.ProxyLeft) for e in events) else "module"
