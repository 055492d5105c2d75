"""Aggregates the load reports of clients into reports for the planner. Sans I/O. Callers pass times in nanoseconds.

Each report is validated before it is counted. The Load Reporting Service (LRS) does not number its reports. A repeated
report is therefore detected, and dropped, only if with it the client's reports would cover more time than has passed
plus a tolerance (`TIMER_TOLERANCE_SHARE` of a report period). A late report is counted with the period that it covers.
Contradictory counts are reduced to possible values; failures take precedence over successes.
"""

from __future__ import annotations

from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.time_units import NS_PER_SECOND

TIMER_TOLERANCE_SHARE = 0.5  # share of a report period by which clocks and timers of clients may deviate


class EndpointStats(NamedTuple):
    """Results of the attempts of one client at one endpoint."""

    endpoint: str
    attempts: int
    failures: int
    timed_successes: int  # successes whose latency was measured
    total_latency: int  # sum of the latencies of the timed successes, ns


class SliceStats(NamedTuple):
    """Requests of one class for one slice that one client received."""

    slice: int
    request_class: str
    requests: int  # includes rejected requests
    failures: int  # admitted requests without a response


class ClientReport(NamedTuple):
    """One load report of one client."""

    client: int
    zone: str
    period: int  # time that the report covers, ns
    endpoints: tuple[EndpointStats, ...]
    slices: tuple[SliceStats, ...]


class _EndpointTotals:
    """Totals of one endpoint; attempts are kept by client."""

    def __init__(self) -> None:
        self.attempts: dict[int, int] = {}  # number of attempts by client
        self.failures = 0
        self.timed_successes = 0
        self.total_latency = 0  # ns

    def add(self, client: int, attempts: int, failures: int, timed_successes: int, total_latency: int) -> None:
        self.attempts[client] = self.attempts.get(client, 0) + attempts
        self.failures += failures
        self.timed_successes += timed_successes
        self.total_latency += total_latency


class _SliceTotals:
    """Totals of one class in one slice; requests are kept by client."""

    def __init__(self) -> None:
        self.requests: dict[int, int] = {}  # number of requests by client
        self.failures = 0

    def add(self, client: int, requests: int, failures: int) -> None:
        self.requests[client] = self.requests.get(client, 0) + requests
        self.failures += failures


