"""Versions of the tables: digests, history, store, the way back, and the protocol between pilot and gateway."""

from __future__ import annotations

import random
import shutil
import sqlite3

import pytest
import structlog
from hypothesis import given, settings
from hypothesis import strategies as st

from damsonpick import interface as api
from damsonpick.state.history import rollback, root_statement
from damsonpick.state.history.database import VersionStore
from damsonpick.state.history.digest import RANGES, Digest, range_of, within
from damsonpick.state.history.history import History, UnknownVersion, content, lines
from damsonpick.state.history.recorder import HistoryRecorder
from damsonpick.state.history.rollback import Pin
from damsonpick.state.published_tables import PublishedTables

SECOND = 1_000_000_000
LOG = structlog.wrap_logger(None, processors=[structlog.testing.LogCapture()])


def order(table, endpoint, weight):
    return api.SetEntry(table, endpoint, weight)


def grown(steps, keep=1000, age=10**18, slices=4):
    """A history of some steps of orders; returns it with every state on the way."""
    published, history = PublishedTables(("page",), slices), History(keep, age)
    history.begin(0, published, "r0", "restart")
    states = {1: {u: dict(k) for u, k in history.state.items()}}
    for k, orders in enumerate(steps, 1):
        change = published.apply(orders)
        made = history.add(k * SECOND, published, change.entries, f"root{k}", "module")
        if made:
            states[made.number] = {u: dict(x) for u, x in history.state.items()}
    return published, history, states


names = st.dictionaries(st.text("abc/", min_size=1, max_size=6), st.text("0123", min_size=1, max_size=4), max_size=30)


@given(names, names)
def test_a_digest_moved_by_changes_is_that_of_the_whole(one, other):
    digest = Digest(one)
    for name in {**one, **other}:
        digest.change(name, one.get(name, ""), other.get(name, ""))
    assert digest.root() == Digest(other).root()
    differ = {range_of(n) for n in {**one, **other} if one.get(n) != other.get(n)}
    assert set(Digest(other).differing(Digest(one).ranges())) == differ
    assert (digest.root() == Digest(one).root()) == (one == other)


def test_what_is_no_digest_is_refused():
    with pytest.raises(ValueError, match="1024 hex digits"):
        Digest().differing("abc")
    assert within(["a", "b"], range(RANGES)) == ["a", "b"] and within(["a"], []) == []


def test_statements_are_read_as_written_and_nothing_else_is_one():
    for said in (root_statement.Statement("0" * 32, "f" * 32), root_statement.Statement("0" * 32, "f" * 32, (1, 63))):
        assert root_statement.read(said.text()) == said
    for text in ("", "some control plane", "from=1 to=2", "from=" + "0" * 32):
        assert root_statement.read(text) is None
    why = root_statement.refusal("a" * 32, "b" * 32, Digest().ranges())
    assert root_statement.ranges_of(why) == Digest().ranges() and "a" * 32 in why and "b" * 32 in why
    assert root_statement.ranges_of("weights over the limit") is None


orders_ = st.lists(
    st.lists(
        st.one_of(
            st.builds(order, st.integers(0, 3), st.sampled_from("abcd"), st.sampled_from((0.0, 1.0, 2.5))),
            st.builds(api.SetWithdrawn, st.sampled_from("abcd"), st.booleans()),
            st.builds(
                lambda lv, t: api.SetAdmission(t, (0,), lv, 1), st.sampled_from((1.0, 0.5)), st.sampled_from((None, 1))
            ),
        ),
        min_size=1,
        max_size=4,
    ),
    max_size=12,
)


@given(orders_)
def test_every_kept_state_is_found_again_exactly(steps):
    _, history, states = grown(steps)
    for number, state in states.items():
        assert {u: k for u, k in history.at(number).items() if k} == {u: k for u, k in state.items() if k}
    first, last = min(states), max(states)
    difference = history.difference(first, last)
    assert {(u, k) for u, keys in difference.items() for k in keys} == {
        (u, k)
        for u in states[last]
        for k in {**states[first][u], **states[last][u]}
        if states[first][u].get(k) != states[last][u].get(k)
    }


