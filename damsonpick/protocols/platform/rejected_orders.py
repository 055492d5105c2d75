"""Orders that the registry could not use, until they are ordered again. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from damsonpick.protocols.platform.order_codec import Order
from damsonpick.protocols.platform.pending_orders import OrderKey, order_key

MAX_REORDERS = 12  # of one rejected order
FIRST_REORDER_DELAY_S = 0.1
MAX_REORDER_DELAY_S = 5.0


class RejectedOrder(NamedTuple):
    """An order that is to be sent again."""

    order: Order
    attempts: int
    due_s: float


class RejectedOrders:
    """Withdrawals, levels and cleared tables that the registry rejected: each is ordered again after a growing delay.

    A newer order for the same thing takes its place.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._waiting: dict[OrderKey, RejectedOrder] = {}
        self._attempts: dict[OrderKey, int] = {}  # of those that are on their way again

    def add(self, order: Order, now_s: float) -> bool:
        """Note a rejected order; False if it has been rejected too often."""
        key = order_key(order)
        attempts = self._attempts.pop(key, 0) + 1
        if attempts > MAX_REORDERS:
            return False
        delay_s = min(MAX_REORDER_DELAY_S, FIRST_REORDER_DELAY_S * 2 ** (attempts - 1))
        self._waiting[key] = RejectedOrder(order, attempts, now_s + delay_s)
        return True

    def supersede(self, orders: Iterable[Order]) -> None:
        """Forget what newer orders replace."""
        for order in orders:
            self._waiting.pop(order_key(order), None)
            self._attempts.pop(order_key(order), None)

    def take_due(self, now_s: float) -> list[Order]:
        """Return the orders that are due again."""
        due = {key: rejected for key, rejected in self._waiting.items() if rejected.due_s <= now_s}
        for key, rejected in due.items():
            del self._waiting[key]
            self._attempts[key] = rejected.attempts
        return [rejected.order for rejected in due.values()]

    def next_due_s(self, now_s: float) -> float | None:
        """Return the seconds until one is due; None: none is waiting."""
        if not self._waiting:
            return None
        return max(0.0, min(rejected.due_s for rejected in self._waiting.values()) - now_s)
