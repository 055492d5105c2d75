"""The store: stored data, leases, processes killed during a write, and unusable files."""

from __future__ import annotations

import os
import signal
import sqlite3
import subprocess
import sys

import pytest

from damsonpick.protocols.shared.session_manager import FIRST_DUPLICATE_NUMBER
from damsonpick.state.store import sqlite as sqlite_store
from damsonpick.state.store.errors import GatewayLimitError, StoreError
from damsonpick.state.store.sqlite import Store
from tests.helpers import SECOND, entry

NOW = 100 * SECOND


def test_store_keeps_tables_leases_numbers_and_list(tmp_path):
    store = Store(tmp_path / "t.db", 4)
    store.save_tables({1: {"x": 1.0, "y": 2.0}, 2: {"x": 1.0}})
    store.save_tables({1: {"y": 1.0}})
    assert [store.gateway_number(node) for node in ("a", "b", "a")] == [0, 1, 0]
    store.save_endpoint_list([entry("x", started=5)])
    assert store.next_epoch() == 1
    store.close()
    reopened = Store(tmp_path / "t.db", 4)
    assert reopened.load_tables() == {0: {}, 1: {"y": 1.0}, 2: {"x": 1.0}, 3: {}}
    assert (
        reopened.next_epoch() == 2
        and reopened.gateway_number("b") == 1
        and reopened.load_endpoint_list() == [entry("x", started=5)]
    )


def test_a_slice_is_leased_once_until_its_lease_ends(tmp_path):
    first, second = Store(tmp_path / "t.db", 3), Store(tmp_path / "t.db", 3)
    assert [lease.slice for lease in first.claim("p", NOW, SECOND)] == [0, 1, 2]
    assert second.claim("q", NOW, SECOND) == []
    assert first.renew("p", NOW + SECOND // 2, SECOND)
    assert second.claim("q", NOW + SECOND, SECOND) == []
    claimed = second.claim("q", NOW + 2 * SECOND, SECOND)
    assert [lease.term for lease in claimed] == [2, 2, 2] and first.renew("p", NOW + 2 * SECOND, SECOND) == []
    second.release("q")
    assert len(first.claim("p", NOW + 2 * SECOND, SECOND)) == 3


WRITER = """
import sys
from pathlib import Path
from damsonpick.protocols.shared.session_manager import FIRST_DUPLICATE_NUMBER
from damsonpick.state.store import sqlite as sqlite_store
from damsonpick.state.store.errors import GatewayLimitError, StoreError
from damsonpick.state.store.sqlite import Store
store = Store(Path(sys.argv[1]), 8)
k = 0
while True:
    k += 1
    store.save_tables({n: {f"e{k}": float(k)} for n in range(8)})
    print(k, flush=True)
"""


def test_a_killed_writer_leaves_one_whole_transaction(tmp_path):
    for k in range(5):
        path = tmp_path / f"{k}.db"
        with subprocess.Popen([sys.executable, "-c", WRITER, str(path)], stdout=subprocess.PIPE) as process:
            for _ in range(20 + 17 * k):
                last = int(process.stdout.readline())
            process.send_signal(signal.SIGKILL)
        tables = Store(path, 8).load_tables()
        assert len({tuple(t.items()) for t in tables.values()}) == 1, "all tables are from the same transaction"
        assert next(iter(tables[0].values())) >= last


def test_store_that_cannot_be_used_says_why(tmp_path):
    (tmp_path / "t.db").write_bytes(os.urandom(8192))
    with pytest.raises(StoreError, match="cannot be opened"):
        Store(tmp_path / "t.db", 4)
    Store(tmp_path / "u.db", 4).close()
    with pytest.raises(StoreError, match="slices 4, the settings say 5"):
        Store(tmp_path / "u.db", 5)


def test_a_write_that_fails_leaves_the_old_tables(tmp_path):
    store = Store(tmp_path / "t.db", 2)
    store.save_tables({0: {"x": 1.0}})
    with pytest.raises(sqlite3.Error):
        store.save_tables({0: {"y": 1.0}, 1: {"z": None}})
    assert store.load_tables() == {0: {"x": 1.0}, 1: {}}


def test_node_ids_are_not_remembered_without_end(tmp_path, monkeypatch):
    """Regression (operators, picture b): ever new node ids got numbers until these met those of duplicated streams."""
    monkeypatch.setattr(sqlite_store, "MAX_GATEWAYS", 3)
    store = Store(tmp_path / "store", 4)
    assert [store.gateway_number(node) for node in "abc"] == [0, 1, 2]
    with pytest.raises(GatewayLimitError, match="3 node ids"):
        store.gateway_number("d")
    assert store.gateway_number("b") == 1
    monkeypatch.undo()
    assert sqlite_store.MAX_GATEWAYS < FIRST_DUPLICATE_NUMBER
