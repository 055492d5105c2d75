"""Applies an operator's pin on the tables: when it is active, which orders pass it, and what a rollback changes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

from damsonpick import interface as api
from damsonpick.state.history import rollback
from damsonpick.state.history.recorder import HistoryRecorder
from damsonpick.state.history.state_keys import entry_endpoint, slice_number
from damsonpick.state.history.version import Version
from damsonpick.state.published_tables import PublishedTables


@dataclass(frozen=True, slots=True)
class RollbackRequest:
    """An operator's request to roll the tables back.

    Attributes:
        version: Number of the version, or a prefix of its root.
        pinned_until: Time in ns until which the tables stay pinned.
        expected_generation: Generation of the pin that the operator saw, or None to skip the check.
        dry_run: Whether only to report what the rollback would change.
        delay_by_zone: Delay in ns before the change is sent to clients of a zone.
        restore_admission: Whether to restore admission levels and retry modes as well. While the tables are pinned,
            levels may then fall but not rise.
    """

    version: str
    pinned_until: int
    expected_generation: int | None = None
    dry_run: bool = False
    delay_by_zone: Mapping[str, int] = field(default_factory=dict)
    restore_admission: bool = False


@dataclass(frozen=True, slots=True)
class VersionRollback:
    """The changes of a rollback.

    Attributes:
        target: The version to restore.
        table_plan: Orders for table entries, and the entries that are kept for safety.
        admission_orders: Orders for admission levels and retry modes.
    """

    target: Version
    table_plan: rollback.RollbackPlan
    admission_orders: list[api.SetAdmission]

    def slices(self) -> set[int]:
        """Return the numbers of the slices whose tables change."""
        return {order.table for order in self.table_plan.actions}

    def reply(self) -> dict[str, Any]:
        """Return the reply to `damsonpick versions rollback`. The keys are part of the command's interface."""
        return {
            "version": self.target.number,
            "root": self.target.root,
            "lines": len(self.table_plan.actions),
            "levels": len(self.admission_orders),
            "slices": len(self.slices()),
            "kept": [kept._asdict() for kept in self.table_plan.kept],
        }


class TablePin:
    """The pin on the published tables of one controller.

    Args:
        recorder: Records the history of the tables and stores the pin.
        published: The published tables.
    """

    def __init__(self, recorder: HistoryRecorder, published: PublishedTables) -> None:
        """Assume that no pin is applied."""
        self.recorder = recorder
        self.published = published
        self.applied = False  # whether `filter` withholds orders; the engine updates it when a pin begins or ends
        self.withheld_orders = 0  # number of orders that the pin withheld when it last filtered orders
        # Weights of the entries that rollbacks removed, by slice and endpoint. Clients may still have these entries.
        self.removed_entries: dict[int, dict[str, float]] = {}

    def holds(self, now: int) -> bool:
        """Return whether the tables are pinned at this time."""
        return self.recorder.pin.is_active(now)

    def filter(self, orders: list[api.Action], is_unroutable: Callable[[str], bool]) -> list[api.Action]:
        """Return the orders that the pin allows, or all orders if no pin is applied.

        Args:
            orders: Orders of the planner for tables, withdrawals and admission.
            is_unroutable: Returns whether an endpoint is draining, gone, unlisted or withdrawn.
        """
        if not self.applied:
            return orders
        filtered = self.recorder.pin.filter_actions(
            orders, self.published.tables, is_unroutable, self.published.level, len(self.published.classes)
        )
        self.withheld_orders = filtered.held_back_count
        return filtered.passed

    def plan_rollback(
        self,
        request: RollbackRequest,
        owned: set[int],
        is_unroutable: Callable[[str], bool],
        is_warming_up: Callable[[str], bool],
    ) -> VersionRollback:
        """Compute the orders that restore the owned tables to a version in the history, as far as is safe.

        Raises:
            ValueError: The history does not contain the version, or the pin was changed in the meantime.
        """
        recorder = self.recorder
        recorder.pin.check_generation(request.expected_generation)
        version = recorder.history.find(request.version)
        target = recorder.history.state_at(version.number)
        tables = {number: self.published.tables[number] for number in owned}
        table_plan = rollback.plan_rollback(target, tables, is_unroutable, is_warming_up)
        admission_orders: list[api.SetAdmission] = []
        if request.restore_admission:
            classes = len(self.published.classes)
            admission_orders = rollback.plan_admission(target, recorder.history.state, classes)
        return VersionRollback(version, table_plan, admission_orders)

    def remember_removed(self, orders: list[api.SetEntry]) -> None:
        """Record the entries that a rollback is about to remove."""
        for order in orders:
            if not order.weight:
                weight = self.published.tables[order.table][order.endpoint]
                self.removed_entries.setdefault(order.table, {})[order.endpoint] = weight

    def restore_removed(self) -> None:
        """Record the entries that rollbacks under this pin removed before the process was restarted.

        Clients may still have them, so an endpoint that drains now must be withdrawn although no table contains it.
        """
        pin = self.recorder.pin
        for version in self.recorder.history.versions.values():
            if version.cause == "rollback" and version.number > pin.version:
                self._add_removed(version)

    def _add_removed(self, version: Version) -> None:
        for unit, changes in version.difference.items():
            number = slice_number(unit)
            if number is None:
                continue
            for key, change in changes.items():
                endpoint = entry_endpoint(key)
                if endpoint is not None and change.before is not None and change.after is None:
                    self.removed_entries.setdefault(number, {})[endpoint] = change.before
