"""Every published state as a version that never changes: number, root, parent, time, cause, difference. Sans I/O.

A state is a map from unit to a map of *keys*: `line ENDPOINT` to its weight, `level CLASS` to the share let in, `out
ENDPOINT` to 1, `retry TABLE CLASS` to the mode. A version keeps only what it changed; a state of the past is found by
going back from the present one, so a version costs what changed and not the table.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from damsonpick.state.published_tables import FLEET, ROUTES, PublishedTables, slice_unit

Content = dict[str, float]
State = dict[str, Content]
BEFORE, AFTER = 0, 1  # sides of a difference
Difference = dict[str, dict[str, tuple[float | None, float | None]]]  # unit: key: (before, after)


class Version(NamedTuple):
    """One published state. Times in ns."""

    number: int
    root: str
    parent: int
    at: int
    cause: str  # module, solver, operator, rollback, restart
    note: str
    difference: Difference

    def brief(self) -> dict[str, object]:
        lines = sum(map(len, self.difference.values()))
        return {
            "version": self.number,
            "root": self.root,
            "parent": self.parent,
            "at": self.at,
            "cause": self.cause,
            "note": self.note,
            "units": len(self.difference),
            "lines": lines,
        }


class UnknownVersion(ValueError):
    """No such version is kept; the text says which are."""


def content(published: PublishedTables, unit: str) -> Content:
    """What a unit holds now."""
    if unit == ROUTES:
        return {f"retry {'-' if t is None else t} {k}": float(m) for (t, k), m in published.retries.items() if m}
    if unit == FLEET:
        found = {f"out {name}": 1.0 for name in published.withdrawn}
        place = None
    else:
        place = number_of(unit)
        found = {f"line {name}": weight for name, weight in published.tables[place].items()}
    for k in range(len(published.classes)):
        if (level := published.levels.get((place, k), 1.0)) != 1.0:
            found[f"level {k}"] = level
    return found


def between(before: Mapping[str, float], after: Mapping[str, float]) -> dict[str, tuple[float | None, float | None]]:
    """Keys that differ."""
    return {key: (before.get(key), after.get(key)) for key in {**before, **after} if before.get(key) != after.get(key)}


class History:
    """Versions in order, the newest state, and what lies between.

    Args:
        keep: versions kept at most.
        age: ns for which one is kept at most; the newest is always kept.
    """

    def __init__(self, keep: int, age: int) -> None:
        self.keep, self.age = keep, age
        self.versions: OrderedDict[int, Version] = OrderedDict()
        self.state: State = {}
        self.roots: dict[str, int] = {}  # the newest version with a root

    # -- growing

    def start(self, versions: Iterable[Version]) -> None:
        """Versions as the store holds them, oldest first; `begin` or `resume` then sets the newest state."""
        for version in versions:
            self.versions[version.number] = version
            self.roots[version.root] = version.number

    def begin(self, now: int, published: PublishedTables, root: str, cause: str) -> Version:
        """The state at a start. It is a version of its own: what changed since the last one is its difference."""
        self.resume(published)
        return self._add(now, root, cause, "", _difference(self._replayed(), self.state))

    def resume(self, published: PublishedTables) -> None:
        """The newest version is what is published: nothing has changed since."""
        self.state = {unit: content(published, unit) for unit in published.units()}

    def add(
        self, now: int, published: PublishedTables, units: Iterable[str], root: str, cause: str, note: str = ""
    ) -> Version | None:
        """The state after a change of some units; None: nothing is different."""
        difference: Difference = {}
        for unit in units:
            after = content(published, unit)
            if changed := between(self.state.get(unit, {}), after):
                difference[unit] = changed
            self.state[unit] = after
        return self._add(now, root, cause, note, difference) if difference else None

    def _add(self, now: int, root: str, cause: str, note: str, difference: Difference) -> Version:
        last = self.newest()
        at = max(now, last.at) if last else now  # a clock set back does not make the past newer
        version = Version(last.number + 1 if last else 1, root, last.number if last else 0, at, cause, note, difference)
        self.versions[version.number] = version
        self.roots[root] = version.number
        return version

    def _replayed(self) -> State:
        """The state after the newest kept version, as far as the kept differences tell: what none of them names
        has not changed since, so it is as it is now."""
        state = _copy(self.state)
        for version in self.versions.values():
            _apply(state, version.difference, AFTER)
        return state

    def prune(self, now: int) -> int:
        """Forget what is over the bounds; returns the lowest number that is kept."""
        while len(self.versions) > 1:
            number, version = next(iter(self.versions.items()))
            if len(self.versions) <= self.keep and now - version.at <= self.age:
                break
            del self.versions[number]
            if self.roots.get(version.root) == number:
                del self.roots[version.root]
        return next(iter(self.versions), 0)

    # -- looking

    def newest(self) -> Version | None:
        return self.versions[next(reversed(self.versions))] if self.versions else None

    def find(self, name: str) -> Version:
        """By number, or by the beginning of a root (at least four digits; the newest of several).

        Raises:
            UnknownVersion
        """
        if name.isdigit() and int(name) in self.versions:
            return self.versions[int(name)]
        if len(name) >= 4:
            for version in reversed(self.versions.values()):
                if version.root.startswith(name):
                    return version
        low, high = next(iter(self.versions), 0), next(reversed(self.versions), 0)
        raise UnknownVersion(f"version {name}: not kept; there are {low} to {high}, by number or by root")

    def at(self, number: int) -> State:
        """The state of a kept version."""
        state = _copy(self.state)
        for version in reversed(self.versions.values()):
            if version.number == number:
                return state
            _apply(state, version.difference, BEFORE)
        raise UnknownVersion(f"version {number}: not kept")

    def difference(self, one: int, other: int) -> Difference:
        """What is to change to come from one kept version to another."""
        return _difference(self.at(one), self.at(other))


def _copy(state: State) -> State:
    return {unit: dict(keys) for unit, keys in state.items()}


def _difference(before: State, after: State) -> Difference:
    return {u: d for u in {**before, **after} if (d := between(before.get(u, {}), after.get(u, {})))}


def _apply(state: State, difference: Difference, side: int) -> None:
    """Bring a state to one side of a difference."""
    for unit, keys in difference.items():
        have = state.setdefault(unit, {})
        for key, sides in keys.items():
            if sides[side] is None:
                have.pop(key, None)
            else:
                have[key] = sides[side]


def number_of(unit: str) -> int | None:
    """The slice of a unit; None: it is none."""
    kind, _, number = unit.partition("/")
    return int(number) if kind == "slice" else None


def lines(state: State, number: int) -> dict[str, float]:
    """The lines of one slice in a state."""
    return {key[5:]: weight for key, weight in state.get(slice_unit(number), {}).items() if key.startswith("line ")}
