"""Read access to the controller's state of the fleet, for SASP advice."""

from __future__ import annotations

from typing import Protocol

from damsonpick.decisions.planner import Planner
from damsonpick.protocols.sasp.weights import MemberStatus
from damsonpick.runtime.clock import Clock
from damsonpick.state.endpoint_list.validation import EndpointList
from damsonpick.state.published_tables import PublishedTables
from damsonpick.time_units import NS_PER_SECOND

NO_REPORTS_NS = 60 * NS_PER_SECOND  # time without any load report after which advice is derived from capacities
RECENT_REPORT_NS = 10 * NS_PER_SECOND  # age below which a load report on an endpoint counts as recent
UNKNOWN_SLICE_LOAD = 0.01  # requests per second assumed for a slice whose load the planner does not know


class Controller(Protocol):
    """The part of the controller's state that the SASP server reads.

    Attributes:
        planner: The planner; None while it is being restarted.
        published: The published tables.
        endpoint_list: The current endpoint list.
    """

    planner: Planner | None
    published: PublishedTables
    endpoint_list: EndpointList


class Fleet:
    """Provides slice loads, endpoint statuses and capacities to the weight advisor.

    Args:
        controller: Controller whose state is read.
        clock: The pilot's clock.
    """

    def __init__(self, controller: Controller, clock: Clock) -> None:
        """Keep the controller and the clock; every method reads the state when it is called."""
        self.controller = controller
        self.clock = clock

    def load_of(self, number: int) -> float:
        """Return the requests per second of a slice.

        Returns `UNKNOWN_SLICE_LOAD` if the planner does not own the slice, or while there is no planner.
        """
        planner = self.controller.planner
        slice_state = planner.slices.get(number) if planner else None
        return slice_state.load if slice_state is not None else UNKNOWN_SLICE_LOAD

    def status_of(self, endpoint: str) -> MemberStatus:
        """Return the status of an endpoint from the endpoint list and the load reports."""
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
        """Return the status of every endpoint on the endpoint list."""
        return {endpoint: self.status_of(endpoint) for endpoint in self.controller.endpoint_list.entries}

    def fallback_capacities(self) -> dict[str, float]:
        """Return the capacities of all routable endpoints if no load report arrived for `NO_REPORTS_NS`, or ever.

        The result is empty if a load report arrived within that time, or while there is no planner.
        """
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
