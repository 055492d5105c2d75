"""How a client's request ended at a gateway. The texts are written to the records and to a scenario's report."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

HTTP_OK = 200


class Ending(StrEnum):
    """How a request ended. A response with a status N other than 200 has no member; its text is `status N`."""

    ANSWERED = "ok"  # a response with status 200
    REFUSED = "refused"  # not admitted
    NO_SERVER = "no server"  # no attempt was made, because no server or no proxy was available
    NEVER_RAN = "never ran"  # the connection or the server proves that the request has not run
    BROKEN = "broken"  # the connection ended before the response; the request may have run
    TOO_LATE = "too late"  # there was no response before the deadline


class RequestOutcome(NamedTuple):
    """How a request ended.

    Attributes:
        answered: Whether the client received a response with status 200.
        ending: Text of an `Ending`, or `status N`.
    """

    answered: bool
    ending: str


def ended(ending: str) -> RequestOutcome:
    """Return the outcome for an ending."""
    return RequestOutcome(ending == Ending.ANSWERED, ending)


def status_ending(status: int) -> str:
    """Return the ending for the status of a response."""
    return Ending.ANSWERED if status == HTTP_OK else f"status {status}"
