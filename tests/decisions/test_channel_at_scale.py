"""Fleets of 80 endpoints, 100 proxies and 500 slices behind a channel that delays messages."""

from __future__ import annotations

import pytest

from damsonpick import interface as api
from tests.helpers import SECOND, SimulatedFleet, entry

ENDPOINT_NAMES = [f"e{k:02}" for k in range(80)]
PROXIES = 100


class ChannelModel:
    """The channel between a planner and its proxies. It sends messages at a limited rate, delays and counts them.

    Attributes:
        world: Planner and tables. Its automatic acknowledgements are switched off.
        rate: Sent entries/s.
        latency: Time between departure and acknowledgement, ns.
        free_at: Time at which all queued messages will have been sent, ns.
        max_queued: Largest number of entries that have waited.
        sent_at: Send times of the messages, ns.
        in_transit: Time of acknowledgement (ns) and sync token of each message in transit.
    """

    def __init__(self, world: SimulatedFleet, rate: float, latency: int = SECOND // 4) -> None:
        self.world, self.rate, self.latency = world, rate, latency
        self.free_at, self.max_queued = world.now, 0.0
        self.sent_at: list[int] = []
        self.in_transit: list[tuple[int, int]] = []
        world.acks = False

    def step(self, *events: api.Event) -> list[api.Action]:
        """Deliver the acknowledgements that are due, pass events to the planner, and queue the resulting orders."""
        world, settings = self.world, self.world.settings
        arrived = [token for at, token in self.in_transit if at <= world.now]
        self.in_transit = [(at, token) for at, token in self.in_transit if at > world.now]
        acks = [api.SyncAcknowledged(token, proxy, self.latency) for token in arrived for proxy in world.proxies]
        orders = world.handle(*events, *acks)
        counted = api.SetEntry | api.SetAdmission | api.SetWithdrawn | api.RequestSync
        entries = sum(isinstance(order, counted) for order in orders)
        for order in orders:
            if isinstance(order, api.RequestSync):
                cost = (settings.message_overhead + entries) * len(world.proxies)
                self.free_at = max(self.free_at, world.now) + int(cost / self.rate * SECOND)
                self.in_transit.append((self.free_at + self.latency, order.token))
                self.max_queued = max(self.max_queued, (self.free_at - world.now) / SECOND * self.rate)
                self.sent_at.append(world.now)
        return orders

    def run(self, seconds: float, **reports: object) -> list[api.Action]:
        """Advance time in steps of 50 ms, with one set of reports per second."""
        orders: list[api.Action] = []
        for step in range(int(seconds * 20)):
            self.world.now += SECOND // 20
            events = self.world.report(**reports) if step % 20 == 0 else []
            orders += self.step(api.TimerFired(0), *events)
        return orders

    def wait_until_withdrawn(self, names: list[str], notified: int, grace: int) -> None:
        """Wait until proxies send to none of these endpoints. All orders must arrive within `grace` of `notified`."""
        while any(map(self.world.count, names)):
            self.run(0.05)
            assert self.world.now - notified < grace
        assert self.free_at + self.latency - notified <= grace


def large_fleet(**changes: object) -> SimulatedFleet:
    base = {"channel_rate": 8500.0, "channel_limit": 8500.0, "message_overhead": 16.0}
    return SimulatedFleet(
        names=ENDPOINT_NAMES, slices=500, proxies=PROXIES, **{**base, "messages_per_window": 12, **changes}
    )


@pytest.mark.parametrize("slower", [1, 4])
def test_a_release_of_most_of_the_fleet_keeps_the_grace_and_the_limits(slower):
    """Regression (ocitanja-vode): a release step drains a fifth of the fleet. Table changes alone took 200 entries."""
    world = large_fleet()
    channel = ChannelModel(world, 8500.0 / slower)
    channel.run(6)
    for wave in range(4):
        leaving = ENDPOINT_NAMES[15 * wave : 15 * wave + 15]
        notified = world.now
        channel.step(api.EndpointListChanged("update", tuple(entry(n, "terminating") for n in leaving)))
        channel.wait_until_withdrawn(
            leaving, notified, slower * world.settings.drain_grace
        )  # the allowed time grows by the same factor as the channel is slower
        channel.run(8 * slower)
        assert not world.has_slice_without_endpoint()
    assert channel.max_queued < 0.65 * world.settings.channel_limit
    assert max(sum(t - 10 * SECOND < s <= t for s in channel.sent_at) for t in channel.sent_at) <= 12


def test_moves_are_published_at_a_hundred_proxies():
    """Regression (ocitanja-vode): with a quarter of the limit, the overhead of a hundred messages left no entries."""
    world = large_fleet()
    channel = ChannelModel(world, 8500.0)
    channel.run(4)
    hot = [n for n, table in world.tables.items() if "e00" in table]
    for _ in range(6):
        channel.step(*(api.SliceDemand(n, "cheap", 100, 0, SECOND) for n in hot))
        channel.run(1)
    assert any(world.routable(n) != {"e00"} for n in hot)


def test_messages_to_the_first_proxies_do_not_block_the_channel():
    """Regression (ocitanja-vode big-2): a message to the first proxies waited for acknowledgements of half of all.

    Most proxies joined only after this message.
    """
    world = large_fleet()
    world.acks = False
    world.proxies = [0, 1, 2]
    for proxy in range(PROXIES):
        world.handle(api.ProxyLeft(proxy))
    world.handle(*(api.ProxyJoined(proxy, "a", 5.0, True) for proxy in range(3)))
    world.handle(api.EndpointListChanged("update", (entry("e01", "terminating"),)))
    tokens = [o.token for o in world.log if isinstance(o, api.RequestSync)]
    world.handle(*(api.ProxyJoined(proxy, "a", 5.0, True) for proxy in range(3, PROXIES)))
    world.handle(*(api.SyncAcknowledged(tokens[-1], proxy, 0) for proxy in range(3)))
    world.now += 2 * SECOND
    orders = world.handle(api.EndpointListChanged("update", (entry("e02", "terminating"),)))
    assert api.SetWithdrawn("e02", True) in orders


def test_notice_far_shorter_than_the_grace_still_reassigns_and_withdraws_at_once():
    """Regression (parking-varazdin, preempt): a third of the fleet drains and is terminated half a second later."""
    world = large_fleet(messages_per_window=0)
    channel = ChannelModel(world, 8500.0)
    channel.run(6)
    leaving = ENDPOINT_NAMES[:25]
    channel.step(api.EndpointListChanged("update", tuple(entry(n, "terminating") for n in leaving)))
    channel.run(0.5)
    notified = world.now - SECOND // 2
    channel.step(api.EndpointListChanged("update", tuple(entry(n, "terminated") for n in leaving)))
    channel.wait_until_withdrawn(leaving, notified, world.settings.drain_grace)
    channel.run(8)
    assert not world.has_slice_without_endpoint() and channel.max_queued < 0.65 * world.settings.channel_limit
