"""Case 1: proxies that start again while the fleet shrinks are not sent the withdrawals that are in force."""

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
KILLED = 10  # of 15 proxies, at once
KILL_AFTER_S = 1.0  # after the first endpoint began to drain
CALM_AFTER_S = 6.0


async def scenario(world: World, trouble: bool) -> None:
    """Let traffic fall and the fleet shrink; with the trouble, two thirds of the proxies are killed at once."""
    await asyncio.sleep(CALM_S)
    world.traffic.rate *= TRAFFIC_LEFT
    if trouble:
        world.spawn(_kill(world))
    for name in list(world.endpoints)[:RETIRED]:
        world.spawn(world.retire([name], DRAIN_S))
        await asyncio.sleep(SHRINK_S / RETIRED)
    await asyncio.sleep(CALM_AFTER_S)


async def _kill(world: World) -> None:
    await asyncio.sleep(KILL_AFTER_S)
    for proxy in world.random.sample(world.proxies, KILLED):
        world.spawn(world.restart_proxy(proxy))
