"""A planner for a fleet of full size: 200 endpoints, 241 owned slices, 40 proxies."""

from __future__ import annotations

import random

from damsonpick import interface as api
from tests.helpers import SECOND, SimulatedFleet

ENDPOINT_NAMES = [f"e{k:03}" for k in range(200)]


def large_fleet() -> SimulatedFleet:
    return SimulatedFleet(names=ENDPOINT_NAMES, slices=241, proxies=40, channel_rate=40_000.0, channel_limit=60_000.0)


def uneven_reports(world: SimulatedFleet) -> list[api.Event]:
    """Return reports of all slices and endpoints. Slice loads vary; some endpoints have twice the load of others."""
    rnd = random.Random(5)
    demand = [
        api.SliceDemand(n, k, rnd.randrange(4, 12) + 12 * (n >= 160), 0, SECOND)
        for n in world.tables
        for k in ("cheap", "dear")
    ]
    return demand + [api.EndpointReport("a", n, 20, 0, 150_000_000, SECOND, ()) for n in world.names]
