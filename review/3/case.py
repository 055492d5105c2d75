"""Case 3: at an exclusive site, writes of a slice reach two endpoints while the slice moves to a new owner."""

from __future__ import annotations

import asyncio

from review.standins.settings import WATER, RequestClass
from review.standins.world import World

DEPLOYMENT = WATER._replace(
    name="ocitanja-vode-exclusive",
    slices=62,
    sole_owner=True,
    even=True,
    classes=(
        RequestClass("pregled-potrosnje", 0.5, 1.5, 4.0, "read_like", 2.0),
        RequestClass("unos-stanja", 0.5, 1.5, 4.0, "read_like", 6.0, write=True),
    ),
)
RULE = "twice"

CALM_S = 8.0
BATCHES, BATCH = 7, 2  # 14 of 15 endpoints (93%), 13% of the fleet at a time
DEPLOY_S = 23.0
DRAIN_S = 5.0
CALM_AFTER_S = 4.0


async def scenario(world: World, trouble: bool) -> None:
    """Play equal requests; with the trouble, a rolling deploy replaces the endpoints."""
    await asyncio.sleep(CALM_S)
    names = list(world.endpoints)
    for batch in range(BATCHES):
        if trouble:
            chosen = names[batch * BATCH : (batch + 1) * BATCH]
            world.spawn(world.replace(chosen, DRAIN_S, 0.2, 0.8))
        await asyncio.sleep(DEPLOY_S / BATCHES)
    await asyncio.sleep(CALM_AFTER_S)
