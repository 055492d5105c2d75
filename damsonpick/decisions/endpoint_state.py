"""What is known of one endpoint: its listing, the outcomes that proxies report, and what was learned from them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Literal

from damsonpick import interface as api
from damsonpick.decisions.time_units import NS_PER_SECOND

EndpointListing = api.EndpointStatus | Literal["unlisted"]

OUTCOME_TAU_S = 2.5  # time constant of the outcomes by which one endpoint is judged
RECENT_TAU_S = 1.0  # time constant of the latency of the whole fleet, which rests on many answers
ZONE_VIEW_TTL_NS = 2 * OUTCOME_TAU_S * NS_PER_SECOND  # age at which a zone's view no longer counts


@dataclass(slots=True, eq=False)
class ZoneView:
    """Outcomes that the proxies of one zone met at one endpoint, as exponentially decaying sums.

    Attributes:
        last_report_at: time of the newest report, ns.
        attempts: requests sent.
        successes: requests answered.
        latency_sum: latency of the answered requests, ns.
        covered_s: time that the reports cover, s. Rates go by it, as the interval between reports grows with the fleet.
        recent_successes: as `successes`, with the shorter time constant `RECENT_TAU_S`.
        recent_latency_sum: as `latency_sum`, with the shorter time constant `RECENT_TAU_S`.
    """

    last_report_at: int
    attempts: float = 0.0
    successes: float = 0.0
    latency_sum: float = 0.0
    covered_s: float = 0.0
    recent_successes: float = 0.0
    recent_latency_sum: float = 0.0

    def add(self, now: int, report: api.EndpointReport) -> None:
        """Decay the sums to the present and add one report."""
        successes = report.attempts - report.failures
        age_s = max(0, now - self.last_report_at) / NS_PER_SECOND
        kept = math.exp(-age_s / OUTCOME_TAU_S)
        recent_kept = math.exp(-age_s / RECENT_TAU_S)
        self.attempts = self.attempts * kept + report.attempts
        self.successes = self.successes * kept + successes
        self.latency_sum = self.latency_sum * kept + successes * report.latency
        self.covered_s = self.covered_s * kept + report.period / NS_PER_SECOND
        self.recent_successes = self.recent_successes * recent_kept + successes
        self.recent_latency_sum = self.recent_latency_sum * recent_kept + successes * report.latency
        self.last_report_at = now


@dataclass(slots=True, eq=False)
class EndpointState:
    """One endpoint, listed or named by a table.

    Attributes:
        name: address that identifies the endpoint.
        state: as the endpoint list has it; `unlisted` while only a table or a report named it.
        weight: listed weight, relative to other endpoints.
        started: time of the process's start, ns; 0: long ago.
        capacity_factor: learned correction of the weight, 1 for the fleet's median. It outlives a restart of the
            process, since it belongs to the machine.
        restored_share: how much of `capacity_factor` is restored from a snapshot and not yet confirmed, 0 to 1.
        list_confidence: how far the list is believed in naming the endpoint, 0 to 1.
        attempts: requests sent, over all zones, decaying.
        failures: requests that failed, over all zones, decaying.
        latency: mean latency of the answers, ns; 0 where there is none.
        answer_rate: answers a second, over all zones.
        success_ratio: share of requests answered, in the zone where it is highest: a lower one may be its zone's link.
        reporting_zones: number of zones with a recent report.
        last_report_at: time of the newest report, ns; 0: none.
        zone_views: outcomes by zone of the reporting proxies.
    """

    name: str
    state: EndpointListing = "unlisted"
    weight: float = 1.0
    started: int = 0
    capacity_factor: float = 1.0
    restored_share: float = 0.0
    list_confidence: float = 1.0
    attempts: float = 0.0
    failures: float = 0.0
    latency: float = 0.0
    answer_rate: float = 0.0
    success_ratio: float = 1.0
    reporting_zones: int = 0
    last_report_at: int = 0
    zone_views: dict[str, ZoneView] = field(default_factory=dict)

    def reset_outcomes(self) -> None:
        """Discard all reports: they are of an earlier process under the same name."""
        self.attempts = self.failures = self.latency = self.answer_rate = 0.0
        self.success_ratio = 1.0
        self.reporting_zones = self.last_report_at = 0
        self.zone_views = {}

    def add_report(self, now: int, report: api.EndpointReport) -> None:
        """Add a report to its zone's view and bring the totals up to date.

        Args:
            now: present time, ns.
            report: outcomes of one period, with at least one attempt and a positive period.
        """
        view = self.zone_views.setdefault(report.zone, ZoneView(now))
        view.add(now, report)
        self.last_report_at = now
        views = [v for v in self.zone_views.values() if now - v.last_report_at < ZONE_VIEW_TTL_NS]
        successes = sum(v.successes for v in views)
        latency_sum = sum(v.latency_sum for v in views)
        self.attempts = sum(v.attempts for v in views)
        self.failures = self.attempts - successes
        self.latency = latency_sum / successes if successes > 0 else 0.0
        self.answer_rate = sum(v.successes / v.covered_s for v in views)
        self.success_ratio = max(v.successes / v.attempts for v in views)
        self.reporting_zones = len(views)