class LoadReports:
    """Aggregates the load reports of all clients since the last flush.

    Args:
        classes: Names of the request classes.
        slices: Number of slices.
        report_period: Time between the reports of a client, ns.
        max_period: Longest period that a report may cover, ns; a report that covers more is dropped.
    """

    def __init__(self, classes: tuple[str, ...], slices: int, report_period: int, max_period: int) -> None:
        """Create the totals without any report."""
        self.classes = classes
        self.slices = slices
        self.report_period = report_period
        self.max_period = max_period
        self.known_endpoints: set[str] = set()  # endpoints that were listed at any time
        self.reported_until: dict[int, int] = {}  # end of the time that the reports cover, ns, by client
        self.dropped = 0  # number of dropped reports
        self._clear()

    def _clear(self) -> None:
        self._endpoints: dict[tuple[str, str], _EndpointTotals] = {}  # totals by zone of the clients and endpoint
        self._slices: dict[tuple[int, str], _SliceTotals] = {}  # totals by slice and class
        self._covered: dict[int, int] = {}  # sum of the periods of the reports, ns, by client

    def add_client(self, now: int, client: int) -> None:
        """Register a client. The first report of a new client may cover the last report period.

        A client that has reported before may also report on the time during which it was disconnected.
        """
        self.reported_until.setdefault(client, now - self.report_period)

    def add(self, now: int, report: ClientReport) -> list[str]:
        """Validate and add one report.

        Args:
            now: Present time, ns.
            report: Report as the client sent it.

        Returns:
            Faults of the report, as text; empty if it has none.
        """
        problem = self._period_problem(now, report)
        if problem:
            self.dropped += 1
            return [problem]
        client = report.client
        self.reported_until[client] = self._reported_until(now, client) + report.period
        self._covered[client] = self._covered.get(client, 0) + report.period
        problems: list[str] = []
        for endpoint_stats in report.endpoints:
            self._add_endpoint(report, endpoint_stats, problems)
        for slice_stats in report.slices:
            self._add_slice(report, slice_stats, problems)
        return problems

    def _reported_until(self, now: int, client: int) -> int:
        """Return the earliest time that the next report of a client may cover, ns; at most `max_period` ago."""
        earliest = now - self.max_period
        return max(self.reported_until.get(client, earliest), earliest)

    def _period_problem(self, now: int, report: ClientReport) -> str:
        """Return why a report cannot cover the period that it states, or an empty string if it can."""
        if not 0 < report.period <= self.max_period:
            claimed_s, max_s = report.period / NS_PER_SECOND, self.max_period / NS_PER_SECOND
            return f"a report over {claimed_s:.1f} s was dropped: its period must be above 0 and at most {max_s:g} s"
        tolerance = TIMER_TOLERANCE_SHARE * self.report_period
        if self._reported_until(now, report.client) + report.period > now + tolerance:
            return (
                "a report was dropped: with it the reports of the gateway would cover more time than has passed "
                "(a repeated report, or two senders with the same id)"
            )
        return ""

    def _add_endpoint(self, report: ClientReport, stats: EndpointStats, problems: list[str]) -> None:
        if stats.endpoint not in self.known_endpoints:
            problems.append(f"{stats.endpoint} was never listed: its counts were dropped")
            return
        failures = stats.failures
        successes = stats.attempts - failures
        if failures > stats.attempts or stats.timed_successes > successes or stats.total_latency < 0:
            problems.append(
                f"{stats.endpoint}: {failures} failures and {stats.timed_successes} successes "
                f"in {stats.attempts} attempts, or a negative latency: cut to possible values"
            )
            failures = min(failures, stats.attempts)
        timed_successes = min(stats.timed_successes, stats.attempts - failures)
        mean_latency = max(0, stats.total_latency) // stats.timed_successes if stats.timed_successes else 0
        totals = self._endpoints.setdefault((report.zone, stats.endpoint), _EndpointTotals())
        totals.add(report.client, stats.attempts, failures, timed_successes, mean_latency * timed_successes)

    def _add_slice(self, report: ClientReport, stats: SliceStats, problems: list[str]) -> None:
        if not 0 <= stats.slice < self.slices or stats.request_class not in self.classes:
            problems.append(
                f"slice {stats.slice}, class {stats.request_class!r}: unknown slice or class, its counts were dropped"
            )
            return
        totals = self._slices.setdefault((stats.slice, stats.request_class), _SliceTotals())
        totals.add(report.client, stats.requests, min(stats.failures, stats.requests))

    def flush(self) -> list[api.Event]:
        """Return the totals since the last flush as sorted reports for the planner, and clear them.

        Endpoints without attempts and slices without requests are omitted.
        """
        events = [*self._endpoint_events(), *self._slice_events()]
        self._clear()
        return events

    def _endpoint_events(self) -> list[api.Event]:
        events: list[api.Event] = []
        for (zone, endpoint), totals in sorted(self._endpoints.items()):
            attempts = sum(totals.attempts.values())
            if attempts <= 0:
                continue
            mean_latency = totals.total_latency // totals.timed_successes if totals.timed_successes else 0
            period = self._joint_period(totals.attempts)
            events.append(api.EndpointReport(zone, endpoint, attempts, totals.failures, mean_latency, period, ()))
        return events

    def _slice_events(self) -> list[api.Event]:
        events: list[api.Event] = []
        for (number, request_class), totals in sorted(self._slices.items()):
            requests = sum(totals.requests.values())
            if requests <= 0:
                continue
            period = self._joint_period(totals.requests)
            events.append(api.SliceDemand(number, request_class, requests, totals.failures, period))
        return events

    def _joint_period(self, counts: dict[int, int]) -> int:
        """Return the period, in ns, for which the sum of the counts / period is the sum of the clients' rates.

        Args:
            counts: Counts by client. The rate of a client is its count / the sum of the periods of its reports.
        """
        rate = sum(count / self._covered[client] for client, count in counts.items() if self._covered[client])
        return round(sum(counts.values()) / rate) if rate > 0 else 0
