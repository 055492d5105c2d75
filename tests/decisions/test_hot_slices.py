"""Additional replicas of hot slices."""

from __future__ import annotations

from damsonpick import interface as api
from tests.decisions.large_fleet import ENDPOINT_NAMES
from tests.helpers import SECOND, SimulatedFleet, table_entries


def test_hot_slice_gets_further_replicas():
    world = SimulatedFleet()
    for _ in range(12):
        world.run(1)
        world.handle(api.SliceDemand(3, "cheap", 400, 0, SECOND))
    assert len(world.routable(3)) > 1


def test_sole_owner_tables_keep_one_entry():
    world = SimulatedFleet(sole_owner=True)
    for _ in range(12):
        world.run(1)
        world.handle(api.SliceDemand(3, "cheap", 400, 0, SECOND))
    assert all(len(table) == 1 for table in world.tables.values())
    assert not [o for o in table_entries(world.log) if o.weight == 0]


def test_a_slice_hotter_than_several_endpoints_gets_as_many_replicas_as_keep_each_at_its_share():
    """Regression: three replicas are too few for a slice with a thirtieth of all demand on 200 endpoints."""
    world = SimulatedFleet(
        names=ENDPOINT_NAMES[:60], slices=72, proxies=40, channel_rate=40_000.0, channel_limit=60_000.0
    )
    world.planner.fleet.settings = world.settings._replace(slices=360)  # five pilots own 72 slices each
    for _ in range(30):
        world.now += SECOND
        world.handle(
            *(api.SliceDemand(n, "cheap", 300 if n == 7 else 6, 0, SECOND) for n in world.tables),
            *(api.EndpointReport("a", n, 40, 0, 150_000_000, SECOND, ()) for n in world.names),
        )
    fair = (300 + 71 * 6) / 60 * 360 / 72
    assert 300 / fair - 1 <= len(world.routable(7)) <= 300 / fair + 2 and len(world.routable(7)) > 3
    assert max(len(world.routable(n)) for n in world.tables if n != 7) <= 3
