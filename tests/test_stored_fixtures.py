"""Data written by an earlier release are read with the same contents, and written in the same format by this one.

The files under tests/fixtures/ were written by the classes of an earlier commit; the commit that adds them names it.
They must not be regenerated: a release that cannot read them cannot take over the state of a running site.
"""

from __future__ import annotations

import base64
import json
import shutil
import sqlite3
from pathlib import Path

import msgspec
import pytest
import structlog
import xxhash

from damsonpick import interface as api
from damsonpick.protocols.xds.names import CDS, EDS, RDS
from damsonpick.proxy import table_cache
from damsonpick.proxy.received_resources import ReceivedTable
from damsonpick.proxy.received_state import ReceivedState
from damsonpick.state.history import rollback
from damsonpick.state.history.database import HistoryDatabase
from damsonpick.state.history.history import Retention
from damsonpick.state.history.recorder import HistoryRecorder
from damsonpick.state.history.version import Version, unit_content
from damsonpick.state.learned import codec
from damsonpick.state.learned.snapshot import HostTime, LearnedEndpoint, LearnedFleet, LearnedSlice, Snapshot
from damsonpick.state.published_tables import PublishedTables
from damsonpick.state.store.errors import StoreError
from damsonpick.state.store.leases import SliceLease
from damsonpick.state.store.sqlite import ListedAt, Store

FIXTURES = Path(__file__).parent / "fixtures"
SECOND = 1_000_000_000
TIME = 1_800_000_000 * SECOND
A, B, C, D = "127.0.0.1:9001", "127.0.0.1:9002", "[::1]:9003", "127.0.0.1:9004"


@pytest.fixture
def fixture_copy(tmp_path):
    """Return a function that copies a fixture, so that a reader that also writes does not change the original."""

    def copy(name):
        return Path(shutil.copy(FIXTURES / name, tmp_path / name))

    return copy


def schema_and_rows(path):
    """Return a database as SQL text: every table with its columns, and every row."""
    connection = sqlite3.connect(path)
    try:
        return list(connection.iterdump())
    finally:
        connection.close()


# -- the table store

TABLES = {0: {A: 1.0, B: 0.25}, 1: {B: 2.5, C: 0.1}, 2: {}, 3: {A: 6.0}}
PERSISTENT_ACTIONS = {
    "level - 0": 0.75,
    "level 3 1": 0.125,
    f"out {C}": 1.0,
    f"out {D}": 1.0,
    "retry - 0": 1.0,
    "retry - 1": 3.0,
    "retry 3 1": 2.0,
}


def test_table_store_is_read(fixture_copy):
    store = Store(fixture_copy("store-1.sqlite"), 4)
    assert store.load_tables() == TABLES
    assert store.load_persistent_actions() == PERSISTENT_ACTIONS
    assert store.claim("pilot-2", TIME + 61 * SECOND, 10 * SECOND) == [SliceLease(n, "pilot-2", 3) for n in range(4)]
    assert store.claim("pilot-0", TIME + 62 * SECOND, 10 * SECOND) == [], "the lease of the other pilot has not expired"
    assert [store.gateway_number(node) for node in ("gw-c", "gw-a", "gw-b", "gw-new")] == [2, 0, 1, 3]
    assert store.load_endpoint_list() == [] and store.next_epoch() == 4
    store.close()


def test_persistent_actions_of_the_store_are_restored(fixture_copy):
    store = Store(fixture_copy("store-1.sqlite"), 4)
    published = PublishedTables(("page", "tally"), 4)
    published.restore_persistent_actions(store.load_persistent_actions(), restore_levels=True)
    store.close()
    assert set(published.withdrawn) == {C, D}
    assert published.levels == {(None, 0): 0.75, (3, 1): 0.125}
    assert published.retries == {(None, 0): 1, (None, 1): 3, (3, 1): 2}
    assert published.persistent_actions() == PERSISTENT_ACTIONS


