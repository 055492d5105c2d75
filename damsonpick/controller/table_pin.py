"""Tables pinned by an operator: when the pin holds, what it lets through, and what a rollback would change."""

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
    """What an operator asks for.

    Attributes:
        version: number or beginning of a root.
        pinned_until: ns; how long the tables stay pinned.
        expected_generation: the generation of the pin that the operator saw; None: not checked.
        dry_run: only report what would be done.
        delay_by_zone: ns that clients of a zone wait.
        restore_admission: admission levels and retry modes too; while pinned, levels may then fall and not rise.
    """

    version: str
    pinned_until: int
    expected_generation: int | None = None
    dry_run: bool = False
    delay_by_zone: Mapping[str, int] = field(default_factory=dict)
    restore_admission: bool = False


@dataclass(frozen=True, slots=True)
class VersionRollback:
    """What a rollback would change.

    Attributes:
        target: the version to go back to.
        table_plan: orders on table entries, and what was kept for safety.
        admission_orders: orders on admission levels and retry modes.
    """

    target: Version
    table_plan: rollback.RollbackPlan
    admission_orders: list[api.SetAdmission]

    def slices(self) -> set[int]:
        """Slices whose tables change."""
        return {order.table for order in self.table_plan.actions}

    def reply(self) -> dict[str, Any]:
        """The plan as `damsonpick versions rollback` answers it; the keys are part of the command's interface."""
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
        recorder: history of the tables, with the stored pin.
        published: the tables.
    """

    def __init__(self, recorder: HistoryRecorder, published: PublishedTables) -> None:
        """Start with no pin applied."""
        self.recorder = recorder
        self.published = published
        self.applied = False  # the planner at work was started under the pin
        self.withheld_orders = 0  # of the last step, held back by the pin
        self.removed_entries: dict[int, dict[str, float]] = {}  # by slice; clients may hold them still

    def holds(self, now: int) -> bool:
        """Whether the tables are pinned at this time."""
        return self.recorder.pin.is_active(now)

    def filter(self, orders: list[api.Action], may_not_be_picked: Callable[[str], bool]) -> list[api.Action]:
        """Orders that pass the pin: all of them while there is none.

        Args:
            orders: orders of the planner on tables, withdrawals and admission.
            may_not_be_picked: whether an endpoint may not be picked now.
        """
        if not self.applied:
            return orders
        filtered = self.recorder.pin.filter_actions(
            orders, self.published.tables, may_not_be_picked, self.published.level, len(self.published.classes)
        )
        self.withheld_orders = filtered.held_back_count
        return filtered.passed

    def plan_rollback(
        self,
        request: RollbackRequest,
        owned: set[int],
        may_not_be_picked: Callable[[str], bool],
        is_warming_up: Callable[[str], bool],
    ) -> VersionRollback:
        """What would bring the owned tables back to a kept version, as far as is safe.

        Raises:
            ValueError: no such version is kept, or another operator acted meanwhile.
        """
        recorder = self.recorder
        recorder.pin.check_generation(request.expected_generation)
        version = recorder.history.find(request.version)
        target = recorder.history.state_at(version.number)
        tables = {number: self.published.tables[number] for number in owned}
        table_plan = rollback.plan_rollback(target, tables, may_not_be_picked, is_warming_up)
        admission_orders: list[api.SetAdmission] = []
        if request.restore_admission:
            classes = len(self.published.classes)
            admission_orders = rollback.plan_admission(target, recorder.history.state, classes)
        return VersionRollback(version, table_plan, admission_orders)

    def remember_removed(self, orders: list[api.SetEntry]) -> None:
        """Note the entries that a rollback is about to remove."""
        for order in orders:
            if not order.weight:
                weight = self.published.tables[order.table][order.endpoint]
                self.removed_entries.setdefault(order.table, {})[order.endpoint] = weight

    def restore_removed(self) -> None:
        """Find the entries that rollbacks under this pin removed before the process was restarted.

        Clients may hold them still, so an endpoint that drains now must be withdrawn although no table names it.
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
