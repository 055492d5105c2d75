"""Load shedding: when admission levels fall and recover."""

from __future__ import annotations

from damsonpick import interface as api
from tests.decisions.large_fleet import ENDPOINT_NAMES
from tests.helpers import SECOND, SimulatedFleet, entry


def test_overload_sheds_the_class_with_the_lowest_priority_weight_first():
    world = SimulatedFleet()
    world.run(6)
    world.run(6, latency=dict.fromkeys("pqrs", 900))
    assert world.levels[None, 0] < world.levels[None, 1]
    world.run(60, latency=dict.fromkeys("pqrs", 100))
    assert all(level == 1.0 for level in world.levels.values())


def test_late_reports_change_no_admission_level():
    world = SimulatedFleet()
    world.run(8)
    world.log.clear()
    for _ in range(60):
        world.now += SECOND // 4
        world.handle(api.TimerFired(0))
    assert not [o for o in world.log if isinstance(o, api.Log | api.SetAdmission)]


def test_levels_recover_when_no_requests_are_answered():
    """Regression (varazdin-izbori, overload): levels stayed low, as no requests were sent to measure a low latency."""
    world = SimulatedFleet()
    world.run(6)
    world.run(6, latency=dict.fromkeys("pqrs", 900))
    assert min(world.levels.values()) < 1.0
    world.run(60, tries=0)
    assert set(world.levels.values()) == {1.0}


def test_warming_endpoints_alone_admit_only_the_throughput_that_the_fleet_has_shown():
    """Regression (day hb1e644): if all endpoints are warming up, load must be shed before any response is late."""
    world = SimulatedFleet(slices=40)
    world.run(12, rate=8, tries=60)
    world.handle(api.EndpointListChanged("replace", tuple(entry(n, started=world.now) for n in "xy")))
    world.names = ["x", "y"]
    world.run(2, rate=8, tries=0)
    assert min(world.levels.values()) < 1.0


def test_a_slow_lossy_link_neither_sheds_load_nor_ejects_endpoints():
    """Regression (parking-varazdin, slow_link): late responses in one zone shed the load of all zones."""
    world = SimulatedFleet(slices=24)
    world.handle(*(api.ProxyJoined(10 + k, zone, 5.0, True) for k, zone in enumerate("abc")))
    world.proxies += [10, 11, 12]
    for second in range(20):
        world.now += SECOND
        slow = second >= 5
        reports = [
            api.EndpointReport(
                zone,
                name,
                10,
                3 if slow and zone == "b" and name in "pq" else 0,
                SECOND if slow and zone == "b" and name in "pq" else SECOND // 5,
                SECOND,
                (),
            )
            for zone in "abc"
            for name in "pqrs"
        ]
        reports += [api.SliceDemand(n, "cheap", 10, 0, SECOND) for n in world.tables]
        world.handle(api.TimerFired(0), *reports)
    assert all(map(world.count, "pqrs"))
    assert all(level == 1.0 for level in world.levels.values())


def test_a_planner_left_without_slices_lowers_no_level():
    """Regression (ocitanja-vode rough-1, zone_cut): without slices there was no demand, and all load was shed."""
    world = SimulatedFleet()
    world.run(6)
    world.handle(*(api.SliceOwnershipChanged(n, False) for n in list(world.tables)))
    for _ in range(20):
        world.now += SECOND // 4
        reports = [api.EndpointReport("a", n, 20, 0, SECOND // 5, SECOND, ()) for n in "pq"]
        world.handle(api.TimerFired(0), *reports)
    assert all(level == 1.0 for level in world.levels.values())


def test_a_class_without_demand_is_not_refused():
    world = SimulatedFleet()
    world.run(4)
    for _ in range(10):
        world.now += SECOND
        events = [e for e in world.report(rate=40) if getattr(e, "request_class", "") != "dear"]
        world.handle(api.TimerFired(0), *events)
    assert world.levels[None, 1] == 1.0


def test_levels_recover_soon_after_a_surge():
    """Regression (parking-varazdin on sockets, churn): 40% of the requests were rejected for 25 s after a surge."""
    world = SimulatedFleet()
    world.run(8, latency=dict.fromkeys("pqrs", 220), rate=20)
    world.run(10, latency=dict.fromkeys("pqrs", 1000), rate=40, tries=40)
    assert world.levels[None, 0] < 0.5
    world.run(12, latency=dict.fromkeys("pqrs", 220), rate=30, tries=12)
    assert world.levels[None, 0] > 0.8


def test_reports_that_cover_a_part_of_the_fleet_are_extrapolated():
    """Regression (roll+mass seed 1): with reports of 122 of 200 endpoints the limit fell to a quarter of demand."""
    world = SimulatedFleet(
        names=ENDPOINT_NAMES[:80], slices=160, proxies=40, channel_rate=40_000.0, channel_limit=60_000.0
    )
    for _ in range(8):
        world.now += SECOND
        # Each slice receives 10 requests/s and each endpoint sends 20 responses/s. A fifth of the endpoints report.
        world.handle(
            *(api.SliceDemand(n, k, 5, 0, SECOND) for n in world.tables for k in ("cheap", "dear")),
            *(api.EndpointReport("a", n, 20, 0, 700_000_000, SECOND, ()) for n in world.names[:16]),
        )
    planner = world.planner
    assert planner.admitted_rate_limit < 1600, "late responses must lower the limit"
    assert planner.admitted_rate_limit > 0.4 * 1600
    assert max(world.levels.values()) == 1.0
