"""The published state, and the changes that orders make to it. Pure state without clock or I/O.

A *unit* is the smallest part of the state that is sent to a client: the table of one slice, the withdrawals and levels
of the whole fleet, or the retry routes. An *entry* is what the send queue counts: one endpoint in one table, one
withdrawal, one level, or one retry mode. Every change has a sequence number, which increases within one run of the
controller.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state import persistent_actions
from damsonpick.state.persistent_actions import FULL_LEVEL, Scope, StoredLevel, StoredRetryMode, StoredWithdrawal

FLEET, ROUTES = "fleet", "routes"  # the units that do not belong to a slice
NO_RETRIES = 0  # default retry mode, for which no order is needed


def slice_unit(number: int) -> str:
    """Return the unit of a slice's table."""
    return f"slice/{number}"


class ChangedEntry(NamedTuple):
    """An entry that an order has changed."""

    unit: str
    key: str  # an endpoint, or a key from `_level_key` or `_retry_key`


class Change(NamedTuple):
    """Result of one call of `PublishedTables.apply` or `PublishedTables.mark_changed`.

    Attributes:
        seq: Sequence number of the change.
        entries: Changed entries by unit; empty if nothing has changed.
        sync_tokens: Tokens to be acknowledged by every client that has applied the change.
        urgent: Whether the change withdraws an endpoint that was not withdrawn.
    """

    seq: int
    entries: dict[str, set[str]]
    sync_tokens: list[int]
    urgent: bool

    def entry_count(self) -> int:
        """Return the number of changed entries."""
        return sum(map(len, self.entries.values()))


