"""Demand for slices by request class, and the warmth of endpoints for them.

A slice whose demand cannot be covered by a report yet is assumed to have average demand. If it were treated as idle,
dozens of such slices would be assigned to an endpoint that has just started.
"""

from __future__ import annotations

import math

from damsonpick import interface as api
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.slice_state import SliceState
from damsonpick.decisions.time_units import NS_PER_SECOND

RATE_TAU_S = 9.0  # time constant of the averaged request rates
SURGE_RATIO = 3.0  # a rate above this * (averaged rate + 1 request/s) is a surge
SURGE_GAIN = 0.7  # share of a surge or first report in the new average; the old average has the rest

WARMTH_TAU_S = 15.0  # time constant with which an endpoint's cache warms up for a slice and cools down
MIN_WARMTH = 0.01  # warmth that is not above this is discarded


def is_newly_owned(fleet: FleetState, slice_state: SliceState) -> bool:
    """Return whether a slice was gained so recently that reports may not cover its full demand yet.

    The demand of such a slice counts as unknown.
    """
    return fleet.now - slice_state.owned_since <= fleet.settings.report_period + 2 * fleet.report_span


def apply_demand_report(fleet: FleetState, event: api.SliceDemand) -> None:
    """Average a report of one slice and class into its rate. Most of a surge or first report is applied at once.

    Reports of slices that are not owned, of unknown classes or without a period are ignored.
    """
    slice_state = fleet.slices.get(event.slice)
    class_index = fleet.class_index.get(event.request_class)
    if slice_state is None or class_index is None or event.period <= 0:
        return
    span_s = event.period / NS_PER_SECOND
    rate = event.requests / span_s
    old_rate = slice_state.rates[class_index]
    if is_newly_owned(fleet, slice_state):  # the report may count only requests since the slice was gained
        rate = max(rate, old_rate)
    first = not slice_state.last_reports_at[class_index]
    surged = first or rate > SURGE_RATIO * (old_rate + 1)
    gain = SURGE_GAIN if surged else 1 - math.exp(-span_s / RATE_TAU_S)
    slice_state.rates[class_index] += gain * (rate - old_rate)
    slice_state.last_reports_at[class_index] = fleet.last_report_at = fleet.now


def refresh_demand(fleet: FleetState) -> None:
    """Update the warmth of all slices, and the rates for which no report was received.

    Slices without requests are not reported, so a missing report means no demand. The planner calls this function once
    per report period while any reports are received.
    """
    _update_mean_rates(fleet)
    period_s = fleet.settings.report_period / NS_PER_SECOND
    rate_kept = math.exp(-period_s / RATE_TAU_S)
    warmth_kept = math.exp(-period_s / WARMTH_TAU_S)
    for slice_state in fleet.slices.values():
        _refresh_rates(fleet, slice_state, rate_kept)
        _refresh_warmth(slice_state, warmth_kept)


def _update_mean_rates(fleet: FleetState) -> None:
    """Compute the mean rate by class over the slices with a report."""
    for index in range(len(fleet.mean_rates)):
        reported = [s.rates[index] for s in fleet.slices.values() if s.last_reports_at[index]]
        if reported:
            fleet.mean_rates[index] = sum(reported) / len(reported)


def _refresh_rates(fleet: FleetState, slice_state: SliceState, kept: float) -> None:
    """Decay the rates of classes without a recent report, unless the slice is newly owned.

    While a slice is newly owned, the assumed rates of classes without any report follow the mean rates.
    """
    report_timeout = fleet.settings.report_period + 2 * fleet.report_span
    for index, reported_at in enumerate(slice_state.last_reports_at):
        if fleet.now - reported_at > report_timeout and not is_newly_owned(fleet, slice_state):
            slice_state.rates[index] *= kept
        elif slice_state.rates_assumed and not reported_at:
            slice_state.rates[index] = fleet.mean_rates[index]


def _refresh_warmth(slice_state: SliceState, kept: float) -> None:
    """Move the warmth of assigned endpoints towards 1 and that of all other endpoints towards 0."""
    warmth = slice_state.warmth
    newly_assigned = [name for name in slice_state.assigned if name not in warmth]
    for name in [*warmth, *newly_assigned]:
        target = float(name in slice_state.assigned)
        warmth[name] = target + (warmth.get(name, 0.0) - target) * kept
    slice_state.warmth = {name: value for name, value in warmth.items() if value > MIN_WARMTH}
