"""Kept lists, doubtful lists and several sources: whom to believe, without sockets."""

from __future__ import annotations

import random

import pytest

from damsonpick import interface as api
from damsonpick.runtime.backoff import Backoff
from damsonpick.state.endpoint_list import validation
from damsonpick.state.endpoint_list.sources import FIRST_ANSWER_NS, SILENCE_NS, STEADY_NS, CallBudget, Sources
from damsonpick.state.endpoint_list.validation import EndpointList
from damsonpick.state.learned import list_confidence, restore
from damsonpick.state.learned.list_confidence import (
    FRESH_AGE_NS,
    MAX_AGE_NS,
    EntryConfidence,
    EntryTimes,
    ListConfidence,
)
from damsonpick.state.learned.snapshot import HostTime, LearnedEndpoint, LearnedFleet, Snapshot
from damsonpick.state.store.sqlite import ListedAt
from tests.helpers import SECOND, World, entry

NOW = 10**18
WEEK = 7 * 86_400 * SECOND


def report(name, tries, good):
    return api.EndpointReport("a", name, tries, tries - good, 1, SECOND, ())


def started(**ages):
    """Trust in entries that were last spoken for so long ago."""
    made = ListConfidence()
    made.restore(NOW, {n: EntryTimes(NOW - age, 0) for n, age in ages.items()})
    return made


# -- trust


def test_trust_goes_by_age():
    made = started(fresh=FRESH_AGE_NS, old=FRESH_AGE_NS + 1, stale=MAX_AGE_NS + 1)
    assert not made.changes(NOW + list_confidence.SOURCE_GRACE_NS - 1), "a source has a moment to answer"
    assert made.confidences(NOW) == {"fresh": 1.0, "old": EntryConfidence.REDUCED.value, "stale": 0.0}


def test_a_good_answer_ends_doubt_and_failures_alone_refuse():
    made = started(p=WEEK, q=WEEK, r=WEEK)
    made.apply_reports(NOW, [report("p", 1, 1), report("q", 9, 0), report("r", 3, 0)])
    assert made.confidences(NOW)["p"] == 1.0 and made.confidences(NOW)["q"] == 0.0
    assert made.entries["r"].ejections == 0, "too few tries to judge"
    made.apply_reports(NOW, [report("p", 9, 0)])
    assert made.confidences(NOW)["p"] == 0.0, "also one that answered before"
    made.apply_reports(NOW, [report("p", 9, 1)])
    assert made.confidences(NOW)["p"] == 1.0


def test_stale_entries_are_tried_one_at_a_time_and_refused_ones_twice_and_then_no_more():
    made = started(good=WEEK, s1=WEEK, s2=WEEK)
    assert set(made.confidences(NOW).values()) == {0.0}, "no trial before one is known to answer"
    made.apply_reports(NOW, [report("good", 5, 5)])
    now, trials = NOW, {"s1": 0, "s2": 0}
    for _ in range(400):
        now += SECOND
        levels = made.confidences(now)
        on = [n for n, level in levels.items() if level == EntryConfidence.ON_TRIAL.value]
        assert len(on) <= 1
        for name in on:
            trials[name] += 1
            made.apply_reports(now, [report(name, 5, 0)])
    assert trials == {"s1": list_confidence.MAX_RETRIALS + 1, "s2": list_confidence.MAX_RETRIALS + 1}


def test_a_source_ends_all_doubt_and_silence_under_a_running_pilot_starts_none():
    made = started(p=WEEK, q=0)
    assert [e for e in made.changes(NOW + 2 * SECOND)] == [api.EndpointConfidenceChanged("p", 0.0)]
    made.confirm(NOW, ["p", "q", "new"])
    assert made.changes(NOW + 3 * SECOND) == [api.EndpointConfidenceChanged("p", 1.0)]
    assert set(made.confidences(NOW + WEEK).values()) == {1.0}


def test_a_planner_started_over_is_told_again():
    made = started(p=WEEK, q=0)
    made.changes(NOW + 2 * SECOND)
    assert made.published_events() == [api.EndpointConfidenceChanged("p", 0.0)]


def test_kept_ages_survive_a_clock_that_was_set():
    """The former life wrote at clock 500 s that it had an answer 20 s before; 30 s passed; the clock now says 9,000."""
    second = SECOND
    kept = Snapshot(
        1,
        "p",
        HostTime(0, "", 0),
        500 * second,
        490 * second,
        ("a",),
        1,
        (LearnedEndpoint("p", 0, 1.0, 480 * second), LearnedEndpoint("q", 7, 1.0, 480 * second)),
        (),
        LearnedFleet(0.0, 0.0),
    )
    listed = {"p": entry("p"), "q": entry("q", started=9), "r": entry("r")}
    at = {"p": ListedAt(100 * second, "list"), "q": ListedAt(100 * second, "list"), "r": ListedAt(50 * second, "list")}
    found = restore.entry_times(kept, 9000 * second, 30 * second, listed, at)
    assert found["p"] == EntryTimes(8960 * second, 8950 * second)
    assert found["q"] == EntryTimes(8960 * second, 0), "its process is another one now"
    assert found["r"] == EntryTimes(50 * second, 0), "held though no source names it: its own time"
    assert restore.entry_times(None, 9000 * second, None, listed, at)["p"] == EntryTimes(100 * second, 0)
    future = restore.entry_times(None, 10 * second, None, listed, at)
    assert future["p"].confirmed_at == 10 * second, "a clock set back makes nothing younger than now"


