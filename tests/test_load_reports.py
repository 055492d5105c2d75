"""Validation and aggregation of the load reports of clients, and their LRS encoding."""

from __future__ import annotations

import pytest
from envoy.service.load_stats.v3 import lrs_pb2

from damsonpick.protocols.xds import load_stats
from damsonpick.state.load_reports import ClientReport, EndpointStats, LoadReports, SliceStats
from tests.helpers import SECOND

NOW = 100 * SECOND


def load_reports():
    reports = LoadReports(("page",), 4, SECOND, 10 * SECOND)
    reports.known_endpoints = {"s:1", "s:2"}
    return reports


def report(client=0, period=SECOND, attempts=10, failures=1, timed_successes=9):
    return ClientReport(
        client,
        "a",
        period,
        (EndpointStats("s:1", attempts, failures, timed_successes, 9 * 200_000_000),),
        (SliceStats(2, "page", attempts, failures),),
    )


def test_reports_of_a_zone_add_up_as_rates():
    reports = load_reports()
    for client in (0, 1):
        reports.add_client(NOW, client)
    assert reports.add(NOW, report(0)) == []
    assert reports.add(NOW, report(1, attempts=20, failures=2, timed_successes=18)) == []
    planner_report, demand = reports.flush()
    assert (planner_report.attempts, planner_report.failures, planner_report.period) == (30, 3, SECOND)
    assert planner_report.latency == (9 * 200_000_000 + 18 * 100_000_000) // 27
    assert (demand.slice, demand.requests, demand.period) == (2, 30, SECOND)
    assert reports.flush() == []


def test_a_repeated_report_is_dropped_and_a_late_one_counts_with_its_time():
    reports = load_reports()
    reports.add_client(NOW, 0)
    assert reports.add(NOW, report()) == []
    assert "more time than has passed" in reports.add(NOW, report())[0]
    reports.flush()
    later = NOW + 5 * SECOND
    assert reports.add(later, report(period=5 * SECOND, attempts=50, failures=0, timed_successes=50)) == []
    planner_report = reports.flush()[0]
    assert (planner_report.attempts, planner_report.period) == (50, 5 * SECOND)
    assert reports.dropped == 1


def test_late_batches_that_come_at_once_all_count():
    reports = load_reports()
    reports.add_client(NOW, 0)
    assert not any(reports.add(NOW + 6 * SECOND, report()) for _ in range(6))
    planner_report = reports.flush()[0]
    assert (planner_report.attempts, planner_report.period) == (60, 6 * SECOND)


@pytest.mark.parametrize("period", [0, -5, 11 * SECOND, 1 << 70])
def test_a_report_over_no_time_or_too_much_is_dropped(period):
    assert "dropped" in load_reports().add(NOW, report(period=period))[0]


def test_contradictory_counts_are_cut_to_possible_values():
    reports = load_reports()
    reports.add_client(NOW, 0)
    assert "cut" in reports.add(NOW, report(attempts=3, failures=9, timed_successes=7))[0]
    planner_report = reports.flush()[0]
    assert (planner_report.attempts, planner_report.failures, planner_report.latency) == (3, 3, 0)


def test_unknown_endpoints_and_slices_are_dropped():
    reports = load_reports()
    reports.add_client(NOW, 0)
    unknown = ClientReport(0, "a", SECOND, (EndpointStats("who:1", 1, 0, 1, 1),), (SliceStats(99, "page", 1, 0),))
    assert len(reports.add(NOW, unknown)) == 2 and reports.flush() == []


def test_lrs_reports_are_read_as_they_were_written():
    counts = load_stats.SliceCounts()
    counts.count_admitted("page")
    counts.count_admitted("page")
    counts.count_failed("page")
    counts.count_dropped("page")
    counts.count_attempt("b", "127.0.0.1:9", True, 120.5)
    counts.count_attempt("b", "127.0.0.1:9", False, 40.0)
    report = lrs_pb2.LoadStatsRequest.FromString(load_stats.write(SECOND, {3: counts}).SerializeToString())
    client_report = load_stats.read(7, "a", report)
    assert client_report == ClientReport(
        7, "a", SECOND, (EndpointStats("127.0.0.1:9", 2, 1, 1, 120_500_000),), (SliceStats(3, "page", 3, 1),)
    )


def test_invalid_values_in_an_lrs_report_are_ignored():
    report = lrs_pb2.LoadStatsRequest()
    cluster = report.cluster_stats.add(cluster_name="slice/x")
    locality = cluster.upstream_locality_stats.add()
    locality.load_metric_stats.add(metric_name="requests.page", total_metric_value=float("nan"))
    locality.upstream_endpoint_stats.add(total_successful_requests=2**63)
    client_report = load_stats.read(0, "a", report)
    assert client_report.slices == () and client_report.period == 0
