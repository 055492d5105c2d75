"""The known state of the registry for this pilot: joined proxies, owned slices and their table entries. No I/O.

A watch begins with the current state (`WatchSnapshot`). `Registry` compares it with the known state and returns the
differences as events, because changes that were made while no watch was open are not reported in any other way.
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

MAX_WITHDRAWN_ENDPOINTS = 4096  # most withdrawals that are kept for a planner that replaces a failed planner


class Registry:
    """The known state of the registry.

    Attributes:
        pending: Orders that the registry has not accepted yet.
        proxies: Joined proxies, by number.
        tables: Table entries of the owned slices, by slice.
        levels: Accepted admission levels that apply to all tables, by class.
        withdrawn: Endpoints whose withdrawal was accepted, newest last.
        ownership: Tracks changes of slice ownership.
    """

    def __init__(self, pending: PendingOrders, proxy_count: int, slice_count: int) -> None:
        """Create an empty state.

        Args:
            pending: Orders that the registry has not accepted yet.
            proxy_count: Number of proxies. Proxy numbers range from 0 to `proxy_count - 1`; others are ignored.
            slice_count: Number of slices. Slice numbers range from 0 to `slice_count - 1`; others are ignored.
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
        # The slice that the watch has assigned last, until its first entry or another event has been read. Until then
        # its table looks empty, whatever is stored, and the planner is not told that the slice is owned.
        self._incomplete_slice: int | None = None

    # -- events for the planner

    def initial_events(self) -> list[api.Event]:
        """Return the events that pass the known state, with pending orders applied, to a new planner."""
        events: list[api.Event] = []
        for slice_number, entries in self.tables.items():
            if slice_number == self._incomplete_slice:
                continue
            events += _table_events(slice_number, self.pending.overlay_entries(slice_number, entries))
        withdrawn = self.pending.overlay_withdrawn(self.withdrawn)
        levels = self.pending.overlay_levels(self.levels)
        if withdrawn or min(levels) < 1:
            events.append(api.FleetRestored(levels, withdrawn, 0.0, 0.0))
        for number, proxy in self.proxies.items():
            events.append(api.ProxyJoined(number, proxy.zone, proxy.weight, False))
        return events

    def reconcile(self, snapshot: WatchSnapshot, gap: bool = True) -> list[api.Event]:
        """Replace the known state by the snapshot of a new watch.

        Args:
            snapshot: State at the start of the watch.
            gap: Whether events may have been missed. If so, a known proxy may have left and rejoined, and its
                acknowledgements and the orders sent to it in the meantime may be lost. The planner is therefore
                notified that every known proxy has left and every proxy of the snapshot has joined. Without a gap, only
                proxies that differ are reported, so that the tables need not be sent again to the other proxies.
                Another pilot may also have owned a slice, so pending orders for its table are discarded.

        Returns:
            Events for the differences to the previously known state.
        """
        self._forget_incomplete_slice()
        lost_slices = [slice_number for slice_number in self.tables if slice_number not in snapshot.tables]
        events: list[api.Event] = []
        for slice_number in lost_slices:
            events += self._change_ownership(slice_number, False)
        for slice_number, entries in snapshot.tables.items():
            if slice_number in range(self.slice_count):
                reconcile_table = self._reconcile_table_after_gap if gap else self._reconcile_table
                events += reconcile_table(slice_number, entries)
        return events + self._reconcile_proxies(snapshot.proxies, gap)

    def apply(self, event: registry_events.RegistryEvent) -> list[api.Event]:
        """Apply an event that the watch sent after its snapshot, and return the events for the planner.

        The entries of an assigned slice directly follow the event that assigns it, but may be read later. The planner
        is told of the slice with its first entry, or when another event shows that its table is empty.
        """
        incomplete = self._incomplete_slice
        if isinstance(event, registry_events.EntryChanged) and event.slice == incomplete:
            self._change_entry(event)
            return self._report_incomplete_slice()
        return self._report_incomplete_slice() + self._apply(event)

    def _apply(self, event: registry_events.RegistryEvent) -> list[api.Event]:
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

    def _reconcile_table_after_gap(self, slice_number: int, stored: TableEntries) -> list[api.Event]:
        """Replace a table by the one that is stored after a gap, in which another pilot may have changed it.

        Pending orders were decided before that and are discarded. The planner decides again if an order was pending or
        the table differs, and if it is empty: another pilot may have changed it more than once.
        """
        known = self.tables.get(slice_number)
        recent = self._uncertain.recent_endpoints(slice_number)
        self._uncertain.add_unconfirmed(slice_number, _differing(recent, known or {}, stored))
        had_orders = self.pending.discard_table(slice_number)
        self.ownership.record_change(slice_number)
        self.tables[slice_number] = stored
        return [] if stored and stored == known and not had_orders else _table_events(slice_number, stored)

    def _reconcile_table(self, slice_number: int, stored: TableEntries) -> list[api.Event]:
        known = self.tables.get(slice_number)
        entries = stored if known is None else self._newest_entries(slice_number, known, stored)
        self.tables[slice_number] = entries
        # The tables are compared with pending orders applied, as the registry may already have applied these orders.
        desired = self.pending.overlay_entries(slice_number, entries)
        if known is not None and self.pending.overlay_entries(slice_number, known) == desired:
            return []
        return _table_events(slice_number, desired)

    def _newest_entries(self, slice_number: int, known: TableEntries, stored: TableEntries) -> TableEntries:
        """Return the entries of a snapshot without a gap, with recent entries as they are known.

        Orders that were accepted before the snapshot was read may be newer than the snapshot. The planner counts on
        them: with a sole owner, it would otherwise give the table back to the former owner. Entries that differ are
        ordered again.
        """
        differing = _differing(self._uncertain.recent_endpoints(slice_number), known, stored)
        self._uncertain.add_unconfirmed(slice_number, differing)
        entries = {name: weight for name, weight in stored.items() if name not in differing}
        entries.update((name, known[name]) for name in differing if name in known)
        return entries

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
        # An order for an earlier ownership must not be applied in a later ownership.
        self.pending.discard_table(slice_number)
        self.ownership.record_change(slice_number)
        if owned:
            self.tables[slice_number] = {}
            self._incomplete_slice = slice_number
            return []
        self.tables.pop(slice_number, None)
        self._uncertain.add_unconfirmed(slice_number, self._uncertain.recent_endpoints(slice_number))
        return [api.SliceOwnershipChanged(slice_number, False)]

    def _report_incomplete_slice(self) -> list[api.Event]:
        """Return the events for the slice that was assigned last, if the planner was not told of it yet."""
        slice_number, self._incomplete_slice = self._incomplete_slice, None
        return [] if slice_number is None else _table_events(slice_number, self.tables[slice_number])

    def _forget_incomplete_slice(self) -> None:
        """Forget the slice that was assigned last, as a snapshot contains its table."""
        if self._incomplete_slice is not None:
            del self.tables[self._incomplete_slice]
            self._incomplete_slice = None

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
        """Handle a heartbeat: the watch has reported all entries of the slices that were assigned before it."""
        for slice_number, endpoints in self._uncertain.handle_heartbeat(self.tables).items():
            self._order_entries(slice_number, endpoints)

    def _order_entries(self, slice_number: int, endpoints: Iterable[str]) -> bool:
        """Order the currently desired weights of entries, regardless of their stored weights.

        Entries with a pending order are skipped.

        Returns:
            Whether any order was added.
        """
        desired = self.pending.overlay_entries(slice_number, self.tables[slice_number])
        orders = [
            api.SetEntry(slice_number, endpoint, desired.get(endpoint, 0.0))
            for endpoint in endpoints
            if not self.pending.is_entry_pending(slice_number, endpoint)
        ]
        self.pending.push(orders)
        return bool(orders)

    def apply_accepted_orders(self, orders: Iterable[Order], ownership_epoch: int) -> None:
        """Apply orders that the registry has accepted.

        Args:
            orders: The accepted orders of a request.
            ownership_epoch: Ownership epoch of that request. Entries of a slice whose ownership has changed since then,
                or may have changed, are not applied here; `repeat_uncertain` handles them.
        """
        for order in orders:
            if isinstance(order, TableChange):
                if order.table in self.tables and not self.is_outdated(order, ownership_epoch):
                    self._apply_table_change(order)
            elif isinstance(order, api.SetWithdrawn):
                self._apply_withdrawal(order)
            elif isinstance(order, api.SetAdmission):
                apply_admission(self.levels, order, self.pending.class_count)

    def is_outdated(self, order: Order, ownership_epoch: int) -> bool:
        """Return whether an order concerns a table whose ownership has changed since the given epoch."""
        if not isinstance(order, TableChange | api.SetAdmission) or order.table is None:
            return False
        return self.ownership.has_changed_since(order.table, ownership_epoch)

    def repeat_uncertain(self, orders: Iterable[Order], ownership_epoch: int) -> bool:
        """Repeat the orders for slices whose ownership has changed, or may have changed, during the request.

        The registry applied such an order, if at all, in the previous ownership, in the current ownership or between
        them, so it is unknown whether the order changed the entries that are stored now. After a change, the currently
        desired weights of the order's entries are ordered: immediately for known stored entries, and for all entries
        after a heartbeat, which shows that the watch has reported the stored entries of the slice. A change of
        ownership that is reported later is covered as well, because all entries of the request are added to the recent
        entries (see `UncertainEntries`).

        Args:
            orders: Orders of a request that was accepted or whose outcome is unknown.
            ownership_epoch: Ownership epoch of that request.

        Returns:
            Whether any entry was ordered again.
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
        if self.is_outdated(order, ownership_epoch):
            self._uncertain.add_unconfirmed(slice_number, endpoints)
            kept = [endpoint for endpoint in endpoints if endpoint in stored]
            return self._order_entries(slice_number, kept) if kept else False
        return False

    def rejection_events(self, order: Order) -> list[api.Event]:
        """Return events with the known table of a rejected entry, so that the planner decides again.

        There are no events for orders of other kinds or for slices that the pilot does not own. An earlier request
        without a response may have stored the entry nevertheless. Therefore a recent entry (see `UncertainEntries`) is
        ordered again after the next heartbeat, with the weight that is desired then.
        """
        if not isinstance(order, api.SetEntry) or order.table == self._incomplete_slice:
            return []
        if order.table in self.tables:
            if order.endpoint in self._uncertain.recent_endpoints(order.table):
                self._uncertain.add_unconfirmed(order.table, [order.endpoint])
            return _table_events(order.table, self.pending.overlay_entries(order.table, self.tables[order.table]))
        return []

    def _apply_table_change(self, order: TableChange) -> None:
        if isinstance(order, api.SetEntry):
            apply_entry(self.tables[order.table], order)
            return
        for endpoint in self.tables[order.table]:
            self._uncertain.add_recent(order.table, endpoint)
        self.tables[order.table].clear()

    def _apply_withdrawal(self, order: api.SetWithdrawn) -> None:
        self.withdrawn.pop(order.endpoint, None)
        if order.withdrawn:
            self.withdrawn[order.endpoint] = None
        # Drop the oldest withdrawals: endpoints that were withdrawn so long ago are assumed to be gone permanently.
        while len(self.withdrawn) > MAX_WITHDRAWN_ENDPOINTS:
            del self.withdrawn[next(iter(self.withdrawn))]


def _differing(endpoints: Iterable[str], known: TableEntries, stored: TableEntries) -> list[str]:
    """Return the endpoints whose known and stored weights differ."""
    return [name for name in endpoints if known.get(name, 0.0) != stored.get(name, 0.0)]


def _table_events(slice_number: int, entries: TableEntries) -> list[api.Event]:
    """Return the events for a complete table: the ownership of the slice, then each entry."""
    events: list[api.Event] = [api.SliceOwnershipChanged(slice_number, True)]
    events += [api.StoredEntry(slice_number, endpoint, weight) for endpoint, weight in entries.items()]
    return events
