"""Withdrawals reach proxies that join, restart or come back while other withdrawals use up the messages."""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from tests.helpers import SECOND, SimulatedFleet, entry

STEP = SECOND // 4
NAMES = [f"s{n:02}" for n in range(18)]
DRAIN_INTERVAL = 3  # steps between two drains, which use up the messages of the window
LIMIT = 2 * SECOND - SECOND // 2  # drain grace of the settings, less the longest transit time of a message


class ShrinkingFleet(SimulatedFleet):
    """A fleet in which one endpoint after another drains, with the withdrawals that each proxy has received.

    Attributes:
        joined_at: Time at which each proxy joined, ns.
        received: Withdrawn endpoints by proxy.
        draining_since: Time at which each draining endpoint was listed, ns.
    """

    def __init__(self, proxies: int):
        self.joined_at = dict.fromkeys(range(proxies), 0)
        self.received: dict[int, set[str]] = {proxy: set() for proxy in range(proxies)}
        self.draining_since: dict[str, int] = {}
        super().__init__(NAMES, slices=108, proxies=proxies, channel_limit=7000.0, messages_per_window=12)

    def join(self, proxy: int, fresh: bool) -> None:
        self.joined_at[proxy] = self.now
        self.received[proxy] = set() if fresh else self.received.get(proxy, set())
        self.proxies.append(proxy)
        self.handle(api.ProxyJoined(proxy, "a", 5.0, fresh))

    def leave(self, proxy: int) -> None:
        self.proxies.remove(proxy)
        self.handle(api.ProxyLeft(proxy))

    def restart_planner(self, unlisted: tuple[str, ...] = ()) -> None:
        """Replace the planner by one that knows the newest list and the stored tables. The proxies have left."""
        self.proxies = []
        self.planner = Planner(self.settings, 2)
        listed = [name for name in NAMES if name not in unlisted]
        states = {name: "terminating" if name in self.draining_since else "in_service" for name in listed}
        self.handle(api.EndpointListChanged("restored", tuple(entry(name, state) for name, state in states.items())))
        for number, table in self.tables.items():
            entries = [api.StoredEntry(number, name, weight) for name, weight in table.items()]
            self.handle(api.SliceOwnershipChanged(number, True), *entries)

    def handle(self, *events: api.Event) -> list[api.Action]:
        orders = super().handle(*events)
        for order in orders:
            if isinstance(order, api.SetWithdrawn):
                for proxy in self.proxies:
                    (self.received[proxy].add if order.withdrawn else self.received[proxy].discard)(order.endpoint)
        return orders

    def step(self, number: int) -> None:
        self.now += STEP
        if number % DRAIN_INTERVAL == 0 and len(self.draining_since) < 12:
            name = NAMES[len(self.draining_since)]
            self.draining_since[name] = self.now
            self.handle(api.EndpointListChanged("update", (entry(name, "terminating"),)))
        self.handle(api.TimerFired(0), *(self.report() if number % 4 == 0 else ()))

    def late(self) -> list[tuple[int, str]]:
        """Return the proxies that may still send to a draining endpoint after the limit, with the endpoint."""
        named = {name for table in self.tables.values() for name in table}
        return [
            (proxy, name)
            for proxy in self.proxies
            for name, since in self.draining_since.items()
            if name in named - self.received[proxy] and self.now - max(since, self.joined_at[proxy]) > LIMIT
        ]


def test_restarted_proxies_are_sent_the_withdrawals_in_force():
    """Regression (review, case 1): proxies restarted in a shrinking fleet sent to drained endpoints for seconds."""
    fleet = ShrinkingFleet(proxies=15)
    for number in range(48):
        if number == 4:
            for proxy in range(10):
                fleet.leave(proxy)
        if 7 <= number < 17:
            fleet.join(number - 7, fresh=True)
        fleet.step(number)
        assert not fleet.late()


