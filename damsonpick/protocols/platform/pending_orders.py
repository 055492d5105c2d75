"""Orders of the planner that the registry has yet to accept. No I/O.

One request is in flight at a time, and it holds the oldest orders. Pending orders are merged: of two orders for the
same thing only the newer one stays, so the number of pending orders is bounded. A request whose outcome is unknown was
applied once or not at all; as nothing newer is sent before its outcome is known, sending it again, merged with newer
orders, ends in the desired state either way.

The planner orders make before break, and this holds wherever a request is cut and whether it is applied or not: the
entries of a table go together, in the place of the oldest of them, additions before removals. A withdrawal keeps the
place of an older order for its endpoint; restored endpoints and admission levels move to the end, after what they
were ordered after.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from msgspec import Struct

from damsonpick import interface as api
from damsonpick.protocols.platform.order_codec import Order, OrderCodec, OrderRequest, encode_request
from damsonpick.protocols.platform.stored_state import AdmissionLevels, TableEntries, apply_admission, apply_entry

MAX_REQUEST_BYTES = 60_000  # of the orders of one request


class TableKey(Struct, frozen=True):
    """All pending orders for the entries of a table."""

    table: int


class WithdrawalKey(Struct, frozen=True):
    """Whether an endpoint is withdrawn."""

    endpoint: str


class AdmissionKey(Struct, frozen=True):
    """The admission level of these classes; table None: in all tables."""

    table: int | None
    classes: tuple[int, ...]


class SyncKey(Struct, frozen=True):
    """The sync token. Only the last one counts: the planner takes its acknowledgement for all before it."""


OrderKey = TableKey | WithdrawalKey | AdmissionKey | SyncKey
TableChange = api.SetEntry | api.ClearTable


def order_key(order: Order) -> OrderKey:
    """Return what an order is about; a newer order of the same key replaces it."""
    if isinstance(order, TableChange):
        return TableKey(order.table)
    if isinstance(order, api.SetWithdrawn):
        return WithdrawalKey(order.endpoint)
    if isinstance(order, api.SetAdmission):
        return AdmissionKey(order.table, order.classes)
    return SyncKey()


class PendingTable:
    """Pending orders for one table."""

    def __init__(self) -> None:
        """Start with none."""
        self.clear: api.ClearTable | None = None
        self.entries: dict[str, api.SetEntry] = {}  # by endpoint, the newest order last

    def push(self, order: TableChange) -> None:
        """Add an order; it replaces an older one for the same entry, or all of them if it clears the table."""
        if isinstance(order, api.ClearTable):
            self.clear = order
            self.entries = {}
        else:
            self.entries.pop(order.endpoint, None)
            self.entries[order.endpoint] = order

    def discard(self, order: TableChange) -> None:
        """Remove this order, unless a newer one has replaced it."""
        if self.clear is order:
            self.clear = None
        elif isinstance(order, api.SetEntry) and self.entries.get(order.endpoint) is order:
            del self.entries[order.endpoint]

    def is_empty(self) -> bool:
        """Whether no order is pending."""
        return self.clear is None and not self.entries

    def __iter__(self) -> Iterator[TableChange]:
        """Yield the orders as they are sent: additions before removals."""
        if self.clear is not None:
            yield self.clear
        yield from (order for order in self.entries.values() if order.weight > 0)
        yield from (order for order in self.entries.values() if order.weight <= 0)


class AcknowledgedOrders(NamedTuple):
    """The orders of an answered request.

    Attributes:
        accepted: applied by the registry.
        rejected: the order at which the registry stopped, if any.
    """

    accepted: tuple[Order, ...]
    rejected: Order | None


class PendingOrders:
    """Merges the planner's orders until the registry has accepted them."""

    def __init__(self, class_names: tuple[str, ...], token_offset: int = 0) -> None:
        """Start with no orders.

        Args:
            class_names: of the request classes, in the order of the settings.
            token_offset: added to sync tokens on the wire, see `OrderCodec`.
        """
        self.codec = OrderCodec(class_names, token_offset)
        self.class_count = len(class_names)
        self.by_key: dict[OrderKey, Order | PendingTable] = {}

    def __iter__(self) -> Iterator[Order]:
        """Yield all orders as they will be sent."""
        for pending in self.by_key.values():
            if isinstance(pending, PendingTable):
                yield from pending
            else:
                yield pending

    def is_empty(self) -> bool:
        """Whether no order is pending."""
        return not self.by_key

    def key_count(self) -> int:
        """Return for how many things (tables, endpoints, levels) orders are pending."""
        return len(self.by_key)

    def push(self, orders: Iterable[Order]) -> None:
        """Add the orders of one step of the planner, in their order."""
        for order in orders:
            if isinstance(order, TableChange):
                self._table_for(order.table).push(order)
                continue
            key = order_key(order)
            # A withdrawal keeps its place, as it is urgent. All else goes last: of admission levels that overlap the
            # last one counts, and an endpoint is restored after the removal of the entries it was withdrawn for.
            if not (isinstance(order, api.SetWithdrawn) and order.withdrawn):
                self.by_key.pop(key, None)
            self.by_key[key] = order

    def discard_table(self, table: int) -> None:
        """Remove the orders for a table that this pilot no longer owns."""
        self.by_key.pop(TableKey(table), None)

    def is_entry_pending(self, table: int, endpoint: str) -> bool:
        """Whether an order for this entry is pending."""
        pending = self._pending_table(table)
        return pending is not None and endpoint in pending.entries

    def next_request(self, ownership_epoch: int, max_orders: int | None = None) -> OrderRequest | None:
        """Build the next request from the oldest orders.

        Args:
            ownership_epoch: the registry's at this moment.
            max_orders: how many it may hold; None: as many as fit.

        Returns:
            The request, with at least one order and at most `MAX_REQUEST_BYTES` if it has several; None if no order
            is pending.
        """
        size_bytes = len(encode_request([]))
        encoded: list[bytes] = []
        included: list[Order] = []
        for order in self:
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
        """Remove the orders of an answered request that need not be sent again.

        The registry stops at an order that it rejects. That one is removed; those after it stay pending. A request
        without an answer, or rejected completely, needs no call: its orders are still the oldest.

        Args:
            orders: of the request.
            accepted_count: how many of them were accepted, from the first on.
        """
        rejected = orders[accepted_count] if accepted_count < len(orders) else None
        self.discard(orders[: accepted_count + 1])
        return AcknowledgedOrders(orders[:accepted_count], rejected)

    def discard(self, orders: Iterable[Order]) -> None:
        """Remove these orders, except those that newer ones have replaced."""
        for order in orders:
            if isinstance(order, TableChange):
                self._discard_table_change(order)
                continue
            key = order_key(order)
            if self.by_key.get(key) is order:
                del self.by_key[key]

    def overlay_entries(self, table: int, entries: TableEntries) -> TableEntries:
        """Return the entries of a table as they will be when all pending orders are applied."""
        desired = dict(entries)
        for order in self._pending_table(table) or ():
            if isinstance(order, api.ClearTable):
                desired.clear()
            else:
                apply_entry(desired, order)
        return desired

    def overlay_withdrawn(self, endpoints: Iterable[str]) -> tuple[str, ...]:
        """Return the withdrawn endpoints as they will be when all pending orders are applied."""
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
        """Return the levels of all tables, by class, as they will be when all pending orders are applied."""
        desired = dict(levels)
        for order in self.by_key.values():
            if isinstance(order, api.SetAdmission):
                apply_admission(desired, order, self.class_count)
        return tuple(desired.get(class_index, 1.0) for class_index in range(self.class_count))

    def _pending_table(self, table: int) -> PendingTable | None:
        pending = self.by_key.get(TableKey(table))
        return pending if isinstance(pending, PendingTable) else None

    def _table_for(self, table: int) -> PendingTable:
        """Return the pending orders for a table; they take the last place if there are none yet."""
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
