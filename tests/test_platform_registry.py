"""Tests of the known state of the registry: snapshots, events and orders with uncertain outcome or ownership."""

from __future__ import annotations

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from damsonpick import interface as api
from damsonpick.protocols.platform import registry_events
from damsonpick.protocols.platform.pending_orders import PendingOrders
from damsonpick.protocols.platform.registry import MAX_WITHDRAWN_ENDPOINTS, Registry
from damsonpick.protocols.platform.stored_state import apply_entry
from damsonpick.protocols.platform.watch_snapshot import WatchSnapshot


def snapshot(members=(), **tables) -> WatchSnapshot:
    """Return a snapshot with proxies (number, fresh) and tables; `t3="pq"` puts endpoints p and q into slice 3."""
    result = WatchSnapshot()
    for proxy, fresh in members:
        result.apply(registry_events.ProxyAttached(proxy, "a", fresh))
    for name, endpoints in tables.items():
        result.apply(registry_events.OwnershipChanged(int(name[1:]), True))
        for endpoint in endpoints:
            result.apply(registry_events.EntryChanged(int(name[1:]), endpoint, 1.0))
    return result


class OwnershipWorld:
    """A registry whose only slice is revoked and assigned again, undelivered events, and a planner's desired entry."""

    def __init__(self) -> None:
        self.owned, self.store, self.undelivered = True, {"p": 1.0}, []
        self.pending = PendingOrders(("x",))
        self.registry = Registry(self.pending, 1, 2)
        self.planned: dict[str, float] | None = None
        self.desired = "p"
        self.request = None
        self.applied = False
        self.handle(self.registry.reconcile(snapshot(t1="p")))

    def handle(self, events) -> None:
        for event in events:
            if isinstance(event, api.SliceOwnershipChanged):
                self.planned = {} if event.owned else None
            elif isinstance(event, api.StoredEntry):
                self.planned[event.endpoint] = event.weight
        self.plan()

    def plan(self) -> None:
        if self.planned is None or self.planned == {self.desired: 1.0}:
            return
        self.pending.push([api.SetEntry(1, self.desired, 1.0)])
        self.pending.push([api.SetEntry(1, endpoint, 0.0) for endpoint in self.planned if endpoint != self.desired])
        self.planned = {self.desired: 1.0}

    def step(self, name: str) -> None:
        getattr(self, f"do_{name}")()

    def do_revoke(self) -> None:
        if self.owned:
            self.owned = False
            self.undelivered.append(registry_events.OwnershipChanged(1, False))

    def do_assign(self) -> None:
        if self.owned:
            return
        self.owned = True
        if len(self.undelivered) % 2:  # in the meantime another pilot has changed the table
            self.store = {"r": 1.0}
        self.undelivered.append(registry_events.OwnershipChanged(1, True))
        self.undelivered += [registry_events.EntryChanged(1, name, weight) for name, weight in self.store.items()]

    def do_deliver(self) -> None:
        if self.undelivered:
            self.handle(self.registry.apply(self.undelivered.pop(0)))

    def do_desire_p(self) -> None:
        self.desired = "p"
        self.plan()

    def do_desire_q(self) -> None:
        self.desired = "q"
        self.plan()

    def do_send(self) -> None:
        if self.request is None:
            self.request = self.pending.next_request(self.registry.ownership.epoch)
            self.applied = False

    def do_apply(self) -> None:
        if self.request is None or self.applied:
            return
        self.applied = True
        if self.owned:
            for order in self.request.orders:
                apply_entry(self.store, order)

    def do_respond(self) -> None:
        self._finish(answered=self.applied)

    def do_lose_response(self) -> None:
        self._finish(answered=False)

    def _finish(self, answered: bool) -> None:
        request, self.request = self.request, None
        if request is None:
            return
        if answered:
            accepted = self.pending.acknowledge(request.orders, len(request.orders)).accepted
            self.registry.apply_accepted_orders(accepted, request.ownership_epoch)
        self.registry.repeat_uncertain(request.orders, request.ownership_epoch)


STEPS = st.sampled_from(
    ["revoke", "assign", "deliver", "desire_p", "desire_q", "send", "apply", "respond", "lose_response"]
)


