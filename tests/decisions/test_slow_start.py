"""The load that a warming endpoint receives."""

from __future__ import annotations

from damsonpick import interface as api
from tests.helpers import SECOND, START, SimulatedFleet, entry


def test_restarted_endpoint_warms_up_and_keeps_only_its_share():
    world = SimulatedFleet(slices=24)
    world.run(8)
    before = world.count("p")
    world.handle(api.EndpointListChanged("update", (entry("p", started=world.now),)))
    assert world.count("p") < before / 2
    assert not world.has_slice_without_endpoint()


def test_new_endpoint_gets_more_slices_as_it_warms_up():
    world = SimulatedFleet(slices=24)
    world.run(8)
    world.names.append("z")
    world.handle(api.EndpointListChanged("update", (entry("z", started=world.now),)))
    world.run(1)
    count_early = sum("z" in world.routable(n) for n in world.tables)
    world.run(40)
    assert sum("z" in world.routable(n) for n in world.tables) > count_early


def test_slices_go_to_warming_endpoints_if_no_other_is_left():
    world = SimulatedFleet()
    world.handle(api.EndpointListChanged("replace", tuple(entry(n, started=START) for n in "yz")))
    assert all(table and set(table) <= {"y", "z"} for table in world.tables.values())


def test_warming_endpoint_shares_no_slice_while_others_shed():
    """Regression (days h657948, hfc796c, h116984): requests rejected by full endpoints went to a warming replica."""
    world = SimulatedFleet(slices=16)
    for _ in range(14):
        world.run(1, latency=dict.fromkeys("pqrs", 900), rate=60)
        world.handle(api.SliceDemand(3, "cheap", 600, 0, SECOND))
    assert min(world.levels.values()) < 1.0
    world.names.append("z")
    world.handle(api.EndpointListChanged("update", (entry("z", started=world.now),)))
    world.run(3, latency=dict.fromkeys("pqrs", 900), rate=60)
    assert all(len(table) == 1 for table in world.tables.values() if "z" in table)


def test_slice_that_surges_on_a_warming_endpoint_moves_at_once():
    """Regression (day h3d30d7): a slice that became hot on a warming endpoint overloaded it within two seconds."""
    world = SimulatedFleet(slices=80)
    world.run(8, rate=4)
    world.names.append("z")
    world.handle(api.EndpointListChanged("update", (entry("z", started=world.now),)))
    for _ in range(30):
        world.run(0.5, rate=4)
        held = [n for n in world.tables if set(world.tables[n]) == {"z"}]
        if held:
            break
    assert held
    for k in ("cheap", "dear"):
        world.handle(api.SliceDemand(held[0], k, 100, 0, SECOND))
    world.run(1, rate=4)
    assert set(world.tables[held[0]]) != {"z"}


def test_load_of_a_warming_endpoint_is_bounded_by_throughput_not_by_raw_demand():
    """Regression (day hfdc7e0): retries raised demand to many times the throughput of the endpoints."""
    held = {}
    for rate in (4, 200):
        world = SimulatedFleet(slices=80)
        world.run(8, rate=4, tries=80)
        world.run(4, rate=rate, tries=80)
        world.names.append("z")
        world.handle(api.EndpointListChanged("update", (entry("z", started=world.now),)))
        world.run(6, rate=rate, tries=80)
        held[rate] = sum(rate / len(t) for t in world.tables.values() if "z" in t)
    assert held[200] < 10 * max(held[4], 4)
