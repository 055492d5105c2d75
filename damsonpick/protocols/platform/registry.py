"""What the registry stores for this pilot, as its watch reports it: proxies, owned slices and their entries. No I/O.

A watch begins with the current state (`WatchSnapshot`). `Registry` compares that with what it knew and returns the
difference as events, as changes while no watch was open are reported nowhere else.
"""

from __future__ import annotations

from collections.abc import Iterable

from damsonpick import interface as api
from damsonpick.protocols.platform import registry_events
from damsonpick.protocols.platform.order_codec import Order
from damsonpick.protocols.platform.ownership import OwnershipTracker, UncertainEntries
from damsonpick.protocols.platform.pending_orders import PendingOrders, TableChange
from damsonpick.protocols.platform.stored_state import AdmissionLevels, TableEntries, apply_admission, apply_entry
from damsonpick.protocols.platform.watch_snapshot import Proxy, WatchSnapshot
from damsonpick.time_units import NS_PER_MS

MAX_WITHDRAWN_ENDPOINTS = 4096  # kept for a planner that replaces a failed one


class Registry:
    """What is known of the registry's state.

    Attributes:
        pending: orders that the registry has yet to accept.
        proxies: joined ones, by number.
        tables: entries of owned slices, by slice.
        levels: accepted for all tables.
        withdrawn: endpoints whose withdrawal was accepted, the newest last.
        ownership: changes of slice ownership.
    """

    def __init__(self, pending: PendingOrders, proxy_count: int, slice_count: int) -> None:
        """Start with nothing known.

        Args:
            pending: orders that the registry has yet to accept.
            proxy_count: proxies with this number or a higher one do not exist.
            slice_count: likewise for slices.
        """
        self.pending = pending
        self.proxy_count = proxy_count
        self.slice_count = slice_count
        self.proxies: dict[int, Proxy] = {}
        self.tables: dict[int, TableEntries] = {}
        self.levels: AdmissionLevels = {}
        self.withdrawn: dict[str, None] = {}
        self.ownership = OwnershipTracker()
        self._uncertain = UncertainEntries()

    # -- events for the planner

    def initial_events(self) -> list[api.Event]:
        """Return the events that give the known state to a planner that replaces a failed one."""
        events: list[api.Event] = []
        for slice_number, entries in self.tables.items():
            events += _table_events(slice_number, self.pending.overlay_entries(slice_number, entries))
        withdrawn = self.pending.overlay_withdrawn(self.withdrawn)
        levels = self.pending.overlay_levels(self.levels)
        if withdrawn or min(levels) < 1:
            events.append(api.FleetRestored(levels, withdrawn, 0.0, 0.0))
        for number, proxy in self.proxies.items():
            events.append(api.ProxyJoined(number, proxy.zone, proxy.weight, False))
        return events

    def reconcile(self, snapshot: WatchSnapshot, gap: bool = True) -> list[api.Event]:
        """Take over the state with which a watch begins.

        Args:
            snapshot: that state.
            gap: whether events may have been missed. If so, a proxy that was joined before may have left and come
                back: the planner is notified of both, as its acknowledgements and the orders sent meanwhile may be
                lost. Without a gap only proxies that differ are reported, and the others need not be sent all tables
                again.

        Returns:
            The difference to what was known.
        """
        lost = [slice_number for slice_number in self.tables if slice_number not in snapshot.tables]
        events: list[api.Event] = []
        for slice_number in lost:
            events += self._change_ownership(slice_number, False)
        for slice_number, entries in snapshot.tables.items():
            if slice_number in range(self.slice_count):
                events += self._reconcile_table(slice_number, entries)
                if gap:
                    self.ownership.record_gap(slice_number)
        return events + self._reconcile_proxies(snapshot.proxies, gap)

    def apply(self, event: registry_events.RegistryEvent) -> list[api.Event]:
        """Apply an event of the watch after its snapshot; return the events for the planner."""
        if isinstance(event, registry_events.ProxyAttached):
            return self._attach_proxy(event.proxy, Proxy(event.zone, event.weight, event.fresh))
        if isinstance(event, registry_events.ProxyDetached):
            return [api.ProxyLeft(event.proxy)] if self.proxies.pop(event.proxy, None) else []
        if isinstance(event, registry_events.SyncCompleted):
            return self._complete_sync(event)
        if isinstance(event, registry_events.OwnershipChanged):
            return self._change_ownership(event.slice, event.owned)
        if isinstance(event, registry_events.EntryChanged):
            return self._change_entry(event)
        self._confirm_entries()
        return []

    def _reconcile_table(self, slice_number: int, entries: TableEntries) -> list[api.Event]:
        desired = self.pending.overlay_entries(slice_number, entries)
        known = self.tables.get(slice_number)
        self.tables[slice_number] = entries
        if known is not None:  # the snapshot may be older than orders that were accepted before it was read
            recent = self._uncertain.recent(slice_number)
            differing = [name for name in recent if known.get(name, 0.0) != entries.get(name, 0.0)]
            self._uncertain.add_unconfirmed(slice_number, differing)
        # A pending order that the registry may have applied already makes no difference.
        if known is not None and self.pending.overlay_entries(slice_number, known) == desired:
            return []
        return _table_events(slice_number, desired)

    def _reconcile_proxies(self, joined: dict[int, Proxy], gap: bool) -> list[api.Event]:
        known = self.proxies
        unchanged: dict[int, Proxy] = {}
        if not gap:
            unchanged = {number: proxy for number, proxy in known.items() if joined.get(number) == proxy}
        self.proxies = dict(unchanged)
        events: list[api.Event] = [api.ProxyLeft(number) for number in known if number not in unchanged]
        for number, proxy in joined.items():
            if number not in unchanged:
                events += self._attach_proxy(number, proxy._replace(fresh=proxy.fresh and number not in known))
        return events

    def _attach_proxy(self, number: int, proxy: Proxy) -> list[api.Event]:
        if number >= self.proxy_count:
            return []
        joined = api.ProxyJoined(number, proxy.zone, proxy.weight, proxy.fresh)
        rejoined = number in self.proxies
        self.proxies[number] = proxy
        return [api.ProxyLeft(number), joined] if rejoined else [joined]

    def _complete_sync(self, event: registry_events.SyncCompleted) -> list[api.Event]:
        if event.proxy not in self.proxies:
            return []
        token = self.pending.codec.decode_token(event.token)
        return [api.SyncAcknowledged(token, event.proxy, int(event.delay_ms * NS_PER_MS))]

    def _change_ownership(self, slice_number: int, owned: bool) -> list[api.Event]:
        if slice_number >= self.slice_count:
            return []
        # An order that was meant for an earlier ownership must not be applied in a later one.
        self.pending.discard_table(slice_number)
        self.ownership.record_change(slice_number)
        if owned:
            self.tables[slice_number] = {}
        else:
            self.tables.pop(slice_number, None)
            self._uncertain.add_unconfirmed(slice_number, self._uncertain.recent(slice_number))
        return [api.SliceOwnershipChanged(slice_number, owned)]

    def _change_entry(self, event: registry_events.EntryChanged) -> list[api.Event]:
        entries = self.tables.get(event.slice)
        if entries is None or entries.get(event.endpoint, 0.0) == event.weight:
            return []
        if event.weight <= 0:
            del entries[event.endpoint]
            return _table_events(event.slice, self.pending.overlay_entries(event.slice, entries))
        entries[event.endpoint] = event.weight
        return [api.StoredEntry(event.slice, event.endpoint, event.weight)]

    # -- orders

    def _confirm_entries(self) -> None:
        """Handle a heartbeat: all entries of slices assigned before it have been reported."""
        for slice_number, endpoints in self._uncertain.heartbeat(self.tables).items():
            self._order_entries(slice_number, endpoints)

    def _order_entries(self, slice_number: int, endpoints: Iterable[str]) -> bool:
        """Order entries as they are desired now, whatever is stored; True if any order was not pending already."""
        desired = self.pending.overlay_entries(slice_number, self.tables[slice_number])
        orders = [
            api.SetEntry(slice_number, endpoint, desired.get(endpoint, 0.0))
            for endpoint in endpoints
            if not self.pending.is_entry_pending(slice_number, endpoint)
        ]
        self.pending.push(orders)
        return bool(orders)

    def orders_accepted(self, orders: Iterable[Order], ownership_epoch: int) -> None:
        """Apply orders that the registry has accepted.

        Args:
            orders: the accepted ones of a request.
            ownership_epoch: of that request. Entries of a slice whose ownership has changed since are left to
                `repeat_uncertain`.
        """
        for order in orders:
            if isinstance(order, TableChange):
                if order.table in self.tables and not self._is_uncertain(order, ownership_epoch):
                    self._apply_table_change(order)
            elif isinstance(order, api.SetWithdrawn):
                self._apply_withdrawal(order)
            elif isinstance(order, api.SetAdmission):
                apply_admission(self.levels, order, self.pending.class_count)

    def repeat_uncertain(self, orders: Iterable[Order], ownership_epoch: int) -> bool:
        """Order again what a change of ownership during its request made uncertain.

        Such an order was applied in the former ownership, between the two or in the present one; whether it changed
        what is stored now is unknown. Its entries are ordered as they are desired now: those that are to stay at once,
        and all of them when a heartbeat has shown that the slice's stored entries have been told. A change that is
        told later is covered as well, as all entries of the request count as recent.

        Args:
            orders: of a request that was accepted, or whose outcome is unknown.
            ownership_epoch: of that request.

        Returns:
            True if any entry was ordered again.
        """
        repeated = False
        for order in orders:
            if isinstance(order, TableChange):
                repeated = self._repeat_if_uncertain(order, ownership_epoch) or repeated
        return repeated

    def _repeat_if_uncertain(self, order: TableChange, ownership_epoch: int) -> bool:
        slice_number = order.table
        stored = self.tables.get(slice_number, {})
        endpoints = [order.endpoint] if isinstance(order, api.SetEntry) else list(stored)
        for endpoint in endpoints:
            self._uncertain.add_recent(slice_number, endpoint)
        if self.ownership.has_changed_since(slice_number, ownership_epoch):
            self._uncertain.add_unconfirmed(slice_number, endpoints)
            kept = [endpoint for endpoint in endpoints if endpoint in stored]
            return self._order_entries(slice_number, kept) if kept else False
        if slice_number in self.tables and self.ownership.has_gap_since(slice_number, ownership_epoch):
            return self._push_again(order)
        return False

    def _push_again(self, order: TableChange) -> bool:
        """Keep an order pending that the planner still counts on; True unless it or a newer one is pending already."""
        if isinstance(order, api.ClearTable):
            return self._order_entries(order.table, list(self.tables[order.table]))
        if self.pending.is_entry_pending(order.table, order.endpoint):
            return False
        self.pending.push([order])
        return True

    def rejection_events(self, order: Order) -> list[api.Event]:
        """Return the table of a rejected order as it is known, so that the planner decides again.

        An earlier request without an answer may have stored the entry all the same: it is ordered again then, as it is
        desired after the next heartbeat.
        """
        if isinstance(order, api.SetEntry) and order.table in self.tables:
            if order.endpoint in self._uncertain.recent(order.table):
                self._uncertain.add_unconfirmed(order.table, [order.endpoint])
            return _table_events(order.table, self.pending.overlay_entries(order.table, self.tables[order.table]))
        return []

    def _is_uncertain(self, order: TableChange, ownership_epoch: int) -> bool:
        """Whether the ownership of the order's slice has changed since its request, or may have."""
        return self.ownership.has_changed_since(order.table, ownership_epoch) or self.ownership.has_gap_since(
            order.table, ownership_epoch
        )

    def _apply_table_change(self, order: TableChange) -> None:
        if isinstance(order, api.SetEntry):
            apply_entry(self.tables[order.table], order)
        else:
            self.tables[order.table].clear()

    def _apply_withdrawal(self, order: api.SetWithdrawn) -> None:
        self.withdrawn.pop(order.endpoint, None)
        if order.withdrawn:
            self.withdrawn[order.endpoint] = None
        while len(self.withdrawn) > MAX_WITHDRAWN_ENDPOINTS:  # the longest withdrawn are gone for good
            del self.withdrawn[next(iter(self.withdrawn))]


def _table_events(slice_number: int, entries: TableEntries) -> list[api.Event]:
    """Return the events for a complete table: owned, and then each entry."""
    events: list[api.Event] = [api.SliceOwnershipChanged(slice_number, True)]
    events += [api.StoredEntry(slice_number, endpoint, weight) for endpoint, weight in entries.items()]
    return events
