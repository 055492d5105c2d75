"""Tests of orders in flight while the ownership of a slice changes, events arrive late and watches are interrupted."""

from __future__ import annotations

import random

import pytest

from damsonpick import interface as api
from damsonpick.protocols.platform import registry_events
from damsonpick.protocols.platform.ownership import MAX_UNREAD_HEARTBEATS
from damsonpick.protocols.platform.pending_orders import PendingOrders
from damsonpick.protocols.platform.registry import Registry
from damsonpick.protocols.platform.stored_state import apply_entry
from damsonpick.protocols.platform.watch_snapshot import WatchSnapshot

SLICE = 1


class LateEventsWorld:
    """A registry with one slice whose events and heartbeats may arrive late and whose watch may be interrupted.

    The planner wants one endpoint, the desired endpoint, in the slice's table. It acts at arbitrary times on the events
    that it has received.
    """

    def __init__(self) -> None:
        self.owned, self.store, self.watched, self.undelivered = True, {"p": 1.0}, True, []
        self.pending = PendingOrders(("x",))
        self.registry = Registry(self.pending, 1, 2)
        self.synchronized = False  # True once the watch has delivered its snapshot
        self.new_watch: list | None = None  # watch at a new address, open in parallel to the one that is read
        self.planned: dict[str, float] | None = None
        self.desired = "p"
        self.request = None
        self.applied = False
        self.undelivered.append(self.snapshot())
        self.step("deliver")

    def snapshot(self) -> WatchSnapshot:
        snapshot = WatchSnapshot()
        if self.owned:
            snapshot.tables[SLICE] = dict(self.store)
        return snapshot

    def step(self, name: str) -> None:
        getattr(self, f"do_{name}")()

    def emit(self, *events) -> None:
        if self.watched:
            self.undelivered += events
        if self.new_watch is not None:
            self.new_watch += events

    # -- the registry and its watch

    def do_revoke(self) -> None:
        if self.owned:
            self.owned = False
            self.emit(registry_events.OwnershipChanged(SLICE, False))

    def do_assign(self) -> None:
        if not self.owned:
            self.owned = True
            entries = [registry_events.EntryChanged(SLICE, name, weight) for name, weight in self.store.items()]
            self.emit(registry_events.OwnershipChanged(SLICE, True), *entries)

    def do_change_by_other_pilot(self) -> None:
        if not self.owned:
            self.store = {"r": 1.0}

    def do_heartbeat(self) -> None:
        """Send a heartbeat, unless so many are unread that the pilot would have closed the watch as silent."""
        if self.unread_heartbeats() < MAX_UNREAD_HEARTBEATS:
            self.emit(registry_events.Heartbeat())

    def unread_heartbeats(self) -> int:
        queues = self.undelivered, self.new_watch or ()
        return max(sum(isinstance(event, registry_events.Heartbeat) for event in queue) for queue in queues)

    def do_break_watch(self) -> None:
        self.watched, self.synchronized, self.undelivered, self.new_watch = False, False, [], None

    def do_open_watch(self) -> None:
        if not self.watched:
            self.watched = True
            self.undelivered.append(self.snapshot())

    def do_open_new_watch(self) -> None:
        if self.watched and self.new_watch is None:
            self.new_watch = [self.snapshot()]

    def do_switch_watch(self) -> None:
        """Deliver the snapshot of the new watch: the previous watch is closed, and its unread events are lost."""
        if self.new_watch is not None:
            (snapshot, *self.undelivered), self.new_watch = self.new_watch, None
            self.handle(self.registry.reconcile(snapshot, gap=not self.synchronized))
            self.synchronized = True

    def do_deliver(self) -> None:
        if not self.undelivered:
            return
        event = self.undelivered.pop(0)
        if isinstance(event, WatchSnapshot):
            self.synchronized = True
            self.handle(self.registry.reconcile(event))
        else:
            self.handle(self.registry.apply(event))

    # -- the planner

    def handle(self, events) -> None:
        for event in events:
            if isinstance(event, api.SliceOwnershipChanged):
                self.planned = {} if event.owned else None
            elif isinstance(event, api.StoredEntry):
                self.planned[event.endpoint] = event.weight

    def do_plan(self) -> None:
        if self.planned is None or self.planned == {self.desired: 1.0}:
            return
        self.pending.push([api.SetEntry(SLICE, self.desired, 1.0)])
        self.pending.push([api.SetEntry(SLICE, name, 0.0) for name in self.planned if name != self.desired])
        self.planned = {self.desired: 1.0}

    def do_change_desired(self) -> None:
        self.desired = "q" if self.desired == "p" else "p"

    # -- requests

    def do_send(self) -> None:
        if self.request is None:
            self.request = self.pending.next_request(self.registry.ownership.epoch)
            self.applied = False

    def do_apply(self) -> None:
        if self.request is not None and not self.applied:
            self.applied = True
            for order in self.request.orders if self.owned else ():
                apply_entry(self.store, order)

    def do_respond(self) -> None:
        self.finish(answered=self.applied)

    def do_lose_response(self) -> None:
        self.finish(answered=False)

    def finish(self, answered: bool) -> None:
        request, self.request = self.request, None
        self.applied = False
        if request is None:
            return
        if answered:
            accepted = self.pending.acknowledge(request.orders, len(request.orders)).accepted
            self.registry.apply_accepted_orders(accepted, request.ownership_epoch)
        self.registry.repeat_uncertain(request.orders, request.ownership_epoch)

    # -- possible steps

    def possible_steps(self) -> list[str]:
        """Return the steps that change the state now; a step that is listed twice is chosen twice as often."""
        heartbeats_fit = self.unread_heartbeats() < MAX_UNREAD_HEARTBEATS
        conditions = {
            "revoke": self.owned,
            "assign": not self.owned,
            "change_by_other_pilot": not self.owned and "r" not in self.store,
            "heartbeat": self.watched and heartbeats_fit,
            "break_watch": self.watched,
            "open_watch": not self.watched,
            "open_new_watch": self.watched and self.new_watch is None,
            "switch_watch": self.new_watch is not None,
            "deliver": bool(self.undelivered),
            "plan": self.planned not in (None, {self.desired: 1.0}),
            "change_desired": True,
            "send": self.request is None and not self.pending.is_empty(),
            "apply": self.request is not None and not self.applied,
            "respond": self.applied,
            "lose_response": self.request is not None,
        }
        return [name for name, possible in conditions.items() if possible] + ["deliver"] * bool(self.undelivered)


