"""Slices whose demand is not known yet."""

from __future__ import annotations

from damsonpick import interface as api
from tests.decisions.large_fleet import ENDPOINT_NAMES
from tests.helpers import SECOND, SimulatedFleet, entry


def test_slices_without_reports_do_not_go_to_a_warming_endpoint_by_the_dozen():
    """The rate of reports is limited: reports need seconds to cover a large fleet.

    Drains in this time move slices whose demand has not been reported.
    """
    world = SimulatedFleet(
        names=ENDPOINT_NAMES[:40], slices=240, proxies=40, channel_rate=40_000.0, channel_limit=60_000.0
    )
    drained = set(ENDPOINT_NAMES[:20])
    reported = [n for n, table in world.tables.items() if not drained & set(table)]
    assert 100 < len(reported) < 140
    for _ in range(3):
        world.now += SECOND
        world.handle(
            *(api.SliceDemand(n, k, 3, 0, SECOND) for n in reported for k in ("cheap", "dear")),
            *(api.EndpointReport("a", n, 20, 0, 150_000_000, SECOND, ()) for n in world.names),
        )
    started = world.now - 2 * SECOND
    warming = [f"z{k}" for k in range(4)]
    world.handle(api.EndpointListChanged("update", tuple(entry(n, started=started) for n in warming)))
    world.handle(api.EndpointListChanged("update", tuple(entry(n, "terminating") for n in drained)))
    warm_up_share = 0.2 + 0.8 * 2 / 15
    fair = warm_up_share * 240 / (20 + 4 * warm_up_share)  # number of slices, since all slices have the same load
    assert not world.has_slice_without_endpoint()
    assert all(world.count(name) <= 1.5 * fair for name in warming)


def test_a_slice_whose_demand_is_known_in_part_goes_to_no_warming_endpoint():
    """Regression (roll+mass seed 1): a slice that was gained one second earlier overloaded a warming endpoint.

    Only 1.5 of the slice's 8.5 requests/s were reported.
    """
    world = SimulatedFleet(
        names=ENDPOINT_NAMES[:40], slices=120, proxies=40, channel_rate=40_000.0, channel_limit=60_000.0
    )
    for _ in range(12):
        world.now += SECOND
        world.handle(*world.report())
    for number in range(120, 160):
        world.tables[number] = {"e000": 1.0}
        world.handle(api.SliceOwnershipChanged(number, True), api.StoredEntry(number, "e000", 1.0))
    warming = [f"z{k}" for k in range(20)]
    world.handle(api.EndpointListChanged("update", tuple(entry(n, started=world.now - 2 * SECOND) for n in warming)))
    world.now += SECOND
    world.handle(*(api.SliceDemand(n, k, 1, 0, SECOND) for n in range(120, 160) for k in ("cheap", "dear")))
    assert min(sum(world.planner.slices[n].rates) for n in range(120, 160)) > 10  # other slices have 20 requests/s
    world.handle(api.EndpointListChanged("update", (entry("e000", "terminating"),)))
    assert not world.has_slice_without_endpoint()
    assert not [n for n in range(120, 160) if world.routable(n) & set(warming)]
