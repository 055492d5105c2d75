"""Queries of the control socket are routed by kind. Every request that cannot be understood gets an error reply."""

from __future__ import annotations

import pytest

from damsonpick.controller.control_requests import Query
from damsonpick.controller.control_socket import _answer_text
from damsonpick.controller.queries import QueryRouter, sasp_query, weights_query


def router():
    return QueryRouter({query: lambda request, query=query: {"answered": query.value} for query in Query})


@pytest.mark.parametrize("kind", ["status", "tables", "weights", "versions", "list", "sasp", "forget"])
def test_each_query_reaches_what_answers_it(kind):
    assert router().answer({"ask": kind}) == {"answered": kind}


@pytest.mark.parametrize("kind", [None, "", "STATUS", 7, ["status"], {"status": 1}])
def test_an_unknown_kind_is_answered_with_an_error_that_names_the_known_ones(kind):
    reply = router().answer({"ask": kind})
    assert list(reply) == ["error"] and f"unknown question {kind!r}" in reply["error"]
    assert all(query.value in reply["error"] for query in Query)


@pytest.mark.parametrize("text", [b"", b"{", b"[]", b'"status"', b"7", b"\xff"])
def test_bytes_that_are_no_request_get_an_error(text):
    reply = _answer_text(router().answer, text)
    assert list(reply) == ["error"] and reply["error"].startswith("bad request: ")


@pytest.mark.parametrize(
    "error", [ValueError("slice 9: does not exist; there are 6 slices, numbered from 0"), KeyError("version")]
)
def test_a_request_that_cannot_be_carried_out_says_why(error):
    def refuse(request):
        raise error

    assert str(error) in _answer_text(refuse, b"{}")["error"]


def test_what_a_pilot_does_not_run_is_named_with_its_setting():
    assert "[sasp] listen" in sasp_query(None)({})["error"]
    assert "[solver]" in weights_query(None, solver_enabled=False)({})["error"]
