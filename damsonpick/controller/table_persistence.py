"""Writes published tables and persistent actions to the store before they are sent to clients."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from structlog.typing import FilteringBoundLogger

from damsonpick.state.published_tables import PublishedTables

RETRY_NS = 1_000_000_000  # between attempts while the store cannot be written


class TableStore(Protocol):
    """Keeps tables and persistent actions across restarts."""

    def load_tables(self) -> dict[int, dict[str, float]]:
        """All tables by slice."""

    def load_persistent_actions(self) -> dict[str, float]:
        """Persistent actions, in the format of `persistent_actions`."""

    def save_tables(
        self, tables: Mapping[int, Mapping[str, float]], persistent_actions: Mapping[str, float] | None = None
    ) -> None:
        """Replace the tables of some slices and, if given, all persistent actions, in one transaction."""


class TablePersistence:
    """Keeps the store in step with the published state.

    While the store cannot be written, tables are served from memory and the write is tried again.

    Args:
        store: where tables and persistent actions are kept.
        published: the state to write.
        log: a structlog logger.
    """

    def __init__(self, store: TableStore, published: PublishedTables, log: FilteringBoundLogger) -> None:
        """Assume an empty store until `load`."""
        self.store = store
        self.published = published
        self.log = log
        self.unsaved: set[int] = set()  # slices whose tables the store does not hold yet
        self.failing = False  # the last write failed: tables, or withdrawals and levels alone, are to be written
        self.retry_at = 0  # ns; meaningful while `failing`
        self.stored_actions: dict[str, float] = {}  # persistent actions as the store holds them

    def load(self, restore_admission: bool) -> None:
        """Publish what the store holds.

        Args:
            restore_admission: admission levels too; they are left out when they are too old to hold.
        """
        for number, entries in self.store.load_tables().items():
            self.published.restore(number, entries)
        self.published.restore_persistent_actions(self.store.load_persistent_actions(), restore_admission)
        self.stored_actions = self.published.persistent_actions()

    def retry_due(self, now: int) -> bool:
        """Whether a write that failed should be tried again."""
        return self.failing and now >= self.retry_at

    def save(self, now: int, slices: Iterable[int] = ()) -> None:
        """Write the tables of some slices, those still unsaved, and persistent actions that have changed.

        Args:
            now: ns.
            slices: whose tables have changed.
        """
        numbers = dict.fromkeys([*self.unsaved, *slices])
        actions = self.published.persistent_actions()
        actions_changed = actions != self.stored_actions
        if not numbers and not actions_changed:
            self.failing = False  # what could not be written has been taken back meanwhile
            return
        tables = {number: self.published.tables[number] for number in numbers}
        try:
            self.store.save_tables(tables, actions if actions_changed else None)
        except Exception as error:  # a store that fails in any way must not stop what is served
            self._defer(now, set(numbers), error)
            return
        self.stored_actions = actions
        if self.failing:
            self.log.info("store_write_recovered", slices=len(numbers), withdrawals_and_levels=actions_changed)
        self.failing = False
        self.unsaved.clear()

    def _defer(self, now: int, slices: set[int], error: Exception) -> None:
        self.unsaved |= slices
        self.failing = True
        self.retry_at = now + RETRY_NS
        self.log.error(
            "store_write_failed",
            error=str(error),
            slices=len(self.unsaved),
            remedy="free space or rights on the state folder; tables are served from memory meanwhile",
        )
