"""Load shedding: how much demand the fleet admits, and the admission level of each request class.

When answers come late across the fleet, the admitted rate falls below the throughput that the fleet was seen to give,
then grows step by step. One level a class holds for all slices: a level for each slice would fill the channel.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions import capacity, slow_start
from damsonpick.decisions.endpoint_state import RECENT_TAU_S, EndpointState
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.time_units import NS_PER_SECOND

OVERLOAD_LATENCY_SHARE = 0.4  # median latency over the objective above which the limit falls
CALM_LATENCY_SHARE = 0.3  # median latency over the objective below which the limit grows
LIMIT_HOLD_NS = 3 * NS_PER_SECOND  # time until a lower limit shows in the reports
DECREASE_PER_LATENCY = 0.3  # part by which the limit falls for a median latency of one objective
MIN_DECREASE_FACTOR = 0.7  # the limit falls to no less than this part at a time
KNOWN_THROUGHPUT_SHARE = 0.85  # part of the best throughput that the fleet is sure to give
BEST_THROUGHPUT_KEPT = 0.98  # part of the best throughput kept each report period
BEST_RATIO_KEPT = 0.99  # part of the best throughput for each unit of capacity kept each report period
MAX_RESTORED_RATIO = 1.5  # most of a restored best throughput, against the present one, once the fleet is overloaded
FAST_GROWTH = 1.15  # growth each report period where the fleet is sure to bear it
PROBE_GROWTH = 1.04  # growth each report period beyond that
UNQUEUED_LATENCY_RATIO = 1.2  # latency over the base latency below which no requests queue
BASE_LATENCY_KEPT = 0.995  # divides the base latency each report period, so that an old minimum is forgotten
UNLIMITED_DEMAND_RATIO = 2  # a limit above this many times the demand is none
WARMING_THROUGHPUT_RATIO = 1.5  # most admitted, against the best throughput, while most of the fleet is warming up
MIN_COVERAGE = 0.1  # least part of the fleet that reports count for
NON_ZERO = 1e-6  # keeps a ratio defined without demand or capacity

# Levels that are published. None refuses a whole class, whose demand would then be unknown.
LEVELS = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0)


def admission_levels(admitted_share: float, rates: list[float], classes: tuple[api.RequestClass, ...]) -> list[float]:
    """Admission level of each class: those with the highest priority weight are admitted first.

    Args:
        admitted_share: share of all demand to admit, 0 to 1.
        rates: demand by class, requests/s.
        classes: request classes in the order of `rates`.

    Returns:
        One of `LEVELS` for each class.
    """
    remaining = admitted_share * sum(rates)
    levels = [1.0] * len(rates)
    for index in sorted(range(len(rates)), key=lambda k: -classes[k].priority_weight):
        level = 1.0
        if admitted_share < 1:
            level = min(1.0, (max(0.0, remaining) + NON_ZERO) / (rates[index] + NON_ZERO))
        remaining -= rates[index]
        levels[index] = _nearest_level(level)
    return levels


def median_latency(fleet: FleetState, endpoints: list[EndpointState]) -> float:
    """Median latency over all zones and endpoints, weighted by recent answers.

    Slow links or endpoints that are fewer than half change it little. The weight of a view without new reports decays,
    or a congestion that is over would still be seen where few requests go now.

    Returns:
        Nanoseconds; 0 without answers.
    """
    samples: list[tuple[float, float]] = []
    for endpoint in endpoints:
        for view in endpoint.zone_views.values():
            if view.recent_successes > 0:
                decay = math.exp((view.last_report_at - fleet.now) / NS_PER_SECOND / RECENT_TAU_S)
                samples.append((view.recent_latency_sum / view.recent_successes, view.recent_successes * decay))
    samples.sort()
    half = sum(weight for _, weight in samples) / 2
    seen = 0.0
    for latency, weight in samples:
        seen += weight
        if seen >= half:
            return latency
    return 0.0


@dataclass(slots=True, eq=False)
class AdmissionController:
    """The limit on the admitted rate, and what it rests on.

    Attributes:
        fleet: state that is read; desired levels, admitted share and throughput for each unit of capacity are written.
        latency_objective: the strictest objective of all classes, ns.
        admitted_rate_limit: requests/s to admit; infinite while nothing is shed.
        best_throughput: most answers/s seen, slowly forgotten.
        advised_capacity: requests/s that the fleet can answer in time as calculated outside; 0: not known, or all fits.
        base_latency: least median latency seen, slowly forgotten, as a share of the objective.
        last_decrease_at: when the limit last fell or was held, ns.
        levels_restored: the levels are an earlier incarnation's, and no report has been weighed against them.
        best_throughput_restored: the best throughput is an earlier incarnation's, and no overload has tried it.
    """

    fleet: FleetState
    latency_objective: int = field(init=False)
    admitted_rate_limit: float = math.inf
    best_throughput: float = 0.0
    advised_capacity: float = 0.0
    base_latency: float = math.inf
    last_decrease_at: int = 0
    levels_restored: bool = False
    best_throughput_restored: bool = False

    def __post_init__(self) -> None:
        """Take the strictest latency objective of all classes."""
        self.latency_objective = min(c.latency_objective for c in self.fleet.settings.classes)

    def apply_advised_capacity(self, event: api.CapacityAdvised) -> None:
        """Take over the fleet's capacity as calculated outside."""
        self.advised_capacity = event.rate

    def hold_limit(self) -> None:
        """Keep the limit from falling for `LIMIT_HOLD_NS`."""
        self.last_decrease_at = self.fleet.now

    def scale_limit(self, count: int, count_before: int) -> None:
        """Scale the limit and the best throughput to the number of owned slices."""
        self.admitted_rate_limit = self.admitted_rate_limit * count / count_before
        self.best_throughput = self.best_throughput * count / count_before

    def update(self) -> None:
        """Adjust the limit to the reports and set the desired levels. Called once each report period."""
        fleet = self.fleet
        capacities = capacity.usable_capacities(fleet)
        rates = [sum(s.rates[k] for s in fleet.slices.values()) for k in range(len(fleet.published_levels))]
        admitted = sum(level * rate for level, rate in zip(fleet.published_levels, rates, strict=True))
        demand = sum(rates)
        reporting = self._reporting_endpoints(capacities)
        throughput = self._throughput(capacities, reporting, admitted)
        latency_share = median_latency(fleet, reporting) / self.latency_objective
        self._adopt_restored_levels(admitted)
        self.best_throughput = max(throughput, self.best_throughput * BEST_THROUGHPUT_KEPT)
        self.base_latency = min(latency_share or math.inf, self.base_latency / BASE_LATENCY_KEPT)
        self._adjust_limit(latency_share, throughput, demand)
        self._bound_limit_while_warming(capacities, throughput)
        fleet.admitted_share = min(1.0, self.admitted_rate_limit / (demand + NON_ZERO))
        if fleet.settings.admission == "ratio":
            fleet.desired_levels = tuple(admission_levels(fleet.admitted_share, rates, fleet.settings.classes))

    def _reporting_endpoints(self, capacities: dict[str, float]) -> list[EndpointState]:
        """Usable endpoints with recent answers."""
        usable = [self.fleet.endpoints[name] for name in capacities]
        return [e for e in usable if self.fleet.has_recent_report(e) and e.answer_rate]

    def _throughput(self, capacities: dict[str, float], reporting: list[EndpointState], admitted: float) -> float:
        """Answers/s of the fleet.

        Reports of a large fleet, or after a start, cover a part of it: the success ratio there is taken for all, and
        the rest is taken to answer at the same rate.
        """
        reported = sum(e.answer_rate for e in reporting)
        attempts = sum(e.attempts for e in reporting) or 1.0
        success_ratio = sum(e.attempts - e.failures for e in reporting) / attempts
        extrapolated = reported / max(MIN_COVERAGE, self._coverage(capacities))
        return max(reported, min(success_ratio * admitted, extrapolated))

    def _coverage(self, capacities: dict[str, float]) -> float:
        """Share of the capacity in use by owned slices, and of the zones that use it, with recent reports."""
        fleet = self.fleet
        zones = fleet.proxy_zone_count() or 1
        assigned = {n: True for s in fleet.slices.values() for n in s.assigned if n in capacities}
        oldest = fleet.now - 2 * fleet.report_span
        covered = sum(
            capacities[n] * min(1.0, fleet.endpoints[n].reporting_zones / zones)
            for n in assigned
            if fleet.endpoints[n].last_report_at >= oldest
        )
        return covered / (sum(capacities[n] for n in assigned) or 1.0)

    def _adopt_restored_levels(self, admitted: float) -> None:
        """Take what the levels of an earlier incarnation admit as the first limit."""
        if not self.levels_restored:
            return
        self.levels_restored = False
        self.best_throughput_restored = True
        if min(self.fleet.published_levels) < 1:
            self.admitted_rate_limit = admitted

    def _adjust_limit(self, latency_share: float, throughput: float, demand: float) -> None:
        """Lower the limit on late answers, bound it by advice before they are late, let it grow while they are fast.

        Args:
            latency_share: median latency as a share of the objective.
            throughput: answers/s of the fleet.
            demand: requests/s that come.
        """
        if latency_share > OVERLOAD_LATENCY_SHARE:
            if self.fleet.now - self.last_decrease_at > LIMIT_HOLD_NS:
                self._lower_limit(latency_share, throughput)
        elif latency_share > CALM_LATENCY_SHARE:
            if self.advised_capacity and demand > self.advised_capacity:
                self.admitted_rate_limit = min(self.admitted_rate_limit, max(self.advised_capacity, throughput))
        elif latency_share < CALM_LATENCY_SHARE:
            self._raise_limit(latency_share, demand)

    def _lower_limit(self, latency_share: float, throughput: float) -> None:
        if self.best_throughput_restored:  # one that is too high would keep the limit from falling at all
            self.best_throughput_restored = False
            self.best_throughput = min(self.best_throughput, MAX_RESTORED_RATIO * throughput)
        factor = max(MIN_DECREASE_FACTOR, 1 - DECREASE_PER_LATENCY * latency_share)
        known = max(throughput, KNOWN_THROUGHPUT_SHARE * self.best_throughput)
        self.admitted_rate_limit = max(1.0, factor * known)
        self.last_decrease_at = self.fleet.now

    def _raise_limit(self, latency_share: float, demand: float) -> None:
        unqueued = max(CALM_LATENCY_SHARE / 2, UNQUEUED_LATENCY_RATIO * self.base_latency)
        known = self.admitted_rate_limit < KNOWN_THROUGHPUT_SHARE * self.best_throughput
        growth = FAST_GROWTH if known or latency_share < unqueued else PROBE_GROWTH
        limit = self.admitted_rate_limit * growth
        self.admitted_rate_limit = limit if limit < UNLIMITED_DEMAND_RATIO * demand else math.inf

    def _bound_limit_while_warming(self, capacities: dict[str, float], throughput: float) -> None:
        """While most of the capacity is warming up, admit what it should answer before any answer is late."""
        fleet = self.fleet
        total = sum(capacities.values()) + NON_ZERO
        best_ratio = max(BEST_RATIO_KEPT * fleet.throughput_per_capacity, throughput / total)
        fleet.throughput_per_capacity = best_ratio
        warming = sum(capacities[n] for n in capacities if slow_start.is_warming_up(fleet, n))
        if 2 * warming > total:
            bound = WARMING_THROUGHPUT_RATIO * best_ratio * total or math.inf
            self.admitted_rate_limit = min(self.admitted_rate_limit, bound)


def _nearest_level(level: float) -> float:
    return min(LEVELS, key=lambda candidate: abs(candidate - level))
