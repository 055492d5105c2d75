"""Capacity of endpoints: the listed weight, corrected for slow start and for what reports tell.

The listed weight does not tell how fast a machine is. The learned capacity factor follows an endpoint's latency and
success ratio against the fleet's, so that it covers slow, overloaded, ageing, hung and failing endpoints, whatever load
they report themselves. The planner ejects no outlier, since its load would overload the next endpoint; each proxy may
eject one for itself. An endpoint that serves
costly requests looks slower than it is.
"""

from __future__ import annotations

from damsonpick.decisions import slow_start
from damsonpick.decisions.endpoint_state import EndpointState
from damsonpick.decisions.fleet_state import FleetState

LAST_RESORT_CONFIDENCE = 0.05  # below this an endpoint is used only if no other is left

MIN_ATTEMPTS = 4.0  # recent attempts needed to judge an endpoint
MIN_CAPACITY_FACTOR = 0.1
MAX_CAPACITY_FACTOR = 2.0
DECREASE_GAIN = 0.25  # part of the way to a lower factor, each report period
INCREASE_GAIN = 0.12  # part of the way to a higher factor, each report period
RESTORED_GAIN = 0.6  # part of the way at the first correction of a restored factor
SUCCESS_EXPONENT = 0.5  # power of the relative success ratio in the factor
NON_ZERO = 1e-9  # keeps a ratio defined without successes


def capacity_of(fleet: FleetState, endpoint: EndpointState) -> float:
    """Present capacity of an endpoint, in units of listed weight."""
    confidence = max(endpoint.list_confidence, LAST_RESORT_CONFIDENCE / 2)
    return endpoint.weight * slow_start.warm_up_share(fleet, endpoint) * endpoint.capacity_factor * confidence


def usable_capacities(fleet: FleetState) -> dict[str, float]:
    """Endpoints that may be assigned to slices.

    Unroutable endpoints are left out; withdrawn ones and those that the list is hardly believed in naming are left out
    as long as another one remains.

    Returns:
        Present capacity by endpoint.
    """
    routable = {n: capacity_of(fleet, e) for n, e in fleet.endpoints.items() if not fleet.is_unroutable(n)}
    admitted = {n: capacity for n, capacity in routable.items() if not fleet.withdrawn.get(n)} or routable
    believed = {n: c for n, c in admitted.items() if fleet.endpoints[n].list_confidence >= LAST_RESORT_CONFIDENCE}
    return believed or admitted


def initial_capacity_factor(fleet: FleetState, weight: float) -> float | None:
    """Mean factor of the endpoints with the same listed weight, taken for a new one; None if none has reports."""
    similar = [e.capacity_factor for e in fleet.endpoints.values() if e.weight == weight and e.attempts]
    return sum(similar) / len(similar) if similar else None


def learn_capacity_factors(fleet: FleetState) -> None:
    """Move the capacity factor of each warm endpoint with recent reports towards the observed one.

    The observed factor is the fleet's median latency over the endpoint's, times the endpoint's success ratio over the
    fleet's mean to the power `SUCCESS_EXPONENT`. Called once each report period.
    """
    judged = [e for e in fleet.endpoints.values() if _can_be_judged(fleet, e)]
    latencies = sorted(e.latency for e in judged if e.latency > 0) or [1.0]
    median = latencies[len(latencies) // 2]
    ratios = _success_ratios(fleet, judged)
    mean_ratio = sum(ratios.values()) / (len(ratios) or 1) + NON_ZERO
    for endpoint in judged:
        relative_success = min(1.0, ratios[endpoint.name] / mean_ratio)
        observed = median / (endpoint.latency or median) * relative_success**SUCCESS_EXPONENT
        _approach(endpoint, observed)


def _can_be_judged(fleet: FleetState, endpoint: EndpointState) -> bool:
    return (
        endpoint.state == "in_service"
        and slow_start.warm_up_share(fleet, endpoint) >= 1
        and endpoint.attempts >= MIN_ATTEMPTS
        and fleet.has_recent_report(endpoint)
    )


def _success_ratios(fleet: FleetState, endpoints: list[EndpointState]) -> dict[str, float]:
    """Success ratio by endpoint; 1 where fewer than half of the zones report it, as a link may be at fault."""
    zones = fleet.proxy_zone_count()
    return {e.name: e.success_ratio if 2 * e.reporting_zones >= zones else 1.0 for e in endpoints}


def _approach(endpoint: EndpointState, observed: float) -> None:
    """Move a factor towards the observed one, faster while it rests on a snapshot."""
    gain = DECREASE_GAIN if observed < endpoint.capacity_factor else INCREASE_GAIN
    gain = max(gain, RESTORED_GAIN * endpoint.restored_share)
    endpoint.restored_share /= 2
    target = min(MAX_CAPACITY_FACTOR, max(MIN_CAPACITY_FACTOR, observed))
    endpoint.capacity_factor *= (target / endpoint.capacity_factor) ** gain
