"""Slices that an instance gains and loses."""

from __future__ import annotations

import pytest

from damsonpick import interface as api
from tests.helpers import SECOND, SimulatedFleet, entry, table_entries


def test_lost_slice_gets_no_more_orders():
    world = SimulatedFleet()
    world.handle(api.SliceOwnershipChanged(0, False))
    orders = world.handle(api.EndpointListChanged("update", (entry("p", "terminating"),)))
    assert 0 not in {o.table for o in table_entries(orders)} and table_entries(orders)


def test_gained_slices_lower_no_limit_until_reports_cover_them():
    """Regression (parking-varazdin on sockets, reload): after a restart, 11 of 290 requests/s were admitted."""
    world = SimulatedFleet()
    world.run(6)
    world.handle(*(api.SliceOwnershipChanged(n, False) for n in range(6)))
    world.run(6)
    world.now += SECOND
    world.handle(
        *(api.SliceOwnershipChanged(n, True) for n in range(6)), *(api.StoredEntry(n, "p", 1.0) for n in range(6))
    )
    world.run(2, latency=dict.fromkeys("pqrs", 900), tries=2)
    assert all(level == 1.0 for level in world.levels.values())
    world.run(6, latency=dict.fromkeys("pqrs", 900))
    assert world.levels[None, 0] < 1


def test_the_admitted_rate_limit_follows_the_number_of_owned_slices():
    world = SimulatedFleet()
    world.run(6)
    world.run(6, latency=dict.fromkeys("pqrs", 900))
    allowed = world.planner.admitted_rate_limit
    world.handle(*(api.SliceOwnershipChanged(n, False) for n in range(6)))
    assert world.planner.admitted_rate_limit == pytest.approx(allowed / 2)
    world.handle(*(api.SliceOwnershipChanged(n, True) for n in range(6)))
    assert world.planner.admitted_rate_limit == pytest.approx(allowed)