class PublishedTables:
    """Tables by slice, admission levels and retry modes by table and class, and withdrawn endpoints.

    Args:
        classes: Names of the request classes.
        slices: Number of slices.
    """

    def __init__(self, classes: tuple[str, ...], slices: int) -> None:
        """Create empty tables without withdrawals, levels and retry modes."""
        self.classes = classes
        self.slices = slices
        self.tables: dict[int, dict[str, float]] = {number: {} for number in range(slices)}
        self.withdrawn: dict[str, int] = {}  # sequence number of the withdrawal by endpoint; 0 if of an earlier run
        self.levels: dict[tuple[int | None, int], float] = {}  # admitted share by table (None for all) and class
        self.retries: dict[tuple[int | None, int], int] = {}  # retry mode by table (None for all) and class
        self.seq = 0  # sequence number of the newest change
        self.changed: dict[str, int] = dict.fromkeys(self.units(), 0)  # sequence number of the last change by unit

    def units(self) -> Iterator[str]:
        """Yield all units."""
        yield FLEET
        yield ROUTES
        for number in range(self.slices):
            yield slice_unit(number)

    # -- restoring and saving

    def restore(self, number: int, entries: Mapping[str, float]) -> None:
        """Set a table to the stored entries."""
        self.tables[number] = dict(entries)

    def persistent_actions(self) -> dict[str, float]:
        """Return the present withdrawals, levels and retry modes in the format of the store."""
        return persistent_actions.encode(self.withdrawn, self.levels, self.retries)

    def restore_persistent_actions(self, stored: Mapping[str, float], restore_levels: bool) -> None:
        """Restore the actions of an earlier run, as returned by `persistent_actions`.

        Args:
            stored: Actions in the format of the store. Actions on tables or classes that no longer exist are ignored.
            restore_levels: Whether admission levels are restored too.
        """
        for action in persistent_actions.decode(stored):
            if isinstance(action, StoredWithdrawal):
                self.withdrawn[action.endpoint] = 0
            elif not self._exists(action.scope):
                continue
            elif isinstance(action, StoredRetryMode):
                self.retries[action.scope] = action.mode
            elif isinstance(action, StoredLevel) and restore_levels:
                self.levels[action.scope] = action.level

    def _exists(self, scope: Scope) -> bool:
        if not 0 <= scope.class_index < len(self.classes):
            return False
        return scope.table is None or scope.table in self.tables

    # -- queries

    def level(self, table: int | None, class_index: int) -> float:
        """Return the admitted share of a class. For a slice, it is the lower of the fleet's level and its own."""
        fleet_level = self.levels.get((None, class_index), FULL_LEVEL)
        if table is None:
            return fleet_level
        return min(fleet_level, self.levels.get((table, class_index), FULL_LEVEL))

    def routable_endpoints(self, number: int) -> list[str]:
        """Return the endpoints of a slice's table that clients may select."""
        return [endpoint for endpoint in self.tables[number] if endpoint not in self.withdrawn]

    # -- changes

    def apply(self, orders: Iterable[api.Action]) -> Change:
        """Apply table orders. An order that sets only present values changes no entry."""
        entries: dict[str, set[str]] = {}
        sync_tokens: list[int] = []
        urgent = False
        self.seq += 1
        for order in orders:
            if isinstance(order, api.RequestSync):
                sync_tokens.append(order.token)
                continue
            urgent |= self._newly_withdraws(order)
            for unit, key in self._apply_order(order):
                entries.setdefault(unit, set()).add(key)
        self.changed.update(dict.fromkeys(entries, self.seq))
        return Change(self.seq, entries, sync_tokens, urgent)

    def mark_changed(self, endpoints: Iterable[str]) -> Change:
        """Mark the entries of some endpoints as changed in all tables.

        This is needed when another property of the endpoints, such as their zone, has changed.
        """
        self.seq += 1
        entries: dict[str, set[str]] = {}
        for endpoint in endpoints:
            for number, table in self.tables.items():
                if endpoint in table:
                    entries.setdefault(slice_unit(number), set()).add(endpoint)
        self.changed.update(dict.fromkeys(entries, self.seq))
        return Change(self.seq, entries, [], False)

    def _newly_withdraws(self, order: api.Action) -> bool:
        return isinstance(order, api.SetWithdrawn) and order.withdrawn and order.endpoint not in self.withdrawn

    def _apply_order(self, order: api.Action) -> list[ChangedEntry]:
        match order:
            case api.SetEntry():
                return self._set_entry(order)
            case api.ClearTable():
                return self._clear_table(order.table)
            case api.SetWithdrawn():
                return self._set_withdrawn(order)
            case api.SetAdmission():
                return self._set_admission(order)
        return []

    def _set_entry(self, order: api.SetEntry) -> list[ChangedEntry]:
        table = self.tables.get(order.table)
        if table is None or table.get(order.endpoint, 0.0) == order.weight:
            return []
        if order.weight > 0:
            table[order.endpoint] = order.weight
        else:
            table.pop(order.endpoint, None)
        return [ChangedEntry(slice_unit(order.table), order.endpoint)]

    def _clear_table(self, number: int) -> list[ChangedEntry]:
        table = self.tables.get(number)
        if table is None:
            return []
        unit = slice_unit(number)
        changed = [ChangedEntry(unit, endpoint) for endpoint in table]
        table.clear()
        for class_index in range(len(self.classes)):
            if self.levels.pop((number, class_index), None) is not None:
                changed.append(ChangedEntry(unit, _level_key(class_index)))
        return changed

    def _set_withdrawn(self, order: api.SetWithdrawn) -> list[ChangedEntry]:
        if order.withdrawn == (order.endpoint in self.withdrawn):
            return []
        if order.withdrawn:
            self.withdrawn[order.endpoint] = self.seq
        else:
            del self.withdrawn[order.endpoint]
        return [ChangedEntry(FLEET, order.endpoint)]

    def _set_admission(self, order: api.SetAdmission) -> list[ChangedEntry]:
        unit = FLEET if order.table is None else slice_unit(order.table)
        changed: list[ChangedEntry] = []
        for class_index in order.classes or range(len(self.classes)):
            scope = order.table, class_index
            if self.levels.get(scope, FULL_LEVEL) != order.level:
                changed.append(ChangedEntry(unit, _level_key(class_index)))
            if self.retries.get(scope, NO_RETRIES) != order.retry:
                changed.append(ChangedEntry(ROUTES, _retry_key(order.table, class_index)))
            self.levels[scope] = order.level
            self.retries[scope] = order.retry
        return changed


def _level_key(class_index: int) -> str:
    return f"level {class_index}"


def _retry_key(table: int | None, class_index: int) -> str:
    return f"retry {table} {class_index}"
