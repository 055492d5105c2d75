"""Fleets at full size: about 80 endpoints, 100 proxies and 500 slices, seen through `handle`."""

from __future__ import annotations

import pytest

from damsonpick import interface as api

from .helpers import SECOND, World, entry

NAMES = [f"e{k:02}" for k in range(80)]
PROXIES = 100


class Line:
    """The channel between a planner and its proxies: messages leave at a rate, arrive later, are counted."""

    def __init__(self, world: World, rate: float, late: int = SECOND // 4) -> None:
        self.world, self.rate, self.late = world, rate, late
        self.free_at, self.most, self.sent = world.now, 0.0, []
        self.coming: list[tuple[int, int]] = []
        world.acks = False

    def step(self, *events: api.Event) -> list[api.Action]:
        """Deliver what is due, hand over events, and queue the orders that come back."""
        world, settings = self.world, self.world.settings
        due = [mark for at, mark in self.coming if at <= world.now]
        self.coming = [(at, mark) for at, mark in self.coming if at > world.now]
        acks = [api.SyncAcknowledged(mark, proxy, self.late) for mark in due for proxy in world.proxies]
        orders = world.tell(*events, *acks)
        lines = sum(isinstance(o, api.SetEntry | api.SetAdmission | api.SetWithdrawn | api.RequestSync) for o in orders)
        for order in orders:
            if isinstance(order, api.RequestSync):
                cost = (settings.message_overhead + lines) * len(world.proxies)
                self.free_at = max(self.free_at, world.now) + int(cost / self.rate * SECOND)
                self.coming.append((self.free_at + self.late, order.token))
                self.most = max(self.most, (self.free_at - world.now) / SECOND * self.rate)
                self.sent.append(world.now)
        return orders

    def run(self, seconds: float, **reports: object) -> list[api.Action]:
        orders: list[api.Action] = []
        for step in range(int(seconds * 20)):
            self.world.now += SECOND // 20
            events = self.world.report(**reports) if step % 20 == 0 else []
            orders += self.step(api.TimerFired(0), *events)
        return orders

    def leave(self, names: list[str], told: int, grace: int) -> None:
        """Wait until no proxy is told to send to these any more; that must arrive within the grace."""
        while any(map(self.world.count, names)):
            self.run(0.05)
            assert self.world.now - told < grace
        assert self.free_at + self.late - told <= grace


def fleet(**changes: object) -> World:
    base = {"channel_rate": 8500.0, "channel_limit": 8500.0, "message_overhead": 16.0}
    return World(names=NAMES, slices=500, proxies=PROXIES, **{**base, "messages_per_window": 12, **changes})


@pytest.mark.parametrize("slower", [1, 4])
def test_a_release_of_most_of_the_fleet_keeps_the_grace_and_the_limits(slower):
    """Grown ocitanja-vode: a step of a release bars a fifth of the fleet; tables alone took 200 lines."""
    world = fleet()
    line = Line(world, 8500.0 / slower)
    line.run(6)
    for wave in range(4):
        leaving = NAMES[15 * wave : 15 * wave + 15]
        told = world.now
        line.step(api.EndpointListChanged("update", tuple(entry(n, "terminating") for n in leaving)))
        line.leave(leaving, told, slower * world.settings.drain_grace)  # times grow by the same factor
        line.run(8 * slower)
        assert not world.bare()
    assert line.most < 0.65 * world.settings.channel_limit
    assert max(sum(t - 10 * SECOND < s <= t for s in line.sent) for t in line.sent) <= 12


def test_balance_moves_are_published_at_a_hundred_proxies():
    """Grown ocitanja-vode: a quarter of the limit left no line beside the heads of a hundred messages."""
    world = fleet()
    line = Line(world, 8500.0)
    line.run(4)
    hot = [n for n, table in world.tables.items() if "e00" in table]
    for _ in range(6):
        line.step(*(api.SliceDemand(n, "cheap", 100, 0, SECOND) for n in hot))
        line.run(1)
    assert any(world.live(n) != {"e00"} for n in hot)


def test_messages_at_the_start_of_a_day_do_not_hold_the_channel_for_good():
    """Grown ocitanja-vode big-2: a message to the first proxies waited for half of all that joined later."""
    world = fleet()
    world.acks = False
    world.proxies = [0, 1, 2]
    for proxy in range(PROXIES):
        world.tell(api.ProxyLeft(proxy))
    world.tell(*(api.ProxyJoined(proxy, "a", 5.0, True) for proxy in range(3)))
    world.tell(api.EndpointListChanged("update", (entry("e01", "terminating"),)))
    marks = [o.token for o in world.log if isinstance(o, api.RequestSync)]
    world.tell(*(api.ProxyJoined(proxy, "a", 5.0, True) for proxy in range(3, PROXIES)))
    world.tell(*(api.SyncAcknowledged(marks[-1], proxy, 0) for proxy in range(3)))
    world.now += 2 * SECOND
    orders = world.tell(api.EndpointListChanged("update", (entry("e02", "terminating"),)))
    assert api.SetWithdrawn("e02", True) in orders


def test_a_return_waits_for_old_lines_and_reaches_proxies_that_were_away():
    """An endpoint comes back under its old name: no proxy keeps it shut, no old line fills it cold."""
    world = World(slices=40)
    world.run(6, tries=200)
    for _ in range(3):
        world.tell(api.EndpointListChanged("update", (entry("p", "terminated"),)))
        assert world.count("p") == 0
        world.run(4, tries=200)
        world.tell(api.EndpointListChanged("update", (entry("p", started=world.now),)))
        world.run(4, tries=200)
        assert not world.shut["p"] and 0 < world.heat("p") < 10
    world.tell(api.ProxyLeft(1))
    orders = world.tell(api.ProxyJoined(1, "a", 5.0, False))
    orders += world.run(2)
    assert api.SetWithdrawn("p", False) in orders


@pytest.mark.parametrize("started", ["old", "future", "backwards"])
def test_odd_start_times_do_no_harm(started):
    world = World(slices=24)
    world.tell(api.EndpointListChanged("update", (entry("p", started=world.now - 5 * SECOND),)))
    world.run(3)
    at = {"old": 1, "future": world.now + 50 * SECOND, "backwards": world.now - 30 * SECOND}[started]
    world.tell(api.EndpointListChanged("update", (entry("p", started=at),)))
    world.run(10)
    assert not world.bare()


def test_an_entry_that_changes_back_and_forth_in_one_batch_counts_as_it_ends():
    world = World(slices=24)
    world.run(4)
    states = ("terminating", "in_service", "terminated", "in_service")
    world.tell(*(api.EndpointListChanged("update", (entry("p", state),)) for state in states))
    assert world.count("p") > 0
    world.tell(*(api.EndpointListChanged("update", (entry("p", state),)) for state in states[:3]))
    assert world.count("p") == 0 and not world.bare()


def test_odd_report_lines_are_harmless():
    world = World(slices=24)
    world.run(4)
    world.tell(api.EndpointListChanged("update", (entry("p", started=world.now - SECOND),)))
    spanning = api.EndpointReport("a", "p", 50, 50, 0, 4 * SECOND, ())
    before = world.heat("p")
    for _ in range(3):
        world.tell(
            spanning,
            spanning,
            api.SliceDemand(1, "nobody", 9, 0, SECOND),
            api.SliceDemand(1, "cheap", 9, 0, 0),
            api.EndpointReport("a", "q", 5, 0, 9, 0, ()),
        )
        world.run(1)
    assert world.heat("p") >= before and not world.bare()


def test_reports_every_few_seconds_keep_endpoints_and_levels():
    """Report lines are limited: in a large fleet each comes seldom and covers longer, which is no silence."""
    world = World(slices=40)
    for _ in range(8):
        events = [api.EndpointReport("a", n, 100, 0, SECOND // 5, 5 * SECOND, ()) for n in "pqrs"]
        events += [api.SliceDemand(n, "cheap", 25, 0, 5 * SECOND) for n in world.tables]
        for k in range(20):
            world.now += SECOND // 4
            world.tell(api.TimerFired(0), *(events if k == 0 else []))
    heat = [world.heat(n) for n in "pqrs"]
    assert max(heat) < 1.5 * min(heat)
    assert all(level == 1.0 for level in world.levels.values())


def test_understated_load_reports_win_a_slow_endpoint_no_slices():
    """Grown varazdin-izbori, false_reports: slow servers tell of no load; latency is believed instead."""
    world = World(slices=24, load_fields=("queue", "latency_ms"))
    world.run(6)
    before = world.heat("p")
    for _ in range(25):
        world.run(1, latency={"p": 500})
        world.tell(api.EndpointReport("a", "p", 5, 0, SECOND // 2, SECOND, (0.0, 1.0)))
    assert world.heat("p") < before


def test_a_limit_below_one_message_lets_rules_out_and_says_so_once():
    world = World(slices=24, channel_limit=12.0)
    world.run(3, rate=40)
    world.tell(api.SliceDemand(3, "cheap", 4000, 0, SECOND))
    world.log.clear()
    world.run(8, rate=40)
    assert not [o for o in world.log if isinstance(o, api.SetEntry)]
    world.tell(api.EndpointListChanged("update", (entry("p", "terminating"),)))
    world.run(10, rate=40)
    assert world.count("p") == 0 and not world.bare()
    assert sum("limit" in o.text for o in world.log if isinstance(o, api.Log)) == 1


def test_a_controller_that_comes_back_keeps_messages_for_levels():
    """Incident i745c52: for each proxy that joined all was told again, and no message was left for 7 s."""
    world = World(slices=40, messages_per_window=12, proxies=0)
    for proxy in range(12):
        world.now += SECOND // 10
        world.proxies.append(proxy)
        world.tell(api.ProxyJoined(proxy, "a", 5.0, False))
    assert sum(isinstance(o, api.RequestSync) for o in world.log) <= 6
    world.run(6, latency=dict.fromkeys("pqrs", 900))
    assert world.levels[None, 0] < 1.0


def test_notice_far_shorter_than_the_grace_still_mends_and_withdraws_at_once():
    """Grown parking-varazdin, preempt: a third of the fleet drains and is dead half a second later."""
    world = fleet(messages_per_window=0)
    line = Line(world, 8500.0)
    line.run(6)
    leaving = NAMES[:25]
    line.step(api.EndpointListChanged("update", tuple(entry(n, "terminating") for n in leaving)))
    line.run(0.5)
    told = world.now - SECOND // 2
    line.step(api.EndpointListChanged("update", tuple(entry(n, "terminated") for n in leaving)))
    line.leave(leaving, told, world.settings.drain_grace)
    line.run(8)
    assert not world.bare() and line.most < 0.65 * world.settings.channel_limit


def test_an_endpoint_that_flaps_under_its_old_start_time_is_let_in_again():
    """Grown ocitanja-vode, flapping: the list names it, drops it and names it again with nothing new."""
    world = World(slices=24)
    world.run(6)
    for _ in range(3):
        world.tell(api.EndpointListChanged("update", (entry("p", "terminated"),)))
        world.run(2)
        assert world.count("p") == 0 and not world.bare()
        world.tell(api.EndpointListChanged("update", (entry("p"),)))
        world.run(8)
        assert world.count("p") > 0 and not world.shut["p"]
