"""Available capacity of the channel by urgency."""

from __future__ import annotations

import itertools
import random

import pytest

from damsonpick import interface as api
from damsonpick.decisions.flow_control import FlowControl, Urgency
from tests.helpers import SECOND, START, SimulatedFleet, entry, settings


def test_channel_stays_under_half_of_its_limit_without_acknowledgements():
    world = SimulatedFleet(slices=60, channel_limit=1500.0)
    world.acks = False
    waiting = 0.0
    world.log.clear()
    for k in range(40):
        name = "pqrs"[k % 4]
        state = "terminating" if k % 8 < 4 else "in_service"
        world.now += SECOND // 4
        orders = world.handle(api.EndpointListChanged("update", (entry(name, state),)))
        cost = sum(isinstance(o, api.SetEntry | api.SetAdmission | api.RequestSync) for o in orders)
        waiting += 2 * (cost + 8) if cost else 0
    assert 0 < waiting < 750


def test_messages_to_a_proxy_stay_within_the_window():
    world = SimulatedFleet(slices=60, messages_per_window=12)
    sent = []
    for k in range(200):
        world.now += SECOND // 4
        name = "pqrs"[k % 4]
        state = "terminating" if k % 8 < 4 else "in_service"
        orders = world.handle(api.EndpointListChanged("update", (entry(name, state),)), *world.report())
        sent += [world.now] * sum(isinstance(o, api.RequestSync) for o in orders)
    assert sent
    assert max(sum(t - 10 * SECOND < s <= t for s in sent) for t in sent) <= 12


def test_one_silent_proxy_does_not_stop_the_channel():
    """Regression (ocitanja-vode, deploy+zone_cut): disconnected proxies that never acknowledged delayed drains."""
    world = SimulatedFleet(slices=60, proxies=4, channel_limit=1500.0)
    world.proxies = [0, 1, 2]  # the fourth never acknowledges
    for k in range(12):
        world.now += SECOND // 4
        name, state = "pqrs"[k % 4], "terminating" if k % 2 else "in_service"
        world.handle(api.EndpointListChanged("update", (entry(name, state),)))
    gone = [n for n in "pqrs" if world.planner.endpoints[n].state == "terminating"]
    world.run(2)
    assert gone and not any(world.count(name) for name in gone)


def test_rebalancing_does_not_use_up_the_messages_that_lower_levels():
    """Regression (incident i8ae611): a burst of moves delayed the admission levels for eight seconds."""
    world = SimulatedFleet(slices=60, messages_per_window=12)
    for _ in range(20):
        world.run(0.5, rate=40)
        world.handle(api.SliceDemand(world.planner.random.randrange(60), "cheap", 500, 0, SECOND))
    before = world.now
    world.run(6, latency=dict.fromkeys("pqrs", 900))
    assert world.now - before < 7 * SECOND and min(world.levels.values()) < 1.0


def test_cleanup_does_not_hold_up_rounds():
    """Regression (parking-varazdin on sockets, reload): rounds waited seven seconds for the cleanup after a release."""
    world = SimulatedFleet(slices=12)
    flow_control = world.planner.flow_control
    flow_control.in_flight.clear()
    token = flow_control.send(world.now, 4, True).token
    flow_control.send(world.now, 4, False)
    assert not flow_control.moves_acknowledged()
    for proxy in world.proxies:
        flow_control.acknowledge(proxy, token)
    assert flow_control.moves_acknowledged() and flow_control.in_flight


def test_a_limit_below_one_message_admits_critical_orders_and_is_logged_once():
    world = SimulatedFleet(slices=24, channel_limit=12.0)
    world.run(3, rate=40)
    world.handle(api.SliceDemand(3, "cheap", 4000, 0, SECOND))
    world.log.clear()
    world.run(8, rate=40)
    assert not [o for o in world.log if isinstance(o, api.SetEntry)]
    world.handle(api.EndpointListChanged("update", (entry("p", "terminating"),)))
    world.run(10, rate=40)
    assert world.count("p") == 0 and not world.has_slice_without_endpoint()
    assert sum("limit" in o.text for o in world.log if isinstance(o, api.Log)) == 1


