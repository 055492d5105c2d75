"""Versions of the tables: the history, its database and its recorder; the states that rollbacks reach."""

from __future__ import annotations

import random
import shutil
import sqlite3

import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st

from damsonpick import interface as api
from damsonpick.state.history import rollback
from damsonpick.state.history.database import HistoryDatabase
from damsonpick.state.history.errors import UnknownVersionError
from damsonpick.state.history.history import History, Retention
from damsonpick.state.history.recorder import HistoryRecorder
from damsonpick.state.history.version import VersionOrigin, slice_entries
from damsonpick.state.published_tables import PublishedTables

SECOND = 1_000_000_000
LOG = structlog.wrap_logger(None, processors=[structlog.testing.LogCapture()])


def order(table, endpoint, weight):
    return api.SetEntry(table, endpoint, weight)


def grown(steps, keep=1000, age=10**18, slices=4):
    """A history of some steps of orders; returns it with every state on the way."""
    published, history = PublishedTables(("page",), slices), History(Retention(keep, age))
    history.begin(published, VersionOrigin(0, "r0", "restart"))
    states = {1: {u: dict(k) for u, k in history.state.items()}}
    for k, orders in enumerate(steps, 1):
        change = published.apply(orders)
        made = history.add(published, change.entries, VersionOrigin(k * SECOND, f"root{k}", "module"))
        if made:
            states[made.number] = {u: dict(x) for u, x in history.state.items()}
    return published, history, states


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
def test_every_kept_state_is_found_exactly(steps):
    _, history, states = grown(steps)
    for number, state in states.items():
        assert {u: k for u, k in history.state_at(number).items() if k} == {u: k for u, k in state.items() if k}
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
    with pytest.raises(UnknownVersionError, match="there are 8 to 11"):
        history.find("2")
    assert history.prune(10**6 * SECOND) == 11, "the newest is always kept"
    _, back, _ = grown([[order(0, "a", 1.0)]])
    newer = back.begin(PublishedTables(("page",), 4), VersionOrigin(-5, "x", "restart"))
    assert newer.published_at == back.versions[2].published_at, (
        "a clock set back makes no version older than the one before"
    )


# -- database


def recorder(path, published=None, held=None, keep=100):
    published = published or PublishedTables(("page",), 4)
    versions = held if held is not None else {}
    made = HistoryRecorder(
        published,
        lambda units: {u: versions[u] for u in units if u in versions},
        HistoryDatabase(path),
        Retention(keep, 10**18),
        LOG,
    )
    return made, published, versions


def step(made, published, versions, k):
    change = published.apply([order(k % 4, f"s{k % 7}", 1.0 + k)])
    versions.update({unit: f"v{k}" for unit in change.entries})
    return made.record(k * SECOND, change.entries, "module")


def test_history_continues_after_a_restart(tmp_path):
    made, published, versions = recorder(tmp_path / "v.db")
    made.start(0)
    for k in range(20):
        step(made, published, versions, k)
    made.set_pin(5, 10**15, True)
    root, state = made.digest.root(), made.history.state_at(7)
    made.database.close()
    again, _, _ = recorder(tmp_path / "v.db", published, versions)
    again.start(30 * SECOND)
    assert again.digest.root() == root and again.history.newest().root == root
    assert again.history.state_at(7) == state and again.pin.version == 5 and again.pin.is_active(0)
    assert step(again, published, versions, 21).parent == 21


def test_database_cut_within_its_last_record_holds_the_old_or_the_new(tmp_path):
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
        store = HistoryDatabase(folder / "v.db")
        found, wrong = store.load()
        assert [v.number for v in found] in ([1, 2], [1, 2, 3]) and not wrong
        seen.add(len(found))
        store.close()
    assert 2 in seen


def test_damaged_row_is_left_out_with_all_older_ones(tmp_path):
    made, published, versions = recorder(tmp_path / "v.db")
    made.start(0)
    for k in range(6):
        step(made, published, versions, k)
    made.database.close()
    with sqlite3.connect(tmp_path / "v.db") as db:
        db.execute("UPDATE versions SET note = 'not so' WHERE number = 4")
    found, wrong = HistoryDatabase(tmp_path / "v.db").load()
    assert [v.number for v in found] == [5, 6, 7] and "version 4 is damaged" in wrong


def test_versions_wait_for_a_full_disk_and_are_written_later(tmp_path):
    made, published, versions = recorder(tmp_path / "v.db")
    made.start(0)
    real, made.database.append = made.database.append, lambda *a: (_ for _ in ()).throw(OSError("disk full"))
    for k in range(3):
        assert step(made, published, versions, k) is not None, "service and history go on in memory"
    assert len(made.pending) == 3
    made.database.append = real
    step(made, published, versions, 3)
    assert not made.pending and [v.number for v in made.database.load()[0]] == [1, 2, 3, 4, 5]


# -- rollback


def test_rollback_reaches_the_state_of_its_version_where_nothing_had_to_differ():
    rng = random.Random(5)
    steps = [[order(rng.randrange(4), rng.choice("abcd"), rng.choice((0.0, 1.0, 3.0)))] for _ in range(40)]
    published, history, states = grown(steps)
    for number in rng.sample(sorted(states), 10):
        made = rollback.plan_rollback(history.state_at(number), published.tables, lambda n: False, lambda n: False)
        after = {k: dict(t) for k, t in published.tables.items()}
        for o in made.actions:
            after[o.table].pop(o.endpoint, None)
            if o.weight:
                after[o.table][o.endpoint] = o.weight
        for k in range(4):
            assert after[k] == (slice_entries(states[number], k) or published.tables[k])
