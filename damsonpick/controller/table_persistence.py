"""Writes published tables and standing orders to the store before they are sent to clients."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Protocol

from structlog.typing import FilteringBoundLogger

from damsonpick.state.published_tables import PublishedTables

RETRY_NS = 1_000_000_000  # between attempts while the store cannot be written


class TableStore(Protocol):
    """Keeps tables and standing orders across restarts."""

    def tables(self) -> dict[int, dict[str, float]]:
        """All tables by slice."""

    def standing(self) -> dict[str, float]:
        """Standing orders, in the format of `standing_orders`."""

    def write(self, tables: Mapping[int, Mapping[str, float]], standing: Mapping[str, float] | None = None) -> None:
        """Replace the tables of some slices and, if given, all standing orders, in one transaction."""


class TablePersistence:
    """Keeps the store in step with the published state.

    While the store cannot be written, tables are served from memory and the write is tried again.

    Args:
        store: where tables and standing orders are kept.
        published: the state to write.
        log: a structlog logger.
    """

    def __init__(self, store: TableStore, published: PublishedTables, log: FilteringBoundLogger) -> None:
        self.store = store
        self.published = published
        self.log = log
        self.unsaved: set[int] = set()  # slices whose tables the store does not hold yet
        self.retry_at = 0  # ns; meaningful while `unsaved` is not empty
        self.stored_orders: dict[str, float] = {}  # standing orders as the store holds them

    def load(self, restore_admission: bool) -> None:
        """Publish what the store holds.

        Args:
            restore_admission: admission levels too; they are left out when they are too old to hold.
        """
        for number, entries in self.store.tables().items():
            self.published.restore(number, entries)
        self.published.restore_standing_orders(self.store.standing(), restore_admission)
        self.stored_orders = self.published.standing_orders()

    def retry_due(self, now: int) -> bool:
        """Whether a write that failed should be tried again."""
        return bool(self.unsaved) and now >= self.retry_at

    def save(self, now: int, slices: Iterable[int] = ()) -> None:
        """Write the tables of some slices, those still unsaved, and standing orders that have changed.

        Args:
            now: ns.
            slices: whose tables have changed.
        """
        numbers = dict.fromkeys([*self.unsaved, *slices])
        orders = self.published.standing_orders()
        orders_changed = orders != self.stored_orders
        if not numbers and not orders_changed:
            return
        tables = {number: self.published.tables[number] for number in numbers}
        try:
            self.store.write(tables, orders if orders_changed else None)
        except Exception as error:  # a store that fails in any way must not stop what is served
            self._defer(now, set(numbers), error)
            return
        self.stored_orders = orders
        if self.unsaved:
            self.log.info("store_write_recovered", slices=len(numbers))
        self.unsaved.clear()

    def _defer(self, now: int, slices: set[int], error: Exception) -> None:
        self.unsaved |= slices
        self.retry_at = now + RETRY_NS
        self.log.error(
            "store_write_failed",
            error=str(error),
            slices=len(self.unsaved),
            remedy="free space or rights on the state folder; tables are served from memory meanwhile",
        )
