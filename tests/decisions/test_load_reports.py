"""Invalid and infrequent load reports."""

from __future__ import annotations

from damsonpick import interface as api
from tests.helpers import SECOND, SimulatedFleet, entry


def test_odd_reports_are_harmless():
    world = SimulatedFleet(slices=24)
    world.run(4)
    world.handle(api.EndpointListChanged("update", (entry("p", started=world.now - SECOND),)))
    spanning = api.EndpointReport("a", "p", 50, 50, 0, 4 * SECOND, ())
    before = world.slice_share("p")
    for _ in range(3):
        world.handle(
            spanning,
            spanning,
            api.SliceDemand(1, "nobody", 9, 0, SECOND),
            api.SliceDemand(1, "cheap", 9, 0, 0),
            api.EndpointReport("a", "q", 5, 0, 9, 0, ()),
        )
        world.run(1)
    assert world.slice_share("p") >= before and not world.has_slice_without_endpoint()


def test_reports_every_few_seconds_keep_endpoints_and_levels():
    """The rate of reports is limited. In a large fleet, each report is infrequent and covers a longer period.

    Such gaps must not be treated as missing reports.
    """
    world = SimulatedFleet(slices=40)
    for _ in range(8):
        events = [api.EndpointReport("a", n, 100, 0, SECOND // 5, 5 * SECOND, ()) for n in "pqrs"]
        events += [api.SliceDemand(n, "cheap", 25, 0, 5 * SECOND) for n in world.tables]
        for k in range(20):
            world.now += SECOND // 4
            world.handle(api.TimerFired(0), *(events if k == 0 else []))
    shares = [world.slice_share(n) for n in "pqrs"]
    assert max(shares) < 1.5 * min(shares)
    assert all(level == 1.0 for level in world.levels.values())
