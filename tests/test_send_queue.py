"""The send queue merges changes, keeps the budget and sends withdrawals first.

A client that does not read delays no other client.
"""

from __future__ import annotations

import random

from damsonpick.protocols.shared.send_queue import SendQueue

SECOND = 1_000_000_000


def entries(*names):
    units = {}
    for name in names:
        unit, key = name.split(":")
        units.setdefault(unit, set()).add(key)
    return units


def drain(queue, now):
    got = []
    while (message := queue.next_message(now)) is not None:
        got.append(message)
    return got


def test_entries_that_change_again_are_merged_and_counted_once():
    queue = SendQueue(0, 8, 100)
    queue.join(1)
    for seq in range(1, 50):
        queue.enqueue(seq, 1, seq, entries("slice/1:a", "slice/1:b"), False)
    assert queue.waiting() == 10
    (message,) = drain(queue, 60)
    assert (message.first_seq, message.ordered_at, message.entries) == (1, 1, 2)


def test_the_budget_is_kept_over_all_clients():
    queue = SendQueue(1000, 8, 1e9)
    for client in range(10):
        queue.join(client)
    now, cost = SECOND, 0
    for step in range(200):
        now = SECOND + step * 10_000_000
        for client in range(10):
            queue.enqueue(now, client, step, entries(*(f"slice/{client}:{k}" for k in range(5))), False)
        cost += sum(message.entries + 8 for message in drain(queue, now))
    assert 1900 <= cost <= 2 * 1000 + 1000 * 0.05 + 2 * 58


def test_withdrawals_go_before_the_rest():
    queue = SendQueue(100, 8, 1e9)
    for client in range(5):
        queue.join(client)
        queue.enqueue(SECOND, client, 1, entries("slice/1:a"), False)
    queue.enqueue(SECOND, 4, 2, entries("fleet:x"), True)
    assert queue.next_message(SECOND).client == 4


def test_a_client_that_does_not_read_waits_alone_and_bounded():
    queue = SendQueue(0, 8, 1e9)
    queue.join(1)
    queue.join(2)
    queue.set_ready(1, False)
    for seq in range(1000):
        for client in (1, 2):
            queue.enqueue(seq, client, seq, entries(f"slice/{seq % 7}:a"), False)
    assert {message.client for message in drain(queue, 2000)} == {2}
    assert queue.pending[1].entries == 7 and queue.next_due(2000) is None
    queue.set_ready(1, True)
    assert [message.entries for message in drain(queue, 2000)] == [7]


def test_messages_within_a_window_are_limited_for_each_client():
    queue = SendQueue(0, 8, 1e9, messages=3, window=SECOND)
    queue.join(1)
    sent = []
    for k in range(300):
        now = SECOND + k * 10_000_000
        queue.enqueue(now, 1, k, entries("slice/1:a"), False)
        sent += [now for _ in drain(queue, now)]
    for t in sent:
        assert sum(t - SECOND < other <= t for other in sent) <= 3
    assert queue.next_due(sent[-1] + 1) > 0


def test_a_client_that_left_costs_nothing_and_entries_for_it_are_ignored():
    queue = SendQueue(0, 8, 1e9)
    queue.join(1)
    queue.enqueue(1, 1, 1, entries("slice/1:a"), True)
    queue.leave(1)
    queue.enqueue(2, 1, 2, entries("slice/1:a"), True)
    assert queue.waiting() == 0 and queue.next_message(3) is None and queue.next_due(3) is None


def test_random_entries_lose_nothing_and_never_go_back():
    """Every ordered entry is sent in a message to its client, at the time of its order or later."""
    for seed in range(50):
        rng = random.Random(seed)
        queue = SendQueue(rng.choice((0, 500)), 8, 1e9, rng.choice((0, 4)), SECOND)
        due, now = {}, SECOND
        for client in range(4):
            queue.join(client)
        for seq in range(1, 120):
            now += rng.randrange(50_000_000)
            client, unit = rng.randrange(4), f"slice/{rng.randrange(5)}"
            queue.enqueue(now, client, seq, {unit: {str(rng.randrange(9))}}, rng.random() < 0.1)
            due.setdefault(client, {})[unit] = seq
            queue.set_ready(rng.randrange(4), rng.random() < 0.7)
            for message in drain(queue, now):
                assert message.first_seq <= seq and message.ordered_at <= now
                for unit in message.units:
                    due[message.client].pop(unit)
        for client in range(4):
            queue.set_ready(client, True)
        for _ in range(1000):
            now += 100_000_000
            for message in drain(queue, now):
                for unit in message.units:
                    due[message.client].pop(unit)
        assert not any(due.values()), seed
