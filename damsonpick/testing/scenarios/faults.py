"""Injects each kind of fault into the environment.

The script sets the times and the extent of a fault; the targets are drawn at random. The docstring of a kind's
function, or its entry in `FAULTS`, shows the meaning of `size` and `extra`. `extra` is in seconds unless stated
otherwise.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

from damsonpick.testing.fakes.results_server import FakeResultsServer
from damsonpick.testing.scenarios.environment import Environment
from damsonpick.testing.scenarios.script import Fault
from damsonpick.time_units import NS_PER_SECOND

RESTART_NS = NS_PER_SECOND // 2  # time that a process needs to restart
MAX_HOT_SLICES = 3
MAX_HOT_SHARE = 0.9
SLOW_READ_UNIT_NS = NS_PER_SECOND // 10  # delay per unit of `size`
MIN_STALL_INTERVAL_S = 0.1

Inject = Callable[[Environment, Fault], Awaitable[None]]


async def crash(environment: Environment, fault: Fault) -> None:
    """A share of the servers crashes. They restart cold after the duration."""
    await _crash_servers(environment, environment.draw_servers(fault.affected_share), "crash", fault.duration)


async def _crash_servers(
    environment: Environment, servers: list[FakeResultsServer], reason: str, down_ns: float
) -> None:
    """Stop servers at once, and start them cold after `down_ns`.

    The list removes a server after the script's notice, unless the server has started again by that time.
    """
    for server in servers:
        server.stop(reason)
        environment.update_list_after_notice(server, "terminated")
    await environment.sleep(down_ns)
    for server in servers:
        await environment.restart_server(server)


async def deploy(environment: Environment, fault: Fault) -> None:
    """A share of the servers is replaced in batches.

    A batch contains as many servers as the share `size` of the fleet, but at least one. Each batch drains for `extra`.
    """
    servers = environment.draw_servers(fault.affected_share)
    batch_size = max(1, round(fault.size * len(environment.servers)))
    batches = [servers[at : at + batch_size] for at in range(0, len(servers), batch_size)]
    drain_ns = fault.extra * NS_PER_SECOND
    for batch in batches:
        for server in batch:
            environment.update_list(server, "terminating")
        await environment.sleep(drain_ns)
        await _crash_servers(environment, batch, "deploy", RESTART_NS)
        await environment.sleep(max(0, fault.duration / len(batches) - drain_ns - RESTART_NS))


async def shrink(environment: Environment, fault: Fault) -> None:
    """The fleet shrinks to 1/`size`.

    The removed servers start to drain one after another over the duration. All of them stop `extra` after the duration.
    """
    servers = environment.draw_servers(1 - 1 / fault.size)
    for server in servers:
        environment.update_list(server, "terminating")
        await environment.sleep(fault.duration / max(1, len(servers)))
    await environment.sleep(fault.extra * NS_PER_SECOND)
    for server in servers:
        server.stop("shrink")
        environment.update_list(server, "terminated")


async def preempt(environment: Environment, fault: Fault) -> None:
    """A share of the servers is preempted with a notice of `extra`. They restart cold after the duration."""
    servers = environment.draw_servers(fault.affected_share)
    for server in servers:
        environment.update_list(server, "terminating")
    await environment.sleep(fault.extra * NS_PER_SECOND)
    for server in servers:
        server.stop("preempted")
        environment.update_list(server, "terminated")
    await environment.sleep(fault.duration)
    for server in servers:
        await environment.restart_server(server)


async def flapping(environment: Environment, fault: Fault) -> None:
    """A share of the servers crashes and restarts cold repeatedly; each time they are down, then up, for `extra`."""
    servers = environment.draw_servers(fault.affected_share)
    end = environment.clock.now() + fault.duration
    while environment.clock.now() < end:
        await _crash_servers(environment, servers, "flapping", fault.extra * NS_PER_SECOND)
        await environment.sleep(fault.extra * NS_PER_SECOND)


def _server_fault(faulty: Callable[[Fault], dict[str, Any]], normal: dict[str, Any]) -> Inject:
    """Return the function for a fault that sets attributes of `ServerFaults` for its duration.

    Args:
        faulty: Returns the attributes and their values during the fault.
        normal: Values of these attributes after the fault.
    """

    async def inject(environment: Environment, fault: Fault) -> None:
        servers = environment.draw_servers(fault.affected_share)
        _set_faults(servers, faulty(fault))
        await environment.sleep(fault.duration)
        _set_faults(servers, normal)

    return inject


def _set_faults(servers: list[FakeResultsServer], attributes: dict[str, Any]) -> None:
    for server in servers:
        for name, value in attributes.items():
            setattr(server.faults, name, value)
        server.record_slowdown()


async def half_building(environment: Environment, fault: Fault) -> None:
    """Half of the running servers of a random zone crash at once. They restart cold after the duration."""
    zone = environment.random.choice(environment.script.day.zones)
    inside = [server for server in environment.servers if server.config.zone == zone and server.is_up]
    lost = environment.random.sample(inside, len(inside) // 2)
    await _crash_servers(environment, lost, "half of a building lost", fault.duration)


async def class_fail(environment: Environment, fault: Fault) -> None:
    """Requests of one class fail on a share of the servers."""
    request_class = environment.random.choice(sorted(environment.script.classes))
    servers = environment.draw_servers(fault.affected_share)
    for server in servers:
        server.faults.failing_classes = {request_class}
    await environment.sleep(fault.duration)
    for server in servers:
        server.faults.failing_classes = set()


async def hot_key(environment: Environment, fault: Fault) -> None:
    """A few slices together receive the share `size` of all traffic, at most 0.9. `extra` is their number, 1 to 3."""
    count = max(1, min(MAX_HOT_SLICES, int(fault.extra)))
    hot = environment.random.sample(range(environment.script.day.slices), count)
    await environment.gateways.send_command("hot", slices=hot, share=min(fault.size, MAX_HOT_SHARE))
    await environment.sleep(fault.duration)
    await environment.gateways.send_command("hot", slices=[], share=0.0)


async def rush(environment: Environment, fault: Fault) -> None:
    """The request rate is `size` times the normal rate."""
    await environment.gateways.send_command("demand", factor=fault.size)
    await environment.sleep(fault.duration)
    await environment.gateways.send_command("demand", factor=1.0)


async def zone_cut(environment: Environment, fault: Fault) -> None:
    """One zone is disconnected from the others.

    It is the pilot's own zone if `size` is below 1 or there is only one zone, otherwise a random other zone.
    """
    zones = environment.script.day.zones
    cuts_pilot_zone = fault.size < 1 or len(zones) == 1
    zone = zones[0] if cuts_pilot_zone else environment.random.choice(zones[1:])
    await environment.gateways.send_command("cut", zone=zone, on=True)
    await environment.sleep(fault.duration)
    await environment.gateways.send_command("cut", zone=zone, on=False)


async def counter_down(environment: Environment, fault: Fault) -> None:
    """A share of the gateways cannot reach the pilot.

    If `size` is above 1 and at most 2, the list server is also down. If it is above 2, the list server sends an empty
    list instead.
    """
    names = environment.draw_gateways(fault.affected_share)
    await environment.gateways.send_command("away", gateways=names, on=True)
    environment.endpoint_list.set_failure(is_down=1 < fault.size <= 2, is_empty=fault.size > 2)
    await environment.sleep(fault.duration)
    await environment.gateways.send_command("away", gateways=names, on=False)
    environment.endpoint_list.set_failure(is_down=False, is_empty=False)


async def report_late(environment: Environment, fault: Fault) -> None:
    """Gateways send their load reports `extra` later."""
    await environment.gateways.send_command("late", ns=int(fault.extra * NS_PER_SECOND))
    await environment.sleep(fault.duration)
    await environment.gateways.send_command("late", ns=0)


async def origin_slow(environment: Environment, fault: Fault) -> None:
    """Gateways wait before they process a response of the pilot. The delay is 100 ms multiplied by `size`."""
    await environment.gateways.send_command("slow_reads", ns=int(fault.size * SLOW_READ_UNIT_NS))
    await environment.sleep(fault.duration)
    await environment.gateways.send_command("slow_reads", ns=0)


async def balancer_stall(environment: Environment, fault: Fault) -> None:
    """A share of the gateways stalls for `size` seconds, repeatedly at intervals of `extra` but at least 0.1 s."""
    names = environment.draw_gateways(fault.affected_share)
    end = environment.clock.now() + fault.duration
    while environment.clock.now() < end:
        await environment.gateways.send_command("stall", gateways=names, ns=int(fault.size * NS_PER_SECOND))
        await environment.sleep(max(fault.extra, MIN_STALL_INTERVAL_S) * NS_PER_SECOND)


async def pilot_restart(environment: Environment, fault: Fault) -> None:
    """The pilot is killed, and restarted `extra` later."""
    await environment.pilot.kill()
    await environment.sleep(fault.extra * NS_PER_SECOND)
    await environment.pilot.start()


FAULTS: dict[str, Inject] = {
    "crash": crash,
    "deploy": deploy,
    "shrink": shrink,
    "preempt": preempt,
    "flapping": flapping,
    "slow": _server_fault(lambda fault: {"slowdown": fault.size}, {"slowdown": 1.0}),
    "hang": _server_fault(lambda fault: {"hangs": True}, {"hangs": False}),
    "answers_lost": _server_fault(
        lambda fault: {"lost_answer_share": min(1.0, fault.size)}, {"lost_answer_share": 0.0}
    ),
    "fast_errors": _server_fault(lambda fault: {"error_share": min(1.0, fault.size)}, {"error_share": 0.0}),
    "false_reports": _server_fault(
        lambda fault: {"slowdown": fault.size, "reports_idle": True}, {"slowdown": 1.0, "reports_idle": False}
    ),
    "class_fail": class_fail,
    "hot_key": hot_key,
    "rush": rush,
    "zone_cut": zone_cut,
    "counter_down": counter_down,
    "report_late": report_late,
    "origin_slow": origin_slow,
    "balancer_stall": balancer_stall,
    "pilot_restart": pilot_restart,
    "half_building": half_building,
}