def test_proxies_that_rejoin_a_restarted_pilot_are_sent_its_withdrawals_within_the_grace():
    """Regression (review, case 2): repeated withdrawals waited until no endpoint drained any more."""
    fleet = ShrinkingFleet(proxies=15)
    for number in range(48):
        if number == 4:
            fleet.restart_planner()
        if 8 <= number < 16:
            for proxy in range(15)[2 * number - 16 : 2 * number - 14]:
                fleet.join(proxy, fresh=False)
        fleet.step(number)
        assert not fleet.late()


def test_a_rejoined_proxy_gets_back_endpoints_while_others_drain():
    """Regression (review, case 2): readmissions and levels, too, waited until no endpoint drained any more."""
    fleet = ShrinkingFleet(proxies=15)
    for number in range(48):
        if number == 8:
            fleet.restart_planner()
            fleet.join(0, fresh=False)
            fleet.step(number)
            fleet.received[1] = {NAMES[-1]}  # withdrawn by an earlier incarnation
            fleet.join(1, fresh=False)
            fleet.log.clear()
        fleet.step(number)
        if number == 16:
            assert NAMES[-1] not in fleet.received[1]
            assert any(isinstance(order, api.SetAdmission) for order in fleet.log)


def test_a_restarted_proxy_is_sent_a_withdrawal_when_a_gained_table_names_the_endpoint():
    """Regression (review, case 1, takeover): no table named the endpoint when the proxy restarted."""
    fleet = SimulatedFleet(slices=12)
    fleet.handle(api.EndpointListChanged("update", (entry("p", "terminating"),)))
    fleet.run(6)
    fleet.handle(api.ProxyLeft(1))
    assert api.SetWithdrawn("p", True) not in fleet.handle(api.ProxyJoined(1, "a", 5.0, True)) + fleet.run(2)
    orders = fleet.handle(api.SliceOwnershipChanged(40, True), api.StoredEntry(40, "p", 1.0))
    assert api.SetWithdrawn("p", True) in orders


def cut_off_entries(fleet: ShrinkingFleet) -> list[tuple[int, int]]:
    """Return the proxies and slices with an entry, none of which the proxy uses, as all are withdrawn there."""
    tables = {number: set(table) for number, table in fleet.tables.items() if table}
    return [(p, number) for p in fleet.proxies for number, names in tables.items() if names <= fleet.received[p]]


def test_endpoints_that_return_after_a_restart_of_the_pilot_are_readmitted():
    """Regression (review, case 7): proxies never used endpoints that were gone while the pilot was restarted."""
    fleet = ShrinkingFleet(proxies=3)
    gone = tuple(NAMES[:4])
    fleet.handle(api.EndpointListChanged("update", tuple(entry(name, "terminated") for name in gone)))
    fleet.run(4)
    assert all(set(gone) <= fleet.received[proxy] for proxy in range(3))
    fleet.restart_planner(unlisted=gone)
    for proxy in range(3):
        fleet.join(proxy, fresh=False)
    fleet.run(4)
    fleet.handle(api.EndpointListChanged("update", tuple(entry(name, started=fleet.now) for name in gone)))
    for _ in range(60):
        fleet.run(1)
        assert not cut_off_entries(fleet)
    assert any(set(gone) & set(table) for table in fleet.tables.values())


def test_an_endpoint_that_only_a_gained_table_names_is_readmitted_before_a_list_is_received():
    """Regression (related to review, case 7): a takeover names an endpoint before the list does."""
    fleet = ShrinkingFleet(proxies=3)
    gone = NAMES[0]
    fleet.handle(api.EndpointListChanged("update", (entry(gone, "terminated"),)))
    fleet.run(4)
    fleet.restart_planner(unlisted=(gone,))
    for proxy in range(3):
        fleet.join(proxy, fresh=False)
    fleet.run(1)
    fleet.tables[107] = {gone: 1.0}  # another pilot had the slice meanwhile
    fleet.handle(api.SliceOwnershipChanged(107, True), api.StoredEntry(107, gone, 1.0))
    fleet.run(1)
    assert not cut_off_entries(fleet)
