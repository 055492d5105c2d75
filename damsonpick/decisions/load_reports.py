"""Load reports: the outcomes that proxies observed at endpoints."""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.decisions.fleet_state import FleetState

REPORT_SPAN_GAIN = 0.02  # weight of each report's period in the moving average of the report span


def apply_endpoint_report(fleet: FleetState, event: api.EndpointReport) -> None:
    """Add a report to its endpoint.

    A report is ignored if its endpoint is unknown, if it has no attempts or no period, or if it covers time before the
    start of the current process.
    """
    endpoint = fleet.endpoints.get(event.endpoint)
    if endpoint is None or event.attempts <= 0 or event.period <= 0:
        return
    if endpoint.started and fleet.now - endpoint.started < event.period:
        return
    endpoint.add_report(fleet.now, event)
    fleet.last_report_at = fleet.now
    fleet.report_span += REPORT_SPAN_GAIN * (event.period - fleet.report_span)
