"""Writes the state of the planner and the pilot to the log: one line of limited length per second."""

from __future__ import annotations

import math
import resource
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from damsonpick.decisions.planner import Planner
from damsonpick.protocols.platform.collaborators import Logger
from damsonpick.protocols.platform.stored_state import TableEntries
from damsonpick.time_units import NS_PER_MS, NS_PER_SECOND

INTERVAL_S = 1.0
MAX_LOGGED_ENDPOINTS = 40  # the endpoints with the highest load are logged
KB_PER_MB = 1024


@dataclass(frozen=True, slots=True)
class PilotStatus:
    """State of the pilot for the log line, in addition to the state of the planner.

    Attributes:
        tables: Stored table entries, by slice.
        pending_orders: Number of keys (tables, endpoints, levels, sync token) that have pending orders.
        order_requests: Number of requests sent to the registry since the start.
        unconfirmed_requests: Number of these requests whose outcome is unknown.
        connections: Number of open connections at the listening address.
        new_reports: Number of reports received since the previous line.
        new_steps: Number of steps of the planner's driver, also those without events, since the previous line.
        longest_step_ns: Duration of the longest of these steps.
    """

    tables: dict[int, TableEntries]
    pending_orders: int
    order_requests: int
    unconfirmed_requests: int
    connections: int
    new_reports: int
    new_steps: int
    longest_step_ns: int


class EndpointState(NamedTuple):
    """State of one endpoint in the log line; the field names are the keys in the log."""

    state: str
    load: float
    entries: int
    capacity_factor: float
    latency_ms: int
    success_ratio: float


def write_state(log: Logger, planner: Planner, status: PilotStatus) -> None:
    """Write one line with the current state to the log."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    reporting = [endpoint for endpoint in planner.endpoints.values() if planner.has_recent_report(endpoint)]
    log.info(
        "planner_state",
        proxies=len(planner.flow_control.proxies),
        slices=len(planner.slices),
        admission_levels=planner.published_levels,
        admitted_rate_limit_rps=_finite_or_none(planner.admitted_rate_limit),
        best_throughput_rps=round(planner.best_throughput, 1),
        request_rate_rps=round(sum(slice_.load for slice_ in planner.slices.values()), 1),
        answer_rate_rps=round(sum(endpoint.response_rate for endpoint in reporting), 1),
        reporting_endpoints=len(reporting),
        report_span_s=round(planner.report_span / NS_PER_SECOND, 1),
        messages_in_flight=len(planner.flow_control.in_flight),
        pending_orders=status.pending_orders,
        unpublished_tables=len(planner.unpublished),
        missed_withdrawals=len(planner.missed_withdrawals),
        handovers=planner.handover_count,
        reports=status.new_reports,
        steps=status.new_steps,
        longest_step_ms=status.longest_step_ns // NS_PER_MS,
        order_requests=status.order_requests,
        unconfirmed_requests=status.unconfirmed_requests,
        connections=status.connections,
        endpoints=len(planner.endpoints),
        cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
        peak_memory_mb=usage.ru_maxrss // KB_PER_MB,
        endpoint_states={name: state._asdict() for name, state in _endpoint_states(planner, status.tables).items()},
    )


def _endpoint_states(planner: Planner, tables: dict[int, TableEntries]) -> dict[str, EndpointState]:
    """Return the state of the endpoints with the highest load, in descending order of load."""
    loads = planner.endpoint_loads(planner.endpoints)
    entry_counts = _count_entries(tables.values())
    logged = sorted(loads, key=loads.__getitem__, reverse=True)[:MAX_LOGGED_ENDPOINTS]
    states = {}
    for name in logged:
        endpoint = planner.endpoints[name]
        states[name] = EndpointState(
            state=endpoint.state,
            load=round(loads[name], 1),
            entries=entry_counts[name],
            capacity_factor=round(endpoint.capacity_factor, 2),
            latency_ms=round(endpoint.latency / NS_PER_MS),
            success_ratio=round(endpoint.success_ratio, 2),
        )
    return states


def _count_entries(tables: Iterable[TableEntries]) -> Counter[str]:
    """Return for each endpoint the number of tables with an entry for it."""
    counts: Counter[str] = Counter()
    for entries in tables:
        counts.update(entries.keys())
    return counts


def _finite_or_none(rate_rps: float) -> float | None:
    return round(rate_rps, 1) if math.isfinite(rate_rps) else None
