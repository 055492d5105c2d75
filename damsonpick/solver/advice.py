"""From what the planner knows to a problem, and from a plan to advice. Sans I/O.

The solver sees the fleet through the planner: which endpoints are unroutable, warm-up, learned capacity factors and
averaged demand are the planner's. What servers report of themselves is not used at all, as in the planner: a server
that claims to be idle is judged by its answers. Advice goes back as events; the planner's rules, withdrawals, flow
control and admission levels bind it.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner, SliceState
from damsonpick.settings.model import PilotSettings
from damsonpick.solver.explanation import explain_nothing, explain_plan
from damsonpick.solver.model import Costs, Demand, Plan, Problem, RequestClass, Server, Weights
from damsonpick.solver.plan import keep_similar, normalise
from damsonpick.solver.slice_weights import SliceLoad, SliceWeightsProblem
from damsonpick.time_units import NS_PER_SECOND

MIN_CAPACITY = 1e-3  # cores; replaces a capacity near 0
MIN_RATE = 1e-6  # requests a second that count as none
MAX_RATE = 1e12  # requests a second; more is taken for a fault of the reports
MAX_CORES = 256
MIN_WARMING_SHARE = 0.05  # of its present capacity that a server may have at least while it warms up
MAX_RETRY_INTERVAL_NS = 30 * NS_PER_SECOND  # between solves after failures
MAX_BACKOFF_DOUBLINGS = 10
FULLY_ADMITTED = 0.999  # share of a class from which all of it counts as admitted


class FleetMember(NamedTuple):
    """A routable endpoint and when it last started, ns."""

    endpoint: str
    started: int


class TableSlot(NamedTuple):
    """A table where there are no slices: one for each zone and class.

    Attributes:
        number: of the table.
        zone: of its gateways.
        class_index: of `request_class`, in the order of the settings.
        request_class: that it is for.
    """

    number: int
    zone: str
    class_index: int
    request_class: RequestClass


class Advisor:
    """When to solve, what to ask, and what to tell the planner. Tables are assigned where there are no slices.

    Args:
        settings: the pilot's settings.
        zone_of: the zone of an endpoint, '' if unknown.

    Attributes:
        classes: of requests, in the order of the settings.
        costs: what the solver charges.
        due_at: ns; when the next solve is due.
        last_plan: the last good one.
        advised_weights: by table and endpoint, as last told.
        repaired_fleet: the fleet for which `repaired_tables` last gave advice.
        failures: solves that failed since the last good one.
    """

    def __init__(self, settings: PilotSettings, zone_of: Callable[[str], str]) -> None:
        """Begin without a plan."""
        self.settings = settings
        self.zone_of = zone_of
        self.classes = _request_classes(settings)
        self.costs = _costs(settings)
        self.due_at = 0
        self.last_plan: Plan | None = None
        self.previous_plan: Plan | None = None
        self.advised_weights: dict[int, dict[str, float]] = {}
        self.solved_fleet: tuple[FleetMember, ...] = ()
        self.repaired_fleet: tuple[Any, ...] = ()
        self.failures = 0
        self.failure_reason = ""

    # -- when

    def is_due(self, now: int, planner: Planner) -> bool:
        """Whether to solve at `now` (ns): at its interval, and at once when servers come, go, or start anew."""
        return now >= self.due_at or self.fleet(planner) != self.solved_fleet

    def fleet(self, planner: Planner) -> tuple[FleetMember, ...]:
        """All routable endpoints, by name."""
        members = []
        for name, state in sorted(planner.endpoints.items()):
            if not planner.is_unroutable(name):
                members.append(FleetMember(name, state.started))
        return tuple(members)

    def begin_solve(self, now: int, planner: Planner) -> None:
        """Note that a solve starts at `now` (ns)."""
        self.solved_fleet = self.fleet(planner)
        self.due_at = now + self.settings.solver.period

    def note_failure(self, now: int, reason: str) -> None:
        """Note that a solve failed at `now` (ns): the last good weights stay, the next try waits longer each time."""
        self.failures += 1
        self.failure_reason = reason
        backoff = self.settings.solver.period * 2 ** min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.due_at = now + min(MAX_RETRY_INTERVAL_NS, backoff)

    def _note_success(self) -> None:
        self.failures = 0
        self.failure_reason = ""

    # -- what is asked

    def servers(self, planner: Planner) -> tuple[Server, ...]:
        """Every server that may be used, by name."""
        last_shares = {row.name: row.share for row in self.last_plan.servers} if self.last_plan else {}
        usable = planner.usable_capacities()
        warming_share = max(MIN_WARMING_SHARE, self._utilisation(planner, sum(usable.values())))
        servers = []
        for name in sorted(usable):
            state = planner.endpoints[name]
            capacity = usable[name] if math.isfinite(usable[name]) else 1.0
            servers.append(
                Server(
                    name=name,
                    zone=self.zone_of(name),
                    capacity=max(MIN_CAPACITY, capacity),
                    cores=max(1, min(MAX_CORES, round(state.weight))),
                    max_share=warming_share if planner.is_warming_up(name) else 1.0,
                    failure_ratio=round(min(1.0, max(0.0, 1.0 - state.success_ratio)), 3),
                    work_share=last_shares.get(name, 0.0),
                )
            )
        return tuple(servers)

    def _utilisation(self, planner: Planner, capacity: float) -> float:
        """Share of the fleet's capacity that is used, at most 1."""
        work = sum(map(self._work, planner.slices.values()))
        return min(1.0, work / (capacity or 1.0))

    def _work(self, slice_state: SliceState) -> float:
        """Averaged core-seconds a second that a table's requests bring."""
        rates = zip(slice_state.rates, self.classes, strict=True)
        return sum(rate * request_class.mean_work_s for rate, request_class in rates)

    def _table_slots(self) -> Iterator[TableSlot]:
        """All tables where there are no slices, in their order."""
        number = 0
        for zone in self.settings.pilot.zones:
            for class_index, request_class in enumerate(self.classes):
                yield TableSlot(number, zone, class_index, request_class)
                number += 1

    def problem(self, planner: Planner) -> Problem:
        """Tables by zone and class over all servers."""
        demand = []
        for number, zone, class_index, request_class in self._table_slots():
            slice_state = planner.slices.get(number)
            rate = slice_state.rates[class_index] if slice_state else 0.0
            is_credible = MIN_RATE < rate < MAX_RATE
            demand.append(Demand(zone, request_class.name, rate if is_credible else 0.0))
        return Problem(self.classes, self.servers(planner), tuple(demand), self.costs)

    def slice_problem(self, planner: Planner) -> SliceWeightsProblem:
        """Weights among the endpoints of slices that are assigned to several."""
        loads = []
        for number, slice_state in sorted(planner.slices.items()):
            work = self._work(slice_state)
            if slice_state.assigned and work > 0:
                weights = tuple(slice_state.desired_weight(endpoint) for endpoint in slice_state.assigned)
                loads.append(SliceLoad(number, work, tuple(slice_state.assigned), weights))
        return SliceWeightsProblem(self.classes, self.servers(planner), tuple(loads), self.costs)

    # -- what is told

    def initial_tables(self, planner: Planner) -> list[api.Event]:
        """Where there are no slices: tables by capacity, at once, until the first plan."""
        if self.settings.tables.slices or self.advised_weights or not planner.endpoints:
            return []
        servers = self.servers(planner)
        tables = {}
        for _, zone, _, request_class in self._table_slots():
            usable = _usable_servers(servers, zone, request_class)
            capacities = {server.name: server.capacity * server.max_share for server in usable}
            tables[zone, request_class.name] = normalise(capacities)
        return self.advise_tables(tables, planner)

    def repaired_tables(self, planner: Planner) -> list[api.Event]:
        """Advice at once when servers come or go, before any solve.

        The last weights stay; servers that are new to a table get the level of the others by capacity.
        """
        fleet = self.fleet(planner)
        if self.settings.tables.slices or not self.advised_weights or fleet == self.repaired_fleet:
            return []
        self.repaired_fleet = fleet
        servers = self.servers(planner)
        tables = {}
        for number, zone, _, request_class in self._table_slots():
            usable = _usable_servers(servers, zone, request_class)
            old = self.advised_weights.get(number, {})
            tables[zone, request_class.name] = normalise(_extended(old, usable))
        return self.advise_tables(tables, planner)

    def accept(self, plan: Plan, planner: Planner) -> list[api.Event]:
        """Advice from a plan; entries that barely change are left as they are."""
        self._note_success()
        self.previous_plan = self.last_plan
        self.last_plan = plan
        events = self.advise_tables(plan.weights, planner)
        if self.settings.solver.advise_capacity:
            events.append(api.CapacityAdvised(self._sustainable_rate(plan)))
        return events

    def accept_slice_weights(self, weights: Mapping[int, Weights]) -> list[api.Event]:
        """Advice on the entries of slices; a slice left out keeps what it has."""
        self._note_success()
        return [api.TableAdvised(number, entries, False) for number, entries in sorted(weights.items())]

    def advise_tables(self, tables: Mapping[tuple[str, str], Weights], planner: Planner) -> list[api.Event]:
        """What differs from what the planner has: it may have dropped entries since they were told.

        Args:
            tables: by zone and class.
            planner: that gets the advice.
        """
        events: list[api.Event] = []
        for number, zone, _, request_class in self._table_slots():
            slice_state = planner.slices.get(number)
            is_assigned = slice_state is not None and slice_state.externally_assigned
            present: dict[str, float] = {}
            if slice_state is not None and is_assigned:
                present = {endpoint: slice_state.desired_weight(endpoint) for endpoint in slice_state.assigned}
            entries = keep_similar(tables.get((zone, request_class.name), ()), present)
            self.advised_weights[number] = dict(entries)
            if dict(entries) != present or not is_assigned:
                events.append(api.TableAdvised(number, entries, True))
        return events

    def readvise(self) -> list[api.Event]:
        """All advice anew, for a planner that was started over."""
        return [
            api.TableAdvised(number, tuple(weights.items()), True)
            for number, weights in sorted(self.advised_weights.items())
        ]

    def _sustainable_rate(self, plan: Plan) -> float:
        """Requests a second that fit, where not all do; 0 where all do."""
        if all(share > FULLY_ADMITTED for share in plan.admitted.values()):
            return 0.0
        if sum(plan.shed.values()) <= 0:
            return 0.0
        work = sum(row.load for row in plan.servers)
        mean_work_s = sum(each.mean_work_s for each in self.classes) / len(self.classes)
        return work / mean_work_s

    # -- why

    def explain(self) -> dict[str, Any]:
        """The last plan for people and scripts, as JSON values."""
        if self.last_plan is None:
            return explain_nothing(self.failure_reason or "no plan yet")
        return explain_plan(self.last_plan, self.previous_plan, self.failure_reason or self.last_plan.status)


