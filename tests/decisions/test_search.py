"""The stochastic search in rounds: parts, limits, and events during a search."""

from __future__ import annotations

import pytest

from damsonpick import interface as api
from damsonpick.decisions import search
from tests.decisions.large_fleet import ENDPOINT_NAMES, large_fleet, uneven_reports
from tests.helpers import SECOND, SimulatedFleet, entry


def count_steps(world: SimulatedFleet, monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Count the search steps in each call of `handle`. The last number belongs to the current call."""
    counts = [0]
    pick, handle = search.Search.pick, world.planner.handle

    def counted(self):
        counts[-1] += 1
        return pick(self)

    def handled(now, events):
        counts.append(0)
        return handle(now, events)

    monkeypatch.setattr(search.Search, "pick", counted)
    monkeypatch.setattr(world.planner, "handle", handled)
    return counts


def run_until_searching(world: SimulatedFleet) -> None:
    world.now += SECOND
    world.handle(*uneven_reports(world))
    for _ in range(40):
        if world.planner.search:
            return
        world.now += SECOND // 100
        world.handle(api.TimerFired(0))
    raise AssertionError("no search began")


def test_calm_fleet_is_left_alone():
    world = SimulatedFleet()
    world.run(12, rate=2)
    before = {n: dict(t) for n, t in world.tables.items()}
    orders = world.run(20, rate=2)
    moved = [n for n in before if set(before[n]) != set(world.tables[n])]
    assert len(moved) <= 1
    assert all(level == 1.0 for level in world.levels.values())
    assert not [o for o in orders if isinstance(o, api.SetWithdrawn)]


def test_no_call_searches_for_long_and_the_search_ends(monkeypatch):
    world = large_fleet()
    counts = count_steps(world, monkeypatch)
    before = {n: dict(t) for n, t in world.tables.items()}
    run_until_searching(world)
    calls = 0
    while world.planner.search:
        world.now += SECOND // 100
        world.handle(api.TimerFired(0))
        calls += 1
        assert calls < 200
    assert max(counts) <= search.STEPS_PER_PART < sum(counts)
    assert before != world.tables


def test_drain_during_a_search_is_published_in_the_same_reply_and_holds(monkeypatch):
    world = large_fleet()
    counts = count_steps(world, monkeypatch)
    run_until_searching(world)
    assert world.planner.search
    for name in ENDPOINT_NAMES[:20]:
        world.handle(api.EndpointListChanged("update", (entry(name, "terminating"),)))
        assert world.withdrawn[name] and counts[-1] <= search.STEPS_PER_PART
    assert world.planner.search  # the search was running all the time
    while world.planner.search:
        world.now += SECOND // 100
        world.handle(api.TimerFired(0))
    world.run(3)
    assert not [n for n, table in world.tables.items() if set(table) <= set(ENDPOINT_NAMES[:20])]
    assert not any(world.count(name) for name in ENDPOINT_NAMES[:20])


def test_slice_lost_during_a_search_gets_no_order(monkeypatch):
    monkeypatch.setattr(search, "MOVE_CAP_SHARE", 0.2)  # so that lost slices and owned slices are among the moved ones
    world = large_fleet()
    run_until_searching(world)
    world.log.clear()
    world.handle(*(api.SliceOwnershipChanged(n, False) for n in range(120)))
    assert world.planner.search
    for number in range(120):
        world.tables.pop(number)
    while world.planner.search:
        world.now += SECOND // 100
        world.handle(api.TimerFired(0))
    orders = [o for o in world.log if isinstance(o, api.SetEntry)] + world.run(1)
    assert not [o for o in orders if isinstance(o, api.SetEntry) and o.table < 120]
    assert [o for o in orders if isinstance(o, api.SetEntry)]
