"""Load shedding: how much demand the fleet admits, and the admission level of each request class.

When responses are late across the fleet, the limit on the admitted rate is lowered below the throughput that the fleet
is known to sustain, and then raised step by step. Each class has one level for all slices, since separate levels for
each slice would fill the channel.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions import capacity, slow_start
from damsonpick.decisions.endpoint_state import RECENT_TAU_S, EndpointState
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.time_units import NS_PER_SECOND

OVERLOAD_LATENCY_SHARE = 0.4  # the limit falls while median latency / objective is above this
LOW_LATENCY_SHARE = 0.3  # the limit grows while median latency / objective is below this
LIMIT_HOLD_NS = 3 * NS_PER_SECOND  # minimum time between decreases; reports do not show a decrease's effect earlier
# The known throughput is the current throughput or, if that is higher, `KNOWN_THROUGHPUT_SHARE` * best throughput.
DECREASE_PER_LATENCY = 0.3  # a decrease sets limit / known throughput to 1 - this * median latency / objective
MIN_DECREASE_FACTOR = 0.7  # lower bound on limit / known throughput after a decrease
KNOWN_THROUGHPUT_SHARE = 0.85  # share of the best throughput that the fleet can certainly sustain
BEST_THROUGHPUT_DECAY_FACTOR = 0.98  # factor on the best throughput per report period
BEST_RATIO_DECAY_FACTOR = 0.99  # factor on `FleetState.throughput_per_capacity` per report period
MAX_RESTORED_RATIO = 1.5  # the first decrease caps a restored best throughput at this * current throughput
FAST_GROWTH_FACTOR = 1.15  # factor on a limit per report period if the fleet can certainly sustain it or nothing queues
PROBE_GROWTH_FACTOR = 1.04  # factor on the limit per report period in all other cases of growth
UNQUEUED_LATENCY_RATIO = 1.2  # requests are assumed not to queue while latency / base latency is below this
BASE_LATENCY_DECAY_FACTOR = 0.995  # the base latency is divided by it per report period, so that an old minimum expires
UNLIMITED_DEMAND_RATIO = 2  # a limit that is raised to at least this multiple of the demand is removed
WARMING_THROUGHPUT_RATIO = 1.5  # bound on limit / expected throughput while most of the capacity is warming up
MIN_COVERAGE = 0.1  # smallest share of the fleet that the reports are assumed to cover
EPSILON = 1e-6  # keeps ratios defined if demand or capacity is 0

# Levels that can be published. None of them rejects a whole class, since its demand would then be unknown.
LEVELS = (0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0)


def admission_levels(admitted_share: float, rates: list[float], classes: tuple[api.RequestClass, ...]) -> list[float]:
    """Compute the admission level of each class. Classes with the highest priority weight are admitted first.

    Args:
        admitted_share: Share of the total demand to admit, 0 to 1.
        rates: Demand by class, requests/s.
        classes: Request classes in the order of `rates`.

    Returns:
        One of `LEVELS` for each class.
    """
    remaining = admitted_share * sum(rates)
    levels = [1.0] * len(rates)
    for index in sorted(range(len(rates)), key=lambda k: -classes[k].priority_weight):
        level = 1.0
        if admitted_share < 1:
            level = min(1.0, (max(0.0, remaining) + EPSILON) / (rates[index] + EPSILON))
        remaining -= rates[index]
        levels[index] = _nearest_level(level)
    return levels


def median_latency(fleet: FleetState, endpoints: list[EndpointState]) -> float:
    """Compute the median latency over zones and the given endpoints, weighted by recent successful responses.

    Slow links or slow endpoints change it little while they are a minority. If a zone sends no reports about an
    endpoint, the weight of its earlier reports decays. Otherwise, past congestion would still dominate the median in
    zones that send few requests now.

    Returns:
        Median latency in ns; 0 if there are no successful responses.
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
    """The limit on the admitted rate and the measurements from which it is computed.

    Attributes:
        fleet: Shared state. The controller writes the desired levels, the admitted share and the throughput per unit
            of capacity, and reads the rest.
        latency_objective: Strictest latency objective of all classes, ns.
        admitted_rate_limit: Requests/s to admit; infinite while no load is shed.
        best_throughput: Highest observed throughput in successful responses/s. It decays slowly.
        advised_capacity: Requests/s that the fleet can answer in time, as calculated by the solver; 0 if unknown or if
            the fleet can answer all demand.
        base_latency: Lowest observed median latency as a share of the objective; infinite if there was none yet. It
            rises slowly, so that an old minimum expires.
        last_decrease_at: Time at which the limit was last lowered, or at which `hold_limit` was last called, ns.
        levels_restored: Whether the levels are those of an earlier incarnation and no reports have been evaluated yet.
        best_throughput_restored: Whether the best throughput may be that of an earlier incarnation, because no decrease
            of the limit has compared it with the current throughput yet.
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
        """Determine the strictest latency objective of all classes."""
        self.latency_objective = min(c.latency_objective for c in self.fleet.settings.classes)

    def apply_advised_capacity(self, event: api.CapacityAdvised) -> None:
        """Store the fleet's capacity as calculated by the solver."""
        self.advised_capacity = event.rate

    def hold_limit(self) -> None:
        """Start a time of `LIMIT_HOLD_NS` during which overload does not lower the limit."""
        self.last_decrease_at = self.fleet.now

    def scale_limit(self, count: int, count_before: int) -> None:
        """Scale the limit and the best throughput to the number of owned slices."""
        self.admitted_rate_limit = self.admitted_rate_limit * count / count_before
        self.best_throughput = self.best_throughput * count / count_before

    def update(self) -> None:
        """Adjust the limit and, in mode `ratio`, the desired levels, once per report period while reports arrive."""
        fleet = self.fleet
        capacities = capacity.usable_capacities(fleet)
        rates = [sum(s.rates[k] for s in fleet.slices.values()) for k in range(len(fleet.published_levels))]
        admitted = sum(level * rate for level, rate in zip(fleet.published_levels, rates, strict=True))
        demand = sum(rates)
        reporting = self._reporting_endpoints(capacities)
        throughput = self._throughput(capacities, reporting, admitted)
        latency_share = median_latency(fleet, reporting) / self.latency_objective
        self._apply_restored_levels(admitted)
        self.best_throughput = max(throughput, self.best_throughput * BEST_THROUGHPUT_DECAY_FACTOR)
        self.base_latency = min(latency_share or math.inf, self.base_latency / BASE_LATENCY_DECAY_FACTOR)
        self._adjust_limit(latency_share, throughput, demand)
        self._bound_limit_while_warming(capacities, throughput)
        fleet.admitted_share = min(1.0, self.admitted_rate_limit / (demand + EPSILON))
        if fleet.settings.admission == "ratio":
            fleet.desired_levels = tuple(admission_levels(fleet.admitted_share, rates, fleet.settings.classes))

    def _reporting_endpoints(self, capacities: dict[str, float]) -> list[EndpointState]:
        """Return the usable endpoints with recent successful responses."""
        usable = [self.fleet.endpoints[name] for name in capacities]
        return [e for e in usable if self.fleet.has_recent_report(e) and e.response_rate]

    def _throughput(self, capacities: dict[str, float], reporting: list[EndpointState], admitted: float) -> float:
        """Estimate the successful responses/s of the fleet.

        In a large fleet, or after a start, the reports cover only part of the fleet. The success ratio and the response
        rate of that part are then assumed for the whole fleet.
        """
        reported = sum(e.response_rate for e in reporting)
        attempts = sum(e.attempts for e in reporting) or 1.0
        success_ratio = sum(e.attempts - e.failures for e in reporting) / attempts
        extrapolated = reported / max(MIN_COVERAGE, self._coverage(capacities))
        return max(reported, min(success_ratio * admitted, extrapolated))

    def _coverage(self, capacities: dict[str, float]) -> float:
        """Return the share of the capacity of all usable assigned endpoints that is covered by recent reports.

        An endpoint with a recent report contributes its capacity * the share of the proxies' zones that report it.
        """
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

    def _apply_restored_levels(self, admitted: float) -> None:
        """If levels were restored, mark the best throughput as restored, and derive a limit from levels below 1."""
        if not self.levels_restored:
            return
        self.levels_restored = False
        self.best_throughput_restored = True
        if min(self.fleet.published_levels) < 1:
            self.admitted_rate_limit = admitted

    def _adjust_limit(self, latency_share: float, throughput: float, demand: float) -> None:
        """Lower the limit if responses are late, and raise it if they are fast.

        In between, if demand exceeds the advised capacity, this capacity or a higher throughput bounds the limit.

        Args:
            latency_share: Median latency as a share of the objective.
            throughput: Successful responses/s of the fleet.
            demand: Incoming requests/s.
        """
        if latency_share > OVERLOAD_LATENCY_SHARE:
            if self.fleet.now - self.last_decrease_at > LIMIT_HOLD_NS:
                self._lower_limit(latency_share, throughput)
        elif latency_share > LOW_LATENCY_SHARE:
            if self.advised_capacity and demand > self.advised_capacity:
                self.admitted_rate_limit = min(self.admitted_rate_limit, max(self.advised_capacity, throughput))
        elif latency_share < LOW_LATENCY_SHARE:
            self._raise_limit(latency_share, demand)

    def _lower_limit(self, latency_share: float, throughput: float) -> None:
        if self.best_throughput_restored:  # a restored value that is too high would prevent any decrease of the limit
            self.best_throughput_restored = False
            self.best_throughput = min(self.best_throughput, MAX_RESTORED_RATIO * throughput)
        factor = max(MIN_DECREASE_FACTOR, 1 - DECREASE_PER_LATENCY * latency_share)
        known = max(throughput, KNOWN_THROUGHPUT_SHARE * self.best_throughput)
        self.admitted_rate_limit = max(1.0, factor * known)
        self.last_decrease_at = self.fleet.now

    def _raise_limit(self, latency_share: float, demand: float) -> None:
        unqueued_latency_share = max(LOW_LATENCY_SHARE / 2, UNQUEUED_LATENCY_RATIO * self.base_latency)
        known = self.admitted_rate_limit < KNOWN_THROUGHPUT_SHARE * self.best_throughput
        growth = FAST_GROWTH_FACTOR if known or latency_share < unqueued_latency_share else PROBE_GROWTH_FACTOR
        limit = self.admitted_rate_limit * growth
        self.admitted_rate_limit = limit if limit < UNLIMITED_DEMAND_RATIO * demand else math.inf

    def _bound_limit_while_warming(self, capacities: dict[str, float], throughput: float) -> None:
        """Update the throughput per unit of capacity, and bound the limit while most of the capacity is warming up.

        The bound is `WARMING_THROUGHPUT_RATIO` times the throughput expected from the current capacity. It applies even
        before any response is late.
        """
        fleet = self.fleet
        total = sum(capacities.values()) + EPSILON
        best_ratio = max(BEST_RATIO_DECAY_FACTOR * fleet.throughput_per_capacity, throughput / total)
        fleet.throughput_per_capacity = best_ratio
        warming = sum(capacities[n] for n in capacities if slow_start.is_warming_up(fleet, n))
        if 2 * warming > total:
            bound = WARMING_THROUGHPUT_RATIO * best_ratio * total or math.inf
            self.admitted_rate_limit = min(self.admitted_rate_limit, bound)


def _nearest_level(level: float) -> float:
    return min(LEVELS, key=lambda candidate: abs(candidate - level))
