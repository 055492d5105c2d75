"""The planner: the one entry point of the decisions, and the order in which their rules run."""

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

TICK_INTERVAL_NS = NS_PER_SECOND // 4  # between looks at what depends on time alone; well below any drain grace


class Planner(PlannerView):
    """Decides for one instance of the control service. `handle` is its only entry point.

    Args:
        settings: configuration of the instance, fixed for its lifetime.
        seed: fixes every random draw.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        """Start without any knowledge of the fleet."""
        self.fleet = FleetState(settings, random.Random(seed))
        self.endpoint_list = EndpointListTracker(self.fleet)
        self.admission = AdmissionController(self.fleet)
        self.publisher = Publisher(self.fleet, FlowControl(settings))
        self.rounds = BalancingRounds(self.fleet, self.publisher)
        self._next_tick_at = 0
        self._next_review_at = 0
        self._handlers = self._event_handlers()

    def handle(self, now: int, events: Iterable[api.Event]) -> list[api.Action]:
        """Apply events, then decide what follows from them.

        Args:
            now: present time, ns; not before that of the call before.
            events: what has happened since the call before, in order.

        Returns:
            Actions to carry out, in order.
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
        """Handler by type of event.

        Timers only cause a call. Probe results, messages of peers and demand by proxy are not used.
        """
        fleet, admission = self.fleet, self.admission
        return {
            api.EndpointListChanged: self.endpoint_list.apply_change,
            api.EndpointConfidenceChanged: self.endpoint_list.apply_confidence,
            api.EndpointReport: partial(load_reports.apply_endpoint_report, fleet),
            api.SliceDemand: partial(slice_demand.apply_demand_report, fleet),
            api.SliceOwnershipChanged: partial(slice_ownership.apply_ownership, fleet, admission),
            api.StoredEntry: partial(slice_ownership.apply_stored_entry, fleet),
            api.ProxyJoined: self.publisher.apply_proxy_joined,
            api.ProxyLeft: self.publisher.apply_proxy_left,
            api.SyncAcknowledged: self.publisher.apply_acknowledgement,
            api.TableAdvised: partial(advised_tables.apply_advice, fleet),
            api.CapacityAdvised: admission.apply_advised_capacity,
            api.EndpointRestored: partial(warm_restart.restore_endpoint, fleet),
            api.SliceRestored: partial(warm_restart.restore_slice, fleet),
            api.FleetRestored: partial(warm_restart.restore_fleet, fleet, admission),
        }

    def _tick(self, actions: list[api.Action]) -> None:
        """Run the rules that depend on time."""
        self.endpoint_list.poll_if_due(actions)
        if self.fleet.now >= self._next_review_at:
            self._next_review_at = self.fleet.now + self.fleet.settings.report_period
            self._review_reports()
        self.rounds.start_if_due()

    def _review_reports(self) -> None:
        """Learn from the reports once a report period. While all of them are late, demand and levels hold.

        Nothing is forgotten meanwhile either: a proxy that is cut off may still hold an endpoint that is gone.
        """
        if self.fleet.reports_are_recent():
            slice_demand.refresh_demand(self.fleet)
            retention.forget_terminated_endpoints(self.fleet)
            retention.forget_oldest_withdrawals(self.fleet)
            capacity.learn_capacity_factors(self.fleet)
            self.admission.update()
        placement.repair_assignments(self.fleet)
