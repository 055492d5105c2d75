"""How a client's request ended at a gateway. The texts stand in the records and in a scenario's report."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

HTTP_OK = 200


class Ending(StrEnum):
    """Endings other than an answer with another status than 200, whose text is `status N`."""

    ANSWERED = "ok"
    REFUSED = "refused"  # not admitted
    NO_SERVER = "no server"
    NEVER_RAN = "never ran"  # proved by the connection or by the server
    BROKEN = "broken"  # the connection ended before the answer: it may have run
    TOO_LATE = "too late"


class RequestOutcome(NamedTuple):
    """How a request ended.

    Attributes:
        answered: whether the client got an answer.
        ending: an `Ending`, or `status N`.
    """

    answered: bool
    ending: str


def ended(ending: str) -> RequestOutcome:
    """Return the outcome for an ending."""
    return RequestOutcome(ending == Ending.ANSWERED, ending)


def status_ending(status: int) -> str:
    """Return the ending for the status of an answer."""
    return Ending.ANSWERED if status == HTTP_OK else f"status {status}"
