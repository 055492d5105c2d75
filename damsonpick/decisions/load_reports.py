"""Reports of the proxies on what they met at endpoints."""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.decisions.fleet_state import FleetState

REPORT_SPAN_GAIN = 0.02  # part of the way by which the mean report span follows each report


def apply_endpoint_report(fleet: FleetState, event: api.EndpointReport) -> None:
    """Add a report to its endpoint.

    A report of an unknown endpoint, without attempts or period, or that covers time before the present process started
    is passed over.
    """
    endpoint = fleet.endpoints.get(event.endpoint)
    if endpoint is None or event.attempts <= 0 or event.period <= 0:
        return
    if endpoint.started and fleet.now - endpoint.started < event.period:
        return
    endpoint.add_report(fleet.now, event)
    fleet.last_report_at = fleet.now
    fleet.report_span += REPORT_SPAN_GAIN * (event.period - fleet.report_span)