def test_store_of_another_number_of_slices_is_refused(fixture_copy):
    with pytest.raises(StoreError, match="written with slices 4, the settings say 5"):
        Store(fixture_copy("store-1.sqlite"), 5)


def test_store_writes_the_same_tables_columns_and_rows(tmp_path):
    published = PublishedTables(("page", "tally"), 4)
    published.apply(
        [
            *(api.SetEntry(number, name, weight) for number, table in TABLES.items() for name, weight in table.items()),
            api.SetWithdrawn(D, True),
            api.SetWithdrawn(C, True),
            api.SetAdmission(None, (0,), 0.75, 1),
            api.SetAdmission(None, (1,), 1.0, 3),
            api.SetAdmission(3, (1,), 0.125, 2),
        ]
    )
    store = Store(tmp_path / "store", 4)
    assert [store.next_epoch() for _ in range(3)] == [1, 2, 3]
    store.save_tables(published.tables, published.persistent_actions())
    store.claim("pilot-0", TIME, 10 * SECOND)
    store.release("pilot-0")
    store.claim("pilot-1", TIME + SECOND, 10 * SECOND)
    store.claim("pilot-2", TIME + 60 * SECOND, 10 * SECOND)
    for node in ("gw-a", "gw-b", "gw-c"):
        store.gateway_number(node)
    store.close()
    assert schema_and_rows(tmp_path / "store") == schema_and_rows(FIXTURES / "store-1.sqlite")


# -- the cached endpoint list

LISTED = [
    api.EndpointEntry(A, "a", "in_service", 1.0, 0),
    api.EndpointEntry(B, "b", "terminating", 5.5, TIME - 5 * SECOND),
    api.EndpointEntry(C, "c", "terminated", 0.5, TIME - 7),
    api.EndpointEntry(D, "a", "in_service", 3.25, TIME + 1),
]
LISTED_AT = {
    A: ListedAt(TIME + 90 * SECOND, "list spare"),
    B: ListedAt(TIME + 90 * SECOND, "list spare"),
    C: ListedAt(TIME, "list"),
    D: ListedAt(TIME + 90 * SECOND, "list spare"),
}


def test_endpoint_list_is_read(fixture_copy):
    store = Store(fixture_copy("endpoint-list-1.sqlite"), 2)
    assert sorted(store.load_endpoint_list()) == sorted(LISTED)
    assert store.listed_at() == LISTED_AT
    store.close()


def test_endpoint_list_is_written_in_the_same_columns(tmp_path):
    store = Store(tmp_path / "store", 2)
    store.save_endpoint_list([LISTED[0], LISTED[1]._replace(weight=6.0), LISTED[2]], ListedAt(TIME, "list"))
    store.save_endpoint_list(LISTED, ListedAt(TIME + 90 * SECOND, "list spare"), {C})
    store.close()
    assert schema_and_rows(tmp_path / "store") == schema_and_rows(FIXTURES / "endpoint-list-1.sqlite")


# -- the history of versions

ROOTS = (
    "3d747e4d3c1e5e5cd1bcd95844af7152",
    "b7c0c764314624228a4d795b00862819",
    "514f3285725dcdc2c56b318780930070",
    "4e433d9005faf2afd5068e4fe6b2e519",
    "d512e43d53ea9731741f96feeabcd1e6",
    "a8b387fc4016a43b912da812e97012a5",
)
VERSIONS = [
    Version(1, ROOTS[0], 0, TIME, "restart", "", {}),
    Version(
        2,
        ROOTS[1],
        1,
        TIME + SECOND,
        "module",
        "",
        {"slice/0": {f"line {B}": (None, 0.25)}, "slice/1": {f"line {A}": (None, 2.0)}},
    ),
    Version(
        3,
        ROOTS[2],
        2,
        TIME + 2 * SECOND,
        "module",
        "",
        {"fleet": {"level 0": (None, 0.5), f"out {B}": (None, 1.0)}, "routes": {"retry - 0": (None, 1.0)}},
    ),
    Version(
        4,
        ROOTS[3],
        3,
        TIME + 3 * SECOND,
        "solver",
        "",
        {"slice/0": {f"line {A}": (1.0, None), f"line {C}": (None, 3.5)}},
    ),
    Version(
        5,
        ROOTS[4],
        4,
        TIME + 4 * SECOND,
        "rollback",
        "back to 2 by gärtner",
        {"slice/0": {f"line {A}": (None, 1.0), f"line {B}": (0.25, None), f"line {C}": (3.5, None)}},
    ),
    Version(
        6,
        ROOTS[5],
        5,
        TIME + 5 * SECOND,
        "operator",
        "less tally",
        {"slice/1": {"level 1": (None, 0.25)}, "routes": {"retry 1 1": (None, 2.0)}},
    ),
]


