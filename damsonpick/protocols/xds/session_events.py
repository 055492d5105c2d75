"""Events that a session reports for the log. Types only."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class SessionEventKind(StrEnum):
    """Log event names that a session uses."""

    RESOURCE_REJECTED = "resource_rejected"
    RESPONSE_SPLIT = "response_split"
    ROOTS_DIFFER = "roots_differ"
    STALE_NONCE_RECEIVED = "stale_nonce_received"
    UNKNOWN_TYPE_REQUESTED = "unknown_type_requested"


WARNING_EVENTS = frozenset({SessionEventKind.RESOURCE_REJECTED, SessionEventKind.UNKNOWN_TYPE_REQUESTED})


class SessionEvent(NamedTuple):
    """One event of a session, which the server writes to the log.

    Attributes:
        kind: Name of the log event.
        type_name: Short name of the resource type, or the type URL if the type is unknown.
        fields: Additional fields of the log line.
    """

    kind: SessionEventKind
    type_name: str
    fields: dict[str, str | int]