def check_stored_state_is_known(steps: list[str]) -> None:
    """Check that after any steps the registry finally stores the desired entry, and that the pilot knows it."""
    world = OwnershipWorld()
    for step in steps:
        world.step(step)
    for step in [*["deliver"] * 40, *["apply", "respond", "send", "deliver"] * 4]:
        world.step(step)
    world.handle(world.registry.apply(registry_events.Heartbeat()))  # the heartbeat follows all reported events
    for step in ["send", "apply", "respond"] * 2:
        world.step(step)
    if world.owned:
        assert world.store == {world.desired: 1.0} == world.registry.tables[1] and world.pending.is_empty()


def test_stored_state_is_known_after_an_ownership_change_during_a_request():
    check_stored_state_is_known(["revoke", "assign", "desire_q", "desire_p", "send", "apply", "desire_q", "respond"])


@settings(max_examples=1500, deadline=None)
@example(["revoke", "assign", "desire_q", "desire_p", "send", "apply", "desire_q", "respond"])
# The response to a request is lost.
@example(["revoke", "assign", "desire_q", "desire_p", "send", "apply", "lose_response", "desire_q"])
@given(st.lists(STEPS, max_size=40))
def test_stored_state_is_known_after_any_order_of_events_and_outcomes(steps):
    check_stored_state_is_known(steps)


def test_orders_of_an_earlier_ownership_are_not_applied_in_a_later_one():
    pending = PendingOrders(("x",))
    registry = Registry(pending, 4, 4)
    registry.apply(registry_events.OwnershipChanged(1, True))
    pending.push([api.SetEntry(1, "p", 1.0), api.SetEntry(2, "p", 1.0)])
    registry.apply(registry_events.OwnershipChanged(1, False))
    assert [order.table for order in pending] == [2]


def test_a_snapshot_after_a_gap_is_told_as_the_difference():
    registry = Registry(PendingOrders(("x",)), 8, 8)
    registry.reconcile(snapshot([(0, True), (1, True)], t1="p", t2="q", t3="r"))
    events = registry.reconcile(snapshot([(1, True), (2, False)], t1="p", t2="pq"))
    assert events == [
        api.SliceOwnershipChanged(3, False),
        api.SliceOwnershipChanged(2, True),
        api.StoredEntry(2, "p", 1.0),
        api.StoredEntry(2, "q", 1.0),
        api.ProxyLeft(0),
        api.ProxyLeft(1),
        api.ProxyJoined(1, "a", 0.0, False),
        api.ProxyJoined(2, "a", 0.0, False),
    ]


def test_a_snapshot_without_a_gap_tells_only_proxies_that_differ():
    registry = Registry(PendingOrders(("x",)), 8, 8)
    registry.reconcile(snapshot([(0, True), (1, True), (2, False)], t1="p"))
    events = registry.reconcile(snapshot([(0, True), (1, False), (3, True)], t1="p"), gap=False)
    assert events == [
        api.ProxyLeft(1),
        api.ProxyLeft(2),
        api.ProxyJoined(1, "a", 0.0, False),
        api.ProxyJoined(3, "a", 0.0, True),
    ]
    assert set(registry.proxies) == {0, 1, 3}


def test_changes_by_a_request_of_unknown_outcome_are_no_difference():
    pending = PendingOrders(("x",))
    registry = Registry(pending, 8, 8)
    registry.reconcile(snapshot(t1="p"))
    pending.push([api.SetEntry(1, "q", 1.0), api.SetEntry(1, "p", 0.0)])
    pending.next_request(registry.ownership.epoch)
    assert registry.reconcile(snapshot(t1="q"), gap=False) == [] == registry.reconcile(snapshot(t1="p"), gap=False)
    # After a gap, the table is another pilot's or the former one, and the planner decides again.
    events = registry.reconcile(snapshot(t1="q"), gap=True)
    assert events == [api.SliceOwnershipChanged(1, True), api.StoredEntry(1, "q", 1.0)] and pending.is_empty()


def test_events_of_unknown_proxies_and_slices_or_without_a_change_are_ignored():
    registry = Registry(PendingOrders(("x",)), 8, 8)
    registry.reconcile(snapshot([(0, True)], t1="p"))
    for event in (
        registry_events.SyncCompleted(5, 1),
        registry_events.ProxyDetached(5),
        registry_events.EntryChanged(1, "p", 1.0),
        registry_events.EntryChanged(7, "p", 1.0),
        registry_events.ProxyAttached(99, "a", True),
        registry_events.OwnershipChanged(99, True),
    ):
        assert registry.apply(event) == []
    assert registry.apply(registry_events.ProxyAttached(0, "a", True))[0] == api.ProxyLeft(0)


