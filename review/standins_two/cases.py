"""What happens in each case."""

from __future__ import annotations

import asyncio
import time

from review.standins_two.servers import Server
from review.standins_two.site import Site
from review.standins_two.world import World

SETTLE_S = 6.0  # before anything happens
DEMAND_SHARE = 0.25  # of the traffic that goes to the slices that are in demand
SPREAD_S = 0.3  # within which the servers of one step are told

SOLE_OWNER_SITE = Site(
    sole_owner=True, slices=96, lease=1.5, linger=1.5, service_s=0.25, shares=(0.47, 0.53), late=(0.1, 0.35)
)
CUT_S = 10.0
RESTART_SITE = Site(slices=112)
DEAD_S = 12.0
STEPS = 3
PIECES_SITE = Site(
    sole_owner=True,
    slices=112,
    lease=1.5,
    linger=0.8,
    service_s=0.25,
    shares=(0.47, 0.53),
    late=(0.1, 0.35),
    piece=(300, 1400),
    piece_gap=(0.002, 0.012),
)
RESTARTED = (1, 0, 1, 0)
DOWN_S = 6.0
UP_S = 5.0


async def drain(world: World, server: Server) -> None:
    """Replace a server: it drains, ends after the grace, and a new one comes."""
    world.discovery.set_state(server, "Terminating")
    await asyncio.sleep(world.site.grace + 2.0)
    server.die()
    world.discovery.set_state(server, "Gone")


def servers_in_demand(world: World, pilot: int, count: int) -> list[str]:
    """Let some slices of a pilot be in demand, each at another server; return these servers."""
    slices: dict[str, int] = {}
    for number in world.rng.sample(world.relays[pilot].slices(), len(world.relays[pilot].slices())):
        for name in world.store.tables[number]:
            slices.setdefault(name, number)
    names = list(slices)[:count]
    world.hot = {slices[name]: DEMAND_SHARE / count for name in names}
    world.record.write("in_demand", slices=world.hot)
    return names


async def drain_step(world: World, names: list[str]) -> list[asyncio.Task[None]]:
    """Let the servers of one step of a deploy drain, told one after the other."""
    tasks = []
    for name in names:
        tasks.append(asyncio.create_task(drain(world, world.servers[name])))
        await asyncio.sleep(SPREAD_S / len(names))
    return tasks


async def play_cut_off_during_handover(world: World, trouble: bool) -> None:
    """A step of a deploy; while its handovers wait for the end of writes, the pilot's machine is cut off for 10 s."""
    await asyncio.sleep(SETTLE_S)
    steps = await drain_step(world, servers_in_demand(world, 0, 3))
    await asyncio.sleep(0.9)
    if trouble:
        await world.cut_off(0, CUT_S)
    else:
        await asyncio.sleep(CUT_S)
    await asyncio.gather(*steps)
    await asyncio.sleep(6.0)


async def crash(world: World, server: Server) -> None:
    """Let a server die and come back cold, as the list says some seconds later."""
    server.die()
    await asyncio.sleep(world.rng.uniform(2.1, 4.4))
    world.discovery.set_state(server, "Gone")
    await asyncio.sleep(DEAD_S - 4.4)
    server.start()
    await asyncio.sleep(world.rng.uniform(0.75, 2.1))
    world.discovery.set_state(server, "Ready")


async def play_restart_while_servers_are_dead(world: World, trouble: bool) -> None:
    """Planned restarts of the pilots and a deploy; before, a quarter of the servers die and come back later."""
    await asyncio.sleep(SETTLE_S)
    dead = world.rng.sample(sorted(world.discovery.entries), len(world.discovery.entries) // 4 if trouble else 0)
    crashes = [asyncio.create_task(crash(world, world.servers[name])) for name in dead]
    await asyncio.sleep(6.0)
    for pilot in range(world.site.pilots):
        await world.restart_pilot(pilot, term=True, down_s=0.2)
        await asyncio.sleep(1.5)
    await asyncio.sleep(10.0)
    steps = []
    for _ in range(STEPS):
        ready = [name for name, entry in world.discovery.entries.items() if entry["state"] == "Ready"]
        names = world.rng.sample([name for name in ready if not world.servers[name].started], 3)
        steps += await drain_step(world, names)
        for _ in names:
            world.add_server("Ready", started=time.time())
        await asyncio.sleep(5.0)
    await asyncio.gather(*steps, *crashes)


async def play_restarts_while_news_comes_in_pieces(world: World, trouble: bool) -> None:
    """Planned restarts of the pilots, one at a time; the other one has the slices meanwhile. Nothing else happens."""
    await asyncio.sleep(SETTLE_S)
    for pilot in RESTARTED:
        if trouble:
            await world.restart_pilot(pilot, term=True, down_s=DOWN_S)
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(UP_S)
