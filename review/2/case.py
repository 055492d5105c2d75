"""Case 2: after a restart of the pilot in a shrinking fleet, proxies are sent withdrawals too late."""

from __future__ import annotations

import asyncio

from review.standins.settings import WATER_BUSY
from review.standins.world import World

DEPLOYMENT, RULE = WATER_BUSY, "drain"

CALM_S = 6.0
RETIRED = 12  # of 18 endpoints: the fleet shrinks to 33% of its size
SHRINK_S = 8.2
DRAIN_S = 5.0
TRAFFIC_LEFT = 0.33
RESTART_AFTER_S = 1.0  # after the first endpoint began to drain
DOWN_S = 0.5
CALM_AFTER_S = 6.0


async def scenario(world: World, trouble: bool) -> None:
    """Let traffic fall and the fleet shrink; with the trouble, the pilot is restarted at the beginning."""
    await asyncio.sleep(CALM_S)
    world.traffic.rate *= TRAFFIC_LEFT
    if trouble:
        world.spawn(_restart(world))
    for name in list(world.endpoints)[:RETIRED]:
        world.spawn(world.retire([name], DRAIN_S))
        await asyncio.sleep(SHRINK_S / RETIRED)
    await asyncio.sleep(CALM_AFTER_S)


async def _restart(world: World) -> None:
    await asyncio.sleep(RESTART_AFTER_S)
    await world.restart_pilot(0, DOWN_S)