def test_kept_withdrawals_are_bounded():
    registry = Registry(PendingOrders(("x",)), 8, 8)
    count = 3 * MAX_WITHDRAWN_ENDPOINTS
    for number in range(count):
        registry.apply_accepted_orders((api.SetWithdrawn(f"s{number}", True),), registry.ownership.epoch)
    assert len(registry.withdrawn) == MAX_WITHDRAWN_ENDPOINTS and f"s{count - 1}" in registry.withdrawn


def test_a_new_planner_is_told_pending_withdrawals_and_levels():
    pending = PendingOrders(("x", "y"))
    registry = Registry(pending, 8, 8)
    accepted = api.SetWithdrawn("p", True), api.SetWithdrawn("q", True), api.SetAdmission(None, (0, 1), 0.9, 1)
    registry.apply_accepted_orders(accepted, registry.ownership.epoch)
    pending.push([api.SetWithdrawn("r", True), api.SetWithdrawn("q", False), api.SetAdmission(None, (1,), 0.4, 1)])
    assert registry.initial_events() == [api.FleetRestored((0.9, 0.4), ("p", "r"), 0.0, 0.0)]


def test_a_new_planner_is_told_the_stored_state_and_pending_orders():
    registry = Registry(PendingOrders(("x", "y")), 8, 8)
    registry.reconcile(snapshot([(0, True)], t1="p"))
    accepted = api.SetWithdrawn("p", True), api.SetAdmission(None, (1,), 0.5, 1), api.SetEntry(1, "q", 1.0)
    registry.apply_accepted_orders(accepted, registry.ownership.epoch)
    events = registry.initial_events()
    assert api.FleetRestored((1.0, 0.5), ("p",), 0.0, 0.0) in events and api.StoredEntry(1, "q", 1.0) in events
    assert events[-1] == api.ProxyJoined(0, "a", 0.0, False)


OWNED, ENTRY = registry_events.OwnershipChanged(1, True), registry_events.EntryChanged(1, "p", 1.0)
TOLD = [api.SliceOwnershipChanged(1, True), api.StoredEntry(1, "p", 1.0)]


def test_a_slice_whose_entry_is_read_later_is_not_reported_as_empty():
    """Regression (review, case 8): the table of a slice was emptied, as its entry came with the next read."""
    registry = Registry(PendingOrders(("x",)), 8, 8)
    assert registry.apply(OWNED) == []
    assert registry.initial_events() == [], "a planner that replaces a failed one waits as well"
    assert registry.apply(ENTRY) == TOLD
    assert registry.apply(registry_events.EntryChanged(1, "q", 2.0)) == [api.StoredEntry(1, "q", 2.0)]
    assert registry.initial_events() == [*TOLD, api.StoredEntry(1, "q", 2.0)]


@pytest.mark.parametrize(
    "event",
    [
        registry_events.Heartbeat(),
        registry_events.OwnershipChanged(2, True),
        registry_events.OwnershipChanged(1, False),
        registry_events.EntryChanged(3, "p", 1.0),
        registry_events.ProxyAttached(0, "a", True),
        registry_events.SyncCompleted(0, 1),
    ],
)
def test_the_next_event_shows_that_the_table_of_a_slice_is_empty(event):
    registry = Registry(PendingOrders(("x",)), 8, 8)
    assert registry.apply(OWNED) == []
    assert registry.apply(event)[:1] == [api.SliceOwnershipChanged(1, True)]


@pytest.mark.parametrize("gap", [True, False])
def test_a_snapshot_completes_a_slice_whose_entry_has_not_been_read(gap):
    registry = Registry(PendingOrders(("x",)), 8, 8)
    registry.apply(OWNED)
    assert registry.reconcile(snapshot(t1="p"), gap) == TOLD
    assert registry.apply(registry_events.Heartbeat()) == []
    registry.apply(registry_events.OwnershipChanged(2, True))
    assert registry.reconcile(snapshot(t1="p"), gap) == [], "the slice was taken away before it was reported"
    assert list(registry.tables) == [1]
