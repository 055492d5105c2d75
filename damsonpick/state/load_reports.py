"""Adds up clients' load reports into the planner's. Sans I/O: time comes in as nanoseconds.

A report is checked before it counts. LRS numbers no report, so a repeat shows only in that a client claims to have
counted more time than has passed: such a report is dropped. A late report counts with the time that it covers. Figures
that contradict each other are cut to what is possible, on the side of fewer successes.
"""

from __future__ import annotations

from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.time_units import NS_PER_SECOND

TIMER_TOLERANCE_SHARE = 0.5  # of a report period that clocks and timers of clients may be out


class EndpointStats(NamedTuple):
    """What one client met at one endpoint."""

    endpoint: str
    attempts: int
    failures: int
    timed_successes: int  # successes whose latency was measured
    total_latency: int  # ns, over the timed successes


class SliceStats(NamedTuple):
    """Requests of one class that came to one client for one slice."""

    slice: int
    request_class: str
    requests: int  # rejected ones included
    failures: int  # admitted and not answered


class ClientReport(NamedTuple):
    """One load report of one client."""

    client: int
    zone: str
    period: int  # ns that it covers
    endpoints: tuple[EndpointStats, ...]
    slices: tuple[SliceStats, ...]


class _EndpointTotals:
    """Figures of one endpoint, added up within each client."""

    def __init__(self) -> None:
        self.attempts: dict[int, int] = {}  # by client
        self.failures = 0
        self.timed_successes = 0
        self.total_latency = 0  # ns

    def add(self, client: int, attempts: int, failures: int, timed_successes: int, total_latency: int) -> None:
        self.attempts[client] = self.attempts.get(client, 0) + attempts
        self.failures += failures
        self.timed_successes += timed_successes
        self.total_latency += total_latency


class _SliceTotals:
    """Figures of one class in one slice, added up within each client."""

    def __init__(self) -> None:
        self.requests: dict[int, int] = {}  # by client
        self.failures = 0

    def add(self, client: int, requests: int, failures: int) -> None:
        self.requests[client] = self.requests.get(client, 0) + requests
        self.failures += failures


class LoadReports:
    """Load reports of all clients since the last flush.

    Args:
        classes: names of the request classes.
        slices: how many slices there are.
        report_period: ns between the reports of a client.
        max_period: ns; a report that covers more is dropped.
    """

    def __init__(self, classes: tuple[str, ...], slices: int, report_period: int, max_period: int) -> None:
        """Start with no report."""
        self.classes = classes
        self.slices = slices
        self.report_period = report_period
        self.max_period = max_period
        self.known_endpoints: set[str] = set()  # ever listed
        self.accounted_until: dict[int, int] = {}  # by client: ns up to which its reports account for time
        self.dropped = 0  # reports
        self._clear()

    def _clear(self) -> None:
        self._endpoints: dict[tuple[str, str], _EndpointTotals] = {}  # by zone of the clients, and endpoint
        self._slices: dict[tuple[int, str], _SliceTotals] = {}  # by slice and class
        self._covered: dict[int, int] = {}  # by client: ns that its reports cover

    def join(self, now: int, client: int) -> None:
        """From here on a client may account for time; one that was away may bring reports on that time."""
        self.accounted_until.setdefault(client, now - self.report_period)

    def add(self, now: int, report: ClientReport) -> list[str]:
        """Take in one report.

        Args:
            now: ns.
            report: as the client gave it.

        Returns:
            What was wrong with it, in words; empty: nothing.
        """
        problem = self._period_problem(now, report)
        if problem:
            self.dropped += 1
            return [problem]
        client = report.client
        self.accounted_until[client] = self._accounted_until(now, client) + report.period
        self._covered[client] = self._covered.get(client, 0) + report.period
        problems: list[str] = []
        for endpoint_stats in report.endpoints:
            self._add_endpoint(report, endpoint_stats, problems)
        for slice_stats in report.slices:
            self._add_slice(report, slice_stats, problems)
        return problems

    def _accounted_until(self, now: int, client: int) -> int:
        """ns from which the next report of a client counts: time longer ago than `max_period` is lost."""
        earliest = now - self.max_period
        return max(self.accounted_until.get(client, earliest), earliest)

    def _period_problem(self, now: int, report: ClientReport) -> str:
        """Why a report cannot cover the time that it claims; '': it can."""
        if not 0 < report.period <= self.max_period:
            claimed_s, max_s = report.period / NS_PER_SECOND, self.max_period / NS_PER_SECOND
            return f"a report over {claimed_s:.1f} s was dropped: not from 0 to {max_s:g} s"
        tolerance = TIMER_TOLERANCE_SHARE * self.report_period
        if self._accounted_until(now, report.client) + report.period > now + tolerance:
            return (
                "a report was dropped: with it the gateway would have counted more time than has passed "
                "(a repeat, or two senders under one id)"
            )
        return ""

    def _add_endpoint(self, report: ClientReport, stats: EndpointStats, problems: list[str]) -> None:
        if stats.endpoint not in self.known_endpoints:
            problems.append(f"{stats.endpoint} was never listed: its figures were dropped")
            return
        failures = stats.failures
        successes = stats.attempts - failures
        if failures > stats.attempts or stats.timed_successes > successes or stats.total_latency < 0:
            problems.append(
                f"{stats.endpoint}: {failures} failures and {stats.timed_successes} successes "
                f"in {stats.attempts} attempts: cut"
            )
            failures = min(failures, stats.attempts)
        timed_successes = min(stats.timed_successes, stats.attempts - failures)
        mean_latency = max(0, stats.total_latency) // stats.timed_successes if stats.timed_successes else 0
        totals = self._endpoints.setdefault((report.zone, stats.endpoint), _EndpointTotals())
        totals.add(report.client, stats.attempts, failures, timed_successes, mean_latency * timed_successes)

    def _add_slice(self, report: ClientReport, stats: SliceStats, problems: list[str]) -> None:
        if not 0 <= stats.slice < self.slices or stats.request_class not in self.classes:
            problems.append(
                f"slice {stats.slice}, class {stats.request_class!r}: there is no such thing, its figures were dropped"
            )
            return
        totals = self._slices.setdefault((stats.slice, stats.request_class), _SliceTotals())
        totals.add(report.client, stats.requests, min(stats.failures, stats.requests))

    def flush(self) -> list[api.Event]:
        """The planner's reports of the period that ends now, in sorted order; what had no request is left out."""
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
        """ns over which the sum of the counts gives the sum of the clients' rates.

        Args:
            counts: by client; rates add up over clients, times within one.
        """
        rate = sum(count / self._covered[client] for client, count in counts.items() if self._covered[client])
        return round(sum(counts.values()) / rate) if rate > 0 else 0
