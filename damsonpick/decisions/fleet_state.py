"""The state that the rules share."""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions.endpoint_state import EndpointState
from damsonpick.decisions.slice_state import SliceState


@dataclass(slots=True, eq=False)
class FleetState:
    """What this instance knows of the fleet, as of `now`.

    Attributes:
        settings: what the planner was given at its start.
        random: source of every random draw; fixed by the planner's seed.
        now: time of the present call, ns.
        endpoints: by name; those that a list, a table or a restored snapshot named.
        slices: by number; those that this instance owns.
        known_proxies: proxies that have joined since the start, and their zones. They stay when a proxy leaves.
        list_received: an endpoint list newer than the restored one has come.
        withdrawn: endpoints whose withdrawal state a proxy may have to be sent, and whether they are withdrawn now.
        unpublished: slices whose published table is out of sync, by number.
        assignments_stale: the list, ownership or advice has changed; assignments must be checked against it.
        published_levels: admission level by request class as published, 0 to 1.
        desired_levels: admission level by request class as it should be, 0 to 1.
        admitted_share: share of demand that the levels should admit.
        throughput_per_capacity: most answers/s seen for each unit of capacity; 0: none yet.
        usual_rates: demand of an average slice by request class, requests/s.
        report_span: mean time that one report covers, ns. More than the report period where the reports are many.
        last_report_at: time of the newest report, ns; 0: none.
        class_index: position of each request class in the settings, by name.
        terminated_since: when endpoints in no table were first seen terminated, ns by name.
    """

    settings: api.Settings
    random: random.Random
    now: int = 0
    endpoints: dict[str, EndpointState] = field(default_factory=dict)
    slices: dict[int, SliceState] = field(default_factory=dict)
    known_proxies: dict[int, str] = field(default_factory=dict)
    list_received: bool = False
    withdrawn: dict[str, bool] = field(default_factory=dict)
    unpublished: dict[int, SliceState] = field(default_factory=dict)
    assignments_stale: bool = True
    published_levels: tuple[float, ...] = field(init=False)
    desired_levels: tuple[float, ...] = field(init=False)
    admitted_share: float = 1.0
    throughput_per_capacity: float = 0.0
    usual_rates: list[float] = field(init=False)
    report_span: float = field(init=False)
    last_report_at: int = 0
    class_index: dict[str, int] = field(init=False)
    terminated_since: dict[str, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start with full admission, no demand and reports as often as stated."""
        class_count = len(self.settings.classes)
        self.class_index = {request_class.name: k for k, request_class in enumerate(self.settings.classes)}
        self.published_levels = self.desired_levels = (1.0,) * class_count
        self.usual_rates = [0.0] * class_count
        self.report_span = float(self.settings.report_period)

    def is_unroutable(self, name: str) -> bool:
        """Whether the endpoint list forbids that proxies send to an endpoint.

        Before a list newer than the restored one has come, endpoints that only a stored table names are routable.
        """
        state = self.endpoints[name].state if name in self.endpoints else "terminated"
        return state in ("terminating", "terminated") or (state == "unlisted" and self.list_received)

    def reports_are_recent(self) -> bool:
        """Whether any report has come within two report spans."""
        return self.now - self.last_report_at <= 2 * self.report_span

    def has_recent_report(self, endpoint: EndpointState) -> bool:
        """Whether a report of this endpoint has come within two report spans."""
        return self.now - endpoint.last_report_at <= 2 * self.report_span

    def proxy_zone_count(self) -> int:
        """Number of zones with a known proxy."""
        return len(dict.fromkeys(self.known_proxies.values()))

    def slices_by_load(self) -> list[SliceState]:
        """Owned slices, those with the highest load first."""
        return sorted(self.slices.values(), key=lambda s: (-s.load, s.number))

    def endpoint_loads(self, names: Iterable[str]) -> dict[str, float]:
        """Load that each endpoint gets from the slices assigned to it.

        Args:
            names: endpoints of interest, in the order of the result.

        Returns:
            Requests/s by endpoint.
        """
        loads = dict.fromkeys(names, 0.0)
        for slice_state in self.slices.values():
            for name in slice_state.assigned:
                if name in loads:
                    loads[name] += slice_state.load_share(name)
        return loads
