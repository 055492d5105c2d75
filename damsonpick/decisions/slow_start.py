"""Slow start: an endpoint that has just started has only part of its capacity, and its load is limited accordingly."""

from __future__ import annotations

import math

from damsonpick.decisions.endpoint_state import EndpointState
from damsonpick.decisions.fleet_state import FleetState

WARMING_LOAD_HEADROOM = 1.2  # maximum load of a warming endpoint / its fair load for its current capacity
EPSILON = 1e-9  # keeps a ratio defined if load or capacity is 0


def warm_up_share(fleet: FleetState, endpoint: EndpointState) -> float:
    """Return the minimum share of its warm capacity that an endpoint has now.

    Returns:
        1 once the configured warm-up time has passed since the start. Before that, the share grows linearly from the
        configured cold share to 1.
    """
    settings = fleet.settings
    age = fleet.now - endpoint.started
    if not endpoint.started or age >= settings.warm_up_time:
        return 1.0
    cold_share = settings.cold_capacity_share
    return cold_share + (1 - cold_share) * max(0.0, age / settings.warm_up_time)


def is_warming_up(fleet: FleetState, name: str) -> bool:
    """Return whether a known endpoint is still in its warm-up time."""
    return warm_up_share(fleet, fleet.endpoints[name]) < 1


def warming_load_limit(fleet: FleetState, load: float, capacity: float) -> float:
    """Return the maximum load of a warming endpoint per unit of its current capacity.

    Rejected requests are retried, so raw demand overstates the load that endpoints have to serve. The limit is
    therefore computed from the admitted demand or, if that is less, from the observed throughput per unit of capacity.

    Args:
        fleet: State of the fleet.
        load: Demand on all endpoints, requests/s.
        capacity: Current capacity of all endpoints.

    Returns:
        Requests/s per unit of capacity.
    """
    mean = fleet.admitted_share * (load + EPSILON) / (capacity + EPSILON)
    return WARMING_LOAD_HEADROOM * min(mean, fleet.throughput_per_capacity or math.inf)
