"""Several list sources without sockets: selection of the active one, merging of lists, and the call budget."""

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


def listed(*numbers):
    return [entry(f"s{k}") for k in numbers]


def test_the_preferred_reachable_source_is_active_and_a_short_outage_changes_nothing():
    sources = Sources(("main", "spare"), NOW)
    sources.received(NOW, "spare", listed(1))
    assert sources.merged(NOW)[0] is None, "the preferred source still has time to respond"
    assert sources.merged(NOW + FIRST_LIST_TIMEOUT_NS)[0] == listed(1)
    sources.received(NOW + FIRST_LIST_TIMEOUT_NS, "main", listed(1, 2))
    assert sources.merged(NOW + FIRST_LIST_TIMEOUT_NS)[0] == listed(1), (
        "the preferred source must be reachable for some time first"
    )
    now = NOW + FIRST_LIST_TIMEOUT_NS + STABLE_TIME_NS
    assert sources.merged(now)[0] == listed(1, 2) and sources.active == "main"
    sources.failed(now, "main", "broke")
    assert sources.choose(now + UNREACHABLE_TIMEOUT_NS - 1) == "main"
    assert sources.choose(now + UNREACHABLE_TIMEOUT_NS) == "spare"
    assert [v["up"] for v in sources.view(now)] == [False, True]


def test_a_flapping_source_is_not_selected_again_each_time():
    sources = Sources(("main", "spare"), NOW)
    sources.received(NOW, "main", listed(1, 2))
    sources.received(NOW, "spare", listed(1))
    sources.merged(NOW)
    now, switches, last = NOW, 0, "main"
    sources.failed(now, "main", "broke")
    for k in range(200):
        now += SECOND // 2
        if k % 2:
            sources.received(now, "main", listed(1, 2))
        else:
            sources.failed(now, "main", "broke")
        switches += sources.choose(now) != last
        last = sources.choose(now)
    assert switches <= 1


def test_a_single_source_that_fails_keeps_its_last_list():
    sources = Sources(("main",), NOW)
    sources.received(NOW, "main", listed(1))
    sources.failed(NOW, "main", "broke")
    assert sources.merged(NOW + UNREACHABLE_TIMEOUT_NS)[0] == listed(1)


def test_drains_of_any_reachable_source_apply_and_endpoints_of_other_sources_are_ignored():
    sources = Sources(("main", "spare"), NOW)
    sources.received(NOW, "main", listed(1, 2))
    sources.received(NOW, "spare", [entry("s1", "terminating"), entry("s2", "terminating", started=5), entry("s9")])
    entries, disputes = sources.merged(NOW)
    assert {e.endpoint: e.state for e in entries} == {"s1": "terminating", "s2": "in_service"}
    assert len(disputes) == 2 and "s9" in disputes[1]
    sources.failed(NOW, "spare", "broke")
    assert sources.merged(NOW)[0] == listed(1, 2), "states of an unreachable source do not apply"


def test_a_source_that_hangs_up_at_once_is_called_within_its_budget():
    budget, now, calls = CallBudget(20, 60 * SECOND), NOW, []
    rng = random.Random(1)
    backoff = Backoff(rng)
    while now < NOW + 600 * SECOND:
        now += budget.wait(now)
        budget.record_call(now)
        calls.append(now)
        backoff.reset()
        now += int(backoff.next_delay_s() * SECOND)
    assert len(calls) <= 20 * 11
    assert all(b - a >= 60 * SECOND for a, b in zip(calls, calls[20:], strict=False))


@pytest.mark.parametrize("pilots", [50, 200])
def test_pilots_do_not_reconnect_all_at_once_to_a_source_that_is_reachable_again(pilots):
    """Pilots that lost a source at the same time must not all reconnect at once.

    Each pilot retries with its own backoff; the source is reachable again after 60 s.
    """
    connected_at = []
    for k in range(pilots):
        backoff, now = Backoff(random.Random(k)), 0.0
        while now < 60:
            now += backoff.next_delay_s()
        connected_at.append(now - 60)
    highest = max(sum(t <= a < t + 0.25 for a in connected_at) for t in (k / 4 for k in range(24)))
    assert highest < pilots * 0.2, "a fifth of the pilots connected within a quarter of a second"
