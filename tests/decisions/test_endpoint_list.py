"""The endpoint list: its events, and polling."""

from __future__ import annotations

import itertools

import pytest

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from tests.helpers import SECOND, START, SimulatedFleet, entry, settings, table_entries


def test_stored_entries_are_routable_until_a_list_newer_than_the_restored_one_comes():
    planner = Planner(settings(), 1)
    orders = planner.handle(
        START,
        [
            api.EndpointListChanged("restored", (entry("q"),)),
            api.ProxyJoined(0, "a", 1.0, True),
            api.SliceOwnershipChanged(0, True),
            api.StoredEntry(0, "new", 1.0),
        ],
    )
    assert not [o for o in table_entries(orders) if o.endpoint == "new" and o.weight == 0]
    orders = planner.handle(START + SECOND, [api.EndpointListChanged("replace", (entry("q"),))])
    assert api.SetWithdrawn("new", True) in orders and api.SetEntry(0, "q", 1.0) in orders


def test_subscribes_at_once_and_polls_again_with_backoff_after_failures():
    planner = Planner(settings(list_on_request=True), 1)
    polls, now = [], START
    if any(isinstance(o, api.SubscribeEndpointList) for o in planner.handle(now, [])):
        polls.append(now)
    for _ in range(200):
        now += SECOND // 4
        events = [api.EndpointListChanged("unavailable", ())] if polls[-1] == now - SECOND // 4 else []
        if any(isinstance(o, api.SubscribeEndpointList) for o in planner.handle(now, events)):
            polls.append(now)
    gaps = [b - a for a, b in itertools.pairwise(polls)]
    assert polls[0] == START and len(polls) > 5
    assert max(gaps) > 2 * min(gaps) and max(gaps) < 10 * SECOND


def test_unanswered_subscription_is_repeated():
    planner = Planner(settings(list_on_request=True), 1)
    planner.handle(START, [])
    orders = [o for k in range(1, 80) for o in planner.handle(START + k * SECOND // 4, [])]
    assert [o for o in orders if isinstance(o, api.SubscribeEndpointList)]


@pytest.mark.parametrize("started", ["old", "future", "backwards"])
def test_odd_start_times_do_no_harm(started):
    world = SimulatedFleet(slices=24)
    world.handle(api.EndpointListChanged("update", (entry("p", started=world.now - 5 * SECOND),)))
    world.run(3)
    at = {"old": 1, "future": world.now + 50 * SECOND, "backwards": world.now - 30 * SECOND}[started]
    world.handle(api.EndpointListChanged("update", (entry("p", started=at),)))
    world.run(10)
    assert not world.has_slice_without_endpoint()


def test_an_entry_that_changes_back_and_forth_in_one_batch_counts_as_it_ends():
    world = SimulatedFleet(slices=24)
    world.run(4)
    states = ("terminating", "in_service", "terminated", "in_service")
    world.handle(*(api.EndpointListChanged("update", (entry("p", state),)) for state in states))
    assert world.count("p") > 0
    world.handle(*(api.EndpointListChanged("update", (entry("p", state),)) for state in states[:3]))
    assert world.count("p") == 0 and not world.has_slice_without_endpoint()
