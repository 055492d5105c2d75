"""Versions of the tables: the history, its database and its recorder, and the states after rollbacks."""

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


def recorded_history(steps, max_versions=1000, max_age=10**18, slices=4):
    """Return the tables and the history after some steps of orders, and the state after each step by version number."""
    published, history = PublishedTables(("page",), slices), History(Retention(max_versions, max_age))
    history.begin(published, VersionOrigin(0, "r0", "restart"))
    states = {1: {unit: dict(k) for unit, k in history.state.items()}}
    for k, orders in enumerate(steps, 1):
        change = published.apply(orders)
        version = history.add(published, change.entries, VersionOrigin(k * SECOND, f"root{k}", "module"))
        if version:
            states[version.number] = {unit: dict(x) for unit, x in history.state.items()}
    return published, history, states


steps_of_orders = st.lists(
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


@given(steps_of_orders)
def test_every_kept_state_is_found_exactly(steps):
    _, history, states = recorded_history(steps)
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
    _, history, _ = recorded_history(
        [[order(0, "a", float(k + 1))] for k in range(10)], max_versions=4, max_age=100 * SECOND
    )
    assert history.prune(10 * SECOND) == 8 and list(history.versions) == [8, 9, 10, 11]
    assert history.find("9").number == 9 and history.find("root9").number == 10
    with pytest.raises(UnknownVersionError, match="there are 8 to 11"):
        history.find("2")
    assert history.prune(10**6 * SECOND) == 11, "the newest is always kept"
    _, later_history, _ = recorded_history([[order(0, "a", 1.0)]])
    appended = later_history.begin(PublishedTables(("page",), 4), VersionOrigin(-5, "x", "restart"))
    assert appended.published_at == later_history.versions[2].published_at, (
        "a version is not older than the one before, even if the clock was set back"
    )


# -- database


def new_recorder(path, published=None, stored_versions=None, max_versions=100):
    published = published or PublishedTables(("page",), 4)
    versions = stored_versions if stored_versions is not None else {}
    recorder = HistoryRecorder(
        published,
        lambda units: {unit: versions[unit] for unit in units if unit in versions},
        HistoryDatabase(path),
        Retention(max_versions, 10**18),
        LOG,
    )
    return recorder, published, versions


def record_step(recorder, published, versions, number):
    change = published.apply([order(number % 4, f"s{number % 7}", 1.0 + number)])
    versions.update({unit: f"v{number}" for unit in change.entries})
    return recorder.record(number * SECOND, change.entries, "module")


def test_history_continues_after_a_restart(tmp_path):
    recorder, published, versions = new_recorder(tmp_path / "v.db")
    recorder.start(0)
    for k in range(20):
        record_step(recorder, published, versions, k)
    recorder.set_pin(5, 10**15, True)
    root, state = recorder.digest.root(), recorder.history.state_at(7)
    recorder.database.close()
    restarted, _, _ = new_recorder(tmp_path / "v.db", published, versions)
    restarted.start(30 * SECOND)
    assert restarted.digest.root() == root and restarted.history.newest().root == root
    assert restarted.history.state_at(7) == state and restarted.pin.version == 5 and restarted.pin.is_active(0)
    assert record_step(restarted, published, versions, 21).parent == 21


def test_database_truncated_within_its_last_record_contains_the_old_or_the_new_versions(tmp_path):
    recorder, published, versions = new_recorder(tmp_path / "v.db")
    recorder.start(0)
    record_step(recorder, published, versions, 0)
    wal = tmp_path / "v.db-wal"
    before = wal.stat().st_size
    record_step(recorder, published, versions, 1)
    complete = wal.read_bytes()
    assert len(complete) > before
    version_counts = set()
    for cut in range(before, len(complete) + 1, 37):
        folder = tmp_path / f"c{cut}"
        folder.mkdir()
        shutil.copy(tmp_path / "v.db", folder / "v.db")
        (folder / "v.db-wal").write_bytes(complete[:cut])
        store = HistoryDatabase(folder / "v.db")
        loaded, problem = store.load()
        assert [v.number for v in loaded] in ([1, 2], [1, 2, 3]) and not problem
        version_counts.add(len(loaded))
        store.close()
    assert 2 in version_counts


def test_damaged_row_is_left_out_with_all_older_ones(tmp_path):
    recorder, published, versions = new_recorder(tmp_path / "v.db")
    recorder.start(0)
    for k in range(6):
        record_step(recorder, published, versions, k)
    recorder.database.close()
    with sqlite3.connect(tmp_path / "v.db") as db:
        db.execute("UPDATE versions SET note = 'not so' WHERE number = 4")
    loaded, problem = HistoryDatabase(tmp_path / "v.db").load()
    assert [v.number for v in loaded] == [5, 6, 7] and "version 4 is damaged" in problem


def test_versions_wait_for_a_full_disk_and_are_written_later(tmp_path):
    recorder, published, versions = new_recorder(tmp_path / "v.db")
    recorder.start(0)
    original_append, recorder.database.append = (
        recorder.database.append,
        lambda *a: (_ for _ in ()).throw(OSError("disk full")),
    )
    for k in range(3):
        assert record_step(recorder, published, versions, k) is not None, "versions are still recorded in memory"
    assert len(recorder.pending) == 3
    recorder.database.append = original_append
    record_step(recorder, published, versions, 3)
    assert not recorder.pending and [v.number for v in recorder.database.load()[0]] == [1, 2, 3, 4, 5]


# -- rollback


def test_rollback_restores_the_state_of_its_version_if_all_endpoints_are_routable():
    rng = random.Random(5)
    steps = [[order(rng.randrange(4), rng.choice("abcd"), rng.choice((0.0, 1.0, 3.0)))] for _ in range(40)]
    published, history, states = recorded_history(steps)
    for number in rng.sample(sorted(states), 10):
        plan = rollback.plan_rollback(history.state_at(number), published.tables, lambda n: False, lambda n: False)
        after = {k: dict(t) for k, t in published.tables.items()}
        for action in plan.actions:
            after[action.table].pop(action.endpoint, None)
            if action.weight:
                after[action.table][action.endpoint] = action.weight
        for k in range(4):
            assert after[k] == (slice_entries(states[number], k) or published.tables[k])
