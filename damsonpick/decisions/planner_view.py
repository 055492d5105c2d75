"""The part of a planner's state that other packages may read, for logs, snapshots, explanations and the solver."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator

from damsonpick import interface as api
from damsonpick.decisions import capacity, slow_start
from damsonpick.decisions.admission import AdmissionController
from damsonpick.decisions.balancing_round import BalancingRounds
from damsonpick.decisions.endpoint_state import EndpointState
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.flow_control import FlowControl
from damsonpick.decisions.publisher import Publisher
from damsonpick.decisions.slice_state import SliceState


class PlannerView:
    """Read-only access to a planner's state. Callers must not modify the returned objects.

    Attributes:
        fleet: State that the rules share.
        admission: Admission controller with the limit on the admitted rate.
        publisher: Publisher, which tracks the orders sent to the proxies.
        rounds: The balancing rounds.
    """

    fleet: FleetState
    admission: AdmissionController
    publisher: Publisher
    rounds: BalancingRounds

    @property
    def settings(self) -> api.Settings:
        """Configuration of the instance."""
        return self.fleet.settings

    @property
    def now(self) -> int:
        """Time of the latest call of `Planner.handle`, ns."""
        return self.fleet.now

    @property
    def random(self) -> random.Random:
        """Random number generator of every random draw."""
        return self.fleet.random

    @property
    def endpoints(self) -> dict[str, EndpointState]:
        """Known endpoints by name."""
        return self.fleet.endpoints

    @property
    def slices(self) -> dict[int, SliceState]:
        """Owned slices by number."""
        return self.fleet.slices

    @property
    def flow_control(self) -> FlowControl:
        """Flow control of the channel: the joined proxies and the messages in flight to them."""
        return self.publisher.flow_control

    @property
    def published_levels(self) -> tuple[float, ...]:
        """Published admission level by request class."""
        return self.fleet.published_levels

    @property
    def desired_levels(self) -> tuple[float, ...]:
        """Admission level to be published by request class."""
        return self.fleet.desired_levels

    @property
    def admitted_rate_limit(self) -> float:
        """Requests/s to admit; infinite while no load is shed."""
        return self.admission.admitted_rate_limit

    @property
    def best_throughput(self) -> float:
        """Highest observed throughput in successful responses/s; it decays slowly."""
        return self.admission.best_throughput

    @property
    def throughput_per_capacity(self) -> float:
        """Highest observed successful responses/s per unit of capacity; it decays slowly."""
        return self.fleet.throughput_per_capacity

    @property
    def admitted_share(self) -> float:
        """Share of demand that the levels should admit."""
        return self.fleet.admitted_share

    @property
    def report_span(self) -> float:
        """Mean time that one report covers, ns."""
        return self.fleet.report_span

    @property
    def last_report_at(self) -> int:
        """Time of the newest report, ns; 0 if there is none."""
        return self.fleet.last_report_at

    @property
    def unpublished(self) -> dict[int, SliceState]:
        """Slices whose published table is out of sync, by number."""
        return self.fleet.unpublished

    @property
    def withdrawn(self) -> dict[str, bool]:
        """Whether an endpoint is withdrawn, by name, for endpoints whose state may have to be sent to a proxy."""
        return self.fleet.withdrawn

    @property
    def known_proxies(self) -> dict[int, str]:
        """Zone by proxy, for all proxies that have joined since the start."""
        return self.fleet.known_proxies

    @property
    def handover_count(self) -> int:
        """Number of slices whose sole owner is being changed."""
        return len(self.publisher.handovers.in_progress())

    @property
    def missed_withdrawals(self) -> dict[str, None]:
        """Withdrawn endpoints, as keys, whose withdrawal a joined proxy may not have received."""
        return self.publisher.withdrawals.missed

    @property
    def resync_withdrawals(self) -> dict[str, None]:
        """Endpoints, as keys, whose withdrawal state must be sent again."""
        return self.publisher.withdrawals.resync

    @property
    def search(self) -> Iterator[None] | None:
        """The running search; None between searches."""
        return self.rounds.search

    def is_unroutable(self, name: str) -> bool:
        """Return whether the endpoint list forbids proxies to send to an endpoint."""
        return self.fleet.is_unroutable(name)

    def has_recent_report(self, endpoint: EndpointState) -> bool:
        """Return whether this endpoint has a report that is at most two report spans old."""
        return bool(endpoint.last_report_at) and self.fleet.has_recent_report(endpoint)

    def is_warming_up(self, name: str) -> bool:
        """Return whether a known endpoint is in its warm-up time."""
        return slow_start.is_warming_up(self.fleet, name)

    def warm_up_share(self, endpoint: EndpointState) -> float:
        """Return the minimum share of its warm capacity that an endpoint has now."""
        return slow_start.warm_up_share(self.fleet, endpoint)

    def capacity_of(self, endpoint: EndpointState) -> float:
        """Return the current capacity of an endpoint in units of listed weight."""
        return capacity.capacity_of(self.fleet, endpoint)

    def usable_capacities(self) -> dict[str, float]:
        """Return the current capacity by endpoint, for the endpoints that may be assigned to slices."""
        return capacity.usable_capacities(self.fleet)

    def endpoint_loads(self, names: Iterable[str]) -> dict[str, float]:
        """Return the requests/s that each of the endpoints receives from the slices assigned to it."""
        return self.fleet.endpoint_loads(names)
