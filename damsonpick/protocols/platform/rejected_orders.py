"""Orders that the registry has rejected and that are resent later. No I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.protocols.platform.order_codec import Order
from damsonpick.protocols.platform.pending_orders import AdmissionKey, OrderKey, order_key

MAX_RESENDS = 12  # resends of a rejected order; at the next rejection it is dropped
FIRST_RESEND_DELAY_S = 0.1
MAX_RESEND_DELAY_S = 5.0


class RejectedOrder(NamedTuple):
    """A rejected order that waits to be resent.

    Attributes:
        order: The order.
        ownership_epoch: Ownership epoch of the request that contained it.
        attempts: Number of times that the order was rejected.
        due_s: Time at which the order is resent.
    """

    order: Order
    ownership_epoch: int
    attempts: int
    due_s: float


class RejectedOrders:
    """Keeps rejected orders until they are due to be resent. The delay doubles with each rejection, up to a maximum.

    The order client adds rejected orders of every kind except orders that set a table entry. A newer order with the
    same key replaces the rejected order.
    """

    def __init__(self) -> None:
        """Create a collection without rejected orders."""
        self._waiting: dict[OrderKey, RejectedOrder] = {}
        # Number of rejections of each resent order, until it is rejected again or superseded.
        self._attempts: dict[OrderKey, int] = {}

    def add(self, order: Order, ownership_epoch: int, now_s: float) -> bool:
        """Add a rejected order; return False if it was rejected more than `MAX_RESENDS` times and is not resent."""
        key = order_key(order)
        attempts = self._attempts.pop(key, 0) + 1
        if attempts > MAX_RESENDS:
            return False
        delay_s = min(MAX_RESEND_DELAY_S, FIRST_RESEND_DELAY_S * 2 ** (attempts - 1))
        self._waiting[key] = RejectedOrder(order, ownership_epoch, attempts, now_s + delay_s)
        return True

    def supersede(self, orders: Iterable[Order]) -> None:
        """Remove the rejected orders that newer orders replace. Clearing a table also removes its admission levels."""
        for order in orders:
            superseded = [order_key(order)]
            if isinstance(order, api.ClearTable):
                superseded += [
                    key for key in self._waiting if isinstance(key, AdmissionKey) and key.table == order.table
                ]
            for key in superseded:
                self._waiting.pop(key, None)
                self._attempts.pop(key, None)

    def take_due(self, now_s: float) -> list[RejectedOrder]:
        """Remove the orders whose delay has passed and return them.

        Some may belong to an earlier ownership of their slice, in which case the caller must not resend them.
        """
        due = {key: rejected for key, rejected in self._waiting.items() if rejected.due_s <= now_s}
        for key, rejected in due.items():
            del self._waiting[key]
            self._attempts[key] = rejected.attempts
        return list(due.values())

    def next_due_s(self, now_s: float) -> float | None:
        """Return the seconds until the next order is due, or None if no order is waiting."""
        if not self._waiting:
            return None
        return max(0.0, min(rejected.due_s for rejected in self._waiting.values()) - now_s)
