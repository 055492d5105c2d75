"""Orders in flight while the ownership of a slice changes, with events that come late and watches that break."""

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
    """A registry with one slice, whose events and heartbeats are on their way for any time, and whose watch may break.

    The planner keeps the slice on one desired endpoint, and acts at times of its own on what it has been told.
    """

    def __init__(self) -> None:
        self.owned, self.store, self.watched, self.undelivered = True, {"p": 1.0}, True, []
        self.pending = PendingOrders(("x",))
        self.registry = Registry(self.pending, 1, 2)
        self.synchronized = False  # the watch has told its snapshot
        self.new_watch: list | None = None  # at another address, beside the one that is read
        self.planned: dict[str, float] | None = None
        self.desired = "p"
        self.request = None
        self.applied = False
        self.undelivered.append(self.snapshot())
        self.step("deliver")

    def snapshot(self) -> WatchSnapshot:
        made = WatchSnapshot()
        if self.owned:
            made.tables[SLICE] = dict(self.store)
        return made

    def step(self, name: str) -> None:
        getattr(self, f"do_{name}")()

    def tell(self, *events) -> None:
        if self.watched:
            self.undelivered += events
        if self.new_watch is not None:
            self.new_watch += events

    # -- the registry and its watch

    def do_take(self) -> None:
        if self.owned:
            self.owned = False
            self.tell(registry_events.OwnershipChanged(SLICE, False))

    def do_give(self) -> None:
        if not self.owned:
            self.owned = True
            entries = [registry_events.EntryChanged(SLICE, name, weight) for name, weight in self.store.items()]
            self.tell(registry_events.OwnershipChanged(SLICE, True), *entries)

    def do_other_pilot(self) -> None:
        if not self.owned:
            self.store = {"r": 1.0}

    def do_beat(self) -> None:
        """A heartbeat is sent; with too many of them unread the pilot would take the watch for silent."""
        if self.unread_heartbeats() < MAX_UNREAD_HEARTBEATS:
            self.tell(registry_events.Heartbeat())

    def unread_heartbeats(self) -> int:
        queues = self.undelivered, self.new_watch or ()
        return max(sum(isinstance(event, registry_events.Heartbeat) for event in queue) for queue in queues)

    def do_break_watch(self) -> None:
        self.watched, self.synchronized, self.undelivered, self.new_watch = False, False, [], None

    def do_open_watch(self) -> None:
        if not self.watched:
            self.watched = True
            self.undelivered.append(self.snapshot())

    def do_move(self) -> None:
        if self.watched and self.new_watch is None:
            self.new_watch = [self.snapshot()]

    def do_switch(self) -> None:
        """The new watch has sent its snapshot: the former one is closed, and what is unread on it is lost."""
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

    def do_want(self) -> None:
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

    def do_answer(self) -> None:
        self.finish(answered=self.applied)

    def do_lose(self) -> None:
        self.finish(answered=False)

    def finish(self, answered: bool) -> None:
        request, self.request = self.request, None
        self.applied = False
        if request is None:
            return
        if answered:
            accepted = self.pending.acknowledge(request.orders, len(request.orders)).accepted
            self.registry.orders_accepted(accepted, request.ownership_epoch)
        self.registry.repeat_uncertain(request.orders, request.ownership_epoch)

    # -- what can happen next

    def possible_steps(self) -> list[str]:
        """Steps that change anything now; a step named twice is taken twice as often."""
        heartbeats_fit = self.unread_heartbeats() < MAX_UNREAD_HEARTBEATS
        conditions = {
            "take": self.owned,
            "give": not self.owned,
            "other_pilot": not self.owned and "r" not in self.store,
            "beat": self.watched and heartbeats_fit,
            "break_watch": self.watched,
            "open_watch": not self.watched,
            "move": self.watched and self.new_watch is None,
            "switch": self.new_watch is not None,
            "deliver": bool(self.undelivered),
            "plan": self.planned not in (None, {self.desired: 1.0}),
            "want": True,
            "send": self.request is None and not self.pending.is_empty(),
            "apply": self.request is not None and not self.applied,
            "answer": self.applied,
            "lose": self.request is not None,
        }
        return [name for name, possible in conditions.items() if possible] + ["deliver"] * bool(self.undelivered)


