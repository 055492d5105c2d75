"""Slow start: an endpoint that has just started has a part of its capacity and may get no more load than that bears."""

from __future__ import annotations

import math

from damsonpick.decisions.endpoint_state import EndpointState
from damsonpick.decisions.fleet_state import FleetState

WARMING_LOAD_HEADROOM = 1.2  # load that a warming endpoint may have, against its share by present capacity
NON_ZERO = 1e-9  # keeps a ratio defined without load or capacity


def warm_up_share(fleet: FleetState, endpoint: EndpointState) -> float:
    """Share of its warm capacity that an endpoint has at least.

    Returns:
        1 once the stated warm-up time has passed since the start; before, linear from the stated cold share to 1.
    """
    settings = fleet.settings
    age = fleet.now - endpoint.started
    if not endpoint.started or age >= settings.warm_up_time:
        return 1.0
    cold_share = settings.cold_capacity_share
    return cold_share + (1 - cold_share) * max(0.0, age / settings.warm_up_time)


def is_warming_up(fleet: FleetState, name: str) -> bool:
    """Whether a known endpoint is still in its warm-up time."""
    return warm_up_share(fleet, fleet.endpoints[name]) < 1


def warming_load_limit(fleet: FleetState, load: float, capacity: float) -> float:
    """Most load that a warming endpoint may get for each unit of its present capacity.

    Refused requests come again, so raw demand overstates what endpoints have to answer: only the admitted share of it
    counts, and at most the throughput that the fleet has shown.

    Args:
        fleet: state of the fleet.
        load: demand on all endpoints, requests/s.
        capacity: present capacity of all endpoints.

    Returns:
        Requests/s for each unit of capacity.
    """
    mean = fleet.admitted_share * (load + NON_ZERO) / (capacity + NON_ZERO)
    return WARMING_LOAD_HEADROOM * min(mean, fleet.throughput_per_capacity or math.inf)
