"""The state of one endpoint.

It consists of the list entry with the confidence in it, the start time of the process, the outcomes that proxies
report, and the learned capacity factor.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Literal

from damsonpick import interface as api
from damsonpick.decisions.time_units import NS_PER_SECOND

EndpointListing = api.EndpointStatus | Literal["unlisted"]

OUTCOME_TAU_S = 2.5  # time constant with which the reported outcomes of one endpoint decay
# Time constant of the outcomes from which the fleet's median latency is computed. It is shorter than `OUTCOME_TAU_S`,
# since the median is computed from many responses.
RECENT_TAU_S = 1.0
ZONE_VIEW_TTL_NS = 2 * OUTCOME_TAU_S * NS_PER_SECOND  # age of its newest report from which a zone's view is ignored


@dataclass(slots=True, eq=False)
class ZoneView:
    """Outcomes that the proxies of one zone observed at one endpoint, as exponentially decaying sums.

    Attributes:
        last_report_at: Time of the newest report, ns.
        attempts: Number of attempts.
        successes: Number of successful attempts.
        latency_sum: Total latency of the successful attempts, ns.
        covered_s: Time that the reports cover, s. Rates are computed from it, because the interval between reports
            grows with the fleet.
        recent_successes: Like `successes`, with the shorter time constant `RECENT_TAU_S`.
        recent_latency_sum: Like `latency_sum`, with the shorter time constant `RECENT_TAU_S`.
    """

    last_report_at: int
    attempts: float = 0.0
    successes: float = 0.0
    latency_sum: float = 0.0
    covered_s: float = 0.0
    recent_successes: float = 0.0
    recent_latency_sum: float = 0.0

    def add(self, now: int, report: api.EndpointReport) -> None:
        """Decay the sums to the current time and add one report."""
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
    """One endpoint that the endpoint list, a stored table entry or a restored withdrawal names.

    Attributes:
        name: Address that identifies the endpoint.
        state: State in the endpoint list; `unlisted` while only a stored table entry names the endpoint.
        unroutable_since: Time at which the list first said that the endpoint drains or is gone, ns; 0 if it never did.
        weight: Listed weight, relative to other endpoints.
        started: Start time of the process, ns; 0 if it was long ago.
        capacity_factor: Learned correction of the weight, 1 for the fleet's median. It is kept when the process
            restarts, since it is a property of the machine. A factor restored from a snapshot is then reset to 1.
        restored_share: Share of `capacity_factor` that is restored from a snapshot and not yet confirmed by reports,
            0 to 1.
        list_confidence: Confidence in what the list states about the endpoint, 0 to 1.
        attempts: Decaying number of attempts over all zones.
        failures: Decaying number of failed attempts over all zones.
        latency: Mean latency of the successful responses, ns; 0 if there are none.
        response_rate: Successful responses per second over all zones.
        success_ratio: Share of successful attempts in the zone where this share is highest. A lower share in another
            zone may be caused by the network link of that zone.
        reporting_zones: Number of zones whose newest report was younger than `ZONE_VIEW_TTL_NS` at `last_report_at`.
        last_report_at: Time of the newest report, ns; 0 if there is none.
        zone_views: Outcomes by zone of the reporting proxies.
    """

    name: str
    state: EndpointListing = "unlisted"
    unroutable_since: int = 0
    weight: float = 1.0
    started: int = 0
    capacity_factor: float = 1.0
    restored_share: float = 0.0
    list_confidence: float = 1.0
    attempts: float = 0.0
    failures: float = 0.0
    latency: float = 0.0
    response_rate: float = 0.0
    success_ratio: float = 1.0
    reporting_zones: int = 0
    last_report_at: int = 0
    zone_views: dict[str, ZoneView] = field(default_factory=dict)

    def set_state(self, now: int, state: api.EndpointStatus) -> None:
        """Apply the state that the list says at time `now` (ns)."""
        if state != "in_service" and self.state in ("in_service", "unlisted"):
            self.unroutable_since = now
        self.state = state

    def reset_outcomes(self) -> None:
        """Discard all reports, which describe an earlier process with the same name."""
        self.attempts = self.failures = self.latency = self.response_rate = 0.0
        self.success_ratio = 1.0
        self.reporting_zones = self.last_report_at = 0
        self.zone_views = {}

    def add_report(self, now: int, report: api.EndpointReport) -> None:
        """Add a report to its zone's view and update the totals.

        Args:
            now: Current time, ns.
            report: Outcomes of one period, with at least one attempt and a positive period.
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
        self.response_rate = sum(v.successes / v.covered_s for v in views)
        self.success_ratio = max(v.successes / v.attempts for v in views)
        self.reporting_zones = len(views)