def check_stored_state_is_known(choices: list[int]) -> None:
    """Check that after any steps the registry finally stores the desired entry, and that pilot and planner know it."""
    world = LateEventsWorld()
    for choice in choices:
        possible = world.possible_steps()
        world.step(possible[choice % len(possible)])
    for step in ["apply", "respond", "open_watch", "switch_watch", *["deliver"] * len(choices) * 4]:
        world.step(step)
    for step in ["heartbeat", "deliver", "plan", "send", "apply", "respond"] * 4:
        world.step(step)
    if world.owned:
        assert world.store == {world.desired: 1.0} == world.registry.tables[SLICE] == world.planned
        assert world.pending.is_empty()


@pytest.mark.parametrize("seed", range(4))
def test_stored_state_is_known_after_late_events_and_broken_watches(seed):
    """Guards against losing entries that an order changed while the ownership changed or a snapshot was created."""
    rng = random.Random(seed)
    for _ in range(1500):
        check_stored_state_is_known([rng.randrange(1 << 20) for _ in range(rng.randrange(40))])


def owned_registry() -> Registry:
    """Return a registry state whose watch has reported one slice with one entry."""
    registry = Registry(PendingOrders(("x",)), 1, 2)
    snapshot = WatchSnapshot()
    snapshot.tables[SLICE] = {"p": 1.0}
    registry.reconcile(snapshot)
    return registry


def test_heartbeats_that_were_on_their_way_do_not_confirm_a_later_request():
    registry = owned_registry()
    registry.repeat_uncertain([api.SetEntry(SLICE, "q", 1.0)], registry.ownership.epoch)  # the outcome is unknown
    for _ in range(MAX_UNREAD_HEARTBEATS):
        registry.apply(registry_events.Heartbeat())
    registry.apply(registry_events.OwnershipChanged(SLICE, False))
    registry.apply(registry_events.OwnershipChanged(SLICE, True))
    registry.apply(registry_events.EntryChanged(SLICE, "p", 1.0))
    assert registry.pending.is_empty(), "entries may still be unread"
    registry.apply(registry_events.Heartbeat())
    assert list(registry.pending) == [api.SetEntry(SLICE, "q", 0.0)]


def test_the_outcome_of_an_order_accepted_beside_a_gap_in_the_watch_is_known():
    """Guards against an older snapshot that replaced accepted entries without an event for the planner."""
    registry = owned_registry()
    orders = api.SetEntry(SLICE, "q", 1.0), api.SetEntry(SLICE, "p", 0.0)
    registry.pending.push(orders)
    request = registry.pending.next_request(registry.ownership.epoch)
    told = [api.SliceOwnershipChanged(SLICE, True), api.StoredEntry(SLICE, "p", 1.0)]
    assert registry.reconcile(snapshot_of({"p": 1.0})) == told
    registry.apply_accepted_orders(registry.pending.acknowledge(request.orders, 2).accepted, request.ownership_epoch)
    registry.repeat_uncertain(request.orders, request.ownership_epoch)
    registry.apply(registry_events.Heartbeat())
    # The table gets the entries that the planner was told of.
    assert set(registry.pending) == {api.SetEntry(SLICE, "p", 1.0), api.SetEntry(SLICE, "q", 0.0)}


def accept(registry, *orders):
    """Let the registry accept orders in a request of their own."""
    registry.pending.push(orders)
    request = registry.pending.next_request(registry.ownership.epoch)
    accepted = registry.pending.acknowledge(request.orders, len(request.orders)).accepted
    registry.apply_accepted_orders(accepted, request.ownership_epoch)
    registry.repeat_uncertain(request.orders, request.ownership_epoch)


def snapshot_of(entries):
    snapshot = WatchSnapshot()
    snapshot.tables[SLICE] = entries
    return snapshot


