"""What each trouble does to the stage. The figures are the script's; who is struck is drawn from the seed."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from damsonpick.testing.scenarios.environment import Stage
from damsonpick.testing.scenarios.script import Trouble

SECOND = 1_000_000_000
RESTART = SECOND // 2  # ns that a process takes to start anew


async def crash(stage: Stage, t: Trouble) -> None:
    """Processes die; they come back cold after `len`."""
    await _down(stage, stage.some(t.part), "crash", t.len)


async def _down(stage: Stage, struck: list, why: str, span: int) -> None:
    """Processes end at once, the list hears of it later, and after a while they start cold."""
    for server in struck:
        server.stop(why)
        stage.later(server, "terminated")
    await stage.wait(span)
    for server in struck:
        await stage.restart(server)


async def deploy(stage: Stage, t: Trouble) -> None:
    """A part of the fleet is replaced in batches of `size` of it; each drains for `extra` s."""
    struck = stage.some(t.part)
    batch = max(1, round(t.size * len(stage.servers)))
    rounds = -(-len(struck) // batch)
    for k in range(rounds):
        group = struck[k * batch : (k + 1) * batch]
        for server in group:
            await stage.tell(server, "terminating")
        await stage.wait(t.extra * SECOND)
        await _down(stage, group, "deploy", RESTART)
        await stage.wait(max(0, t.len / rounds - t.extra * SECOND - RESTART))


async def shrink(stage: Stage, t: Trouble) -> None:
    """The fleet shrinks to 1/`size`; who leaves drains for `extra` s."""
    struck = stage.some(1 - 1 / t.size)
    for server in struck:
        await stage.tell(server, "terminating")
        await stage.wait(t.len / max(1, len(struck)))
    await stage.wait(t.extra * SECOND)
    for server in struck:
        server.stop("shrink")
        await stage.tell(server, "terminated")


async def preempt(stage: Stage, t: Trouble) -> None:
    """Machines are taken away at `extra` s of notice and come back cold after `len`."""
    struck = stage.some(t.part)
    for server in struck:
        await stage.tell(server, "terminating")
    await stage.wait(t.extra * SECOND)
    for server in struck:
        server.stop("preempted")
        await stage.tell(server, "terminated")
    await stage.wait(t.len)
    for server in struck:
        await stage.restart(server)


async def flapping(stage: Stage, t: Trouble) -> None:
    """Processes die and come back cold again and again, `extra` s each way."""
    struck = stage.some(t.part)
    end = stage.clock.now() + t.len
    while stage.clock.now() < end:
        for server in struck:
            server.stop("flapping")
            stage.later(server, "terminated")
        await stage.wait(t.extra * SECOND)
        for server in struck:
            await stage.restart(server)
        await stage.wait(t.extra * SECOND)


def _mark(name: str, value: Callable[[Trouble], object], usual: object) -> Callable[[Stage, Trouble], Awaitable[None]]:
    async def strike(stage: Stage, t: Trouble) -> None:
        struck = stage.some(t.part)
        for server in struck:
            setattr(server.troubles, name, value(t))
            server.say_speed()
        await stage.wait(t.len)
        for server in struck:
            setattr(server.troubles, name, usual)
            server.say_speed()

    return strike


async def false_reports(stage: Stage, t: Trouble) -> None:
    """Servers grow `size` times slower and report that they have nothing to do."""
    struck = stage.some(t.part)
    for server in struck:
        server.troubles.slow, server.troubles.lies = t.size, True
        server.say_speed()
    await stage.wait(t.len)
    for server in struck:
        server.troubles.slow, server.troubles.lies = 1.0, False
        server.say_speed()


async def half_building(stage: Stage, t: Trouble) -> None:
    """A building loses half of its servers at once; they come back cold after `len`."""
    zone = stage.rng.choice(stage.script.day.zones)
    inside = [s for s in stage.servers if s.make.zone == zone and s.up]
    await _down(stage, stage.rng.sample(inside, len(inside) // 2), "half of a building lost", t.len)


async def class_fail(stage: Stage, t: Trouble) -> None:
    """One class fails on a part of the servers."""
    kind = stage.rng.choice(sorted(stage.script.classes))
    struck = stage.some(t.part)
    for server in struck:
        server.troubles.failing = {kind}
    await stage.wait(t.len)
    for server in struck:
        server.troubles.failing = set()


async def hot_key(stage: Stage, t: Trouble) -> None:
    """`extra` slices draw `size` of all traffic."""
    hot = stage.rng.sample(range(stage.script.day.slices), max(1, min(3, int(t.extra))))
    await stage.order("hot", slices=hot, share=min(t.size, 0.9))
    await stage.wait(t.len)
    await stage.order("hot", slices=[], share=0.0)


async def rush(stage: Stage, t: Trouble) -> None:
    """Traffic is `size` times the usual."""
    await stage.order("demand", factor=t.size)
    await stage.wait(t.len)
    await stage.order("demand", factor=1.0)


async def zone_cut(stage: Stage, t: Trouble) -> None:
    """One zone is cut off from the others; `size` under 1: it is the pilot's own."""
    zones = stage.script.day.zones
    zone = zones[0] if t.size < 1 or len(zones) == 1 else stage.rng.choice(zones[1:])
    await stage.order("cut", zone=zone, on=True)
    await stage.wait(t.len)
    await stage.order("cut", zone=zone, on=False)


