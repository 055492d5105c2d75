"""The retry policy: proof of execution, published conditions, budget."""

from __future__ import annotations

import pytest

from damsonpick.proxy.retry_policy import Execution, PublishedRetries, RetryBudget, allows_retry

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
    assert not allows_retry(execution, published, 2, effect, **known), "no more than published"
    assert not allows_retry(execution, published, 1, effect, replayable=False, left_ns=SECOND)
    assert not allows_retry(execution, published, 1, effect, replayable=True, left_ns=0)


def test_the_budget_bounds_retries():
    budget, made = RetryBudget(), 0
    for _ in range(1000):
        budget.earn()
        made += budget.spend()
    assert 200 <= made <= 211
