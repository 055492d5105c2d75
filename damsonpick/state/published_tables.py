"""The published state and what each order changes of it. Pure state, no clock and no wire.

A *unit* is the smallest piece a gateway is sent whole: one slice's table, the fleet's withdrawals and
levels, or the retry routes. A *line* is what the channel counts: one endpoint in one table, one
withdrawal, one level. Every change gets a *sequence number*; it only grows within one run of a pilot.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from damsonpick import interface as api

FLEET, ROUTES = "fleet", "routes"


def _place(table: int | None) -> str:
    return "-" if table is None else str(table)


def slice_unit(number: int) -> str:
    return f"slice/{number}"


class Change(NamedTuple):
    """What one set of orders changed: its number, the lines by unit, and marks that wait on it."""

    seq: int
    lines: dict[str, set[str]]
    marks: list[int]
    urgent: bool  # a withdrawal is among it

    def cost(self) -> int:
        return sum(map(len, self.lines.values()))


class PublishedTables:
    """Tables by slice, levels and retry modes by class, endpoints withdrawn."""

    def __init__(self, classes: tuple[str, ...], slices: int) -> None:
        self.classes, self.slices = classes, slices
        self.tables: dict[int, dict[str, float]] = {n: {} for n in range(slices)}
        self.withdrawn: dict[str, int] = {}  # endpoint: the number of the change that withdrew it
        self.levels: dict[tuple[int | None, int], float] = {}
        self.retries: dict[tuple[int | None, int], int] = {}
        self.seq = 0
        self.changed: dict[str, int] = {unit: 0 for unit in self.units()}  # unit: its last change

    def units(self) -> Iterable[str]:
        yield FLEET
        yield ROUTES
        for number in range(self.slices):
            yield slice_unit(number)

    def restore(self, number: int, lines: dict[str, float]) -> None:
        """A table as the store holds it, before anything is published."""
        self.tables[number] = dict(lines)

    def standing(self) -> dict[str, float]:
        """Withdrawals, levels and retry modes as keys and figures: what a restart must find as it was."""
        found = {f"out {name}": 1.0 for name in self.withdrawn}
        found |= {f"level {_place(t)} {k}": v for (t, k), v in self.levels.items() if v != 1.0}
        return found | {f"retry {_place(t)} {k}": float(v) for (t, k), v in self.retries.items() if v}

    def restore_standing(self, kept: Mapping[str, float], levels: bool) -> None:
        """Orders of an earlier life, as `standing` gave them. `levels`: those too."""
        for key, value in kept.items():
            what, _, rest = key.partition(" ")
            if what == "out":
                self.withdrawn[rest] = 0
                continue
            table, _, k = rest.partition(" ")
            place = None if table == "-" else int(table)
            if not 0 <= int(k) < len(self.classes) or (place is not None and place not in self.tables):
                continue
            if what == "retry":
                self.retries[place, int(k)] = int(value)
            elif levels:
                self.levels[place, int(k)] = value

    def level(self, table: int | None, k: int) -> float:
        """Share of class k let in: the lower of the fleet's and, for a slice, its own."""
        low = self.levels.get((None, k), 1.0)
        return low if table is None else min(low, self.levels.get((table, k), 1.0))

    def apply(self, orders: Iterable[api.Action]) -> Change:
        """Carry out table orders; what an order leaves as it was changes nothing and costs nothing."""
        lines: dict[str, set[str]] = {}
        marks: list[int] = []
        urgent = False
        self.seq += 1
        for order in orders:
            if isinstance(order, api.RequestSync):
                marks.append(order.token)
                continue
            urgent |= isinstance(order, api.SetWithdrawn) and order.withdrawn and order.endpoint not in self.withdrawn
            for unit, line in self._one(order):
                lines.setdefault(unit, set()).add(line)
        for unit in lines:
            self.changed[unit] = self.seq
        return Change(self.seq, lines, marks, urgent)

    def _one(self, order: api.Action) -> list[tuple[str, str]]:
        if isinstance(order, api.SetEntry):
            return self._set_line(order)
        if isinstance(order, api.ClearTable):
            return self._clear(order.table)
        if isinstance(order, api.SetWithdrawn):
            return self._withdraw(order)
        if isinstance(order, api.SetAdmission):
            return self._admit(order)
        return []

    def _set_line(self, order: api.SetEntry) -> list[tuple[str, str]]:
        table = self.tables.get(order.table)
        if table is None or table.get(order.endpoint, 0.0) == order.weight:
            return []
        if order.weight > 0:
            table[order.endpoint] = order.weight
        else:
            table.pop(order.endpoint, None)
        return [(slice_unit(order.table), order.endpoint)]

    def _clear(self, number: int) -> list[tuple[str, str]]:
        table = self.tables.get(number)
        if table is None:
            return []
        gone = [(slice_unit(number), name) for name in table]
        table.clear()
        for k in range(len(self.classes)):
            if self.levels.pop((number, k), None) is not None:
                gone.append((slice_unit(number), f"level {k}"))
        return gone

    def _withdraw(self, order: api.SetWithdrawn) -> list[tuple[str, str]]:
        if order.withdrawn == (order.endpoint in self.withdrawn):
            return []
        if order.withdrawn:
            self.withdrawn[order.endpoint] = self.seq
        else:
            del self.withdrawn[order.endpoint]
        return [(FLEET, order.endpoint)]

    def _admit(self, order: api.SetAdmission) -> list[tuple[str, str]]:
        unit = FLEET if order.table is None else slice_unit(order.table)
        result = []
        for k in order.classes or range(len(self.classes)):
            if self.levels.get((order.table, k), 1.0) != order.level:
                result.append((unit, f"level {k}"))
            if self.retries.get((order.table, k), 0) != order.retry:
                result.append((ROUTES, f"retry {order.table} {k}"))
            self.levels[order.table, k] = order.level
            self.retries[order.table, k] = order.retry
        return result

    def touch(self, endpoints: Iterable[str]) -> Change:
        """A change of what is known of endpoints (their zone), in every table that names them."""
        self.seq += 1
        lines: dict[str, set[str]] = {}
        for name in endpoints:
            for number, table in self.tables.items():
                if name in table:
                    lines.setdefault(slice_unit(number), set()).add(name)
        self.changed.update(dict.fromkeys(lines, self.seq))
        return Change(self.seq, lines, [], False)

    def open_lines(self, number: int) -> list[str]:
        """Endpoints of a slice that a gateway may pick."""
        return [name for name in self.tables[number] if name not in self.withdrawn]
