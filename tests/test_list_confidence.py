"""Confidence in the entries of a cached endpoint list, without sockets."""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.state.learned import list_confidence
from damsonpick.state.learned.list_confidence import (
    FRESH_AGE_NS,
    MAX_AGE_NS,
    EntryConfidence,
    EntryTimes,
    ListConfidence,
)
from tests.helpers import SECOND, SimulatedFleet

NOW = 10**18
WEEK = 7 * 86_400 * SECOND


def report(name, attempts, successes):
    return api.EndpointReport("a", name, attempts, attempts - successes, 1, SECOND, ())


def restored_with_ages(**ages):
    """Return the confidence in a restored list. `ages` are the times since the last confirmation, ns by endpoint."""
    confidence = ListConfidence()
    confidence.restore(NOW, {n: EntryTimes(NOW - age, 0) for n, age in ages.items()})
    return confidence


def test_confidence_depends_on_the_age_of_an_entry():
    confidence = restored_with_ages(fresh=FRESH_AGE_NS, old=FRESH_AGE_NS + 1, stale=MAX_AGE_NS + 1)
    assert not confidence.changes(NOW + list_confidence.SOURCE_GRACE_NS - 1), "a source still has time to respond"
    assert confidence.confidences(NOW) == {"fresh": 1.0, "old": EntryConfidence.REDUCED.value, "stale": 0.0}


def test_success_restores_confidence_and_only_failures_eject():
    confidence = restored_with_ages(p=WEEK, q=WEEK, r=WEEK)
    confidence.apply_reports(NOW, [report("p", 1, 1), report("q", 9, 0), report("r", 3, 0)])
    assert confidence.confidences(NOW)["p"] == 1.0 and confidence.confidences(NOW)["q"] == 0.0
    assert confidence.entries["r"].ejections == 0, "too few attempts for an ejection"
    confidence.apply_reports(NOW, [report("p", 9, 0)])
    assert confidence.confidences(NOW)["p"] == 0.0, "an endpoint that has responded before is ejected too"
    confidence.apply_reports(NOW, [report("p", 9, 1)])
    assert confidence.confidences(NOW)["p"] == 1.0


def test_stale_entries_are_on_trial_one_at_a_time_and_ejected_ones_twice_more():
    confidence = restored_with_ages(good=WEEK, s1=WEEK, s2=WEEK)
    assert set(confidence.confidences(NOW).values()) == {0.0}, "no trial before another endpoint has responded"
    confidence.apply_reports(NOW, [report("good", 5, 5)])
    now, trials = NOW, {"s1": 0, "s2": 0}
    for _ in range(400):
        now += SECOND
        levels = confidence.confidences(now)
        on_trial = [n for n, level in levels.items() if level == EntryConfidence.ON_TRIAL.value]
        assert len(on_trial) <= 1
        for name in on_trial:
            trials[name] += 1
            confidence.apply_reports(now, [report(name, 5, 0)])
    assert trials == {"s1": list_confidence.MAX_RETRIALS + 1, "s2": list_confidence.MAX_RETRIALS + 1}


def test_a_source_restores_full_confidence_and_its_later_failure_does_not_lower_it():
    confidence = restored_with_ages(p=WEEK, q=0)
    assert [e for e in confidence.changes(NOW + 2 * SECOND)] == [api.EndpointConfidenceChanged("p", 0.0)]
    confidence.confirm(NOW, ["p", "q", "new"])
    assert confidence.changes(NOW + 3 * SECOND) == [api.EndpointConfidenceChanged("p", 1.0)]
    assert set(confidence.confidences(NOW + WEEK).values()) == {1.0}


def test_a_restarted_planner_receives_the_published_confidences_again():
    confidence = restored_with_ages(p=WEEK, q=0)
    confidence.changes(NOW + 2 * SECOND)
    assert confidence.published_events() == [api.EndpointConfidenceChanged("p", 0.0)]


def test_planner_uses_last_resorts_only_where_there_is_no_other():
    world = SimulatedFleet("pqrs", slices=12)
    world.handle(api.EndpointConfidenceChanged("p", 0.0))
    world.run(3)
    assert world.count("p") == 0 and not world.has_slice_without_endpoint()
    world.handle(*[api.EndpointConfidenceChanged(n, 0.0) for n in "qrs"])
    world.run(3)
    assert not world.has_slice_without_endpoint(), "entries of last resort are used if there is no other"
    world.handle(*[api.EndpointConfidenceChanged(n, 1.0) for n in "pqrs"])
    world.run(30)
    assert world.count("p") > 0


def test_an_old_entry_gets_a_smaller_share():
    world = SimulatedFleet("pqrs", slices=40)
    world.handle(api.EndpointConfidenceChanged("p", EntryConfidence.REDUCED.value))
    world.run(60)
    assert world.slice_share("p") < 0.8 * min(world.slice_share(n) for n in "qrs")