def test_history_is_read(fixture_copy):
    store = HistoryDatabase(fixture_copy("history-1.sqlite"))
    assert store.load() == (VERSIONS, "")
    assert tuple(store.load_pin()) == (2, TIME + 600 * SECOND, 1, 1)
    store.close()


def recorder_of(published, path):
    """Return a recorder that uses hashes of the contents of units as their versions, as the fixture does."""

    def unit_versions(units):
        contents = {unit: repr(sorted(unit_content(published, unit).items())) for unit in units}
        return {unit: xxhash.xxh3_64_hexdigest(text.encode()) for unit, text in contents.items()}

    log = structlog.wrap_logger(None, processors=[structlog.testing.LogCapture()])
    return HistoryRecorder(published, unit_versions, HistoryDatabase(path), Retention(1000, 10**18), log)


def test_history_is_written_in_the_same_columns_with_the_same_bytes(tmp_path):
    published = PublishedTables(("page", "tally"), 4)
    recorder = recorder_of(published, tmp_path / "history")
    published.apply([api.SetEntry(0, A, 1.0)])
    recorder.start(TIME)

    def record(seconds, actions, cause, note=""):
        change = published.apply(actions)
        assert recorder.record(TIME + seconds * SECOND, change.entries, cause, note) is not None

    record(1, [api.SetEntry(0, B, 0.25), api.SetEntry(1, A, 2.0)], "module")
    record(2, [api.SetWithdrawn(B, True), api.SetAdmission(None, (0,), 0.5, 1)], "module")
    record(3, [api.SetEntry(0, A, 0.0), api.SetEntry(0, C, 3.5)], "solver")
    plan = rollback.plan_rollback(
        recorder.history.state_at(2), published.tables, lambda name: name == B, lambda name: False
    )
    record(4, plan.actions, "rollback", "back to 2 by gärtner")
    recorder.set_pin(2, TIME + 600 * SECOND, True)
    record(5, [api.SetAdmission(1, (1,), 0.25, 2)], "operator", "less tally")
    recorder.database.close()
    assert schema_and_rows(tmp_path / "history") == schema_and_rows(FIXTURES / "history-1.sqlite")


def test_a_recorder_continues_the_history_and_computes_its_states(fixture_copy):
    published = PublishedTables(("page", "tally"), 4)
    published.apply(
        [
            api.SetEntry(0, A, 1.0),
            api.SetEntry(1, A, 2.0),
            api.SetWithdrawn(B, True),
            api.SetAdmission(None, (0,), 0.5, 1),
            api.SetAdmission(1, (1,), 0.25, 2),
        ]
    )
    recorder = recorder_of(published, fixture_copy("history-1.sqlite"))
    recorder.start(TIME + 60 * SECOND)
    assert recorder.history.newest() == VERSIONS[-1], "no version is added: the root is still the same"
    assert (recorder.pin.version, recorder.pin.until, recorder.pin.generation, recorder.pin.caps_levels) == (
        2,
        TIME + 600 * SECOND,
        1,
        True,
    )
    empty = {"slice/2": {}, "slice/3": {}}
    assert recorder.history.state_at(2) == {
        "fleet": {},
        "routes": {},
        "slice/0": {f"line {A}": 1.0, f"line {B}": 0.25},
        "slice/1": {f"line {A}": 2.0},
        **empty,
    }
    assert recorder.history.state_at(4) == {
        "fleet": {f"out {B}": 1.0, "level 0": 0.5},
        "routes": {"retry - 0": 1.0},
        "slice/0": {f"line {B}": 0.25, f"line {C}": 3.5},
        "slice/1": {f"line {A}": 2.0},
        **empty,
    }
    recorder.database.close()