def test_a_controller_that_comes_back_keeps_messages_for_levels():
    """Regression (incident i745c52): each joining proxy was sent all state, which used up the messages for 7 s."""
    world = SimulatedFleet(slices=40, messages_per_window=12, proxies=0)
    for proxy in range(12):
        world.now += SECOND // 10
        world.proxies.append(proxy)
        world.handle(api.ProxyJoined(proxy, "a", 5.0, False))
    assert sum(isinstance(o, api.RequestSync) for o in world.log) <= 6
    world.run(6, latency=dict.fromkeys("pqrs", 900))
    assert world.levels[None, 0] < 1.0


def test_a_burst_of_critical_messages_does_not_stop_later_ones_for_the_rest_of_the_window():
    """Regression (review, case 2, search): after four messages at once, withdrawals waited for up to 3.3 s."""
    site = settings(messages_per_window=12)
    flow_control = FlowControl(site)
    flow_control.add_proxy(0, "a")
    sent = []
    for now in range(START, START + 40 * SECOND, SECOND // 100):
        if flow_control.available(now, Urgency.CRITICAL) > 0:
            flow_control.acknowledge(0, flow_control.send(now, 1, True).token)
            sent.append(now)
    longest_wait = max(later - earlier for earlier, later in itertools.pairwise(sent))
    assert longest_wait <= site.drain_grace - site.max_transit
    assert max(sum(t - 10 * SECOND < s <= t for s in sent) for t in sent) <= 12


def test_a_late_withdrawal_is_sent_as_soon_as_the_window_admits_it():
    """Regression (review, search): a withdrawal that had to wait was sent at the next tick, up to 0.25 s later."""
    world = SimulatedFleet([f"s{n:02}" for n in range(18)], slices=18, messages_per_window=12)
    world.run(12)
    expiries = []
    for name in world.names:
        world.now += SECOND // 1000
        orders = world.handle(api.EndpointListChanged("update", (entry(name, "terminating"),)))
        expiries += [world.now + order.delay for order in orders if isinstance(order, api.SetTimer)]
        if not world.withdrawn.get(name):
            break
    world.now = world.planner.flow_control.window.next_critical_at
    assert world.now in expiries
    world.handle(api.TimerFired(0))
    assert world.withdrawn[name]


def test_a_message_that_leaves_the_window_early_by_its_way_does_not_exceed_the_limit():
    """Regression (review/3, trial): 13 messages in 10 s, as the first was carried out 4 ms later than the last."""
    flow_control = FlowControl(settings(messages_per_window=12))
    flow_control.add_proxy(0, "a")
    while flow_control.available(START, Urgency.CRITICAL) > 0 or len(flow_control.window.sent_at) < 12:
        flow_control.acknowledge(0, flow_control.send(START, 1, True).token)
    assert not flow_control.available(START + 10 * SECOND + SECOND // 20, Urgency.CRITICAL)


@pytest.mark.parametrize("seed", range(8))
def test_a_withdrawal_never_waits_longer_than_the_grace_allows(seed):
    """Regression (model, seeds 50 and 91): after a long series of drains the window admitted nothing for 2.9 s."""
    site = settings(messages_per_window=12, max_transit=3 * SECOND // 10, channel_rate=12000.0)
    flow_control = FlowControl(site)
    flow_control.add_proxy(0, "a")
    rng = random.Random(seed)
    due_at: int | None = None
    longest_wait = 0
    for now in range(START, START + 120 * SECOND, SECOND // 50):
        rate = 4.0 if (now // (10 * SECOND)) % 2 else 0.3  # drains/s
        if due_at is None and rng.random() < rate / 50:
            due_at = now
        urgency = Urgency.CRITICAL if due_at is not None else Urgency.REBALANCE
        if flow_control.available(now, urgency) > 0:
            flow_control.acknowledge(0, flow_control.send(now, 1, True).token)
            longest_wait = max(longest_wait, now - (due_at or now))
            due_at = None
    channel_wait = int(0.5 * site.channel_limit / site.channel_rate * SECOND)
    assert longest_wait <= site.drain_grace - site.max_transit - channel_wait + SECOND // 50
