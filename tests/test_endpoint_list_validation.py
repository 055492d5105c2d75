"""Validation of the lists of sources: contradictions, empty lists, impossible values."""

from __future__ import annotations

from damsonpick.state.endpoint_list import validation
from damsonpick.state.endpoint_list.validation import EndpointList
from tests.helpers import SECOND, entry

NOW = 100 * SECOND


def listed(*numbers):
    return [entry(f"s{k}") for k in numbers]


def test_contradictory_entries_take_the_safer_state():
    result = EndpointList(("a",)).apply(NOW, [entry("x"), entry("x", "terminating"), entry("x"), entry("y")])
    assert {e.endpoint: e.state for e in result.event.entries} == {"x": "terminating", "y": "in_service"}
    assert "twice" in result.problems[0]


def test_an_empty_list_after_a_full_one_is_a_failed_source():
    endpoint_list = EndpointList(("a",))
    endpoint_list.apply(NOW, [entry("x")])
    result = endpoint_list.apply(NOW, [])
    assert result.event.kind == "unavailable" and "x" in endpoint_list.entries
    assert endpoint_list.apply(NOW, [entry("x", "terminating")]).event.kind == "replace"


def test_a_start_in_the_future_is_the_moment_it_was_first_seen():
    endpoint_list = EndpointList(("a",))
    first = endpoint_list.apply(NOW, [entry("x", started=NOW + 5 * SECOND)]).event.entries[0]
    again = endpoint_list.apply(NOW + SECOND, [entry("x", started=NOW + 5 * SECOND)])
    assert first.started == NOW and again.event is None, "the start time does not change with each list"


def test_odd_weight_state_and_zone_are_reported_and_replaced():
    result = EndpointList(("a",)).apply(NOW, [entry("x", "asleep", weight=-3.0, zone="mars")])
    assert result.event.entries[0] == entry("x", "terminating", zone="mars") and len(result.problems) == 3


# -- a list that omits a large part of the endpoints in service


def filled_list(count=10):
    endpoint_list = EndpointList(("a",))
    endpoint_list.apply(NOW, [entry(f"s{k}") for k in range(count)])
    return endpoint_list


def test_entries_missing_from_a_list_are_held_until_the_omission_is_confirmed():
    endpoint_list = filled_list()
    result = endpoint_list.apply(NOW, listed(0, 1, 2, 3))
    assert len(endpoint_list.entries) == 10 and result.event is None and "list accept" in result.problems[0]
    assert endpoint_list.recheck(NOW + validation.CONFIRM_NS - 1, lambda n: False).event is None
    confirmed = endpoint_list.recheck(NOW + validation.CONFIRM_NS, lambda n: False)
    assert len(confirmed.event.entries) == 4 and endpoint_list.recheck(NOW, lambda n: False) is None


def test_a_complete_list_resets_the_confirmation_time():
    endpoint_list = filled_list()
    endpoint_list.apply(NOW, listed(0, 1, 2, 3))
    endpoint_list.apply(NOW + SECOND, listed(*range(10)))
    endpoint_list.apply(NOW + validation.CONFIRM_NS, listed(0, 1, 2, 3))
    assert len(endpoint_list.entries) == 10, "the confirmation time starts again"


def test_failing_endpoints_are_removed_at_once_and_other_missing_ones_are_held():
    endpoint_list = filled_list()
    endpoint_list.apply(NOW, listed(0, 1, 2, 3))
    result = endpoint_list.recheck(NOW + SECOND, lambda n: n in ("s8", "s9"))
    assert {e.endpoint for e in result.event.entries} == {f"s{k}" for k in range(8)}


def test_an_operator_accepts_that_held_entries_are_removed():
    endpoint_list = filled_list()
    endpoint_list.apply(NOW, listed(0, 1, 2, 3))
    assert len(endpoint_list.accept(NOW, lambda n: False).event.entries) == 4
    assert endpoint_list.accept(NOW, lambda n: False) is None


def test_states_apply_to_any_number_of_entries_and_a_few_entries_may_be_missing():
    endpoint_list = filled_list()
    result = endpoint_list.apply(NOW, [entry(f"s{k}", "terminating" if k else "in_service") for k in range(10)])
    assert sum(e.state == "terminating" for e in result.event.entries) == 9
    endpoint_list = filled_list()
    assert len(endpoint_list.apply(NOW, listed(*range(4, 10))).event.entries) == 6, "four of ten may be missing at once"
    endpoint_list = filled_list(3)
    assert len(endpoint_list.apply(NOW, listed(0)).event.entries) == 1, (
        "two missing entries are below the minimum for holding them"
    )