def _request_classes(settings: PilotSettings) -> tuple[RequestClass, ...]:
    return tuple(
        RequestClass(
            name=name,
            priority_weight=section.priority_weight,
            late_weight=min(section.late_weight, section.priority_weight),
            mean_work_s=max(section.mean_work, 1) / NS_PER_SECOND,
            latency_objective_s=section.latency_objective / NS_PER_SECOND,
            own_zone_only=section.own_zone_only,
        )
        for name, section in settings.classes.items()
    )


def _costs(settings: PilotSettings) -> Costs:
    solver = settings.solver
    return Costs(
        cross_zone=solver.cross_zone_cost,
        zone_pairs=solver.zone_pair_costs,
        move=solver.move_cost,
        min_share=solver.min_share,
        max_move_share=solver.max_move_share,
        headroom=solver.headroom,
        demand_spread=solver.demand_spread,
    )


def _usable_servers(servers: tuple[Server, ...], zone: str, request_class: RequestClass) -> list[Server]:
    """Servers that requests of a class from a zone may go to."""
    return [server for server in servers if server.zone == zone or not request_class.own_zone_only]


def _extended(weights: Mapping[str, float], servers: list[Server]) -> dict[str, float]:
    """A table's weights for these servers; a new one gets the level of the others by capacity."""
    known = [server for server in servers if server.name in weights]
    capacity = sum(server.capacity for server in known) or 1.0
    level = sum(weights[server.name] for server in known) / capacity or 1.0
    extended = {}
    for server in servers:
        extended[server.name] = weights.get(server.name, level * server.capacity * server.max_share)
    return extended
