"""Writes published tables and persistent actions to the store before they are sent to clients.

The persistent actions are the withdrawals, admission levels and retry modes.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from structlog.typing import FilteringBoundLogger

from damsonpick.state.published_tables import PublishedTables

RETRY_NS = 1_000_000_000  # delay between attempts while writes to the store fail


class TableStore(Protocol):
    """Stores tables and persistent actions across restarts."""

    def load_tables(self) -> dict[int, dict[str, float]]:
        """Return all tables by slice."""

    def load_persistent_actions(self) -> dict[str, float]:
        """Return the persistent actions in the format of `PublishedTables.persistent_actions`."""

    def save_tables(
        self, tables: Mapping[int, Mapping[str, float]], persistent_actions: Mapping[str, float] | None = None
    ) -> None:
        """Replace the tables of some slices and, if given, all persistent actions, in one transaction."""


class TablePersistence:
    """Writes the published state to the store.

    While writes to the store fail, tables are served from memory and the write is retried.

    Args:
        store: Stores tables and persistent actions.
        published: The published state.
        log: Logger.
    """

    def __init__(self, store: TableStore, published: PublishedTables, log: FilteringBoundLogger) -> None:
        """Assume an empty store until `load` is called."""
        self.store = store
        self.published = published
        self.log = log
        self.unsaved: set[int] = set()  # slices whose current tables are not in the store yet
        # Whether the last write failed, so that tables or persistent actions, or both, remain to be written.
        self.failing = False
        self.retry_at = 0  # time of the next attempt in ns; valid only while `failing`
        self.stored_actions: dict[str, float] = {}  # persistent actions in the store

    def load(self, restore_admission: bool) -> None:
        """Publish the tables and persistent actions in the store.

        Args:
            restore_admission: Whether to restore admission levels. Levels that are too old to apply are not restored.
        """
        for number, entries in self.store.load_tables().items():
            self.published.restore(number, entries)
        self.published.restore_persistent_actions(self.store.load_persistent_actions(), restore_admission)
        self.stored_actions = self.published.persistent_actions()

    def retry_due(self, now: int) -> bool:
        """Return whether a failed write should be retried now."""
        return self.failing and now >= self.retry_at

    def save(self, now: int, slices: Iterable[int] = ()) -> None:
        """Write the tables of the given slices, all unsaved tables, and the persistent actions if they have changed.

        Args:
            now: Current time in ns.
            slices: Numbers of the slices whose tables have changed.
        """
        numbers = dict.fromkeys([*self.unsaved, *slices])
        actions = self.published.persistent_actions()
        actions_changed = actions != self.stored_actions
        if not numbers and not actions_changed:
            self.failing = False  # the changes that could not be written have been reverted in the meantime
            return
        tables = {number: self.published.tables[number] for number in numbers}
        try:
            self.store.save_tables(tables, actions if actions_changed else None)
        except Exception as error:  # no failure of the store may stop the service
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
            remedy="check free space and permissions of the state folder; tables are served from memory meanwhile",
        )
