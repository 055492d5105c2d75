"""Orders of the planner that the registry has not accepted yet. No I/O.

At most one request is in flight; it contains the oldest orders. Pending orders are merged: a newer order replaces an
older order for the same object, such as a table entry, so the number of pending orders is bounded. A request whose
outcome is unknown was applied once or not at all. Its orders stay pending until they are accepted or newer orders
replace them, and no newer order is sent before the request has ended. Sending them again, merged with newer orders,
therefore leads to the desired state in both cases.

The planner adds new entries of a table before it removes old entries (make before break). This sequence is kept
regardless of where the orders are split into requests and of whether a request is applied: the orders for one table are
consecutive, at the position of the oldest of them, with additions before removals. A withdrawal keeps the position of
an older order for its endpoint. Orders that restore an endpoint, set an admission level or request a sync move to the
end, so that they follow the orders that the planner issued before them.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from msgspec import Struct

from damsonpick import interface as api
from damsonpick.protocols.platform.order_codec import Order, OrderCodec, OrderRequest, encode_request
from damsonpick.protocols.platform.stored_state import AdmissionLevels, TableEntries, apply_admission, apply_entry

MAX_REQUEST_BYTES = 60_000  # limit for a request with more than one order


class TableKey(Struct, frozen=True):
    """Key of all pending orders for the entries of a table."""

    table: int


class WithdrawalKey(Struct, frozen=True):
    """Key of the order that withdraws or restores an endpoint."""

    endpoint: str


class AdmissionKey(Struct, frozen=True):
    """Key of the admission level of some classes in one table, or in all tables if `table` is None."""

    table: int | None
    classes: tuple[int, ...]


class SyncKey(Struct, frozen=True):
    """Key of the sync token. Only the newest token is sent: its acknowledgement covers all earlier tokens."""


OrderKey = TableKey | WithdrawalKey | AdmissionKey | SyncKey
TableChange = api.SetEntry | api.ClearTable


def order_key(order: Order) -> OrderKey:
    """Return the key of an order.

    A newer order with the same key replaces the order. Orders for one table share a key; `PendingTable` merges them.
    """
    if isinstance(order, TableChange):
        return TableKey(order.table)
    if isinstance(order, api.SetWithdrawn):
        return WithdrawalKey(order.endpoint)
    if isinstance(order, api.SetAdmission):
        return AdmissionKey(order.table, order.classes)
    return SyncKey()


class PendingTable:
    """Pending orders for one table.

    Attributes:
        clear: The pending order that clears the table, if any; it is sent before the orders for entries.
        entries: Pending orders for entries by endpoint, newest last.
    """

    def __init__(self) -> None:
        """Create an instance without orders."""
        self.clear: api.ClearTable | None = None
        self.entries: dict[str, api.SetEntry] = {}

    def push(self, order: TableChange) -> None:
        """Add an order. It replaces an older order for the same entry, or all older orders if it clears the table."""
        if isinstance(order, api.ClearTable):
            self.clear = order
            self.entries = {}
        else:
            self.entries.pop(order.endpoint, None)
            self.entries[order.endpoint] = order

    def discard(self, order: TableChange) -> None:
        """Remove an order unless a newer order has replaced it."""
        if self.clear is order:
            self.clear = None
        elif isinstance(order, api.SetEntry) and self.entries.get(order.endpoint) is order:
            del self.entries[order.endpoint]

    def is_empty(self) -> bool:
        """Return whether no order is pending."""
        return self.clear is None and not self.entries

    def __iter__(self) -> Iterator[TableChange]:
        """Yield the orders in the sequence in which they are sent.

        The order that clears the table comes first, then the orders that set a weight, then the removals.
        """
        if self.clear is not None:
            yield self.clear
        yield from (order for order in self.entries.values() if order.weight > 0)
        yield from (order for order in self.entries.values() if order.weight <= 0)


class AcknowledgedOrders(NamedTuple):
    """The orders of a request that were processed, according to the response.

    Attributes:
        accepted: The orders that the registry has applied.
        rejected: The order that the registry has rejected, if any. The registry has not processed the orders after it.
    """

    accepted: tuple[Order, ...]
    rejected: Order | None


class PendingOrders:
    """Merges the planner's orders until the registry has accepted them."""

    def __init__(self, class_names: tuple[str, ...], token_offset: int = 0) -> None:
        """Create an instance without orders.

        Args:
            class_names: Names of the request classes, in the order of the settings.
            token_offset: Offset that is added to sync tokens on the wire, see `OrderCodec`.
        """
        self.codec = OrderCodec(class_names, token_offset)
        self.class_count = len(class_names)
        self.by_key: dict[OrderKey, Order | PendingTable] = {}

    def __iter__(self) -> Iterator[Order]:
        """Yield all orders in the sequence in which they are sent."""
        for pending in self.by_key.values():
            if isinstance(pending, PendingTable):
                yield from pending
            else:
                yield pending

    def is_empty(self) -> bool:
        """Return whether no order is pending."""
        return not self.by_key

    def has_sendable(self, withdrawals_only: bool) -> bool:
        """Return whether an order may be sent, given whether withdrawals are the only orders that may be."""
        return any(self._sendable(withdrawals_only))

    def key_count(self) -> int:
        """Return the number of keys (tables, endpoints, levels, sync token) that have pending orders."""
        return len(self.by_key)

    def push(self, orders: Iterable[Order]) -> None:
        """Add orders in the given sequence. Each replaces an older order for the same object (see the module)."""
        for order in orders:
            if isinstance(order, TableChange):
                if isinstance(order, api.ClearTable):
                    self._discard_table_levels(order.table)
                self._get_or_add_table(order.table).push(order)
                continue
            key = order_key(order)
            # A withdrawal is urgent and keeps its position. Other orders move to the end: of several overlapping
            # admission levels the last applies, and an endpoint must be restored only after the removal of the entries
            # for which it was withdrawn.
            if not (isinstance(order, api.SetWithdrawn) and order.withdrawn):
                self.by_key.pop(key, None)
            self.by_key[key] = order

    def start_planner(self) -> None:
        """Let no acknowledgement that a failed planner asked for count as one of the planner that replaces it."""
        self.by_key.pop(SyncKey(), None)
        self.codec.start_planner()

    def discard_table(self, table: int) -> bool:
        """Remove all pending orders for a table, because its ownership has changed, which resets its levels as well.

        Returns:
            Whether any order was pending.
        """
        key_count = len(self.by_key)
        self.by_key.pop(TableKey(table), None)
        self._discard_table_levels(table)
        return len(self.by_key) < key_count

    def is_entry_pending(self, table: int, endpoint: str) -> bool:
        """Return whether an order for this entry is pending."""
        pending = self._pending_table(table)
        return pending is not None and endpoint in pending.entries

    def next_request(
        self, ownership_epoch: int, max_orders: int | None = None, withdrawals_only: bool = False
    ) -> OrderRequest | None:
        """Build the next request from the oldest orders.

        Args:
            ownership_epoch: Current `OwnershipTracker.epoch`.
            max_orders: Largest number of orders in the request. If None, only the size is limited.
            withdrawals_only: Whether to leave out all other orders, see `OrderClient`.

        Returns:
            The request, or None if there is no such order. It contains at least one order; with several orders it is at
            most `MAX_REQUEST_BYTES` long.
        """
        size_bytes = len(encode_request([]))
        encoded: list[bytes] = []
        included: list[Order] = []
        for order in self._sendable(withdrawals_only):
            encoded_order = self.codec.encode(order)
            size_bytes += len(encoded_order) + 1
            if encoded and (size_bytes > MAX_REQUEST_BYTES or len(encoded) == max_orders):
                break
            encoded.append(encoded_order)
            included.append(order)
        if not encoded:
            return None
        return OrderRequest(encode_request(encoded), tuple(included), ownership_epoch)

    def acknowledge(self, orders: tuple[Order, ...], accepted_count: int) -> AcknowledgedOrders:
        """Remove the orders that the registry has processed, according to its response.

        The registry stops at an order that it rejects. The rejected order is removed, and the orders after it stay
        pending. This method is not called for a request that has no response or was rejected as a whole; the orders of
        such a request stay pending.

        Args:
            orders: Orders of the request.
            accepted_count: Number of accepted orders, counted from the first order.
        """
        rejected = orders[accepted_count] if accepted_count < len(orders) else None
        self.discard(orders[: accepted_count + 1])
        return AcknowledgedOrders(orders[:accepted_count], rejected)

    def discard(self, orders: Iterable[Order]) -> None:
        """Remove the given orders, except those that newer orders have replaced."""
        for order in orders:
            if isinstance(order, TableChange):
                self._discard_table_change(order)
                continue
            key = order_key(order)
            if self.by_key.get(key) is order:
                del self.by_key[key]

    def overlay_entries(self, table: int, entries: TableEntries) -> TableEntries:
        """Return the entries of a table with all pending orders applied."""
        desired = dict(entries)
        for order in self._pending_table(table) or ():
            if isinstance(order, api.ClearTable):
                desired.clear()
            else:
                apply_entry(desired, order)
        return desired

    def overlay_withdrawn(self, endpoints: Iterable[str]) -> tuple[str, ...]:
        """Return the withdrawn endpoints with all pending orders applied."""
        withdrawn = dict.fromkeys(endpoints)
        for order in self.by_key.values():
            if not isinstance(order, api.SetWithdrawn):
                continue
            if order.withdrawn:
                withdrawn[order.endpoint] = None
            else:
                withdrawn.pop(order.endpoint, None)
        return tuple(withdrawn)

    def overlay_levels(self, levels: AdmissionLevels) -> tuple[float, ...]:
        """Return the levels that apply to all tables, by class, with all pending orders applied."""
        desired = dict(levels)
        for order in self.by_key.values():
            if isinstance(order, api.SetAdmission):
                apply_admission(desired, order, self.class_count)
        return tuple(desired.get(class_index, 1.0) for class_index in range(self.class_count))

    def _sendable(self, withdrawals_only: bool) -> Iterator[Order]:
        for order in self:
            if not withdrawals_only or (isinstance(order, api.SetWithdrawn) and order.withdrawn):
                yield order

    def _discard_table_levels(self, table: int) -> None:
        """Remove pending admission levels of a table: sent after the event that removes its levels, they would stay."""
        for key in [key for key in self.by_key if isinstance(key, AdmissionKey) and key.table == table]:
            del self.by_key[key]

    def _pending_table(self, table: int) -> PendingTable | None:
        pending = self.by_key.get(TableKey(table))
        return pending if isinstance(pending, PendingTable) else None

    def _get_or_add_table(self, table: int) -> PendingTable:
        """Return the pending orders for a table; if there are none, add an empty instance at the end."""
        pending = self._pending_table(table)
        if pending is None:
            pending = PendingTable()
            self.by_key[TableKey(table)] = pending
        return pending

    def _discard_table_change(self, order: TableChange) -> None:
        pending = self._pending_table(order.table)
        if pending is None:
            return
        pending.discard(order)
        if pending.is_empty():
            del self.by_key[TableKey(order.table)]
