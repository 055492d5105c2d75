"""Interfaces of the objects that are passed to the components of the pilot."""

from __future__ import annotations

from typing import Protocol

from structlog.typing import FilteringBoundLogger

from damsonpick import interface as api

Logger = FilteringBoundLogger


class EventSink(Protocol):
    """Queues events for the planner's next step."""

    def __call__(self, *events: api.Event) -> None:
        """Append events to the queue in the given order."""
