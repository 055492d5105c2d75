"""From what the module believes to a problem, and from a plan to advice. Sans I/O.

The solver sees the fleet through the module: which servers the list bars, cold ramps, learned speeds and
averaged demand are the module's. What servers report of themselves is not used at all, as in the module: a server
that claims to be idle is judged by its answers. Advice goes back as events; the module's rules, withdrawals,
channel and levels bind it.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner, SliceState
from damsonpick.settings.model import PilotSettings
from damsonpick.solver import plan as plans
from damsonpick.solver.lines import LinesProblem, Piece
from damsonpick.solver.model import Costs, Kind, Plan, Problem, Server

SECOND = 1_000_000_000
LEAST_CAPACITY = 1e-3  # of a core: an unknown or absurd capacity is not nought
LEAST_RATE = 1e-6  # requests a second that count as none
COLD_PART = 0.05  # of its present capacity that a cold server may have at least
SLOWEST = 30 * SECOND  # between tries after failures


class Advisor:
    """When to solve, what to ask, and what to tell the module. Tables are laid where there are no slices.

    Args:
        settings: the pilot's settings.
        zone_of: the zone of an endpoint, '' if unknown.
    """

    def __init__(self, settings: PilotSettings, zone_of: Callable[[str], str]) -> None:
        self.settings, self.zone_of = settings, zone_of
        s = settings.solver
        self.kinds = tuple(
            Kind(
                name,
                kind.priority_weight,
                min(kind.late_weight, kind.priority_weight),
                max(kind.mean_work, 1) / SECOND,
                kind.latency_objective / SECOND,
                kind.own_zone_only,
            )
            for name, kind in settings.classes.items()
        )
        self.costs = Costs(
            s.cross_zone_cost,
            s.zone_pair_costs,
            s.move_cost,
            s.min_share,
            s.max_move_share,
            s.headroom,
            s.demand_spread,
        )
        self.due_at = 0
        self.seen: tuple = ()
        self.mended: tuple = ()
        self.last: Plan | None = None
        self.before: Plan | None = None
        self.told: dict[int, dict[str, float]] = {}
        self.fails = 0
        self.trouble = ""

    # -- when

    def due(self, now: int, planner: Planner) -> bool:
        """At its interval, and at once when servers come, go, or start anew."""
        return now >= self.due_at or self._fleet(planner) != self.seen

    def _fleet(self, planner: Planner) -> tuple:
        return tuple((n, ep.started) for n, ep in sorted(planner.endpoints.items()) if not planner.is_unroutable(n))

    def begin(self, now: int, planner: Planner) -> None:
        """A solve starts now."""
        self.seen, self.due_at = self._fleet(planner), now + self.settings.solver.period

    def failed(self, now: int, why: str) -> None:
        """The last good weights stay; tries grow rarer."""
        self.fails += 1
        self.trouble = why
        self.due_at = now + min(SLOWEST, self.settings.solver.period * 2 ** min(self.fails, 10))

    # -- what is asked

    def servers(self, planner: Planner) -> tuple[Server, ...]:
        """Every server that may be used, in a settled order."""
        shares = {row.name: row.share for row in self.last.servers} if self.last else {}
        usable = planner.usable_capacities()
        total = sum(usable.values()) or 1.0
        used = min(1.0, sum(map(self._work, planner.slices.values())) / total)
        found = []
        for name in sorted(usable):
            ep = planner.endpoints[name]
            cold = planner.is_warming_up(name)
            capacity = usable[name] if math.isfinite(usable[name]) else 1.0
            found.append(
                Server(
                    name,
                    self.zone_of(name),
                    max(LEAST_CAPACITY, capacity),
                    max(1, min(256, round(ep.weight))),
                    max(COLD_PART, used) if cold else 1.0,
                    round(min(1.0, max(0.0, 1.0 - ep.success_ratio)), 3),
                    shares.get(name, 0.0),
                )
            )
        return tuple(found)

    def _work(self, piece: SliceState) -> float:
        """Averaged work a second that a table's requests bring."""
        return sum(rate * kind.work for rate, kind in zip(piece.rates, self.kinds, strict=True))

    def problem(self, planner: Planner) -> Problem:
        """Tables by zone and class over all servers."""
        zones, count = self.settings.pilot.zones, len(self.kinds)
        demand = []
        for place, zone in enumerate(zones):
            for k, kind in enumerate(self.kinds):
                piece = planner.slices.get(place * count + k)
                rate = piece.rates[k] if piece else 0.0
                demand.append((zone, kind.name, rate if LEAST_RATE < rate < 1e12 else 0.0))
        return Problem(self.kinds, self.servers(planner), tuple(demand), self.costs)

    def lines_problem(self, planner: Planner) -> LinesProblem:
        """Weights among the homes of slices that have several."""
        pieces = []
        for number, piece in sorted(planner.slices.items()):
            work = self._work(piece)
            if piece.assigned and work > 0:
                old = tuple(piece.desired_weight(h) for h in piece.assigned)
                pieces.append(Piece(number, work, tuple(piece.assigned), old))
        return LinesProblem(self.kinds, self.servers(planner), tuple(pieces), self.costs)

    # -- what is told

    def stopgap(self, planner: Planner) -> list[api.Event]:
        """Where there are no slices: tables by capacity, at once, until the first plan."""
        if self.settings.tables.slices or self.told or not planner.endpoints:
            return []
        servers = self.servers(planner)
        tables = {}
        for zone in self.settings.pilot.zones:
            for kind in self.kinds:
                fit = {s.name: s.capacity * s.most for s in servers if s.zone == zone or not kind.own_zone}
                tables[zone, kind.name] = plans.normal(fit)
        return self._tables(tables, planner)

    def accept(self, plan: Plan, planner: Planner) -> list[api.Event]:
        """Advice from a plan; lines that barely change are left as they are."""
        self.fails, self.trouble = 0, ""
        self.before, self.last = self.last, plan
        events = self._tables(plan.weights, planner)
        if self.settings.solver.advise_capacity:
            events.append(api.CapacityAdvised(self._bearable(plan)))
        return events

    def repair(self, planner: Planner) -> list[api.Event]:
        """At once when servers come or go, before any solve: the last weights, and servers that are new to them
        at the level of the others by capacity."""
        if self.settings.tables.slices or not self.told or self._fleet(planner) == self.mended:
            return []
        self.mended = self._fleet(planner)
        servers, tables = self.servers(planner), {}
        for place, zone in enumerate(self.settings.pilot.zones):
            for k, kind in enumerate(self.kinds):
                old = self.told.get(place * len(self.kinds) + k, {})
                fit = [s for s in servers if s.zone == zone or not kind.own_zone]
                known = [s for s in fit if s.name in old]
                level = sum(old[s.name] for s in known) / (sum(s.capacity for s in known) or 1.0) or 1.0
                tables[zone, kind.name] = plans.normal(
                    {s.name: old.get(s.name, level * s.capacity * s.most) for s in fit}
                )
        return self._tables(tables, planner)

    def _tables(
        self, tables: dict[tuple[str, str], tuple[tuple[str, float], ...]], planner: Planner
    ) -> list[api.Event]:
        """What differs from what the module has: it may have dropped lines since they were told."""
        events: list[api.Event] = []
        for place, zone in enumerate(self.settings.pilot.zones):
            for k, kind in enumerate(self.kinds):
                number = place * len(self.kinds) + k
                piece = planner.slices.get(number)
                has = (
                    {h: piece.desired_weight(h) for h in piece.assigned} if piece and piece.externally_assigned else {}
                )
                lines = plans.keep(tables.get((zone, kind.name), ()), has)
                self.told[number] = dict(lines)
                if dict(lines) != has or not (piece and piece.externally_assigned):
                    events.append(api.TableAdvised(number, lines, True))
        return events

    def accept_lines(self, weights: dict[int, tuple[tuple[str, float], ...]]) -> list[api.Event]:
        """Advice on the lines of slices; a slice left out keeps what it has."""
        self.fails, self.trouble = 0, ""
        return [api.TableAdvised(number, lines, False) for number, lines in sorted(weights.items())]

    def _bearable(self, plan: Plan) -> float:
        """Requests a second that fit, where not all do; 0 where all do."""
        if all(share > 0.999 for share in plan.let_in.values()):
            return 0.0
        asked = sum(plan.shed.values())
        if asked <= 0:
            return 0.0
        work = sum(row.load for row in plan.servers)
        mean = sum(k.work for k in self.kinds) / len(self.kinds)
        return work / mean

    def again(self) -> list[api.Event]:
        """All advice anew, for a planner that was started over."""
        return [api.TableAdvised(n, tuple(lines.items()), True) for n, lines in sorted(self.told.items())]

    # -- why

    def explain(self) -> dict[str, object]:
        """The last plan for people and scripts: loads, limits, prices, and how it differs from the one before."""
        if self.last is None:
            return {"status": self.trouble or "no plan yet", "servers": [], "buildings": [], "classes": []}
        before = {row.name: row.share for row in self.before.servers} if self.before else {}
        servers = [
            {
                "server": r.name,
                "building": r.zone,
                "load": round(r.load, 4),
                "share": round(r.share, 5),
                "used": round(r.used, 4),
                "limits": list(r.binding),
                "price_of_a_core": round(r.price, 5),
                "was": round(before.get(r.name, 0.0), 5),
                "why": self._why(r, before),
            }
            for r in self.last.servers
        ]
        cross = [{"from": a, "to": b, "price": round(p, 5)} for (a, b), p in sorted(self.last.cross_price.items())]
        return {
            "status": self.trouble or self.last.status,
            "value": round(self.last.value, 4),
            "solved_in_ms": round(self.last.seconds * 1e3, 2),
            "servers": servers,
            "buildings": [
                {"building": z, "price_of_work": round(p, 5)} for z, p in sorted(self.last.zone_prices.items())
            ],
            "cross": cross,
            "classes": [
                {"class": n, "let_in": round(v, 4), "shed_worth": round(self.last.shed[n], 4)}
                for n, v in self.last.let_in.items()
            ],
        }

    def _why(self, row: object, before: dict[str, float]) -> str:
        if row.name not in before:
            return "new to the plan"
        change = row.share - before[row.name]
        if abs(change) <= 0.02 * max(row.share, before[row.name]):
            return "as before"
        word = "more" if change > 0 else "less"
        bound = {
            "capacity": "it is full",
            "cold": "it is cold",
            "least": "it keeps the least share",
            "moves": "the bound on moves holds it",
        }
        return f"{word} than before" + "".join(f"; {bound[b]}" for b in row.binding)
