"""The published state reaches the store, even after failed writes."""

from __future__ import annotations

import structlog
from structlog.testing import LogCapture

from damsonpick import interface as api
from damsonpick.controller.table_persistence import RETRY_NS, TablePersistence
from damsonpick.state.published_tables import PublishedTables

NOW = 10**18


class FakeStore:
    """A store whose writes fail with ENOSPC while `full` is set."""

    def __init__(self) -> None:
        self.full, self.tables, self.actions = False, {}, {}

    def save_tables(self, tables, persistent_actions=None) -> None:
        if self.full:
            raise OSError(28, "No space left on device")
        self.tables.update({number: dict(entries) for number, entries in tables.items()})
        if persistent_actions is not None:
            self.actions = dict(persistent_actions)


def make_persistence() -> tuple[TablePersistence, FakeStore, LogCapture]:
    captured = LogCapture()
    store = FakeStore()
    published = PublishedTables(("page",), 2)
    return TablePersistence(store, published, structlog.wrap_logger(None, processors=[captured])), store, captured


def apply(persistence: TablePersistence, *actions) -> None:
    persistence.published.apply(list(actions))


def test_a_withdrawal_alone_is_written_again_after_a_failed_write():
    """Regression: a failed write of a withdrawal was retried only together with that of a table.

    If the pilot was killed before, the endpoint was readmitted.
    """
    persistence, store, captured = make_persistence()
    store.full = True
    apply(persistence, api.SetWithdrawn("p", True))
    persistence.save(NOW)
    assert not persistence.unsaved and not persistence.retry_due(NOW + RETRY_NS - 1)
    assert persistence.retry_due(NOW + RETRY_NS)
    store.full = False
    persistence.save(NOW + RETRY_NS)
    assert store.actions == persistence.published.persistent_actions() and store.actions
    assert not persistence.retry_due(NOW + 9 * RETRY_NS)
    assert [entry["event"] for entry in captured.entries] == ["store_write_failed", "store_write_recovered"]


def test_a_withdrawal_that_is_taken_back_before_it_was_written_leaves_nothing_to_do():
    persistence, store, _ = make_persistence()
    store.full = True
    apply(persistence, api.SetWithdrawn("p", True))
    persistence.save(NOW)
    apply(persistence, api.SetWithdrawn("p", False))
    persistence.save(NOW + RETRY_NS)
    assert not persistence.retry_due(NOW + 9 * RETRY_NS) and not store.actions


def test_tables_and_levels_are_written_together_after_a_failed_write():
    persistence, store, _ = make_persistence()
    store.full = True
    apply(persistence, api.SetEntry(1, "p", 1.0), api.SetAdmission(None, (0,), 0.5, 1))
    persistence.save(NOW, {1})
    assert persistence.unsaved == {1}
    store.full = False
    persistence.save(NOW + RETRY_NS)
    assert store.tables[1] == {"p": 1.0} and store.actions == persistence.published.persistent_actions()
    assert not persistence.unsaved and not persistence.retry_due(NOW + 9 * RETRY_NS)
