"""The state that all rules of the decision package share."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions.endpoint_state import EndpointState
from damsonpick.decisions.slice_state import SliceState


@dataclass(slots=True, eq=False)
class FleetState:
    """What this instance knows about the fleet at time `now`.

    Attributes:
        settings: Configuration that the planner received at its start.
        random: Source of every random draw, determined by the planner's seed.
        now: Time of the current call, ns.
        endpoints: Endpoints that a list, a table or a restored snapshot has named, by name.
        slices: Slices that this instance owns, by number.
        known_proxies: Zone by proxy, for all proxies that have joined since the start. Proxies that leave are kept.
        list_received: Whether an endpoint list newer than the restored list has been received.
        withdrawn: Whether an endpoint is withdrawn now, by name. It contains each endpoint whose withdrawal state may
            have to be sent to a proxy.
        may_lack_withdrawals: Whether a proxy may apply a withdrawal that `withdrawn` does not contain: one of an
            earlier incarnation, or one that was removed from it.
        unpublished: Slices whose published table is out of sync, by number.
        assignments_stale: Whether the assignments must be checked again because the list, its confidence, ownership,
            advice or a withdrawal has changed.
        published_levels: Published admission level by request class, 0 to 1.
        desired_levels: Admission level to be published by request class, 0 to 1.
        admitted_share: Share of demand that the levels should admit.
        throughput_per_capacity: Highest observed successful responses/s per unit of capacity, which decays slowly; 0 if
            there was none yet.
        mean_rates: Demand of an average slice by request class, requests/s.
        report_span: Mean time that one report covers, ns. It exceeds the report period if there are many reports.
        last_report_at: Time of the newest report, ns; 0 if there is none.
        class_index: Position of each request class in the settings, by name.
        terminated_since: Time at which an endpoint in no table was first found terminated, ns, by name.
    """

    settings: api.Settings
    random: random.Random
    now: int = 0
    endpoints: dict[str, EndpointState] = field(default_factory=dict)
    slices: dict[int, SliceState] = field(default_factory=dict)
    known_proxies: dict[int, str] = field(default_factory=dict)
    list_received: bool = False
    withdrawn: dict[str, bool] = field(default_factory=dict)
    may_lack_withdrawals: bool = False
    unpublished: dict[int, SliceState] = field(default_factory=dict)
    assignments_stale: bool = True
    published_levels: tuple[float, ...] = field(init=False)
    desired_levels: tuple[float, ...] = field(init=False)
    admitted_share: float = 1.0
    throughput_per_capacity: float = 0.0
    mean_rates: list[float] = field(init=False)
    report_span: float = field(init=False)
    last_report_at: int = 0
    class_index: dict[str, int] = field(init=False)
    terminated_since: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Initialize full admission, no demand, and a report span equal to the configured report period."""
        class_count = len(self.settings.classes)
        self.class_index = {request_class.name: k for k, request_class in enumerate(self.settings.classes)}
        self.published_levels = self.desired_levels = (1.0,) * class_count
        self.mean_rates = [0.0] * class_count
        self.report_span = float(self.settings.report_period)

    def get_or_add_endpoint(self, name: str) -> EndpointState:
        """Return the state of an endpoint; a new one without a list entry if it is not known."""
        return self.endpoints.setdefault(name, EndpointState(name))

    def is_unroutable(self, name: str) -> bool:
        """Return whether the endpoint list forbids proxies to send to an endpoint.

        Until a list newer than the restored list is received, endpoints that only a stored table names are routable.
        Unknown endpoints are unroutable.
        """
        state = self.endpoints[name].state if name in self.endpoints else "terminated"
        return state in ("terminating", "terminated") or (state == "unlisted" and self.list_received)

    def reports_are_recent(self) -> bool:
        """Return whether the newest report of any kind, or time 0 if there is none, is at most two report spans old."""
        return self.now - self.last_report_at <= 2 * self.report_span

    def has_recent_report(self, endpoint: EndpointState) -> bool:
        """Return whether the newest report of this endpoint, or time 0 if none, is at most two report spans old."""
        return self.now - endpoint.last_report_at <= 2 * self.report_span

    def proxy_zone_count(self) -> int:
        """Return the number of zones with a known proxy."""
        return len(dict.fromkeys(self.known_proxies.values()))

    def slices_by_load(self) -> list[SliceState]:
        """Return the owned slices by descending load."""
        return sorted(self.slices.values(), key=lambda s: (-s.load, s.number))

    def endpoint_loads(self, names: Iterable[str]) -> dict[str, float]:
        """Compute the load that each endpoint receives from the slices assigned to it.

        Args:
            names: Endpoints to include, in the order of the result.

        Returns:
            Requests/s by endpoint.
        """
        loads = dict.fromkeys(names, 0.0)
        for slice_state in self.slices.values():
            for name in slice_state.assigned:
                if name in loads:
                    loads[name] += slice_state.load_share(name)
        return loads
