"""Decides whether a failed attempt may be retried. Sans I/O.

The decision depends on what the attempt proves. A non-idempotent request is retried only if it is proved that the
attempt was not executed. The proof is that nothing was sent, or that the server explicitly rejected the request. A
missing response or a broken connection proves nothing. The control service publishes conditions and number of retries
by class. A retry budget limits the retries, so that they do not add load to a failing fleet.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

ON_CONNECT_FAILURE, ON_ANY_FAILURE = "connect-failure", "5xx"  # names of retry conditions in xDS routes
NON_IDEMPOTENT = "non_idempotent"
RETRIES_PER_REQUEST = 0.2  # retries that each admitted request adds to the budget
MAX_SAVED_RETRIES = 10.0  # largest balance of the budget


class Execution(Enum):
    """What is known about the execution of an attempt that brought no successful response."""

    NOT_SENT = "not sent"  # no byte of the request was sent, for example because no connection was available
    REJECTED = "rejected"  # the server responded that it did not begin to execute the request
    EXECUTED = "executed"  # the server responded with an error
    UNKNOWN = "unknown"  # sending began and no complete, valid response arrived, so the request may have been executed

    @property
    def certainly_not_executed(self) -> bool:
        """Return whether the request was certainly not executed."""
        return self in (Execution.NOT_SENT, Execution.REJECTED)


class RetryBudget:
    """Budget of the retries that this proxy may make. Admitted requests add to it."""

    def __init__(self, per_request: float = RETRIES_PER_REQUEST, limit: float = MAX_SAVED_RETRIES) -> None:
        """Create a full budget.

        Args:
            per_request: Retries that one admitted request adds.
            limit: Largest balance of the budget, which is also the initial balance.
        """
        self.per_request = per_request
        self.limit = limit
        self.saved = limit

    def earn(self) -> None:
        """Credit the budget for one admitted request, up to the largest balance."""
        self.saved = min(self.limit, self.saved + self.per_request)

    def spend(self) -> bool:
        """Take one retry from the budget. Return False if the budget is exhausted."""
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


class PublishedRetries(NamedTuple):
    """Retry conditions and maximum number of retries that the control service publishes for a class."""

    conditions: str
    limit: int


def allows_retry(
    execution: Execution, published: PublishedRetries, attempts: int, effect: str, *, replayable: bool, left_ns: int
) -> bool:
    """Return whether another attempt is allowed. The caller checks the budget afterwards.

    Args:
        execution: What the last attempt proved about its execution.
        published: Published retry conditions and number of retries.
        attempts: Number of attempts made so far.
        effect: 'read_like', 'idempotency_key' or 'non_idempotent'.
        replayable: Whether the complete body can be sent again.
        left_ns: Time in ns until the request's deadline.
    """
    if attempts > published.limit or not replayable or left_ns <= 0:
        return False
    if execution.certainly_not_executed:
        return ON_CONNECT_FAILURE in published.conditions
    if effect == NON_IDEMPOTENT:
        return False
    return ON_ANY_FAILURE in published.conditions
