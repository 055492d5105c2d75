"""Whether a request is tried again. Sans I/O.

What an attempt proves decides. A request of a class that must never run twice goes out again only on proof that
the attempt did not run; an orderly 'no' from a server is such proof, silence or a broken connection is none, whatever
closed when. Retries are told by the pilot (conditions and number by class) and paid from a budget, so a
failing fleet is not hit harder.
"""

from __future__ import annotations

from enum import Enum

NEVER_RAN, ANY_FAILURE = "connect-failure", "5xx"  # conditions as the routes name them
BUDGET_SHARE, BUDGET_LEAST = 0.2, 10.0  # further tries for each request; the most saved up


class Proof(Enum):
    """What is known of an attempt that did not bring a good answer."""

    NOT_SENT = "not sent"  # no byte of the request left: no connection, or none free
    REFUSED = "refused"  # the server answered that it did not begin
    RAN = "ran"  # it answered, badly: it ran
    UNKNOWN = "unknown"  # head sent, no answer: it may have run

    @property
    def never_ran(self) -> bool:
        return self in (Proof.NOT_SENT, Proof.REFUSED)


class Budget:
    """Further tries that this proxy may make, earned by first ones."""

    def __init__(self, share: float = BUDGET_SHARE, most: float = BUDGET_LEAST) -> None:
        self.share, self.most, self.saved = share, most, most

    def request(self) -> None:
        self.saved = min(self.most, self.saved + self.share)

    def take(self) -> bool:
        if self.saved < 1:
            return False
        self.saved -= 1
        return True


def may(proof: Proof, conditions: str, most: int, tries: int, effect: str, *, replayable: bool, left: int) -> bool:
    """Whether another try is right, before the budget is asked.

    Args:
        proof: what the last attempt proved.
        conditions, most: what the pilot told: when, and how many further tries.
        tries: attempts made so far.
        effect: 'read_like', 'idempotency_key' or 'non_idempotent'.
        replayable: whether the body can be sent again whole.
        left: ns until the request's deadline.
    """
    if tries > most or not replayable or left <= 0 or not conditions:
        return False
    if proof.never_ran:
        return NEVER_RAN in conditions
    if effect == "non_idempotent":
        return False
    return ANY_FAILURE in conditions
