"""Logs the planner's decisions and determines the cause that the history records for a change."""

from __future__ import annotations

from collections import Counter
from typing import Literal

from structlog.typing import FilteringBoundLogger

from damsonpick import interface as api
from damsonpick.controller import explain
from damsonpick.decisions.planner import Planner
from damsonpick.state.history.version import Cause
from damsonpick.state.published_tables import PublishedTables

TableCause = Literal["unroutable endpoint", "balance", "new entry"]


def change_cause(events: list[api.Event]) -> Cause:
    """Return the cause of a planner step.

    If several causes apply, the first of solver, list and gateways is returned; if none of them applies, module.
    """
    if any(isinstance(event, api.TableAdvised | api.CapacityAdvised) for event in events):
        return "solver"
    if any(isinstance(event, api.EndpointListChanged) for event in events):
        return "list"
    if any(isinstance(event, api.ProxyJoined | api.ProxyLeft) for event in events):
        return "gateways"
    return "module"


class DecisionLog:
    """Writes one log line for each decision that an operator should see.

    Args:
        published: State to which the orders were applied.
        log: Logger.
    """

    def __init__(self, published: PublishedTables, log: FilteringBoundLogger) -> None:
        """Assume that no withdrawal and no admission level has been logged."""
        self.published = published
        self.log = log
        self.withdrawn: set[str] = set()  # endpoints whose last log entry says withdrawn
        self.levels: tuple[float, ...] = ()  # admission levels that were logged last

    def restored(self) -> None:
        """Mark endpoints withdrawn before this start as logged, so that their readmission is logged."""
        self.withdrawn = set(self.published.withdrawn)

    def write(self, planner: Planner, orders: list[api.Action], changed_entries: int) -> None:
        """Log the orders of one step.

        Args:
            planner: Planner that issued the orders.
            orders: Orders that were applied.
            changed_entries: Number of table entries, withdrawals, levels and retry modes that the orders changed.
        """
        self._write_withdrawals(planner, orders)
        self._write_admission(planner)
        self._write_tables(planner, orders, changed_entries)

    def _write_withdrawals(self, planner: Planner, orders: list[api.Action]) -> None:
        for order in orders:
            if not isinstance(order, api.SetWithdrawn) or order.withdrawn == (order.endpoint in self.withdrawn):
                continue
            if order.withdrawn:
                self.withdrawn.add(order.endpoint)
            else:
                self.withdrawn.discard(order.endpoint)
            self.log.info(
                "endpoint_withdrawn" if order.withdrawn else "endpoint_readmitted",
                endpoint=order.endpoint,
                why=explain.withdrawal_reason(planner, order.endpoint),
            )

    def _write_admission(self, planner: Planner) -> None:
        if planner.published_levels == self.levels:
            return
        self.levels = planner.published_levels
        if planner.admitted_share >= 1:
            why = "all requests are admitted"
        else:
            why = f"load is shed: at most {planner.admitted_rate_limit:.0f} requests/s are to be admitted"
        admitted = dict(zip(self.published.classes, self.levels, strict=True))
        self.log.info("admission_changed", admitted_share=admitted, why=why)

    def _write_tables(self, planner: Planner, orders: list[api.Action], changed_entries: int) -> None:
        by_table: dict[int, list[api.SetEntry]] = {}
        for order in orders:
            if isinstance(order, api.SetEntry):
                by_table.setdefault(order.table, []).append(order)
        if not by_table:
            return
        causes = Counter(_table_cause(planner, table_orders) for table_orders in by_table.values())
        self.log.info(
            "tables_changed",
            slices=len(by_table),
            entries=changed_entries,
            causes=dict(causes),
            change_number=self.published.seq,
        )


def _table_cause(planner: Planner, orders: list[api.SetEntry]) -> TableCause:
    """Return why entries of one table changed, as far as the orders show the cause."""
    removed = [order.endpoint for order in orders if order.weight <= 0]
    if any(name in planner.endpoints and planner.is_unroutable(name) for name in removed):
        return "unroutable endpoint"
    return "balance" if removed else "new entry"