def test_the_module_leaves_last_resorts_alone_while_others_are_there_and_uses_them_where_none_is():
    world = World("pqrs", slices=12)
    world.tell(api.EndpointConfidenceChanged("p", 0.0))
    world.run(3)
    assert world.count("p") == 0 and not world.bare()
    world.tell(*[api.EndpointConfidenceChanged(n, 0.0) for n in "qrs"])
    world.run(3)
    assert not world.bare(), "better than none"
    world.tell(*[api.EndpointConfidenceChanged(n, 1.0) for n in "pqrs"])
    world.run(30)
    assert world.count("p") > 0


def test_a_smaller_share_for_an_old_entry():
    world = World("pqrs", slices=40)
    world.tell(api.EndpointConfidenceChanged("p", EntryConfidence.REDUCED.value))
    world.run(60)
    assert world.heat("p") < 0.8 * min(world.heat(n) for n in "qrs")


# -- a list from which much vanished


def endpoint_list(count=10):
    made = EndpointList(("a",))
    made.apply(NOW, [entry(f"s{k}") for k in range(count)])
    return made


def some(*numbers):
    return [entry(f"s{k}") for k in numbers]


def test_a_list_that_returns_half_empty_is_held_until_it_has_said_so_for_a_while():
    made = endpoint_list()
    verdict = made.apply(NOW, some(0, 1, 2, 3))
    assert len(made.entries) == 10 and verdict.event is None and "list accept" in verdict.problems[0]
    assert made.recheck(NOW + validation.CONFIRM_NS - 1, lambda n: False).event is None
    gone = made.recheck(NOW + validation.CONFIRM_NS, lambda n: False)
    assert len(gone.event.entries) == 4 and made.recheck(NOW, lambda n: False) is None


def test_a_list_that_is_whole_again_ends_the_doubt():
    made = endpoint_list()
    made.apply(NOW, some(0, 1, 2, 3))
    made.apply(NOW + SECOND, some(*range(10)))
    made.apply(NOW + validation.CONFIRM_NS, some(0, 1, 2, 3))
    assert len(made.entries) == 10, "the clock starts again"


def test_what_fails_goes_at_once_and_the_rest_is_held():
    made = endpoint_list()
    made.apply(NOW, some(0, 1, 2, 3))
    verdict = made.recheck(NOW + SECOND, lambda n: n in ("s8", "s9"))
    assert {e.endpoint for e in verdict.event.entries} == {f"s{k}" for k in range(8)}


def test_an_operator_lets_them_go():
    made = endpoint_list()
    made.apply(NOW, some(0, 1, 2, 3))
    assert len(made.accept(NOW, lambda n: False).event.entries) == 4
    assert made.accept(NOW, lambda n: False) is None


def test_states_that_are_stated_bind_however_many_and_a_few_may_vanish():
    made = endpoint_list()
    verdict = made.apply(NOW, [entry(f"s{k}", "terminating" if k else "in_service") for k in range(10)])
    assert sum(e.state == "terminating" for e in verdict.event.entries) == 9
    made = endpoint_list()
    assert len(made.apply(NOW, some(*range(4, 10))).event.entries) == 6, "four of ten: as told"
    made = endpoint_list(3)
    assert len(made.apply(NOW, some(0)).event.entries) == 1, "two are too few to be a sign"


# -- several sources


def test_the_best_source_that_answers_is_believed_and_a_blip_changes_nothing():
    made = Sources(("main", "spare"), NOW)
    made.received(NOW, "spare", some(1))
    assert made.merged(NOW)[0] is None, "the better one has a moment"
    assert made.merged(NOW + FIRST_ANSWER_NS)[0] == some(1)
    made.received(NOW + FIRST_ANSWER_NS, "main", some(1, 2))
    assert made.merged(NOW + FIRST_ANSWER_NS)[0] == some(1), "it must be steady first"
    now = NOW + FIRST_ANSWER_NS + STEADY_NS
    assert made.merged(now)[0] == some(1, 2) and made.active == "main"
    made.failed(now, "main", "broke")
    assert made.choose(now + SILENCE_NS - 1) == "main"
    assert made.choose(now + SILENCE_NS) == "spare"
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
    assert made.merged(NOW + SILENCE_NS)[0] == some(1)


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
        backoff.succeeded()
        now += int(backoff.failed() * SECOND)
    assert len(calls) <= 20 * 11
    assert all(b - a >= 60 * SECOND for a, b in zip(calls, calls[20:], strict=False))


@pytest.mark.parametrize("pilots", [50, 200])
def test_no_crowd_falls_upon_a_source_that_came_back(pilots):
    """Each pilot lost it at the same moment and dials on its own; it is back after 60 s."""
    arrivals = []
    for k in range(pilots):
        backoff, now = Backoff(random.Random(k)), 0.0
        while now < 60:
            now += backoff.failed()
        arrivals.append(now - 60)
    most = max(sum(t <= a < t + 0.25 for a in arrivals) for t in (k / 4 for k in range(24)))
    assert most < pilots * 0.2, "no quarter of a second sees a fifth of them"