async def counter_down(stage: Stage, t: Trouble) -> None:
    """A part of the gateways reaches no pilot; `size` over 1: the list answers nothing; over 2: it is empty."""
    names = stage.gateways(t.part)
    await stage.order("away", gateways=names, on=True)
    stage.lists.down, stage.lists.empty = 1 < t.size <= 2, t.size > 2
    stage.lists.changed()
    await stage.wait(t.len)
    await stage.order("away", gateways=names, on=False)
    stage.lists.down = stage.lists.empty = False
    stage.lists.changed()


async def report_late(stage: Stage, t: Trouble) -> None:
    """Sums come `extra` s later."""
    await stage.order("late", ns=int(t.extra * SECOND))
    await stage.wait(t.len)
    await stage.order("late", ns=0)


async def origin_slow(stage: Stage, t: Trouble) -> None:
    """Orders take `size` times 100 ms longer to be read."""
    await stage.order("slow_reads", ns=int(t.size * SECOND / 10))
    await stage.wait(t.len)
    await stage.order("slow_reads", ns=0)


async def balancer_stall(stage: Stage, t: Trouble) -> None:
    """A part of the gateways stands still for `size` s, every `extra` s."""
    names = stage.gateways(t.part)
    end = stage.clock.now() + t.len
    while stage.clock.now() < end:
        await stage.order("stall", gateways=names, ns=int(t.size * SECOND))
        await stage.wait(max(t.extra, 0.1) * SECOND)


async def pilot_restart(stage: Stage, t: Trouble) -> None:
    """The pilot is killed outright and started again `extra` s later."""
    await stage.kill_pilot()
    await stage.wait(t.extra * SECOND)
    await stage.start_pilot()


ALL: dict[str, Callable[[Stage, Trouble], Awaitable[None]]] = {
    "crash": crash,
    "deploy": deploy,
    "shrink": shrink,
    "preempt": preempt,
    "flapping": flapping,
    "slow": _mark("slow", lambda t: t.size, 1.0),
    "hang": _mark("hang", lambda t: True, False),
    "answers_lost": _mark("losing", lambda t: min(1.0, t.size), 0.0),
    "fast_errors": _mark("errors", lambda t: min(1.0, t.size), 0.0),
    "class_fail": class_fail,
    "hot_key": hot_key,
    "rush": rush,
    "zone_cut": zone_cut,
    "counter_down": counter_down,
    "report_late": report_late,
    "origin_slow": origin_slow,
    "balancer_stall": balancer_stall,
    "pilot_restart": pilot_restart,
    "false_reports": false_reports,
    "half_building": half_building,
}
