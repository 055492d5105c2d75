"""Plans of rollbacks, and the filter of actions while tables are pinned."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from damsonpick import interface as api
from damsonpick.state.history import rollback
from damsonpick.state.history.pin import Pin
from damsonpick.state.history.version import slice_entries, unit_content
from damsonpick.state.published_tables import PublishedTables


def order(table, endpoint, weight):
    return api.SetEntry(table, endpoint, weight)


def test_rollback_never_routes_to_unroutable_nor_adds_to_warming_up_nor_empties_a_slice():
    target = {
        "slice/0": {"line a": 1.0, "line gone": 2.0},
        "slice/1": {"line gone": 1.0},
        "slice/2": {"line cold": 5.0, "line a": 1.0},
        "slice/3": {"line cold": 1.0},
    }
    tables = {0: {"b": 1.0}, 1: {"b": 1.0}, 2: {"cold": 1.0}, 3: {"b": 2.0}}
    plan = rollback.plan_rollback(target, tables, lambda n: n == "gone", lambda n: n == "cold")
    after = {n: dict(t) for n, t in tables.items()}
    for action in plan.actions:
        if action.weight:
            after[action.table][action.endpoint] = action.weight
        else:
            del after[action.table][action.endpoint]
    assert after == {0: {"a": 1.0}, 1: {"b": 1.0}, 2: {"cold": 1.0, "a": 1.0}, 3: {"b": 2.0}}
    assert {(k.slice, k.endpoint) for k in plan.kept} == {(0, "gone"), (1, ""), (2, "cold"), (3, "")}


@given(st.randoms(use_true_random=False))
@settings(max_examples=60)
def test_any_rollback_is_safe(rng):
    servers = [f"s{k}" for k in range(6)]
    unroutable, warming_up = set(rng.sample(servers, 2)), set(rng.sample(servers, 2))

    def table():
        return {n: rng.choice((1.0, 2.0)) for n in rng.sample(servers, rng.randint(1, 4))}

    tables = {k: table() for k in range(4)}
    target = {f"slice/{k}": {f"line {n}": w for n, w in table().items()} for k in range(4)}
    plan = rollback.plan_rollback(target, tables, unroutable.__contains__, warming_up.__contains__)
    published = PublishedTables(("page",), 4)
    for k, entries in tables.items():
        published.restore(k, entries)
    published.apply(plan.actions)
    for k in range(4):
        current, previous = published.tables[k], tables[k]
        assert not any(n in unroutable and n not in previous for n in current)
        assert all(w <= previous.get(n, 0.0) or n not in warming_up for n, w in current.items())
        if any(n not in unroutable for n in previous):
            assert any(n not in unroutable for n in current), "the slice keeps a routable entry"


def test_pin_passes_safety_actions_and_holds_back_the_rest():
    pin = Pin()
    pin.set(3, 100)
    tables = {0: {"a": 1.0, "b": 1.0}, 1: {"a": 1.0}}
    orders = [
        order(0, "c", 1.0),
        order(0, "a", 0.0),
        order(1, "a", 0.0),
        order(1, "b", 1.0),
        order(1, "a", 0.0),
        api.SetWithdrawn("a", True),
        api.SetAdmission(None, (0,), 0.5, 1),
        api.ClearTable(0),
        order(0, "b", 2.0),
    ]
    passed, held_back = pin.filter_actions(orders, tables, lambda n: n == "a", lambda table, k: 0.0)
    assert (
        passed
        == [
            order(0, "a", 0.0),
            order(1, "b", 1.0),
            order(1, "a", 0.0),
            api.SetWithdrawn("a", True),
            api.SetAdmission(None, (0,), 0.5, 1),
        ]
        and held_back == 4
    )
    assert pin.is_active(99) and not pin.is_active(100)
    with pytest.raises(ValueError, match="the pin has been changed meanwhile"):
        pin.check_generation(0)
    assert slice_entries({"slice/1": {"line a": 2.0, "level 0": 0.5}}, 1) == {"a": 2.0}


def test_pin_lets_a_sole_owner_that_is_unroutable_be_replaced():
    """Regression (review, case 3, daemon): the clearing was held back, and the table had two owners afterwards."""
    pin = Pin()
    pin.set(3, 100)
    tables = {0: {"a": 1.0}, 1: {"b": 1.0}}
    orders = [api.ClearTable(0), order(0, "c", 1.0), api.ClearTable(0), api.ClearTable(1), order(1, "c", 1.0)]
    passed, held_back = pin.filter_actions(orders, tables, lambda name: name == "a", lambda table, k: 0.0)
    assert passed == [api.ClearTable(0), order(0, "c", 1.0)] and held_back == 3


def test_rolled_back_levels_may_fall_and_not_rise_until_the_pin_ends():
    published = PublishedTables(("page", "tally"), 2)
    published.apply([api.SetAdmission(None, (0, 1), 0.5, 1), api.SetAdmission(1, (1,), 0.25, 0)])
    target = {unit: unit_content(published, unit) for unit in published.units()}
    published.apply([api.SetAdmission(None, (0, 1), 1.0, 0), api.SetAdmission(1, (1,), 1.0, 2)])
    present = {unit: unit_content(published, unit) for unit in published.units()}
    published.apply(rollback.plan_admission(target, present, 2))
    assert {unit: unit_content(published, unit) for unit in published.units()} == target
    assert not rollback.plan_admission(target, target, 2)
    pin = Pin()
    pin.set(3, 100, caps_levels=True)
    lower, higher = api.SetAdmission(None, (0,), 0.3, 1), api.SetAdmission(None, (0,), 0.9, 1)
    assert pin.filter_actions([lower, higher], published.tables, lambda n: False, published.level) == ([lower], 1)
    pin.set(3, 100)
    assert pin.filter_actions([lower, higher], published.tables, lambda n: False, published.level) == (
        [lower, higher],
        0,
    )


def test_a_pin_that_caps_levels_lets_cuts_for_all_classes_and_unchanged_levels_pass():
    """Regression: the pin held back a cut for all classes in an overload, and also actions that change no level."""
    published = PublishedTables(("page", "tally"), 2)
    published.apply([api.SetAdmission(None, (0, 1), 0.5, 1)])
    pin = Pin()
    pin.set(3, 100, caps_levels=True)
    cut, same = api.SetAdmission(None, (), 0.3, 1), api.SetAdmission(None, (0,), 0.5, 0)
    rise = api.SetAdmission(None, (), 0.9, 1)
    passed, held_back = pin.filter_actions([cut, same, rise], published.tables, lambda n: False, published.level, 2)
    assert passed == [cut, same] and held_back == 1
    published.apply([api.SetAdmission(None, (1,), 0.2, 1)])
    mixed = api.SetAdmission(None, (0, 1), 0.3, 1)  # lowers the level of one class and raises that of the other
    assert pin.filter_actions([mixed], published.tables, lambda n: False, published.level, 2) == ([mixed], 0)
