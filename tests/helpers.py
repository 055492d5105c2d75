"""Builders for planner tests that use a small simulated fleet and `Planner.handle`."""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner

SECOND = 1_000_000_000
START = 100 * SECOND


def settings(**changes: object) -> api.Settings:
    base = api.Settings(
        instance=0,
        instances=1,
        zone="a",
        classes=(
            api.RequestClass("cheap", SECOND, 3 * SECOND, "read_like", "all", 0, 1.0),
            api.RequestClass("dear", SECOND, 3 * SECOND, "non_idempotent", "all", 0, 5.0),
        ),
        slices=12,
        proxies=2,
        sole_owner=False,
        admission="ratio",
        list_on_request=False,
        poll_interval=10 * SECOND,
        channel_rate=4000.0,
        channel_limit=6000.0,
        message_overhead=8.0,
        messages_per_window=0,
        message_window=10 * SECOND,
        max_transit=SECOND // 2,
        report_period=SECOND,
        drain_grace=2 * SECOND,
        cold_capacity_share=0.2,
        warm_up_time=15 * SECOND,
        write_linger=SECOND // 50,
        write_lease=SECOND,
        load_fields=(),
        balancing_policy="pair",
    )
    return base._replace(**changes)


def entry(name: str, state: str = "in_service", weight: float = 1.0, started: int = 0, zone: str = "a"):
    return api.EndpointEntry(name, zone, state, weight, started)


def table_entries(orders: list[api.Action]) -> list[api.SetEntry]:
    """Return the orders that set or remove a table entry."""
    return [order for order in orders if isinstance(order, api.SetEntry)]


class SimulatedFleet:
    """A planner, the tables that result from its orders, and proxies that acknowledge each message at once.

    Attributes:
        settings: The planner's settings.
        planner: The planner under test.
        now: Current time, ns.
        tables: Weights that the proxies have, by slice and endpoint.
        levels: Admission levels, by table (None for all tables) and class index.
        withdrawn: Whether an endpoint is withdrawn, by name.
        names: Names of the endpoints that the load reports cover.
        proxies: Numbers of the proxies that acknowledge.
        acks: Whether the proxies acknowledge each message at once.
        log: All actions so far.
    """

    def __init__(self, names: str = "pqrs", slices: int = 12, seed: int = 1, proxies: int = 2, **changes):
        self.settings = settings(slices=slices, **changes)
        self.planner = Planner(self.settings, seed)
        self.now = START
        self.tables: dict[int, dict[str, float]] = {}
        self.levels: dict[tuple[int | None, int], float] = {}
        self.withdrawn: dict[str, bool] = {}
        self.names = list(names)
        self.acks = True
        self.log: list[api.Action] = []
        events = [
            api.EndpointListChanged("restored", tuple(entry(n) for n in names)),
            api.EndpointListChanged("replace", tuple(entry(n) for n in names)),
        ]
        events += [api.ProxyJoined(k, "a", 5.0, True) for k in range(proxies)]
        for number in range(slices):
            endpoint = names[number % len(names)]
            events += [api.SliceOwnershipChanged(number, True), api.StoredEntry(number, endpoint, 1.0)]
            self.tables[number] = {endpoint: 1.0}
        self.proxies = list(range(proxies))
        self.handle(*events)

    def handle(self, *events: api.Event) -> list[api.Action]:
        """Pass events to the planner at the current time, and apply its orders.

        If `acks` is set, all proxies acknowledge the last sync request among the orders at once. Returns all orders.
        """
        orders = self.planner.handle(self.now, list(events))
        self.log += orders
        acks = []
        for order in orders:
            if isinstance(order, api.SetEntry):
                table = self.tables.setdefault(order.table, {})
                if order.weight > 0:
                    if self.settings.sole_owner:
                        table.clear()
                    table[order.endpoint] = order.weight
                else:
                    table.pop(order.endpoint, None)
            elif isinstance(order, api.ClearTable):
                self.tables[order.table] = {}
            elif isinstance(order, api.SetWithdrawn):
                self.withdrawn[order.endpoint] = order.withdrawn
            elif isinstance(order, api.SetAdmission):
                for k in order.classes:
                    self.levels[order.table, k] = order.level
            elif isinstance(order, api.RequestSync) and self.acks:
                acks = [api.SyncAcknowledged(order.token, proxy, SECOND // 10) for proxy in self.proxies]
        if acks:
            orders = orders + self.handle(*acks)
        return orders

    def report(
        self,
        latency: dict[str, int] | None = None,
        failing: dict[str, float] | None = None,
        rate: int = 20,
        tries: int = 20,
    ) -> list[api.Event]:
        """Return the load reports of one period for every endpoint and slice.

        Args:
            latency: Latency in ms by endpoint; 200 by default.
            failing: Share of failed requests by endpoint; 0 by default.
            rate: Requests for each slice, summed over both classes.
            tries: Requests to each endpoint.
        """
        events: list[api.Event] = []
        for name in self.names:
            bad = int(tries * (failing or {}).get(name, 0.0))
            ms = (latency or {}).get(name, 200) if bad < tries else 0
            events.append(api.EndpointReport("a", name, tries, bad, ms * 1_000_000, SECOND, ()))
        for number in self.tables:
            for k in ("cheap", "dear"):
                events.append(api.SliceDemand(number, k, rate // 2, 0, SECOND))
        return events

    def run(self, seconds: float, **reports: object) -> list[api.Action]:
        """Advance the time in steps of a quarter of a second, with load reports each second."""
        orders: list[api.Action] = []
        for step in range(int(seconds * 4)):
            self.now += SECOND // 4
            events = self.report(**reports) if step % 4 == 0 else []
            orders += self.handle(api.TimerFired(0), *events)
        return orders

    def routable(self, number: int) -> set[str]:
        """Return the endpoints that a proxy may pick for a slice: those in its table that are not withdrawn."""
        return {name for name in self.tables[number] if not self.withdrawn.get(name)}

    def count(self, name: str) -> int:
        """Return the number of slices for which proxies may pick an endpoint."""
        return sum(name in self.routable(number) for number in self.tables)

    def slice_share(self, name: str) -> float:
        """Return the number of slices that an endpoint serves if proxies spread requests evenly over each table."""
        return sum(1 / len(self.routable(n)) for n in self.tables if name in self.routable(n))

    def has_slice_without_endpoint(self) -> bool:
        """Return whether there is a slice for which proxies may pick no endpoint."""
        return not all(self.routable(number) for number in self.tables)
