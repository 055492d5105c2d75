"""What other packages may read of a planner: state for logs, snapshots, explanations and the solver."""

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
    """Read-only access to a planner's state. What it returns must not be changed.

    Attributes:
        fleet: state that the rules share.
        admission: the limit on the admitted rate.
        publisher: what proxies have been sent.
        rounds: the balancing rounds.
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
        """Time of the newest call, ns."""
        return self.fleet.now

    @property
    def random(self) -> random.Random:
        """Source of every random draw."""
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
        """Joined proxies, and the messages on their way to them."""
        return self.publisher.flow_control

    @property
    def published_levels(self) -> tuple[float, ...]:
        """Admission level by request class, as published."""
        return self.fleet.published_levels

    @property
    def desired_levels(self) -> tuple[float, ...]:
        """Admission level by request class, as it should be."""
        return self.fleet.desired_levels

    @property
    def admitted_rate_limit(self) -> float:
        """Requests/s to admit; infinite while nothing is shed."""
        return self.admission.admitted_rate_limit

    @property
    def best_throughput(self) -> float:
        """Most answers/s seen lately."""
        return self.admission.best_throughput

    @property
    def throughput_per_capacity(self) -> float:
        """Most answers/s seen lately for each unit of capacity."""
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
        """Time of the newest report, ns; 0: none."""
        return self.fleet.last_report_at

    @property
    def unpublished(self) -> dict[int, SliceState]:
        """Slices whose published table is out of sync, by number."""
        return self.fleet.unpublished

    @property
    def withdrawn(self) -> dict[str, bool]:
        """Endpoints whose withdrawal state a proxy may have to be sent, and whether they are withdrawn now."""
        return self.fleet.withdrawn

    @property
    def known_proxies(self) -> dict[int, str]:
        """Proxies that have joined since the start, and their zones."""
        return self.fleet.known_proxies

    @property
    def resync_withdrawals(self) -> list[str]:
        """Endpoints whose withdrawal state must be sent again."""
        return self.publisher.resync_withdrawals

    @property
    def search(self) -> Iterator[None] | None:
        """The search under way; None between searches."""
        return self.rounds.search

    def is_unroutable(self, name: str) -> bool:
        """Whether the endpoint list forbids that proxies send to an endpoint."""
        return self.fleet.is_unroutable(name)

    def has_recent_report(self, endpoint: EndpointState) -> bool:
        """Whether a report of this endpoint has come within two report spans."""
        return bool(endpoint.last_report_at) and self.fleet.has_recent_report(endpoint)

    def is_warming_up(self, name: str) -> bool:
        """Whether a known endpoint is in its warm-up time."""
        return slow_start.is_warming_up(self.fleet, name)

    def warm_up_share(self, endpoint: EndpointState) -> float:
        """Share of its warm capacity that an endpoint has at least."""
        return slow_start.warm_up_share(self.fleet, endpoint)

    def capacity_of(self, endpoint: EndpointState) -> float:
        """Present capacity of an endpoint, in units of listed weight."""
        return capacity.capacity_of(self.fleet, endpoint)

    def usable_capacities(self) -> dict[str, float]:
        """Present capacity by endpoint that may be assigned to slices."""
        return capacity.usable_capacities(self.fleet)

    def endpoint_loads(self, names: Iterable[str]) -> dict[str, float]:
        """Requests/s that each of the endpoints gets from the slices assigned to it."""
        return self.fleet.endpoint_loads(names)