def test_versions_are_found_by_number_or_root_and_pruned_by_count_and_age():
    _, history, _ = grown([[order(0, "a", float(k + 1))] for k in range(10)], keep=4, age=100 * SECOND)
    assert history.prune(10 * SECOND) == 8 and list(history.versions) == [8, 9, 10, 11]
    assert history.find("9").number == 9 and history.find("root9").number == 10
    with pytest.raises(UnknownVersion, match="there are 8 to 11"):
        history.find("2")
    assert history.prune(10**6 * SECOND) == 11, "the newest is always kept"
    _, back, _ = grown([[order(0, "a", 1.0)]])
    newer = back.begin(-5, PublishedTables(("page",), 4), "x", "restart")
    assert newer.at == back.versions[2].at, "a clock set back makes no version older than the one before"


# -- store


def recorder(path, published=None, held=None, keep=100):
    published = published or PublishedTables(("page",), 4)
    versions = held if held is not None else {}
    made = HistoryRecorder(
        published, lambda units: {u: versions[u] for u in units if u in versions}, VersionStore(path), keep, 10**18, LOG
    )
    return made, published, versions


def step(made, published, versions, k):
    change = published.apply([order(k % 4, f"s{k % 7}", 1.0 + k)])
    versions.update({unit: f"v{k}" for unit in change.entries})
    return made.note(k * SECOND, change.entries, "module")


def test_a_history_outlives_its_pilot_and_goes_on(tmp_path):
    made, published, versions = recorder(tmp_path / "v.db")
    made.start(0)
    for k in range(20):
        step(made, published, versions, k)
    made.set_pin(5, 10**15, True)
    root, state = made.digest.root(), made.history.at(7)
    made.store.close()
    again, _, _ = recorder(tmp_path / "v.db", published, versions)
    again.start(30 * SECOND)
    assert again.digest.root() == root and again.history.newest().root == root
    assert again.history.at(7) == state and again.pin.version == 5 and again.pin.holds(0)
    assert step(again, published, versions, 21).parent == 21


def test_a_store_cut_at_every_byte_of_its_last_record_leaves_the_old_or_the_new(tmp_path):
    made, published, versions = recorder(tmp_path / "v.db")
    made.start(0)
    step(made, published, versions, 0)
    wal = tmp_path / "v.db-wal"
    before = wal.stat().st_size
    step(made, published, versions, 1)
    whole = wal.read_bytes()
    assert len(whole) > before
    seen = set()
    for cut in range(before, len(whole) + 1, 37):
        folder = tmp_path / f"c{cut}"
        folder.mkdir()
        shutil.copy(tmp_path / "v.db", folder / "v.db")
        (folder / "v.db-wal").write_bytes(whole[:cut])
        store = VersionStore(folder / "v.db")
        found, wrong = store.load()
        assert [v.number for v in found] in ([1, 2], [1, 2, 3]) and not wrong
        seen.add(len(found))
        store.close()
    assert 2 in seen


def test_a_damaged_row_is_left_out_with_all_that_is_older(tmp_path):
    made, published, versions = recorder(tmp_path / "v.db")
    made.start(0)
    for k in range(6):
        step(made, published, versions, k)
    made.store.close()
    with sqlite3.connect(tmp_path / "v.db") as db:
        db.execute("UPDATE versions SET note = 'not so' WHERE number = 4")
    found, wrong = VersionStore(tmp_path / "v.db").load()
    assert [v.number for v in found] == [5, 6, 7] and "version 4 is damaged" in wrong


def test_a_full_disk_is_said_and_made_up_for(tmp_path):
    made, published, versions = recorder(tmp_path / "v.db")
    made.start(0)
    real, made.store.append = made.store.append, lambda *a: (_ for _ in ()).throw(OSError("disk full"))
    for k in range(3):
        assert step(made, published, versions, k) is not None, "service and history go on in memory"
    assert len(made.pending) == 3
    made.store.append = real
    step(made, published, versions, 3)
    assert not made.pending and [v.number for v in made.store.load()[0]] == [1, 2, 3, 4, 5]


# -- the way back


