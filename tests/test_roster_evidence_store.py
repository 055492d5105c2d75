"""The list judged, sums doubted, the store through crashes."""

from __future__ import annotations

import os
import signal
import sqlite3
import subprocess
import sys

import pytest
from envoy.service.load_stats.v3 import lrs_pb2

from damsonpick import interface as api
from damsonpick.protocols import list_file
from damsonpick.protocols.xds import endpoint_list_client, load_stats
from damsonpick.state.endpoint_list.validation import EndpointList
from damsonpick.state.load_reports import EndpointSum, GatewaySums, LoadReports, SliceSum
from damsonpick.state.store.errors import StoreError
from damsonpick.state.store.sqlite import Store

SECOND = 1_000_000_000
NOW = 100 * SECOND


def entry(name, state="in_service", zone="a", weight=1.0, started=0):
    return api.EndpointEntry(name, zone, state, weight, started)


def test_contradictory_entries_take_the_safer_state():
    verdict = EndpointList(("a",)).take(NOW, [entry("x"), entry("x", "terminating"), entry("x"), entry("y")])
    assert {e.endpoint: e.state for e in verdict.event.entries} == {"x": "terminating", "y": "in_service"}
    assert "twice" in verdict.doubts[0]


def test_an_empty_list_after_a_full_one_is_a_failed_source():
    endpoint_list = EndpointList(("a",))
    endpoint_list.take(NOW, [entry("x")])
    verdict = endpoint_list.take(NOW, [])
    assert verdict.event.kind == "unavailable" and "x" in endpoint_list.entries
    assert endpoint_list.take(NOW, [entry("x", "terminating")]).event.kind == "replace"


def test_a_start_in_the_future_is_the_moment_it_was_first_seen():
    endpoint_list = EndpointList(("a",))
    first = endpoint_list.take(NOW, [entry("x", started=NOW + 5 * SECOND)]).event.entries[0]
    again = endpoint_list.take(NOW + SECOND, [entry("x", started=NOW + 5 * SECOND)])
    assert first.started == NOW and again.event is None, "and it does not start anew with each list"


def test_odd_weight_state_and_zone_are_doubted_not_believed():
    verdict = EndpointList(("a",)).take(NOW, [entry("x", "asleep", "mars", -3.0)])
    assert verdict.event.entries[0] == entry("x", "terminating", "mars", 1.0) and len(verdict.doubts) == 3


def test_list_file_and_upstream_carry_the_same_entries():
    entries = [
        entry("127.0.0.1:9001", "terminating", "b", 6.0, 1_800_000_000_123_456_789),
        entry("[::1]:9002", weight=3.0),
    ]
    assert list_file.parse(list_file.render(entries)) == entries
    assert sorted(endpoint_list_client.read(endpoint_list_client.write("servers", entries))) == sorted(entries)


@pytest.mark.parametrize(
    ("text", "part"),
    [
        ("[machine x]\nzone=a", "is no section of a list"),
        ("[server nowhere]\nzone=a", "write IP:PORT"),
        ("[server 127.0.0.1:1]\n", "zone is missing"),
        ("[server 127.0.0.1:1]\nzone=a\nweight=heavy", "write a number"),
        ("[server 127.0.0.1:1]\nzone=a\ncolour=red", "no such key"),
        ("zone=a", "section"),
    ],
)
def test_list_file_errors_name_place_and_remedy(text, part):
    with pytest.raises(list_file.ListError, match=part):
        list_file.parse(text, "servers.ini")


# -- sums


def load_reports():
    made = LoadReports(("page",), 4, SECOND, 10 * SECOND)
    made.known = {"s:1", "s:2"}
    return made


def sums(gateway=0, period=SECOND, tries=10, failures=1, answered=9, time=9 * 200_000_000, zone="a"):
    return GatewaySums(
        gateway,
        zone,
        period,
        (EndpointSum("s:1", tries, failures, answered, time),),
        (SliceSum(2, "page", tries, failures),),
    )


def test_sums_of_a_zone_add_up_as_rates():
    made = load_reports()
    for g in (0, 1):
        made.join(NOW, g)
    assert made.hear(NOW, sums(0)) == [] and made.hear(NOW, sums(1, tries=20, failures=2, answered=18)) == []
    report, demand = made.flush()
    assert (report.attempts, report.failures, report.period) == (30, 3, SECOND)
    assert report.latency == (9 * 200_000_000 + 18 * 100_000_000) // 27
    assert (demand.slice, demand.requests, demand.period) == (2, 30, SECOND)
    assert made.flush() == []


