"""Builds solver problems from the planner's state and turns plans into advice for the planner. Sans I/O.

The solver uses the planner's view of the fleet: unroutable endpoints, warm-up, learned capacity factors and averaged
demand. Like the planner, it does not use what servers report about themselves: a server that claims to be idle is
assessed by its responses. Advice is returned to the planner as events and is subject to the planner's rules,
withdrawals, flow control and admission levels.
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

MIN_CAPACITY = 1e-3  # cores; lower bound of a server's capacity
MIN_RATE = 1e-6  # requests per second up to which demand counts as 0
MAX_RATE = 1e12  # requests per second; a higher rate is considered a fault in the reports and counts as 0
MAX_CORES = 256  # upper bound of a server's number of cores in a problem
MIN_WARMING_SHARE = 0.05  # lower bound of `Server.max_share` while a server warms up
MAX_RETRY_INTERVAL_NS = 30 * NS_PER_SECOND  # longest interval between solves after failures
MAX_BACKOFF_DOUBLINGS = 10  # maximum number of times that consecutive failures double the interval between solves
FULLY_ADMITTED = 0.999  # admitted share above which a class counts as fully admitted


class FleetMember(NamedTuple):
    """A routable endpoint and the time of its last start in nanoseconds."""

    endpoint: str
    started: int


class TableSlot(NamedTuple):
    """A table of a deployment without slices, which has one table for each zone and request class.

    Attributes:
        number: Number of the table.
        zone: Zone of the gateways that use the table.
        class_index: Index of `request_class` in the order of the settings.
        request_class: Request class that the table is for.
    """

    number: int
    zone: str
    class_index: int
    request_class: RequestClass


class Advisor:
    """Schedules solves, builds problems and gives advice to the planner.

    In a deployment without slices, the advice also assigns endpoints to tables.

    Args:
        settings: The pilot's settings.
        zone_of: Returns the zone of an endpoint, or '' if it is unknown.

    Attributes:
        classes: Request classes, in the order of the settings.
        costs: Costs and limits for the solver.
        due_at: Time at which the next solve is due, nanoseconds.
        last_plan: The last plan that the solver found; None before the first.
        previous_plan: The plan before `last_plan`, or None.
        advised_weights: Last advised weights by table and endpoint.
        solved_fleet: The fleet at the start of the last solve.
        repaired_fleet: The fleet for which `advice_for_changed_fleet` last computed advice.
        failures: Number of failed solves since the last successful solve.
        failure_reason: Reason of the last failure; empty after a successful solve.
    """

    def __init__(self, settings: PilotSettings, zone_of: Callable[[str], str]) -> None:
        """Create an advisor that has no plan yet."""
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

    # -- schedule

    def is_due(self, now: int, planner: Planner) -> bool:
        """Return whether to solve at `now` (ns).

        A solve is due after the interval, and immediately when servers were added, removed or restarted.
        """
        return now >= self.due_at or self.fleet(planner) != self.solved_fleet

    def fleet(self, planner: Planner) -> tuple[FleetMember, ...]:
        """Return all routable endpoints in the order of their names."""
        members = []
        for name, state in sorted(planner.endpoints.items()):
            if not planner.is_unroutable(name):
                members.append(FleetMember(name, state.started))
        return tuple(members)

    def begin_solve(self, now: int, planner: Planner) -> None:
        """Record that a solve starts at `now` (ns)."""
        self.solved_fleet = self.fleet(planner)
        self.due_at = now + self.settings.solver.period

    def note_failure(self, now: int, reason: str) -> None:
        """Record that a solve failed at `now` (ns).

        The last advised weights stay valid. The delay before the next attempt grows with each failure, up
        to `MAX_RETRY_INTERVAL_NS`.
        """
        self.failures += 1
        self.failure_reason = reason
        backoff = self.settings.solver.period * 2 ** min(self.failures, MAX_BACKOFF_DOUBLINGS)
        self.due_at = now + min(MAX_RETRY_INTERVAL_NS, backoff)

    def _note_success(self) -> None:
        self.failures = 0
        self.failure_reason = ""

    # -- problems

    def servers(self, planner: Planner) -> tuple[Server, ...]:
        """Return every server that may be used, in the order of their names."""
        last_shares = {row.name: row.share for row in self.last_plan.servers} if self.last_plan else {}
        usable = planner.usable_capacities()
        max_warming_share = max(MIN_WARMING_SHARE, self._utilisation(planner, sum(usable.values())))
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
                    max_share=max_warming_share if planner.is_warming_up(name) else 1.0,
                    failure_ratio=round(min(1.0, max(0.0, 1.0 - state.success_ratio)), 3),
                    work_share=last_shares.get(name, 0.0),
                )
            )
        return tuple(servers)

    def _utilisation(self, planner: Planner, capacity: float) -> float:
        """Return the used share of the fleet's capacity, at most 1."""
        work = sum(map(self._work, planner.slices.values()))
        return min(1.0, work / (capacity or 1.0))

    def _work(self, slice_state: SliceState) -> float:
        """Return the averaged work of a table's requests in core-seconds per second."""
        rates = zip(slice_state.rates, self.classes, strict=True)
        return sum(rate * request_class.mean_work_s for rate, request_class in rates)

    def _table_slots(self) -> Iterator[TableSlot]:
        """Yield all tables of a deployment without slices, in the order of their numbers."""
        number = 0
        for zone in self.settings.pilot.zones:
            for class_index, request_class in enumerate(self.classes):
                yield TableSlot(number, zone, class_index, request_class)
                number += 1

    def problem(self, planner: Planner) -> Problem:
        """Return the problem for tables by zone and class over all servers, for deployments without slices."""
        demand = []
        for number, zone, class_index, request_class in self._table_slots():
            slice_state = planner.slices.get(number)
            rate = slice_state.rates[class_index] if slice_state else 0.0
            is_credible = MIN_RATE < rate < MAX_RATE
            demand.append(Demand(zone, request_class.name, rate if is_credible else 0.0))
        return Problem(self.classes, self.servers(planner), tuple(demand), self.costs)

    def slice_problem(self, planner: Planner) -> SliceWeightsProblem:
        """Return the problem for the weights of all slices that have endpoints and work."""
        loads = []
        for number, slice_state in sorted(planner.slices.items()):
            work = self._work(slice_state)
            if slice_state.assigned and work > 0:
                weights = tuple(slice_state.desired_weight(endpoint) for endpoint in slice_state.assigned)
                loads.append(SliceLoad(number, work, tuple(slice_state.assigned), weights))
        return SliceWeightsProblem(self.classes, self.servers(planner), tuple(loads), self.costs)

    # -- advice

    def initial_tables(self, planner: Planner) -> list[api.Event]:
        """Return advice in proportion to capacity for a deployment without slices. It applies until the first plan.

        The result is empty in a deployment with slices, if tables have been advised before, or while the planner knows
        no endpoints.
        """
        if self.settings.tables.slices or self.advised_weights or not planner.endpoints:
            return []
        servers = self.servers(planner)
        tables = {}
        for _, zone, _, request_class in self._table_slots():
            usable = _usable_servers(servers, zone, request_class)
            capacities = {server.name: server.capacity * server.max_share for server in usable}
            tables[zone, request_class.name] = normalise(capacities)
        return self.advise_tables(tables, planner)

    def advice_for_changed_fleet(self, planner: Planner) -> list[api.Event]:
        """Return advice when servers were added, removed or restarted, without waiting for a solve.

        The result is empty in a deployment with slices, if no tables have been advised yet, or if the fleet is the same
        as at the last call that computed advice.

        Servers keep their last weights. Servers that are new to a table get the mean weight per capacity of the others,
        multiplied by their `max_share`.
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
            tables[zone, request_class.name] = normalise(_extend_weights(old, usable))
        return self.advise_tables(tables, planner)

    def accept(self, plan: Plan, planner: Planner) -> list[api.Event]:
        """Store a plan and return advice from it. Entries that barely change keep their weight.

        If the setting `advise_capacity` is on, the advice includes the rate that the fleet can sustain.
        """
        self._note_success()
        self.previous_plan = self.last_plan
        self.last_plan = plan
        events = self.advise_tables(plan.weights, planner)
        if self.settings.solver.advise_capacity:
            events.append(api.CapacityAdvised(self._sustainable_rate(plan)))
        return events

    def accept_slice_weights(self, weights: Mapping[int, Weights]) -> list[api.Event]:
        """Return advice on the entries of slices. Slices that are not in `weights` keep their entries."""
        self._note_success()
        return [api.TableAdvised(number, entries, False) for number, entries in sorted(weights.items())]

    def advise_tables(self, tables: Mapping[tuple[str, str], Weights], planner: Planner) -> list[api.Event]:
        """Return advice on the tables that differ from the planner's current tables or are not advised yet.

        The comparison uses the planner's state, because the planner may have dropped entries since they were advised.

        Args:
            tables: New weights by zone and class.
            planner: The planner that receives the advice.
        """
        events: list[api.Event] = []
        for number, zone, _, request_class in self._table_slots():
            slice_state = planner.slices.get(number)
            is_assigned = slice_state is not None and slice_state.externally_assigned
            current_weights: dict[str, float] = {}
            if slice_state is not None and is_assigned:
                current_weights = {endpoint: slice_state.desired_weight(endpoint) for endpoint in slice_state.assigned}
            entries = keep_similar(tables.get((zone, request_class.name), ()), current_weights)
            self.advised_weights[number] = dict(entries)
            if dict(entries) != current_weights or not is_assigned:
                events.append(api.TableAdvised(number, entries, True))
        return events

    def repeat_advice(self) -> list[api.Event]:
        """Return all advice again, for a planner that was restarted."""
        return [
            api.TableAdvised(number, tuple(weights.items()), True)
            for number, weights in sorted(self.advised_weights.items())
        ]

    def _sustainable_rate(self, plan: Plan) -> float:
        """Return the requests per second that the fleet can sustain, or 0 if the plan sheds little or none."""
        if all(share > FULLY_ADMITTED for share in plan.admitted.values()):
            return 0.0
        if sum(plan.shed.values()) <= 0:
            return 0.0
        work = sum(row.load for row in plan.servers)
        mean_work_s = sum(each.mean_work_s for each in self.classes) / len(self.classes)
        return work / mean_work_s

    # -- explanation

    def explain(self) -> dict[str, Any]:
        """Return an explanation of the last plan as JSON values, for operators and scripts."""
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
    """Return the servers that may serve requests of a class from gateways of a zone."""
    return [server for server in servers if server.zone == zone or not request_class.own_zone_only]


def _extend_weights(weights: Mapping[str, float], servers: list[Server]) -> dict[str, float]:
    """Return the weights of a table for these servers.

    New servers get the mean weight per capacity of the others, multiplied by their `max_share`.
    """
    known = [server for server in servers if server.name in weights]
    capacity = sum(server.capacity for server in known) or 1.0
    level = sum(weights[server.name] for server in known) / capacity or 1.0
    all_weights = {}
    for server in servers:
        all_weights[server.name] = weights.get(server.name, level * server.capacity * server.max_share)
    return all_weights
