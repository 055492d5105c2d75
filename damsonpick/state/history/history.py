"""The versions of the published state that are kept, and the states of the past. Sans I/O.

A state of the past is found by reverting the differences of all later versions from the newest state.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from damsonpick.state.history.errors import UnknownVersionError
from damsonpick.state.history.version import (
    Difference,
    State,
    Version,
    VersionOrigin,
    apply_difference,
    changed_values,
    copy_state,
    revert_difference,
    state_difference,
    unit_content,
)
from damsonpick.state.published_tables import PublishedTables

MIN_ROOT_DIGITS = 4  # of an abbreviated root


class Retention(NamedTuple):
    """How many versions are kept, and for how long (ns). The newest is always kept."""

    max_versions: int
    max_age_ns: int


class History:
    """Versions in order, and the newest state."""

    def __init__(self, retention: Retention) -> None:
        """Begin without versions."""
        self.retention = retention
        self.versions: OrderedDict[int, Version] = OrderedDict()
        self.state: State = {}
        self.roots: dict[str, int] = {}  # the newest version with a root

    # -- growing

    def load(self, versions: Iterable[Version]) -> None:
        """Take versions from the database, oldest first; `begin` or `resume` then sets the newest state."""
        for version in versions:
            self.versions[version.number] = version
            self.roots[version.root] = version.number

    def begin(self, published: PublishedTables, origin: VersionOrigin) -> Version:
        """Add the state at a start: what changed since the last version, unrecorded, is its difference."""
        self.resume(published)
        return self._append(origin, state_difference(self._last_recorded_state(), self.state))

    def resume(self, published: PublishedTables) -> None:
        """The newest version is what is published: nothing has changed since."""
        self.state = {unit: unit_content(published, unit) for unit in published.units()}

    def add(self, published: PublishedTables, units: Iterable[str], origin: VersionOrigin) -> Version | None:
        """Add the state after a change of some units; None: nothing differs."""
        difference: Difference = {}
        for unit in units:
            content = unit_content(published, unit)
            changed = changed_values(self.state.get(unit, {}), content)
            if changed:
                difference[unit] = changed
            self.state[unit] = content
        return self._append(origin, difference) if difference else None

    def _append(self, origin: VersionOrigin, difference: Difference) -> Version:
        last = self.newest()
        number, parent, published_at = 1, 0, origin.time
        if last is not None:
            number, parent = last.number + 1, last.number
            published_at = max(
                origin.time, last.published_at
            )  # a clock set back makes no version older than its parent
        version = Version(number, origin.root, parent, published_at, origin.cause, origin.note, difference)
        self.versions[version.number] = version
        self.roots[version.root] = version.number
        return version

    def _last_recorded_state(self) -> State:
        """The state after the newest kept version, as far as the kept differences tell.

        What none of them names has not changed since, so it is as it is now.
        """
        state = copy_state(self.state)
        for version in self.versions.values():
            apply_difference(state, version.difference)
        return state

    def prune(self, now: int) -> int:
        """Forget versions beyond the retention; returns the lowest number that is kept."""
        while len(self.versions) > 1:
            number, version = next(iter(self.versions.items()))
            is_within_count = len(self.versions) <= self.retention.max_versions
            is_within_age = now - version.published_at <= self.retention.max_age_ns
            if is_within_count and is_within_age:
                break
            del self.versions[number]
            if self.roots.get(version.root) == number:
                del self.roots[version.root]
        return self._lowest()

    # -- looking

    def _lowest(self) -> int:
        return next(iter(self.versions), 0)

    def _highest(self) -> int:
        return next(reversed(self.versions), 0)

    def newest(self) -> Version | None:
        """The newest version; None: there is none yet."""
        return self.versions[self._highest()] if self.versions else None

    def find(self, name: str) -> Version:
        """A version by number, or by the beginning of a root (at least four digits; the newest of several).

        Raises:
            UnknownVersionError: none is kept.
        """
        if name.isdecimal() and int(name) in self.versions:
            return self.versions[int(name)]
        if len(name) >= MIN_ROOT_DIGITS:
            for version in reversed(self.versions.values()):
                if version.root.startswith(name):
                    return version
        raise UnknownVersionError(name, self._lowest(), self._highest())

    def state_at(self, number: int) -> State:
        """The state of a kept version.

        Raises:
            UnknownVersionError: it is not kept.
        """
        state = copy_state(self.state)
        for version in reversed(self.versions.values()):
            if version.number == number:
                return state
            revert_difference(state, version.difference)
        raise UnknownVersionError(str(number), self._lowest(), self._highest())

    def difference(self, from_number: int, to_number: int) -> Difference:
        """What is to change to come from one kept version to another."""
        return state_difference(self.state_at(from_number), self.state_at(to_number))
