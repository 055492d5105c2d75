"""What the relay holds for this pilot, as its news tell: proxies, slices and their lines. Sans I/O.

A watch begins with what stands. `Standing` gathers that part; `Registry` lays it beside what the module believes and
tells the difference, as what happened while no watch was open is told nowhere else.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.protocols.platform import messages
from damsonpick.protocols.platform.pending_orders import Order, Orders, apply

SHUT_MOST = 4096  # withdrawals kept for a planner that takes the place of one that failed


class Member(NamedTuple):
    """A joined proxy."""

    zone: str
    weight: float
    fresh: bool


class Standing:
    """The first part of a watch."""

    def __init__(self) -> None:
        self.members: dict[int, Member] = {}
        self.tables: dict[int, dict[str, float]] = {}

    def take(self, news: messages.News) -> None:
        if isinstance(news, messages.Attach):
            self.members[news.proxy] = Member(news.zone, news.weight, news.fresh)
        elif isinstance(news, messages.Detach):
            self.members.pop(news.proxy, None)
        elif isinstance(news, messages.Owner):
            self.tables.pop(news.slice, None)
            if news.on:
                self.tables[news.slice] = {}
        elif isinstance(news, messages.Entry) and news.weight > 0:
            self.tables.setdefault(news.slice, {})[news.server] = news.weight


class Registry:
    """What the module believes of the relay.

    Args:
        orders: what waits to be taken.
        proxies, slices: how many there are.
    """

    def __init__(self, orders: Orders, proxies: int, slices: int) -> None:
        self.orders, self.proxies, self.slices = orders, proxies, slices
        self.members: dict[int, Member] = {}
        self.tables: dict[int, dict[str, float]] = {}
        self.levels: dict[int, float] = {}  # by class, as taken for all tables
        self.shut: dict[str, None] = {}  # endpoints whose withdrawal was taken, the newest last
        self.charges = 0  # how often a charge may have changed
        self.changed: dict[int, int] = {}  # by slice, at which of these its charge last did
        self.taken: list[dict[int, dict[str, None]]] = [{}, {}]  # lines taken since the last sign of life, and before
        self.suspect: dict[int, dict[str, None]] = {}  # lines that a charge given meanwhile may hold, untold

    # -- news

    def begin(self) -> list[api.Event]:
        """What a new planner is told in place of one that failed. Proxies keep what the former one withdrew."""
        events: list[api.Event] = []
        for number, lines in self.tables.items():
            events += self._given(number, self.orders.overlay(number, lines))
        shut, levels = self.orders.overlay_shut(self.shut), self.orders.overlay_levels(self.levels)
        if shut or min(levels) < 1:
            events.append(api.FleetRestored(levels, shut, 0.0, 0.0))
        return events + [api.ProxyJoined(n, m.zone, m.weight, False) for n, m in self.members.items()]

    def reconcile(self, standing: Standing, gap: bool = True) -> list[api.Event]:
        """What stands, against what is believed.

        Over a gap in the news, a proxy that was joined before may have left and come back: the module hears both,
        since its marks and the orders sent meanwhile may be lost. Without one (another watch was being read until
        now) only a proxy that stands differently has, and the others need not be told all orders again.
        """
        events: list[api.Event] = []
        for number in [n for n in self.tables if n not in standing.tables]:
            events += self._own(messages.Owner(number, False))
        for number, lines in standing.tables.items():
            if number not in range(self.slices):
                continue
            wanted = self.orders.overlay(number, lines)
            believed = self.tables.get(number)
            if believed is None or self.orders.overlay(number, believed) != wanted:
                events += self._given(number, wanted)
            self.tables[number] = lines
            if gap:
                self._charge(number)
        before = self.members
        same = {} if gap else {n: m for n, m in before.items() if standing.members.get(n) == m}
        self.members = dict(same)
        events += [api.ProxyLeft(n) for n in before if n not in same]
        for number, member in standing.members.items():
            if number not in same:
                fresh = member.fresh and number not in before
                events += self._join(messages.Attach(number, member.zone, fresh, member.weight))
        return events

    def news(self, news: messages.News) -> list[api.Event]:
        """The events that a line of news is, after the first part."""
        if isinstance(news, messages.Attach):
            return self._join(news)
        if isinstance(news, messages.Detach):
            return [api.ProxyLeft(news.proxy)] if self.members.pop(news.proxy, None) else []
        if isinstance(news, messages.Done):
            mark, delay = self.orders.mark_of(news.mark), int(news.took_ms * messages.MS)
            return [api.SyncAcknowledged(mark, news.proxy, delay)] if news.proxy in self.members else []
        if isinstance(news, messages.Owner):
            return self._own(news)
        if isinstance(news, messages.Beat):
            self._settle()
        return self._line(news) if isinstance(news, messages.Entry) else []

    def _join(self, news: messages.Attach) -> list[api.Event]:
        if news.proxy >= self.proxies:
            return []
        again = [api.ProxyLeft(news.proxy)] if news.proxy in self.members else []
        self.members[news.proxy] = Member(news.zone, news.weight, news.fresh)
        return [*again, api.ProxyJoined(news.proxy, news.zone, news.weight, news.fresh)]

    def _own(self, news: messages.Owner) -> list[api.Event]:
        if news.slice >= self.slices:
            return []
        # An order that was meant for an earlier charge must not come to life in a later one.
        self.orders.forget(news.slice)
        self._charge(news.slice)
        if news.on:
            self.tables[news.slice] = {}
        else:
            self.tables.pop(news.slice, None)
            # A call answered a moment ago may have come behind the next charge, whose first lines do not tell of it.
            for lines in self.taken:
                self.suspect.setdefault(news.slice, {}).update(lines.get(news.slice, {}))
        return [api.SliceOwnershipChanged(news.slice, news.on)]

    def _line(self, news: messages.Entry) -> list[api.Event]:
        lines = self.tables.get(news.slice)
        if lines is None or lines.get(news.server, 0.0) == news.weight:
            return []
        if news.weight <= 0:
            del lines[news.server]
            return self._given(news.slice, self.orders.overlay(news.slice, lines))
        lines[news.server] = news.weight
        return [api.StoredEntry(news.slice, news.server, news.weight)]

    @staticmethod
    def _given(number: int, lines: dict[str, float]) -> list[api.Event]:
        return [
            api.SliceOwnershipChanged(number, True),
            *(api.StoredEntry(number, name, weight) for name, weight in lines.items()),
        ]

    # -- orders

    def _settle(self) -> None:
        """A sign of life: the first lines of what was given before it have been told."""
        for number in [n for n in self.suspect if n in self.tables]:
            self._again(number, self.suspect.pop(number))
        self.taken = [{}, self.taken[0]]

    def _again(self, number: int, names: Iterable[str]) -> bool:
        """Order lines as they are wanted now, whatever stands; True if any was not ordered yet."""
        wanted = self.orders.overlay(number, self.tables[number])
        again = [api.SetEntry(number, n, wanted.get(n, 0.0)) for n in names if not self.orders.waits(number, n)]
        self.orders.push(again)
        return bool(again)

    def _charge(self, number: int) -> None:
        self.charges += 1
        self.changed[number] = self.charges

    def carried_out(self, orders: tuple[Order, ...], charges: int | None = None) -> None:
        """Orders that the relay has taken.

        Args:
            charges: as `self.charges` was when their call was made. Lines of a slice whose charge changed since are
                left to `unsure`.
        """
        for order in orders:
            if isinstance(order, api.SetEntry | api.ClearTable):
                if order.table in self.tables and not self._since(order.table, charges):
                    self._lay(order)
            elif isinstance(order, api.SetWithdrawn):
                self._shut(order)
            elif isinstance(order, api.SetAdmission) and order.table is None:
                self.levels.update((k, order.level) for k in order.classes or range(len(self.orders.classes)))

    def _since(self, number: int, charges: int | None) -> bool:
        return charges is not None and self.changed.get(number, 0) > charges

    def _lay(self, order: api.SetEntry | api.ClearTable) -> None:
        if isinstance(order, api.SetEntry):
            apply(self.tables[order.table], order)
            self.taken[0].setdefault(order.table, {})[order.endpoint] = None
        else:
            self.tables[order.table].clear()

    def unsure(self, orders: tuple[Order, ...], charges: int) -> bool:
        """A call of these was made, and the charge of some of its slices changed before its answer was here.

        They count as taken, or were taken, in the former charge, between the two or in the present one: nobody knows
        whether they changed what stands now. The lines in question are ordered as they are wanted now; True if any is.
        """
        said = False
        for order in orders:
            if not isinstance(order, api.SetEntry | api.ClearTable) or not self._since(order.table, charges):
                continue
            if order.table not in self.tables:
                continue
            names = [order.endpoint] if isinstance(order, api.SetEntry) else list(self.tables[order.table])
            said = self._again(order.table, names) or said
        return said

    def _shut(self, order: api.SetWithdrawn) -> None:
        self.shut.pop(order.endpoint, None)
        if order.withdrawn:
            self.shut[order.endpoint] = None
        while len(self.shut) > SHUT_MOST:  # the longest withdrawn are gone for good
            del self.shut[next(iter(self.shut))]

    def refused(self, order: Order) -> list[api.Event]:
        """An order the relay would not take: the module is told the table as it is, to decide anew."""
        if isinstance(order, api.SetEntry) and order.table in self.tables:
            return self._given(order.table, self.orders.overlay(order.table, self.tables[order.table]))
        return []
