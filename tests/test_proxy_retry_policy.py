"""Tests of the retry policy: proof of execution, published conditions and the retry budget."""

from __future__ import annotations

import random

import pytest

from damsonpick import interface as api
from damsonpick.protocols.xds.route_builder import RouteBuilder
from damsonpick.proxy.received_resources import parse_routes
from damsonpick.proxy.retry_policy import Execution, PublishedRetries, RetryBudget, allows_retry
from damsonpick.proxy.router import Router
from damsonpick.proxy.settings import ProxySection, ProxySettings, RequestClass
from damsonpick.settings import load
from damsonpick.state.published_tables import PublishedTables
from tests.pilots import SETTINGS

SECOND = 1_000_000_000


@pytest.mark.parametrize(
    ("execution", "effect", "conditions", "allowed"),
    [
        (Execution.NOT_SENT, "non_idempotent", "connect-failure,refused-stream", True),
        (Execution.REJECTED, "non_idempotent", "connect-failure,refused-stream", True),
        (Execution.UNKNOWN, "non_idempotent", "connect-failure,refused-stream,5xx,reset", False),
        (Execution.EXECUTED, "non_idempotent", "connect-failure,refused-stream,5xx,reset", False),
        (Execution.UNKNOWN, "read_like", "connect-failure,refused-stream", False),
        (Execution.UNKNOWN, "read_like", "connect-failure,refused-stream,5xx,reset", True),
        (Execution.EXECUTED, "idempotency_key", "connect-failure,refused-stream,5xx,reset", True),
        (Execution.NOT_SENT, "read_like", "", False),
    ],
)
def test_a_retry_needs_published_conditions_and_proof(execution, effect, conditions, allowed):
    published = PublishedRetries(conditions, 1)
    known = {"replayable": True, "left_ns": SECOND}
    assert allows_retry(execution, published, 1, effect, **known) is allowed
    assert not allows_retry(execution, published, 2, effect, **known), "no more retries than published"
    assert not allows_retry(execution, published, 1, effect, replayable=False, left_ns=SECOND)
    assert not allows_retry(execution, published, 1, effect, replayable=True, left_ns=0)


def test_the_budget_bounds_retries():
    budget, retries = RetryBudget(), 0
    for _ in range(1000):
        budget.earn()
        retries += budget.spend()
    assert 200 <= retries <= 211


@pytest.mark.parametrize("try_aims", [1.2, 0.5, 2.0])
def test_an_attempt_takes_the_time_that_the_control_service_publishes(try_aims, tmp_path):
    """Guards against a fixed attempt timeout of 1.2 latency objectives that ignored `try_aims`."""
    file = tmp_path / "pilot.ini"
    file.write_text(SETTINGS.format(slices=2, rate=0).replace("slices = 2", f"slices = 2\ntry_aims = {try_aims}"))
    settings = load(file)
    published = PublishedTables(tuple(settings.classes), 2)
    published.apply([api.SetAdmission(None, (0, 1), 1.0, 2)])
    body = RouteBuilder(published, settings).build().SerializeToString()
    classes = {"page": RequestClass(deadline=4 * SECOND, aim=SECOND // 2)}
    router = Router(ProxySettings(proxy=ProxySection(name="p", zone="a", slices=2), classes=classes), random.Random(1))
    router.received_state.retries, _, router.received_state.attempt_timeouts = parse_routes(body)
    request = router.classify(0, "page", "k", "c", "slice/1", None)
    page_objective_s = settings.classes["page"].latency_objective / SECOND
    assert router.attempt_timeout(request, 0) / SECOND == pytest.approx(try_aims * page_objective_s)
    # The route of these retries has no timeout.
    router.received_state.retries = {("page", "slice/1"): PublishedRetries("5xx", 1)}
    assert router.attempt_timeout(request, 0) / SECOND == pytest.approx(1.2 * 0.5), (
        "no timeout is published, so the default applies"
    )
