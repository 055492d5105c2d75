"""Lists from sources made consistent: contradictions, empty lists, impossible figures."""

from __future__ import annotations

from damsonpick.state.endpoint_list.validation import EndpointList
from tests.helpers import SECOND, entry

NOW = 100 * SECOND


def test_contradictory_entries_take_the_safer_state():
    verdict = EndpointList(("a",)).apply(NOW, [entry("x"), entry("x", "terminating"), entry("x"), entry("y")])
    assert {e.endpoint: e.state for e in verdict.event.entries} == {"x": "terminating", "y": "in_service"}
    assert "twice" in verdict.problems[0]


def test_an_empty_list_after_a_full_one_is_a_failed_source():
    endpoint_list = EndpointList(("a",))
    endpoint_list.apply(NOW, [entry("x")])
    verdict = endpoint_list.apply(NOW, [])
    assert verdict.event.kind == "unavailable" and "x" in endpoint_list.entries
    assert endpoint_list.apply(NOW, [entry("x", "terminating")]).event.kind == "replace"


def test_a_start_in_the_future_is_the_moment_it_was_first_seen():
    endpoint_list = EndpointList(("a",))
    first = endpoint_list.apply(NOW, [entry("x", started=NOW + 5 * SECOND)]).event.entries[0]
    again = endpoint_list.apply(NOW + SECOND, [entry("x", started=NOW + 5 * SECOND)])
    assert first.started == NOW and again.event is None, "and it does not start anew with each list"


def test_odd_weight_state_and_zone_are_reported_and_replaced():
    verdict = EndpointList(("a",)).apply(NOW, [entry("x", "asleep", weight=-3.0, zone="mars")])
    assert verdict.event.entries[0] == entry("x", "terminating", zone="mars") and len(verdict.problems) == 3
