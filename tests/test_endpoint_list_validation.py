"""Lists from sources made consistent: contradictions, empty lists, impossible figures."""

from __future__ import annotations

from damsonpick.state.endpoint_list import validation
from damsonpick.state.endpoint_list.validation import EndpointList
from tests.helpers import SECOND, entry

NOW = 100 * SECOND


def some(*numbers):
    return [entry(f"s{k}") for k in numbers]


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


# -- a list that omits a large part of the endpoints in service


def filled_list(count=10):
    made = EndpointList(("a",))
    made.apply(NOW, [entry(f"s{k}") for k in range(count)])
    return made


def test_a_list_that_returns_half_empty_is_held_until_it_has_said_so_for_a_while():
    made = filled_list()
    verdict = made.apply(NOW, some(0, 1, 2, 3))
    assert len(made.entries) == 10 and verdict.event is None and "list accept" in verdict.problems[0]
    assert made.recheck(NOW + validation.CONFIRM_NS - 1, lambda n: False).event is None
    gone = made.recheck(NOW + validation.CONFIRM_NS, lambda n: False)
    assert len(gone.event.entries) == 4 and made.recheck(NOW, lambda n: False) is None


def test_a_list_that_is_whole_again_ends_the_doubt():
    made = filled_list()
    made.apply(NOW, some(0, 1, 2, 3))
    made.apply(NOW + SECOND, some(*range(10)))
    made.apply(NOW + validation.CONFIRM_NS, some(0, 1, 2, 3))
    assert len(made.entries) == 10, "the clock starts again"


def test_what_fails_goes_at_once_and_the_rest_is_held():
    made = filled_list()
    made.apply(NOW, some(0, 1, 2, 3))
    verdict = made.recheck(NOW + SECOND, lambda n: n in ("s8", "s9"))
    assert {e.endpoint for e in verdict.event.entries} == {f"s{k}" for k in range(8)}


def test_an_operator_lets_them_go():
    made = filled_list()
    made.apply(NOW, some(0, 1, 2, 3))
    assert len(made.accept(NOW, lambda n: False).event.entries) == 4
    assert made.accept(NOW, lambda n: False) is None


def test_states_that_are_stated_bind_however_many_and_a_few_may_vanish():
    made = filled_list()
    verdict = made.apply(NOW, [entry(f"s{k}", "terminating" if k else "in_service") for k in range(10)])
    assert sum(e.state == "terminating" for e in verdict.event.entries) == 9
    made = filled_list()
    assert len(made.apply(NOW, some(*range(4, 10))).event.entries) == 6, "four of ten: as told"
    made = filled_list(3)
    assert len(made.apply(NOW, some(0)).event.entries) == 1, "two are too few to be a sign"
