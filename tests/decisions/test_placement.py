"""Evacuation of endpoints, and placement of slices without an endpoint."""

from __future__ import annotations

import pytest

from damsonpick import interface as api
from tests.helpers import SimulatedFleet, entry


def test_endpoint_missing_from_a_full_list_is_evacuated():
    world = SimulatedFleet()
    world.handle(api.EndpointListChanged("replace", tuple(entry(n) for n in "qrs")))
    assert world.count("p") == 0 and not world.has_slice_without_endpoint()


def test_gained_slice_with_an_empty_table_gets_an_entry_at_once():
    world = SimulatedFleet()
    world.handle(api.SliceOwnershipChanged(7, False))
    world.tables[7] = {}
    world.handle(api.SliceOwnershipChanged(7, True))
    assert world.routable(7)


def test_gained_slice_that_names_a_terminated_endpoint_is_reassigned_at_once():
    world = SimulatedFleet()
    world.handle(api.EndpointListChanged("replace", tuple(entry(n) for n in "qrs")))
    world.handle(api.SliceOwnershipChanged(5, False))
    world.tables[5] = {"p": 1.0}
    world.handle(api.SliceOwnershipChanged(5, True), api.StoredEntry(5, "p", 1.0))
    assert "p" not in world.tables[5] and world.tables[5]


@pytest.mark.parametrize("names", ["", "q"])
def test_shrinking_to_few_or_no_endpoints_keeps_entries_of_those_in_service(names):
    world = SimulatedFleet()
    world.handle(api.EndpointListChanged("replace", tuple(entry(n) for n in names)))
    world.run(3)
    if names:
        assert all(set(t) == {"q"} for t in world.tables.values())


def test_all_draining_then_one_returns():
    world = SimulatedFleet()
    world.handle(api.EndpointListChanged("update", tuple(entry(n, "terminating") for n in "pqrs")))
    world.run(2)
    world.handle(api.EndpointListChanged("update", (entry("q", started=world.now),)))
    assert all(set(t) == {"q"} for t in world.tables.values())


def test_evacuated_slices_spread_over_warming_endpoints():
    """Regression (day hb1e644): if only warming endpoints were left, all evacuated slices moved to the largest one."""
    world = SimulatedFleet(slices=40)
    world.run(6)
    fresh = tuple(entry(n, started=world.now, weight=w) for n, w in (("w", 1.2), ("x", 1.0), ("y", 1.0)))
    world.handle(api.EndpointListChanged("replace", fresh))
    counts = [world.count(n) for n in "wxy"]
    assert sum(counts) >= 40 and max(counts) <= 2 * min(counts)
