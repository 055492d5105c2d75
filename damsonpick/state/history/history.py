"""History of the published state: the kept versions, and the state of each of them. Sans I/O.

The state of an earlier version is computed from the newest state by reverting the differences of all later versions.
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

MIN_ROOT_DIGITS = 4  # least number of digits of an abbreviated root


class Retention(NamedTuple):
    """Maximum number of versions kept, and their maximum age in ns. The newest version is always kept."""

    max_versions: int
    max_age_ns: int


class History:
    """Versions in ascending order, and the newest state."""

    def __init__(self, retention: Retention) -> None:
        """Create a history without versions."""
        self.retention = retention
        self.versions: OrderedDict[int, Version] = OrderedDict()
        self.state: State = {}
        self.roots: dict[str, int] = {}  # number of the newest version by root

    # -- adding and removing versions

    def load(self, versions: Iterable[Version]) -> None:
        """Add versions from the database, oldest first; call `begin` or `resume` next to set the newest state."""
        for version in versions:
            self.versions[version.number] = version
            self.roots[version.root] = version.number

    def begin(self, published: PublishedTables, origin: VersionOrigin) -> Version:
        """Add a version for the state at a start. Its difference has the changes that no version has recorded yet."""
        self.resume(published)
        return self._append(origin, state_difference(self._last_recorded_state(), self.state))

    def resume(self, published: PublishedTables) -> None:
        """Set the newest state to the published one, without a new version.

        `begin` must be called instead if the published state has changed since the newest version.
        """
        self.state = {unit: unit_content(published, unit) for unit in published.units()}

    def add(self, published: PublishedTables, units: Iterable[str], origin: VersionOrigin) -> Version | None:
        """Add a version after a change of some units; return None if no value differs."""
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
            # A version must not be older than its parent, even if the clock was set back.
            published_at = max(origin.time, last.published_at)
        version = Version(number, origin.root, parent, published_at, origin.cause, origin.note, difference)
        self.versions[version.number] = version
        self.roots[version.root] = version.number
        return version

    def _last_recorded_state(self) -> State:
        """Return the state after the newest kept version, computed from the kept differences.

        A key that is in no kept difference has the value of the present state.
        """
        state = copy_state(self.state)
        for version in self.versions.values():
            apply_difference(state, version.difference)
        return state

    def prune(self, now: int) -> int:
        """Remove the versions that exceed the retention; return the lowest number that is kept, 0 if there is none."""
        while len(self.versions) > 1:
            number, version = next(iter(self.versions.items()))
            is_within_count = len(self.versions) <= self.retention.max_versions
            is_within_age = now - version.published_at <= self.retention.max_age_ns
            if is_within_count and is_within_age:
                break
            del self.versions[number]
            if self.roots.get(version.root) == number:
                del self.roots[version.root]
        return self._lowest_number()

    # -- lookup

    def _lowest_number(self) -> int:
        return next(iter(self.versions), 0)

    def _highest_number(self) -> int:
        return next(reversed(self.versions), 0)

    def newest(self) -> Version | None:
        """Return the newest version, or None if there is none yet."""
        return self.versions[self._highest_number()] if self.versions else None

    def find(self, name: str) -> Version:
        """Return a version by its number or by the beginning of its root.

        The beginning of a root needs at least four digits. If several versions match, the newest is returned.

        Raises:
            UnknownVersionError: No kept version matches.
        """
        if name.isdecimal() and int(name) in self.versions:
            return self.versions[int(name)]
        if len(name) >= MIN_ROOT_DIGITS:
            for version in reversed(self.versions.values()):
                if version.root.startswith(name):
                    return version
        raise UnknownVersionError(name, self._lowest_number(), self._highest_number())

    def state_at(self, number: int) -> State:
        """Return the state of a kept version.

        Raises:
            UnknownVersionError: The version is not kept.
        """
        state = copy_state(self.state)
        for version in reversed(self.versions.values()):
            if version.number == number:
                return state
            revert_difference(state, version.difference)
        raise UnknownVersionError(str(number), self._lowest_number(), self._highest_number())

    def difference(self, from_number: int, to_number: int) -> Difference:
        """Return the difference between the states of two kept versions."""
        return state_difference(self.state_at(from_number), self.state_at(to_number))
