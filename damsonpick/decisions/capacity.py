"""Capacity of endpoints: the listed weight, corrected for slow start and for the reported outcomes.

The listed weight does not show how fast a machine is. The learned capacity factor follows an endpoint's latency and
success ratio relative to the fleet's. It therefore detects slow, overloaded, ageing, hung and failing endpoints,
whatever load they report themselves. The planner ejects no outliers, since the load of an ejected endpoint would
overload the next one. Each proxy may eject outliers for itself. An endpoint that serves costly requests appears slower
than it is.
"""

from __future__ import annotations

from damsonpick.decisions import slow_start
from damsonpick.decisions.endpoint_state import EndpointState
from damsonpick.decisions.fleet_state import FleetState

LAST_RESORT_CONFIDENCE = 0.05  # an endpoint with lower confidence is used only if no other endpoint is left

MIN_ATTEMPTS = 4.0  # least `EndpointState.attempts`, a decaying sum, from which a factor is learned
MIN_CAPACITY_FACTOR = 0.1
MAX_CAPACITY_FACTOR = 2.0
DECREASE_GAIN = 0.25  # share of the logarithmic distance to a lower observed factor covered per report period
INCREASE_GAIN = 0.12  # share of the logarithmic distance to a higher observed factor covered per report period
RESTORED_GAIN = 0.6  # least share for the first correction of a restored factor; halved with each further one
SUCCESS_EXPONENT = 0.5  # exponent of the relative success ratio in the observed factor
EPSILON = 1e-9  # keeps a ratio defined if there are no successes


def capacity_of(fleet: FleetState, endpoint: EndpointState) -> float:
    """Return the current capacity of an endpoint in units of listed weight."""
    confidence = max(endpoint.list_confidence, LAST_RESORT_CONFIDENCE / 2)
    return endpoint.weight * slow_start.warm_up_share(fleet, endpoint) * endpoint.capacity_factor * confidence


def usable_capacities(fleet: FleetState) -> dict[str, float]:
    """Return the endpoints that may be assigned to slices.

    Unroutable endpoints are excluded. Withdrawn endpoints, and endpoints with a confidence below
    `LAST_RESORT_CONFIDENCE`, are excluded as long as another endpoint remains.

    Returns:
        Current capacity by endpoint.
    """
    routable = {n: capacity_of(fleet, e) for n, e in fleet.endpoints.items() if not fleet.is_unroutable(n)}
    not_withdrawn = {n: capacity for n, capacity in routable.items() if not fleet.withdrawn.get(n)} or routable
    believed = {n: c for n, c in not_withdrawn.items() if fleet.endpoints[n].list_confidence >= LAST_RESORT_CONFIDENCE}
    return believed or not_withdrawn


def initial_capacity_factor(fleet: FleetState, weight: float) -> float | None:
    """Return the capacity factor for a new endpoint.

    It is the mean factor of the endpoints with the same listed weight that have reports; None if there are none.
    """
    similar = [e.capacity_factor for e in fleet.endpoints.values() if e.weight == weight and e.attempts]
    return sum(similar) / len(similar) if similar else None


def learn_capacity_factors(fleet: FleetState) -> None:
    """Move the capacity factor of each endpoint that can be assessed towards the observed factor.

    These are the endpoints in service that are warm and have recent reports with enough attempts.

    The observed factor is (fleet's median latency / endpoint's latency) * (endpoint's success ratio / fleet's mean
    success ratio) ** `SUCCESS_EXPONENT`, where the ratio of success ratios is at most 1. The planner calls this
    function once per report period while any reports are received.
    """
    assessed = [e for e in fleet.endpoints.values() if _can_be_assessed(fleet, e)]
    latencies = sorted(e.latency for e in assessed if e.latency > 0) or [1.0]
    median = latencies[len(latencies) // 2]
    ratios = _success_ratios(fleet, assessed)
    mean_ratio = sum(ratios.values()) / (len(ratios) or 1) + EPSILON
    for endpoint in assessed:
        relative_success = min(1.0, ratios[endpoint.name] / mean_ratio)
        observed = median / (endpoint.latency or median) * relative_success**SUCCESS_EXPONENT
        _update_capacity_factor(endpoint, observed)


def _can_be_assessed(fleet: FleetState, endpoint: EndpointState) -> bool:
    return (
        endpoint.state == "in_service"
        and slow_start.warm_up_share(fleet, endpoint) >= 1
        and endpoint.attempts >= MIN_ATTEMPTS
        and fleet.has_recent_report(endpoint)
    )


def _success_ratios(fleet: FleetState, endpoints: list[EndpointState]) -> dict[str, float]:
    """Return the success ratio by endpoint.

    It is 1 for an endpoint that fewer than half of the zones report, since a network link may cause its failures.
    """
    zones = fleet.proxy_zone_count()
    return {e.name: e.success_ratio if 2 * e.reporting_zones >= zones else 1.0 for e in endpoints}


def _update_capacity_factor(endpoint: EndpointState, observed: float) -> None:
    """Move a factor towards the observed factor, faster while part of it is restored from a snapshot."""
    gain = DECREASE_GAIN if observed < endpoint.capacity_factor else INCREASE_GAIN
    gain = max(gain, RESTORED_GAIN * endpoint.restored_share)
    endpoint.restored_share /= 2
    target = min(MAX_CAPACITY_FACTOR, max(MIN_CAPACITY_FACTOR, observed))
    endpoint.capacity_factor *= (target / endpoint.capacity_factor) ** gain
