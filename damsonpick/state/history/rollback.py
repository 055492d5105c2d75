"""The way back: which lines a rollback sets, and what flows while tables are pinned. Sans I/O.

Safety goes over obedience: a line of a barred or withdrawn endpoint is not revived, a cold one gets no more than it
has, and a slice that would be left without an open line keeps what it has. Whatever differs from the version asked
for is said. While pinned, the module's moves of weight are held back; what the rules need (withdrawals, levels, lines
that leave barred servers, lines for a slice left bare) flows.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state.history import history
from damsonpick.state.published_tables import FLEET, ROUTES

Lines = Mapping[str, float]


class Kept(NamedTuple):
    """Something that a rollback did not set as the version had it."""

    slice: int
    endpoint: str
    why: str


class Plan(NamedTuple):
    orders: list[api.SetEntry]
    kept: list[Kept]


def plan(
    target: history.State, tables: Mapping[int, Lines], barred: Callable[[str], bool], cold: Callable[[str], bool]
) -> Plan:
    """Orders that bring the present tables to those of a version, as far as is safe.

    Args:
        target: the state to go back to.
        tables: the present lines by slice.
        barred: endpoints that may not be picked now: draining, gone, unlisted, withdrawn.
        cold: endpoints that still warm up.
    """
    orders: list[api.SetEntry] = []
    kept: list[Kept] = []
    for number, have in sorted(tables.items()):
        want = _safe(number, history.lines(target, number), have, barred, cold, kept)
        if want is None:
            continue
        orders += [api.SetEntry(number, n, w) for n, w in want.items() if have.get(n) != w]
        orders += [api.SetEntry(number, n, 0.0) for n in have if n not in want]
    return Plan(orders, kept)


def admissions(target: history.State, present: history.State, classes: int) -> list[api.SetAdmission]:
    """Orders that set levels and retry modes as a version had them; none where they are so already."""
    orders: list[api.SetAdmission] = []
    for unit in {**present, **target}:
        table = None if unit == FLEET else history.number_of(unit)
        if unit != FLEET and table is None:
            continue
        for k in range(classes):
            was, now = (_admission(state, unit, table, k) for state in (target, present))
            if was != now:
                orders.append(api.SetAdmission(table, (k,), *was))
    return orders


def _admission(state: history.State, unit: str, table: int | None, k: int) -> tuple[float, int]:
    mode = state.get(ROUTES, {}).get(f"retry {'-' if table is None else table} {k}", 0.0)
    return state.get(unit, {}).get(f"level {k}", 1.0), int(mode)


def _safe(
    number: int, asked: Lines, have: Lines, barred: Callable[[str], bool], cold: Callable[[str], bool], kept: list[Kept]
) -> dict[str, float] | None:
    """The lines to set; None: the slice stays as it is."""
    want: dict[str, float] = {}
    changed: list[Kept] = []
    for name, weight in asked.items():
        if barred(name):
            changed.append(Kept(number, name, "may not be picked now"))
        elif cold(name) and weight > have.get(name, 0.0):
            changed.append(Kept(number, name, "still cold: no more than it has"))
            if name in have:
                want[name] = have[name]
        else:
            want[name] = weight
    if not want:
        kept.append(Kept(number, "", "the version has no line that may be picked: the present lines stay"))
        return None
    kept += changed
    return want


class Pin:
    """Tables held at a version. `until` in ns; 0: not pinned. `generation` counts operators' acts: two at once are
    told apart by it."""

    def __init__(self) -> None:
        self.until, self.version, self.generation = 0, 0, 0
        self.levels = False  # set back as well: until the pin ends they may fall and not rise

    def check(self, expected: int | None) -> None:
        """Compare before acting.

        Raises:
            ValueError: somebody else has acted since.
        """
        if expected is not None and expected != self.generation:
            raise ValueError(
                f"somebody else acted meanwhile (act {self.generation}, not {expected}); look at "
                "`versions list` and decide anew"
            )

    def set(self, version: int, until: int, levels: bool = False) -> None:
        self.version, self.until, self.levels = version, until, levels
        self.generation += 1

    def release(self) -> None:
        self.until, self.version, self.levels = 0, 0, False
        self.generation += 1

    def holds(self, now: int) -> bool:
        return self.until > now

    def sift(
        self,
        orders: Iterable[api.Action],
        tables: Mapping[int, Lines],
        barred: Callable[[str], bool],
        level: Callable[[int | None, int], float] = lambda *_: 0.0,
    ) -> tuple[list[api.Action], int]:
        """Orders that flow while pinned, and how many were held back. `level`: let in now, by table and class."""
        flow: list[api.Action] = []
        held = 0
        lines: dict[int, dict[str, float]] = {}
        for order in orders:
            if isinstance(order, api.SetEntry):
                have = lines.setdefault(order.table, dict(tables.get(order.table, {})))
                if not self._needed(order, have, barred):
                    held += 1
                    continue
                if order.weight > 0:
                    have[order.endpoint] = order.weight
                else:
                    have.pop(order.endpoint, None)
            elif isinstance(order, api.ClearTable) or (
                self.levels
                and isinstance(order, api.SetAdmission)
                and all(order.level >= level(order.table, k) for k in order.classes)
            ):
                held += 1
                continue
            flow.append(order)
        return flow, held

    def _needed(self, order: api.SetEntry, have: Lines, barred: Callable[[str], bool]) -> bool:
        """What the rules need: off a barred server while another line is open; onto one where none is."""
        others = [n for n in have if n != order.endpoint and not barred(n)]
        if order.weight > 0:
            return not others and not barred(order.endpoint) and order.endpoint not in have
        return barred(order.endpoint) and bool(others)
