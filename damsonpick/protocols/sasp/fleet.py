"""What the controller knows of the fleet, as SASP advice needs it."""

from __future__ import annotations

from typing import Protocol

from damsonpick.decisions.planner import Planner
from damsonpick.protocols.sasp.weights import MemberStatus
from damsonpick.runtime.clock import Clock
from damsonpick.state.endpoint_list.validation import EndpointList
from damsonpick.state.published_tables import PublishedTables
from damsonpick.time_units import NS_PER_SECOND

NO_REPORTS_NS = 60 * NS_PER_SECOND  # without any load report, after which advice goes by capacity
RECENT_REPORT_NS = 10 * NS_PER_SECOND
UNKNOWN_SLICE_LOAD = 0.01  # requests a second of a slice that the planner does not know


class Controller(Protocol):
    """What the SASP server reads of the controller that owns it.

    Attributes:
        planner: None while it is being restarted.
        published: the tables.
        endpoint_list: the list in force.
    """

    planner: Planner | None
    published: PublishedTables
    endpoint_list: EndpointList


class Fleet:
    """Answers the advisor's questions from the controller's state.

    Args:
        controller: whose state is read.
        clock: the pilot's clock.
    """

    def __init__(self, controller: Controller, clock: Clock) -> None:
        """Read nothing yet."""
        self.controller = controller
        self.clock = clock

    def load_of(self, number: int) -> float:
        """Requests a second of a slice."""
        planner = self.controller.planner
        slice_state = planner.slices.get(number) if planner else None
        return slice_state.load if slice_state is not None else UNKNOWN_SLICE_LOAD

    def status_of(self, endpoint: str) -> MemberStatus:
        """What is known of an endpoint."""
        planner = self.controller.planner
        entry = self.controller.endpoint_list.entries.get(endpoint)
        state = planner.endpoints.get(endpoint) if planner else None
        last_report_at = state.last_report_at if state is not None else 0
        return MemberStatus(
            listed=entry is not None,
            serving=entry is not None and entry.state == "in_service",
            has_recent_reports=bool(last_report_at) and self.clock.now() - last_report_at < RECENT_REPORT_NS,
        )

    def statuses(self) -> dict[str, MemberStatus]:
        """What is known of all listed endpoints."""
        return {endpoint: self.status_of(endpoint) for endpoint in self.controller.endpoint_list.entries}

    def fallback_capacities(self) -> dict[str, float]:
        """Capacities of routable endpoints if no load report came in for `NO_REPORTS_NS`, else empty."""
        planner = self.controller.planner
        if planner is None:
            return {}
        if planner.last_report_at and planner.now - planner.last_report_at < NO_REPORTS_NS:
            return {}
        capacities = {}
        for name, state in planner.endpoints.items():
            if not planner.is_unroutable(name):
                capacities[name] = planner.capacity_of(state)
        return capacities