@pytest.mark.parametrize("newer", [(), (api.ClearTable(SLICE),)])
def test_a_clearing_accepted_beside_a_gap_in_the_watch_is_known(newer):
    """Regression (review, case 3, lost calls): the former owner got its entry back after the table was cleared."""
    registry = owned_registry()
    registry.pending.push([api.ClearTable(SLICE)])
    request = registry.pending.next_request(registry.ownership.epoch)
    # The planner starts the handover again, from the entry that the snapshot contains.
    told = [api.SliceOwnershipChanged(SLICE, True), api.StoredEntry(SLICE, "p", 1.0)]
    assert registry.reconcile(snapshot_of({"p": 1.0})) == told
    registry.apply_accepted_orders(registry.pending.acknowledge(request.orders, 1).accepted, request.ownership_epoch)
    registry.pending.push(newer)
    registry.repeat_uncertain(request.orders, request.ownership_epoch)
    expected = (api.ClearTable(SLICE), api.SetEntry(SLICE, "p", 0.0)) if newer else (api.SetEntry(SLICE, "p", 1.0),)
    assert tuple(registry.pending) == expected


ORDERS_BEFORE_A_CUT = [
    [api.SetEntry(SLICE, "q", 1.0)],
    [api.ClearTable(SLICE), api.SetEntry(SLICE, "q", 1.0)],
    [api.SetAdmission(SLICE, (0,), 0.0, 1)],
]


@pytest.mark.parametrize("orders", ORDERS_BEFORE_A_CUT)
@pytest.mark.parametrize("stored", [{"r": 1.0}, {"p": 1.0}, {}])
def test_orders_from_before_a_cut_do_not_replace_the_owner_that_another_pilot_appointed(orders, stored):
    """Regression (review, case 6): orders pending since before a cut replaced the sole owner appointed meanwhile."""
    registry = owned_registry()
    registry.pending.push([*orders, api.SetWithdrawn("p", True)])
    events = registry.reconcile(snapshot_of(stored), gap=True)
    entries = [api.StoredEntry(SLICE, name, weight) for name, weight in stored.items()]
    assert events == [api.SliceOwnershipChanged(SLICE, True), *entries]
    assert list(registry.pending) == [api.SetWithdrawn("p", True)]


def test_a_table_that_is_empty_before_and_after_a_cut_starts_its_handover_again():
    """Regression (review, case 6): another pilot may have appointed and withdrawn an owner between the two."""
    registry = owned_registry()
    accept(registry, api.ClearTable(SLICE))
    assert registry.reconcile(snapshot_of({}), gap=True) == [api.SliceOwnershipChanged(SLICE, True)]


def test_an_unchanged_table_is_not_reported_again_after_a_gap():
    registry = owned_registry()
    assert registry.reconcile(snapshot_of({"p": 1.0}), gap=True) == []


def test_a_snapshot_older_than_a_handover_does_not_bring_the_former_owner_back():
    """Regression (review, case 3, moved watches): the planner kept the former owner while proxies wrote to the new."""
    registry = owned_registry()
    accept(registry, api.ClearTable(SLICE))
    accept(registry, api.SetEntry(SLICE, "q", 1.0))
    assert registry.reconcile(snapshot_of({"p": 1.0}), gap=False) == []
    registry.apply(registry_events.Heartbeat())
    assert set(registry.pending) == {api.SetEntry(SLICE, "q", 1.0), api.SetEntry(SLICE, "p", 0.0)}


def test_an_owner_that_another_pilot_appointed_during_a_gap_is_kept():
    """Regression (review, case 3, takeovers): after a cut, the entry ordered before it replaced the new owner's."""
    registry = owned_registry()
    accept(registry, api.ClearTable(SLICE))
    accept(registry, api.SetEntry(SLICE, "q", 1.0))
    events = registry.reconcile(snapshot_of({"r": 1.0}), gap=True)
    assert events == [api.SliceOwnershipChanged(SLICE, True), api.StoredEntry(SLICE, "r", 1.0)]
    registry.apply(registry_events.Heartbeat())
    assert not [order for order in registry.pending if isinstance(order, api.SetEntry) and order.weight > 0]


@pytest.mark.parametrize("sent_before", [True, False])
def test_an_entry_rejected_after_a_request_without_an_answer_is_ordered_again_as_desired(sent_before):
    """Regression (soak seed 89): a request without a response had stored the entry, but the pilot assumed it absent."""
    registry = owned_registry()
    registry.pending.push([api.SetEntry(SLICE, "q", 1.0)])
    request = registry.pending.next_request(registry.ownership.epoch)
    if sent_before:
        registry.repeat_uncertain(request.orders, request.ownership_epoch)  # the outcome of the request is unknown
    rejected = registry.pending.acknowledge(request.orders, 0).rejected
    assert registry.rejection_events(rejected)[0] == api.SliceOwnershipChanged(SLICE, True)
    registry.apply(registry_events.Heartbeat())
    assert list(registry.pending) == ([api.SetEntry(SLICE, "q", 0.0)] if sent_before else [])