def test_a_rollback_never_revives_barred_never_pushes_cold_never_leaves_bare():
    target = {
        "slice/0": {"line a": 1.0, "line gone": 2.0},
        "slice/1": {"line gone": 1.0},
        "slice/2": {"line cold": 5.0, "line a": 1.0},
        "slice/3": {"line cold": 1.0},
    }
    tables = {0: {"b": 1.0}, 1: {"b": 1.0}, 2: {"cold": 1.0}, 3: {"b": 2.0}}
    made = rollback.plan(target, tables, lambda n: n == "gone", lambda n: n == "cold")
    after = {n: dict(t) for n, t in tables.items()}
    for o in made.orders:
        if o.weight:
            after[o.table][o.endpoint] = o.weight
        else:
            del after[o.table][o.endpoint]
    assert after == {0: {"a": 1.0}, 1: {"b": 1.0}, 2: {"cold": 1.0, "a": 1.0}, 3: {"b": 2.0}}
    assert {(k.slice, k.endpoint) for k in made.kept} == {(0, "gone"), (1, ""), (2, "cold"), (3, "")}


@given(st.randoms(use_true_random=False))
@settings(max_examples=60)
def test_any_rollback_is_safe(rng):
    servers = [f"s{k}" for k in range(6)]
    barred, cold = set(rng.sample(servers, 2)), set(rng.sample(servers, 2))

    def table():
        return {n: rng.choice((1.0, 2.0)) for n in rng.sample(servers, rng.randint(1, 4))}

    tables = {k: table() for k in range(4)}
    target = {f"slice/{k}": {f"line {n}": w for n, w in table().items()} for k in range(4)}
    made = rollback.plan(target, tables, barred.__contains__, cold.__contains__)
    published = PublishedTables(("page",), 4)
    for k, have in tables.items():
        published.restore(k, have)
    published.apply(made.orders)
    for k in range(4):
        now, had = published.tables[k], tables[k]
        assert not any(n in barred and n not in had for n in now)
        assert all(w <= had.get(n, 0.0) or n not in cold for n, w in now.items())
        if any(n not in barred for n in had):
            assert any(n not in barred for n in now), "never bare"


def test_a_pin_lets_the_rules_act_and_holds_back_the_rest():
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
    flow, held = pin.sift(orders, tables, lambda n: n == "a")
    assert (
        flow
        == [
            order(0, "a", 0.0),
            order(1, "b", 1.0),
            order(1, "a", 0.0),
            api.SetWithdrawn("a", True),
            api.SetAdmission(None, (0,), 0.5, 1),
        ]
        and held == 4
    )
    assert pin.holds(99) and not pin.holds(100)
    with pytest.raises(ValueError, match="somebody else acted"):
        pin.check(0)
    assert lines({"slice/1": {"line a": 2.0, "level 0": 0.5}}, 1) == {"a": 2.0}


def test_random_rollbacks_land_on_the_same_root_where_nothing_had_to_differ():
    rng = random.Random(5)
    steps = [[order(rng.randrange(4), rng.choice("abcd"), rng.choice((0.0, 1.0, 3.0)))] for _ in range(40)]
    published, history, states = grown(steps)
    for number in rng.sample(sorted(states), 10):
        made = rollback.plan(history.at(number), published.tables, lambda n: False, lambda n: False)
        after = {k: dict(t) for k, t in published.tables.items()}
        for o in made.orders:
            after[o.table].pop(o.endpoint, None)
            if o.weight:
                after[o.table][o.endpoint] = o.weight
        for k in range(4):
            assert after[k] == (lines(states[number], k) or published.tables[k])


def test_levels_and_retry_modes_set_back_may_fall_and_not_rise_until_the_pin_ends():
    published = PublishedTables(("page", "tally"), 2)
    published.apply([api.SetAdmission(None, (0, 1), 0.5, 1), api.SetAdmission(1, (1,), 0.25, 0)])
    target = {unit: content(published, unit) for unit in published.units()}
    published.apply([api.SetAdmission(None, (0, 1), 1.0, 0), api.SetAdmission(1, (1,), 1.0, 2)])
    present = {unit: content(published, unit) for unit in published.units()}
    published.apply(rollback.admissions(target, present, 2))
    assert {unit: content(published, unit) for unit in published.units()} == target
    assert not rollback.admissions(target, target, 2)
    pin = rollback.Pin()
    pin.set(3, 100, levels=True)
    lower, higher = api.SetAdmission(None, (0,), 0.3, 1), api.SetAdmission(None, (0,), 0.9, 1)
    assert pin.sift([lower, higher], published.tables, lambda n: False, published.level) == ([lower], 1)
    pin.set(3, 100)
    assert pin.sift([lower, higher], published.tables, lambda n: False, published.level) == ([lower, higher], 0)
