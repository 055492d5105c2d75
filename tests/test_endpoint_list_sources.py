"""Several list sources, without sockets: which one is active, what the others add, how often one is called."""

from __future__ import annotations

import random

import pytest

from damsonpick.runtime.backoff import Backoff
from damsonpick.state.endpoint_list.sources import (
    FIRST_LIST_TIMEOUT_NS,
    STABLE_TIME_NS,
    UNREACHABLE_TIMEOUT_NS,
    CallBudget,
    Sources,
)
from tests.helpers import SECOND, entry

NOW = 10**18


def some(*numbers):
    return [entry(f"s{k}") for k in numbers]


def test_the_best_source_that_answers_is_believed_and_a_blip_changes_nothing():
    made = Sources(("main", "spare"), NOW)
    made.received(NOW, "spare", some(1))
    assert made.merged(NOW)[0] is None, "the better one has a moment"
    assert made.merged(NOW + FIRST_LIST_TIMEOUT_NS)[0] == some(1)
    made.received(NOW + FIRST_LIST_TIMEOUT_NS, "main", some(1, 2))
    assert made.merged(NOW + FIRST_LIST_TIMEOUT_NS)[0] == some(1), "it must be steady first"
    now = NOW + FIRST_LIST_TIMEOUT_NS + STABLE_TIME_NS
    assert made.merged(now)[0] == some(1, 2) and made.active == "main"
    made.failed(now, "main", "broke")
    assert made.choose(now + UNREACHABLE_TIMEOUT_NS - 1) == "main"
    assert made.choose(now + UNREACHABLE_TIMEOUT_NS) == "spare"
    assert [v["up"] for v in made.view(now)] == [False, True]


def test_a_flapping_source_is_not_believed_anew_each_time():
    made = Sources(("main", "spare"), NOW)
    made.received(NOW, "main", some(1, 2))
    made.received(NOW, "spare", some(1))
    made.merged(NOW)
    now, switches, last = NOW, 0, "main"
    made.failed(now, "main", "broke")
    for k in range(200):
        now += SECOND // 2
        if k % 2:
            made.received(now, "main", some(1, 2))
        else:
            made.failed(now, "main", "broke")
        switches += made.choose(now) != last
        last = made.choose(now)
    assert switches <= 1


def test_a_single_source_that_fails_keeps_its_last_list():
    made = Sources(("main",), NOW)
    made.received(NOW, "main", some(1))
    made.failed(NOW, "main", "broke")
    assert made.merged(NOW + UNREACHABLE_TIMEOUT_NS)[0] == some(1)


def test_a_drain_that_any_live_source_tells_of_binds_and_strangers_stay_out():
    made = Sources(("main", "spare"), NOW)
    made.received(NOW, "main", some(1, 2))
    made.received(NOW, "spare", [entry("s1", "terminating"), entry("s2", "terminating", started=5), entry("s9")])
    entries, doubts = made.merged(NOW)
    assert {e.endpoint: e.state for e in entries} == {"s1": "terminating", "s2": "in_service"}
    assert len(doubts) == 2 and "s9" in doubts[1]
    made.failed(NOW, "spare", "broke")
    assert made.merged(NOW)[0] == some(1, 2), "one that is down binds nothing"


def test_a_source_that_hangs_up_at_once_is_called_within_its_budget():
    budget, now, calls = CallBudget(20, 60 * SECOND), NOW, []
    rng = random.Random(1)
    backoff = Backoff(rng)
    while now < NOW + 600 * SECOND:
        now += budget.wait(now)
        budget.spend(now)
        calls.append(now)
        backoff.reset()
        now += int(backoff.next_delay_s() * SECOND)
    assert len(calls) <= 20 * 11
    assert all(b - a >= 60 * SECOND for a, b in zip(calls, calls[20:], strict=False))


@pytest.mark.parametrize("pilots", [50, 200])
def test_no_crowd_falls_upon_a_source_that_came_back(pilots):
    """Each pilot lost it at the same moment and dials on its own; it is back after 60 s."""
    arrivals = []
    for k in range(pilots):
        backoff, now = Backoff(random.Random(k)), 0.0
        while now < 60:
            now += backoff.next_delay_s()
        arrivals.append(now - 60)
    most = max(sum(t <= a < t + 0.25 for a in arrivals) for t in (k / 4 for k in range(24)))
    assert most < pilots * 0.2, "no quarter of a second sees a fifth of them"