def test_a_repeated_sum_is_dropped_and_a_late_one_counts_with_its_time():
    made = load_reports()
    made.join(NOW, 0)
    assert made.hear(NOW, sums()) == []
    assert "more time than has passed" in made.hear(NOW, sums())[0]
    made.flush()
    later = NOW + 5 * SECOND
    assert made.hear(later, sums(period=5 * SECOND, tries=50, failures=0, answered=50)) == []
    report = made.flush()[0]
    assert (report.attempts, report.period) == (50, 5 * SECOND)
    assert made.dropped == 1


def test_late_batches_that_come_at_once_all_count():
    made = load_reports()
    made.join(NOW, 0)
    assert not any(made.hear(NOW + 6 * SECOND, sums()) for _ in range(6))
    report = made.flush()[0]
    assert (report.attempts, report.period) == (60, 6 * SECOND)


@pytest.mark.parametrize("period", [0, -5, 11 * SECOND, 1 << 70])
def test_a_sum_over_no_time_or_too_much_is_dropped(period):
    assert "dropped" in load_reports().hear(NOW, sums(period=period))[0]


def test_a_sum_that_contradicts_itself_is_cut_to_what_can_be():
    made = load_reports()
    made.join(NOW, 0)
    assert "cut" in made.hear(NOW, sums(tries=3, failures=9, answered=7))[0]
    report = made.flush()[0]
    assert (report.attempts, report.failures, report.latency) == (3, 3, 0)


def test_strangers_in_a_sum_are_dropped():
    made = load_reports()
    made.join(NOW, 0)
    odd = GatewaySums(0, "a", SECOND, (EndpointSum("who:1", 1, 0, 1, 1),), (SliceSum(99, "page", 1, 0),))
    assert len(made.hear(NOW, odd)) == 2 and made.flush() == []


def test_lrs_report_and_sums_are_two_halves():
    counts = load_stats.SliceCounts()
    counts.came("page")
    counts.came("page")
    counts.came("page", failed=True)
    counts.refused("page")
    counts.tried("b", "127.0.0.1:9", True, 120.5)
    counts.tried("b", "127.0.0.1:9", False, 40.0)
    report = lrs_pb2.LoadStatsRequest.FromString(load_stats.write(SECOND, {3: counts}).SerializeToString())
    got = load_stats.read(7, "a", report)
    assert got == GatewaySums(
        7, "a", SECOND, (EndpointSum("127.0.0.1:9", 2, 1, 1, 120_500_000),), (SliceSum(3, "page", 3, 1),)
    )


def test_an_odd_lrs_report_does_no_harm():
    report = lrs_pb2.LoadStatsRequest()
    cluster = report.cluster_stats.add(cluster_name="slice/x")
    place = cluster.upstream_locality_stats.add()
    place.load_metric_stats.add(metric_name="requests.page", total_metric_value=float("nan"))
    place.upstream_endpoint_stats.add(total_successful_requests=2**63)
    got = load_stats.read(0, "a", report)
    assert got.slices == () and got.period == 0


# -- the store


def test_store_keeps_tables_custody_numbers_and_list(tmp_path):
    store = Store(tmp_path / "t.db", 4)
    store.save_tables({1: {"x": 1.0, "y": 2.0}, 2: {"x": 1.0}})
    store.save_tables({1: {"y": 1.0}})
    assert [store.gateway_number(n) for n in ("a", "b", "a")] == [0, 1, 0]
    store.save_endpoint_list([entry("x", started=5)])
    assert store.next_epoch() == 1
    store.close()
    again = Store(tmp_path / "t.db", 4)
    assert again.load_tables() == {0: {}, 1: {"y": 1.0}, 2: {"x": 1.0}, 3: {}}
    assert (
        again.next_epoch() == 2
        and again.gateway_number("b") == 1
        and again.load_endpoint_list() == [entry("x", started=5)]
    )


def test_custody_is_given_once_until_its_lease_ends(tmp_path):
    one, two = Store(tmp_path / "t.db", 3), Store(tmp_path / "t.db", 3)
    assert [c.slice for c in one.claim("p", NOW, SECOND)] == [0, 1, 2]
    assert two.claim("q", NOW, SECOND) == []
    assert one.renew("p", NOW + SECOND // 2, SECOND)
    assert two.claim("q", NOW + SECOND, SECOND) == []
    taken = two.claim("q", NOW + 2 * SECOND, SECOND)
    assert [c.term for c in taken] == [2, 2, 2] and one.renew("p", NOW + 2 * SECOND, SECOND) == []
    two.release("q")
    assert len(one.claim("p", NOW + 2 * SECOND, SECOND)) == 3


WRITER = """
import sys
from pathlib import Path
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
        assert len({tuple(t.items()) for t in tables.values()}) == 1, "never half of an order"
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
