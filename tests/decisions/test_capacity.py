"""Learned capacity factors. The planner ejects no outliers."""

from __future__ import annotations

import pytest

from damsonpick import interface as api
from tests.helpers import SECOND, SimulatedFleet, entry


def test_hung_endpoint_loses_its_load_and_gets_it_back():
    world = SimulatedFleet(slices=24)
    world.run(6)
    before = world.slice_share("p")
    world.run(12, failing={"p": 1.0})
    assert world.slice_share("p") < 0.6 * before
    world.run(40)
    assert world.slice_share("p") > 0.6 * before


@pytest.mark.parametrize("ms", [200, 900])
def test_failing_endpoint_loses_load_but_is_not_ejected(ms):
    world = SimulatedFleet(slices=24)
    world.run(6)
    before = world.slice_share("p")
    world.run(15, failing={"p": 0.8}, latency={"p": ms})
    assert 0 < world.slice_share("p") < before


def test_fleet_wide_failure_ejects_no_endpoint():
    world = SimulatedFleet()
    world.run(4)
    world.run(6, failing=dict.fromkeys("pqrs", 0.9))
    assert all(any(name in world.routable(n) for n in world.tables) for name in "pqrs")


def test_one_class_failing_at_half_of_the_fleet_leaves_both_halves_in_use():
    """Regression (ocitanja-vode, class_fail): the load of ejected endpoints made the remaining endpoints fail next."""
    names = [chr(97 + k) for k in range(20)]
    world = SimulatedFleet(names=names, slices=80)
    world.run(6)
    world.run(25, failing=dict.fromkeys(names[:10], 0.5))
    assert min(map(world.count, names)) > 0
    assert sum(map(world.slice_share, names[:10])) < sum(map(world.slice_share, names[10:]))


def test_slow_endpoint_loses_load():
    world = SimulatedFleet(slices=24)
    world.run(6)
    before = sum("p" in world.routable(n) for n in world.tables)
    world.run(25, latency={"p": 700})
    assert sum("p" in world.routable(n) for n in world.tables) < before


def test_overload_never_cascades_through_ejections():
    """Regression (incident i7c3226): late failures on one endpoint after another indicate overload, not outliers."""
    world = SimulatedFleet(names="pqrst", slices=20)
    world.run(6)
    for k in range(5):
        late = {name: 900 for name in "pqrst"[: k + 1]}
        world.run(2, latency=late, failing=dict.fromkeys(late, 0.6))
    assert not [o for o in world.log if isinstance(o, api.Log)]
    assert all(world.count(name) for name in "pqrst")


def test_a_failing_endpoint_is_not_withdrawn():
    """Regression (incident i7c3226): a proxy that missed the readmission of an endpoint had no endpoint left."""
    world = SimulatedFleet()
    world.run(6)
    world.run(4, failing={"p": 1.0})
    world.run(20)
    assert not [o for o in world.log if isinstance(o, api.SetWithdrawn)]


def test_new_endpoint_starts_with_the_capacity_factor_of_others_with_its_weight():
    """Regression (day h116984): a warming endpoint of a slow kind received load for the fleet's median capacity."""
    shares = {}
    for ms in (200, 800):
        world = SimulatedFleet(names="pqrst", slices=40)
        world.handle(api.EndpointListChanged("update", tuple(entry(n, weight=2.0) for n in "st")))
        world.run(25, latency={"s": ms, "t": ms})
        world.names.append("z")
        world.handle(api.EndpointListChanged("update", (entry("z", weight=2.0),)))
        world.run(50, latency={"s": ms, "t": ms}, tries=0)
        shares[ms] = sum(1 / len(t) for t in world.tables.values() if "z" in t)
    assert shares[800] < shares[200]


def test_understated_load_reports_win_a_slow_endpoint_no_slices():
    """Regression (varazdin-izbori, false_reports): slow endpoints reported no load. Latency must be used instead."""
    world = SimulatedFleet(slices=24, load_fields=("queue", "latency_ms"))
    world.run(6)
    before = world.slice_share("p")
    for _ in range(25):
        world.run(1, latency={"p": 500})
        world.handle(api.EndpointReport("a", "p", 5, 0, SECOND // 2, SECOND, (0.0, 1.0)))
    assert world.slice_share("p") < before
