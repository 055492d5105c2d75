"""Interfaces of what the parts of the pilot are handed."""

from __future__ import annotations

from typing import Protocol

from structlog.typing import FilteringBoundLogger

from damsonpick import interface as api

Logger = FilteringBoundLogger


class EventSink(Protocol):
    """Takes events for the planner's next step."""

    def __call__(self, *events: api.Event) -> None:
        """Add events, in order."""