def check_stored_state_is_known(choices: list[int]) -> None:
    """Whatever happened, the registry ends up storing what is desired; the pilot and its planner know it."""
    world = LateEventsWorld()
    for choice in choices:
        possible = world.possible_steps()
        world.step(possible[choice % len(possible)])
    for step in ["apply", "answer", "open_watch", "switch", *["deliver"] * len(choices) * 4]:
        world.step(step)
    for step in ["beat", "deliver", "plan", "send", "apply", "answer"] * 4:
        world.step(step)
    if world.owned:
        assert world.store == {world.desired: 1.0} == world.registry.tables[SLICE] == world.planned
        assert world.pending.is_empty()


@pytest.mark.parametrize("seed", range(4))
def test_stored_state_is_known_after_late_events_and_broken_watches(seed):
    """Entries that an order has changed beside a change of ownership or a snapshot must not be forgotten."""
    draw = random.Random(seed)
    for _ in range(1500):
        check_stored_state_is_known([draw.randrange(1 << 20) for _ in range(draw.randrange(40))])


def owned_registry() -> Registry:
    """A registry whose watch has told one slice with one entry."""
    registry = Registry(PendingOrders(("x",)), 1, 2)
    made = WatchSnapshot()
    made.tables[SLICE] = {"p": 1.0}
    registry.reconcile(made)
    return registry


def test_heartbeats_that_were_on_their_way_do_not_confirm_a_later_request():
    registry = owned_registry()
    registry.repeat_uncertain([api.SetEntry(SLICE, "q", 1.0)], registry.ownership.epoch)  # its outcome is unknown
    for _ in range(MAX_UNREAD_HEARTBEATS):
        registry.apply(registry_events.Heartbeat())
    registry.apply(registry_events.OwnershipChanged(SLICE, False))
    registry.apply(registry_events.OwnershipChanged(SLICE, True))
    registry.apply(registry_events.EntryChanged(SLICE, "p", 1.0))
    assert registry.pending.is_empty(), "entries may be on their way still"
    registry.apply(registry_events.Heartbeat())
    assert list(registry.pending) == [api.SetEntry(SLICE, "q", 0.0)]


def test_an_order_accepted_beside_a_gap_in_the_watch_stays_wanted():
    """Entries were put back to the snapshot's, which was older; the planner was not told."""
    registry = owned_registry()
    orders = api.SetEntry(SLICE, "q", 1.0), api.SetEntry(SLICE, "p", 0.0)
    registry.pending.push(orders)
    request = registry.pending.next_request(registry.ownership.epoch)
    made = WatchSnapshot()
    made.tables[SLICE] = {"p": 1.0}
    assert registry.reconcile(made) == []
    registry.orders_accepted(registry.pending.acknowledge(request.orders, 2).accepted, request.ownership_epoch)
    registry.repeat_uncertain(request.orders, request.ownership_epoch)
    assert tuple(registry.pending) == orders


@pytest.mark.parametrize("sent_before", [True, False])
def test_an_entry_rejected_after_a_request_without_an_answer_is_ordered_again_as_desired(sent_before):
    """Soak seed 89: the entry was stored by the unanswered request, and the pilot took it for absent."""
    registry = owned_registry()
    registry.pending.push([api.SetEntry(SLICE, "q", 1.0)])
    request = registry.pending.next_request(registry.ownership.epoch)
    if sent_before:
        registry.repeat_uncertain(request.orders, request.ownership_epoch)  # its outcome is unknown
    rejected = registry.pending.acknowledge(request.orders, 0).rejected
    assert registry.rejection_events(rejected)[0] == api.SliceOwnershipChanged(SLICE, True)
    registry.apply(registry_events.Heartbeat())
    assert list(registry.pending) == ([api.SetEntry(SLICE, "q", 0.0)] if sent_before else [])
