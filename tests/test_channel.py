"""Queues to the gateways: merged, paced, drains first, nobody held up by one that does not read."""

from __future__ import annotations

import random

from damsonpick.protocols.shared.send_queue import Channel

SECOND = 1_000_000_000


def lines(*names):
    units = {}
    for name in names:
        unit, line = name.split(":")
        units.setdefault(unit, set()).add(line)
    return units


def drain(channel, now):
    got = []
    while (parcel := channel.take(now)) is not None:
        got.append(parcel)
    return got


def test_overtaken_lines_are_merged_and_counted_once():
    channel = Channel(0, 8, 100)
    channel.join(1)
    for seq in range(1, 50):
        channel.order(seq, 1, seq, lines("slice/1:a", "slice/1:b"), False)
    assert channel.waiting() == 10
    (parcel,) = drain(channel, 60)
    assert (parcel.first, parcel.ordered, parcel.lines) == (1, 1, 2)


def test_pace_is_kept_over_all_gateways():
    channel = Channel(1000, 8, 1e9)
    for g in range(10):
        channel.join(g)
    now, cost = SECOND, 0
    for step in range(200):
        now = SECOND + step * 10_000_000
        for g in range(10):
            channel.order(now, g, step, lines(*(f"slice/{g}:{k}" for k in range(5))), False)
        cost += sum(p.lines + 8 for p in drain(channel, now))
    assert 1900 <= cost <= 2 * 1000 + 1000 * 0.05 + 2 * 58


def test_withdrawals_go_before_the_rest():
    channel = Channel(100, 8, 1e9)
    for g in range(5):
        channel.join(g)
        channel.order(SECOND, g, 1, lines("slice/1:a"), False)
    channel.order(SECOND, 4, 2, lines("fleet:x"), True)
    assert channel.take(SECOND).gateway == 4


def test_a_gateway_that_does_not_read_waits_alone_and_bounded():
    channel = Channel(0, 8, 1e9)
    channel.join(1)
    channel.join(2)
    channel.open(1, False)
    for seq in range(1000):
        for g in (1, 2):
            channel.order(seq, g, seq, lines(f"slice/{seq % 7}:a"), False)
    assert {p.gateway for p in drain(channel, 2000)} == {2}
    assert channel.waits[1].lines == 7 and channel.wake(2000) is None
    channel.open(1, True)
    assert [p.lines for p in drain(channel, 2000)] == [7]


def test_messages_within_a_window_are_limited_for_each_gateway():
    channel = Channel(0, 8, 1e9, messages=3, window=SECOND)
    channel.join(1)
    sent = []
    for k in range(300):
        now = SECOND + k * 10_000_000
        channel.order(now, 1, k, lines("slice/1:a"), False)
        sent += [now for _ in drain(channel, now)]
    for t in sent:
        assert sum(t - SECOND < other <= t for other in sent) <= 3
    assert channel.wake(sent[-1] + 1) > 0


def test_a_gateway_that_left_costs_nothing_and_orders_to_it_are_ignored():
    channel = Channel(0, 8, 1e9)
    channel.join(1)
    channel.order(1, 1, 1, lines("slice/1:a"), True)
    channel.leave(1)
    channel.order(2, 1, 2, lines("slice/1:a"), True)
    assert channel.waiting() == 0 and channel.take(3) is None and channel.wake(3) is None


def test_random_orders_lose_nothing_and_never_go_back():
    """Whatever is ordered leaves, each line at or after its order, in some message of its gateway."""
    for seed in range(50):
        rng = random.Random(seed)
        channel = Channel(rng.choice((0, 500)), 8, 1e9, rng.choice((0, 4)), SECOND)
        due, now = {}, SECOND
        for g in range(4):
            channel.join(g)
        for seq in range(1, 120):
            now += rng.randrange(50_000_000)
            g, unit = rng.randrange(4), f"slice/{rng.randrange(5)}"
            channel.order(now, g, seq, {unit: {str(rng.randrange(9))}}, rng.random() < 0.1)
            due.setdefault(g, {})[unit] = seq
            channel.open(rng.randrange(4), rng.random() < 0.7)
            for p in drain(channel, now):
                assert p.first <= seq and p.ordered <= now
                for unit in p.units:
                    due[p.gateway].pop(unit)
        for g in range(4):
            channel.open(g, True)
        for _ in range(1000):
            now += 100_000_000
            for p in drain(channel, now):
                for unit in p.units:
                    due[p.gateway].pop(unit)
        assert not any(due.values()), seed
