"""What a session reports to the log. Types only."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class SessionEventKind(StrEnum):
    """Names of the log events of a session."""

    RESOURCE_REJECTED = "resource_rejected"
    RESPONSE_SPLIT = "response_split"
    ROOTS_DIFFER = "roots_differ"
    STALE_NONCE_RECEIVED = "stale_nonce_received"
    UNKNOWN_TYPE_REQUESTED = "unknown_type_requested"


WARNING_EVENTS = frozenset({SessionEventKind.RESOURCE_REJECTED, SessionEventKind.UNKNOWN_TYPE_REQUESTED})


class SessionEvent(NamedTuple):
    """One event.

    Attributes:
        kind: what happened.
        type_name: the short name of the resource type; the type URL of an unknown one.
        fields: further fields of the log line.
    """

    kind: SessionEventKind
    type_name: str
    fields: dict[str, str | int]
