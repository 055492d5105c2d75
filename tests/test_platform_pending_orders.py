"""Tests of pending orders: they are merged, split into requests and safe to resend."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from damsonpick import interface as api
from damsonpick.decisions.flow_control import FlowControl
from damsonpick.protocols.platform.pending_orders import MAX_REQUEST_BYTES, PendingOrders
from damsonpick.protocols.platform.rejected_orders import RejectedOrders
from damsonpick.protocols.platform.stored_state import apply_entry
from tests.helpers import settings as planner_settings

ORDERS = st.one_of(
    st.builds(api.SetEntry, st.integers(0, 2), st.sampled_from("pq"), st.sampled_from([0.0, 1.0, 2.0])),
    st.builds(api.SetWithdrawn, st.sampled_from("pq"), st.booleans()),
    st.builds(lambda level: api.SetAdmission(None, (0,), level, 1), st.sampled_from([0.5, 1.0])),
    st.builds(api.ClearTable, st.integers(0, 2)),
    st.builds(api.RequestSync, st.integers(0, 9), st.just(True)),
)


class Store:
    """The state that results from applying orders one after another."""

    def __init__(self) -> None:
        self.state: dict = {}

    def apply(self, order) -> None:
        if isinstance(order, api.SetEntry):
            self.state[order.table, order.endpoint] = order.weight
        elif isinstance(order, api.SetWithdrawn):
            self.state[order.endpoint] = order.withdrawn
        elif isinstance(order, api.SetAdmission):
            self.state["level"] = order.level
        elif isinstance(order, api.ClearTable):
            self.state |= {key: 0.0 for key in self.state if isinstance(key, tuple) and key[0] == order.table}

    def present(self) -> dict:
        return {key: value for key, value in self.state.items() if value}


@settings(max_examples=300)
@given(
    st.lists(
        st.tuples(st.lists(ORDERS, max_size=4), st.sampled_from(["taken", "lost", "cut", "busy", "part"])), max_size=12
    )
)
def test_any_outcomes_end_in_the_desired_state(steps):
    """The outcomes: "taken" accepts all orders; "lost" applies them without a response; "part" rejects one entry.

    "cut" and "busy" apply no order.
    """
    pending, desired, store = PendingOrders(("x",)), Store(), Store()
    for pushed, outcome in [*steps, ([], "taken"), ([], "taken"), ([], "taken")]:
        pending.push(pushed)
        for order in pushed:
            desired.apply(order)
        request = pending.next_request(0)
        if request is None:
            continue
        half, count = len(request.orders) // 2, len(request.orders)
        if outcome == "part":  # the registry rejects an entry for an endpoint that it does not know
            entries = [k for k in range(half, count) if isinstance(request.orders[k], api.SetEntry)]
            count = entries[0] if entries else count
        if outcome in ("taken", "lost", "part"):
            for order in request.orders[:count]:
                store.apply(order)
        if outcome in ("taken", "part"):
            rejected = pending.acknowledge(request.orders, count).rejected
            if rejected is not None:  # only this order is dropped, and its entry is no longer desired
                key = rejected.table, rejected.endpoint
                desired.state[key] = store.state.get(key)
    assert pending.is_empty() and store.present() == desired.present()


def test_requests_are_cut_between_orders_and_sync_tokens_go_last():
    pending = PendingOrders(("x",), token_offset=70)
    pending.push([api.SetEntry(n, "s-" + "x" * 80, 1.0) for n in range(1000)] + [api.RequestSync(3, True)])
    first = pending.next_request(0)
    assert len(first.body) <= MAX_REQUEST_BYTES and 0 < len(first.orders) < 1000
    while (last := pending.next_request(0)).orders != tuple(pending):
        pending.acknowledge(last.orders, len(last.orders))
    assert json.loads(last.body)["ops"][-1] == {"op": "SYNC", "nonce_out": 73, "on": 1}
    assert pending.codec.decode_token(73) == 3


TARGETS = st.lists(
    st.tuples(
        st.integers(0, 1),
        st.sets(st.sampled_from("pqrs"), min_size=1),
        st.sampled_from(["taken", "lost", "cut", "wait"]),
        st.integers(1, 4),
    ),
    max_size=14,
)


@settings(max_examples=400)
@given(TARGETS)
def test_no_table_is_empty_between_the_orders_of_any_steps(steps):
    """Make before break, in the sequence that the planner orders, holds wherever the orders are split into requests and
    whether a request is applied or not."""
    pending, store = PendingOrders(("x",)), {0: {"p": 1.0}, 1: {"q": 1.0}}
    ordered = {table: set(entries) for table, entries in store.items()}
    for table, target, outcome, length in [*steps, *((table, {"s"}, "taken", 99) for table in (0, 1))]:
        added, removed = sorted(target - ordered[table]), sorted(ordered[table] - target)
        pending.push(api.SetEntry(table, endpoint, 1.0) for endpoint in added)
        pending.push(api.SetEntry(table, endpoint, 0.0) for endpoint in removed)
        ordered[table] = set(target)
        sent = tuple(pending)[:length]
        if outcome in ("taken", "lost"):
            for order in sent:
                apply_entry(store[order.table], order)
                assert store[order.table], (order, sent)
        if outcome == "taken":
            pending.acknowledge(sent, len(sent))
    assert pending.is_empty() and store == {0: {"s": 1.0}, 1: {"s": 1.0}}


def test_the_last_order_counts_and_an_endpoint_is_restored_behind_its_entries():
    pending = PendingOrders(("x", "y"))
    pending.push([api.SetAdmission(3, (0,), 0.5, 1), api.SetAdmission(None, (0,), 0.2, 1), api.SetWithdrawn("p", True)])
    pending.push([api.SetEntry(1, "q", 1.0), api.SetEntry(1, "p", 0.0), api.SetAdmission(3, (0,), 0.9, 1)])
    pending.push([api.SetWithdrawn("p", False), api.RequestSync(4, True)])
    assert tuple(pending) == (
        api.SetAdmission(None, (0,), 0.2, 1),
        api.SetEntry(1, "q", 1.0),
        api.SetEntry(1, "p", 0.0),
        api.SetAdmission(3, (0,), 0.9, 1),
        api.SetWithdrawn("p", False),
        api.RequestSync(4, True),
    )
    pending.push([api.SetWithdrawn("p", True)])
    assert tuple(pending)[4] == api.SetWithdrawn("p", True)


@pytest.mark.parametrize("remove", ["clear", "change of ownership"])
def test_a_level_of_a_table_is_not_sent_after_the_event_that_removes_it(remove):
    """Regression (review, case 3, lost calls): the level 0 that stops writes would hold after the handover."""
    pending = PendingOrders(("x", "y"))
    stop = api.SetAdmission(3, (1,), 0.0, 1)
    elsewhere = api.SetAdmission(4, (1,), 0.0, 1)
    pending.push([stop, elsewhere])
    if remove == "clear":
        pending.push([api.ClearTable(3)])
    else:
        pending.discard_table(3)
    assert stop not in list(pending) and elsewhere in list(pending)


def test_a_rejected_level_of_a_table_is_not_resent_after_the_table_is_cleared():
    """Regression (review, case 3, rejected calls): the level 0 that stops writes would hold after the handover."""
    rejected = RejectedOrders()
    rejected.add(api.SetAdmission(3, (1,), 0.0, 1), 0, now_s=0.0)
    rejected.supersede([api.ClearTable(3)])
    assert rejected.take_due(now_s=60.0) == []


def test_acknowledgements_of_a_failed_planner_do_not_count_for_the_next_one():
    """Regression (review, case 3, restarts): a new planner took them for its own, and gave a slice away too early."""
    pending = PendingOrders(("x",), token_offset=65_530)
    old_tokens = [_wire_token(pending, api.RequestSync(token, True)) for token in (1, 2, 9)]
    pending.push([api.RequestSync(10, True)])
    pending.start_planner()
    assert pending.is_empty()
    new_planner = FlowControl(planner_settings())
    new_planner.add_proxy(0, "a")
    for _ in range(9):
        new_planner.send(0, 1, True)
    for token in old_tokens:
        new_planner.acknowledge(0, pending.codec.decode_token(token))
    assert new_planner.acknowledged_by_all() == 0
    new_planner.acknowledge(0, pending.codec.decode_token(_wire_token(pending, api.RequestSync(9, True))))
    assert new_planner.acknowledged_by_all() == 9


def _wire_token(pending, order):
    return json.loads(pending.codec.encode(order))["nonce_out"]