# -- learned state

SNAPSHOT = Snapshot(
    41,
    "pilot-0",
    HostTime(TIME, "a1b2", 5000 * SECOND),
    TIME + 3,
    TIME - 2 * SECOND,
    ("page", "tally"),
    4,
    (
        LearnedEndpoint(A, 0, 0.5, TIME - SECOND),
        LearnedEndpoint(B, TIME - 5 * SECOND, 1.25),
        LearnedEndpoint(C, 7, 0.01, 123),
    ),
    (
        LearnedSlice(0, (3.0, 4.5), ((A, 1.0), (B, 0.25))),
        LearnedSlice(1, (0.0, 0.125), ()),
        LearnedSlice(3, (1e6, 2.0), ((C, 0.02),)),
    ),
    LearnedFleet(120.0, 9.5),
)


def test_snapshot_of_learned_state_is_read():
    assert codec.decode((FIXTURES / "learned-2").read_bytes()) == SNAPSHOT


def test_snapshot_of_learned_state_is_written_in_the_same_bytes():
    written = codec.encode(SNAPSHOT)
    assert written == (FIXTURES / "learned-2").read_bytes() and written.startswith(b"DAMSONKN\x00\x02")


def test_exported_snapshot_has_the_same_keys():
    exported = msgspec.json.format(msgspec.json.encode(SNAPSHOT), indent=1) + b"\n"
    assert exported == (FIXTURES / "learned-2.json").read_bytes()


# -- the cached tables of a proxy

RESOURCE_VERSIONS = {
    CDS: {
        "fleet": "e53e90a124bc987d",
        "slice/0": "661086ed8177e109",
        "slice/1": "8f2345b672450e77",
        "slice/2": "a86b77ac96109280",
    },
    EDS: {
        "fleet": "043fca5196771322",
        "slice/0": "40ce44ccccb3307b",
        "slice/1": "610cc99987868d7f",
        "slice/2": "2fa264c93ce8956d",
    },
    RDS: {"routes": "9138b71c452d84d3"},
}


def test_proxy_tables_are_read(fixture_copy):
    received_state = ReceivedState()
    assert table_cache.load(fixture_copy("proxy-tables-1"), received_state) == 9
    assert received_state.versions == RESOURCE_VERSIONS
    assert received_state.tables == {
        "fleet": ReceivedTable({D: (1000, "b")}, {"page": 0.75}),
        "slice/0": ReceivedTable({A: (1000, "a"), B: (250, "b")}, {}),
        "slice/1": ReceivedTable({}, {}),
        "slice/2": ReceivedTable({"::1:9003": (2500, "a")}, {"tally": 0.125}),
    }
    assert received_state.retries == {
        ("page", ""): ("connect-failure,refused-stream", 1),
        ("tally", ""): ("connect-failure,refused-stream,5xx,reset", 2),
        ("tally", "slice/2"): ("connect-failure,refused-stream,5xx,reset", 1),
    }
    assert received_state.balancing_policies == dict.fromkeys(("fleet", "slice/0", "slice/1", "slice/2"), 1)
    assert received_state.ejection_failures == 5


def test_proxy_tables_are_written_in_the_same_bytes(tmp_path):
    fixture = (FIXTURES / "proxy-tables-1").read_bytes()
    rows = json.loads(fixture.partition(b"\n")[2])["types"]
    bodies = {
        kind: {name: (version, base64.b64decode(body)) for name, (version, body) in resources.items()}
        for kind, resources in rows.items()
    }
    table_cache.save(tmp_path / "tables", bodies)
    assert (tmp_path / "tables").read_bytes() == fixture
