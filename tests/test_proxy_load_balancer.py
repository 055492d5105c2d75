"""Tests of the load balancer: the policies against the weights and a closed form, and the ejection of servers."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from damsonpick.proxy.load_balancer import LoadBalancer, Policy, WeightedTable

SECOND = 1_000_000_000
# 99.9% quantiles of the chi-square distribution, by degrees of freedom.
CHI_999 = {2: 13.82, 3: 16.27, 4: 18.47, 9: 27.88}


def chi_square(counts, shares):
    total = sum(counts.values())
    return sum((counts[n] - total * s) ** 2 / (total * s) for n, s in shares.items())


@pytest.mark.parametrize("weights", [(1, 1, 1), (5, 1, 1, 3), (1000, 1, 10, 100, 333), tuple(range(1, 11))])
def test_random_policy_follows_the_weights(weights):
    table = WeightedTable({f"s{k}": w for k, w in enumerate(weights)})
    balancer = LoadBalancer(random.Random(7), Policy.RANDOM)
    counts = Counter(balancer.pick(0, table, ()) for _ in range(100_000))
    shares = {f"s{k}": w / sum(weights) for k, w in enumerate(weights)}
    assert chi_square(counts, shares) < CHI_999[len(weights) - 1]
    assert all(abs(counts[n] / 100_000 - s) < 0.02 for n, s in shares.items())


def test_power_of_two_follows_the_weights_and_takes_the_less_busy():
    table, rng = WeightedTable({"a": 1, "b": 3}), random.Random(3)
    balancer = LoadBalancer(rng, Policy.POWER_OF_TWO)
    counts = Counter(balancer.pick(0, table, ()) for _ in range(100_000))
    assert abs(counts["b"] / 100_000 - 0.75) < 0.02
    balancer.active_requests["b"] = 1  # a is picked if at least one of the two draws is a: 1 - (3/4)^2
    counts = Counter(balancer.pick(0, table, ()) for _ in range(100_000))
    assert abs(counts["a"] / 100_000 - 7 / 16) < 0.01


def simulate(policy, servers, load, seed, steps=40_000):
    """Simulate equal servers with exponential service times. Return the mean and the largest queue length."""
    rng, balancer = random.Random(seed), LoadBalancer(random.Random(seed + 1), policy)
    table, queue, mean_lengths, longest = WeightedTable(dict.fromkeys(map(str, range(servers)), 1.0)), Counter(), [], 0
    for _ in range(steps):
        if rng.random() < load / (load + 1):
            name = balancer.pick(0, table, ())
            queue[name] += 1
            balancer.request_started(name)
        else:
            name = str(rng.randrange(servers))
            if queue[name]:
                queue[name] -= 1
                balancer.request_ended(0, name, True)
        mean_lengths.append(sum(queue.values()) / servers)
        longest = max(longest, max(queue.values(), default=0))
    return sum(mean_lengths[steps // 4 :]) / len(mean_lengths[steps // 4 :]), longest


def test_two_choices_against_the_closed_form():
    """In Mitzenmacher's fixed point, the share of servers with at least i requests is load ** (2 ** i - 1)."""
    load = 0.9
    expected = sum(load ** (2**i - 1) for i in range(1, 12))
    mean, _ = simulate(Policy.POWER_OF_TWO, 100, load, 5, 200_000)
    assert mean == pytest.approx(expected, rel=0.08)
    random_mean, random_longest = simulate(Policy.RANDOM, 100, load, 5, 200_000)
    assert random_mean > 2.5 * mean and random_longest > simulate(Policy.POWER_OF_TWO, 100, load, 5)[1]


def test_round_robin_is_even_by_weight_in_every_turn():
    table, balancer = WeightedTable({"a": 5, "b": 1, "c": 1}), LoadBalancer(random.Random(1), Policy.ROUND_ROBIN)
    picks = [balancer.pick(0, table, ()) for _ in range(70)]
    assert Counter(picks) == {"a": 50, "b": 10, "c": 10}
    assert all(Counter(picks[k : k + 7])["a"] == 5 for k in range(0, 70, 7))


def test_a_failing_server_is_ejected_for_a_drawn_time_but_never_all_at_once():
    table, balancer = (
        WeightedTable({"a": 1, "b": 1}),
        LoadBalancer(random.Random(1), Policy.POWER_OF_TWO, ejection_failures=3),
    )
    for _ in range(3):
        balancer.request_started("a")
        balancer.request_ended(0, "a", False)
    assert {balancer.pick(1, table, ()) for _ in range(50)} == {"b"}
    assert 2 * SECOND <= balancer.ejected_until["a"] <= 6 * SECOND
    for _ in range(3):
        balancer.request_started("b")
        balancer.request_ended(0, "b", False)
    assert {balancer.pick(1, table, ()) for _ in range(50)} == {"a", "b"}
    assert "a" in {balancer.pick(7 * SECOND, table, ()) for _ in range(50)}


def test_withdrawn_and_attempted_servers_and_zero_weights_are_left_out():
    balancer = LoadBalancer(random.Random(1))
    assert (
        balancer.pick(0, WeightedTable({"a": 0, "b": 0}), ()) is None
        and balancer.pick(0, WeightedTable({}), ()) is None
    )
    assert {balancer.pick(0, WeightedTable({"a": 1, "b": 1, "c": 0}), ("a",)) for _ in range(20)} == {"b"}
    assert balancer.pick(0, WeightedTable({"a": 1, "b": 1}), ("a",), {"b"}) is None
    huge = WeightedTable({"a": 1e9, "b": 1e-9})
    assert balancer.pick(0, huge, ("a",)) == "b"


def test_a_success_of_a_request_sent_before_an_ejection_does_not_end_it():
    table, balancer = WeightedTable({"a": 1, "b": 1}), LoadBalancer(random.Random(1), ejection_failures=3)
    for _ in range(4):
        balancer.request_started("a")
    for _ in range(3):
        balancer.request_ended(10, "a", False, 9)
    balancer.request_ended(11, "a", True, 8)
    assert {balancer.pick(12, table, ()) for _ in range(50)} == {"b"}
    balancer.request_started("a")
    balancer.request_ended(14, "a", True, 13)
    assert {balancer.pick(15, table, ()) for _ in range(50)} == {"a", "b"}
