"""The planner: the only entry point of the decisions. It defines the order in which the rules run."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import partial

from damsonpick import interface as api
from damsonpick.decisions import (
    advised_tables,
    capacity,
    load_reports,
    placement,
    retention,
    slice_demand,
    slice_ownership,
    warm_restart,
)
from damsonpick.decisions.admission import AdmissionController
from damsonpick.decisions.balancing_round import BalancingRounds
from damsonpick.decisions.endpoint_list import EndpointListTracker
from damsonpick.decisions.endpoint_state import EndpointState
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.flow_control import FlowControl
from damsonpick.decisions.planner_view import PlannerView
from damsonpick.decisions.publisher import Publisher
from damsonpick.decisions.slice_state import SliceState
from damsonpick.decisions.time_units import NS_PER_SECOND

__all__ = ["EndpointState", "Planner", "SliceState"]

TICK_INTERVAL_NS = NS_PER_SECOND // 4  # interval between runs of the time-dependent rules; well below any drain grace


class Planner(PlannerView):
    """Makes the decisions of one instance of the control service. `handle` is its only entry point.

    Args:
        settings: Configuration of the instance, fixed for its lifetime.
        seed: Seed of every random draw.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Create a planner with an empty fleet state."""
        self.fleet = FleetState(settings, random.Random(seed))
        self.endpoint_list = EndpointListTracker(self.fleet)
        self.admission = AdmissionController(self.fleet)
        self.publisher = Publisher(self.fleet, FlowControl(settings))
        self.rounds = BalancingRounds(self.fleet, self.publisher)
        self._next_tick_at = 0
        self._next_report_processing_at = 0
        self._handlers = self._event_handlers()

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Apply events, then decide on the resulting actions.

        Args:
            now: Current time, ns; not earlier than that of the previous call.
            events: Events since the previous call, in order.

        Returns:
            Actions to execute, in order.
        """
        self.fleet.now = now
        actions: list[api.Action] = []
        for event in events:
            handler = self._handlers.get(type(event))
            if handler is not None:
                handler(event)
        if self.fleet.assignments_stale:
            self.fleet.assignments_stale = False
            placement.repair_assignments(self.fleet)
        if now >= self._next_tick_at:
            self._next_tick_at = now + TICK_INTERVAL_NS
            actions.append(api.SetTimer(TICK_INTERVAL_NS, 0))
            self._tick(actions)
        self.rounds.continue_search(actions)
        self.publisher.publish(actions)
        return actions

    def _event_handlers(self) -> dict[type[api.Event], Callable[..., None]]:
        """Return the handler by type of event.

        `TimerFired` needs no handler, since a timer only has to cause a call of `handle`. The planner does not use
        `ProbeResult`, `PeerMessage` and `ProxyDemand`.
        """
        fleet, admission = self.fleet, self.admission
        return {
            api.EndpointListChanged: self._apply_list_change,
            api.EndpointConfidenceChanged: self.endpoint_list.apply_confidence,
            api.EndpointReport: partial(load_reports.apply_endpoint_report, fleet),
            api.SliceDemand: partial(slice_demand.apply_demand_report, fleet),
            api.SliceOwnershipChanged: partial(slice_ownership.apply_ownership, fleet, admission),
            api.StoredEntry: self._apply_stored_entry,
            api.ProxyJoined: self.publisher.apply_proxy_joined,
            api.ProxyLeft: self.publisher.apply_proxy_left,
            api.SyncAcknowledged: self.publisher.apply_acknowledgement,
            api.TableAdvised: partial(advised_tables.apply_advice, fleet),
            api.CapacityAdvised: admission.apply_advised_capacity,
            api.EndpointRestored: partial(warm_restart.restore_endpoint, fleet),
            api.SliceRestored: partial(warm_restart.restore_slice, fleet),
            api.FleetRestored: partial(warm_restart.restore_fleet, fleet, admission),
        }

    def _apply_list_change(self, event: api.EndpointListChanged) -> None:
        self.endpoint_list.apply_change(event)
        self.publisher.withdrawals.apply_endpoints_named(entry.endpoint for entry in event.entries)

    def _apply_stored_entry(self, event: api.StoredEntry) -> None:
        slice_ownership.apply_stored_entry(self.fleet, event)
        self.publisher.withdrawals.apply_endpoints_named([event.endpoint])

    def _tick(self, actions: list[api.Action]) -> None:
        """Run the time-dependent rules."""
        self.endpoint_list.poll_if_due(actions)
        if self.fleet.now >= self._next_report_processing_at:
            self._next_report_processing_at = self.fleet.now + self.fleet.settings.report_period
            self._process_reports()
        self.rounds.start_if_due()

    def _process_reports(self) -> None:
        """Update the learned state from the reports, once per report period.

        While no report has been received for two report spans, demand, capacity factors and admission levels stay
        unchanged. No endpoint or withdrawal is removed from the state either, since a disconnected proxy may still have
        an entry of an endpoint that no longer exists. The assignments are repaired in any case.
        """
        if self.fleet.reports_are_recent():
            slice_demand.refresh_demand(self.fleet)
            retention.remove_terminated_endpoints(self.fleet)
            retention.remove_oldest_withdrawals(self.fleet)
            capacity.learn_capacity_factors(self.fleet)
            self.admission.update()
        placement.repair_assignments(self.fleet)
