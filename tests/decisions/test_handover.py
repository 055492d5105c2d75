"""Changes of a slice's sole owner: the former owner's writes end before the new owner gets the first one."""

from __future__ import annotations

import pytest

from damsonpick import interface as api
from damsonpick.decisions.handover import FORMER_OWNER_EXCLUSION_NS
from tests.helpers import SECOND, SimulatedFleet, entry

LINGER = SECOND // 2
LONG_LINGER = 3 * SECOND
LEASE = 3 * SECOND // 2
HOLD = 3 * SECOND // 4  # longer than the withdrawal of a draining owner may wait: 2 s less 0.5 s, 0.74 s and 0.25 s
STOP = api.SetAdmission(0, (0, 1), 0.0, 1)
END_STOP = api.SetAdmission(0, (0, 1), 1.0, 1)


class ExclusiveFleet(SimulatedFleet):
    """A fleet with sole owners whose proxies acknowledge only when told to. Slice 0 belongs to endpoint p."""

    def __init__(self, **changes):
        changes = {"write_linger": LINGER, "write_lease": LEASE, "unserved_limit": 3 * SECOND} | changes
        super().__init__(slices=8, sole_owner=True, **changes)
        self.step(10 * SECOND)
        self.acks = False

    def acknowledge(self, *proxies: int) -> list[api.Action]:
        """Let proxies acknowledge the newest message."""
        token = self.planner.flow_control.last_token
        return self.handle(*(api.SyncAcknowledged(token, proxy, 0) for proxy in proxies))

    def step(self, duration: int) -> list[api.Action]:
        self.now += duration
        return self.handle(api.TimerFired(0))

    def drain(self, name: str = "p") -> list[api.Action]:
        return self.handle(api.EndpointListChanged("update", (entry(name, "terminating"),)))

    def join(self, proxy: int, fresh: bool = False) -> list[api.Action]:
        return self.handle(api.ProxyJoined(proxy, "a", 5.0, fresh))

    def move(self, name: str) -> list[api.Action]:
        """Let the planner move slice 0 although its owner is in service, as a balancing round does."""
        slice_state = self.planner.slices[0]
        slice_state.assigned = [name]
        self.planner.unpublished[0] = slice_state
        return self.step(SECOND)


def new_owners(orders: list[api.Action]) -> list[str]:
    return [order.endpoint for order in orders if isinstance(order, api.SetEntry) and order.table == 0]


def test_the_new_owner_waits_for_every_proxy_and_for_the_writes_in_progress():
    """Regression (review, case 3): proxies with the new entry wrote to it while others still wrote to the old owner."""
    fleet = ExclusiveFleet()
    orders = fleet.drain()
    assert api.ClearTable(0) in orders and api.SetWithdrawn("p", True) in orders and not new_owners(orders)
    assert not new_owners(fleet.acknowledge(0) + fleet.step(2 * SECOND))
    assert not new_owners(fleet.acknowledge(1) + fleet.step(LINGER - 1))
    assert len(new_owners(fleet.step(1))) == 1 and new_owners(fleet.log) != ["p"]


def test_a_proxy_that_has_left_is_waited_for_until_its_lease_ends():
    """Regression (review, case 3, lost proxies): a proxy without a stream goes on writing for its lease."""
    fleet = ExclusiveFleet()
    fleet.drain()
    fleet.acknowledge(0)
    fleet.handle(api.ProxyLeft(1))
    assert not new_owners(fleet.step(LEASE - 1) + fleet.step(0))
    assert not new_owners(fleet.step(1) + fleet.step(LINGER - 1))
    assert new_owners(fleet.step(1))


def test_a_proxy_that_left_after_it_applied_the_clearing_is_not_waited_for():
    """Its table is empty, so that it has no endpoint to write to; others would lack an entry for its whole lease."""
    fleet = ExclusiveFleet()
    fleet.drain()
    fleet.acknowledge(0, 1)
    fleet.handle(api.ProxyLeft(1))
    assert new_owners(fleet.step(LINGER))


def test_a_proxy_that_rejoins_within_its_lease_has_to_acknowledge():
    """Regression (review, case 3, lost proxies): a stream whose break was only assumed may lack the message."""
    fleet = ExclusiveFleet()
    fleet.drain()
    fleet.acknowledge(0)
    fleet.handle(api.ProxyLeft(1), api.ProxyJoined(1, "a", 5.0, False))
    assert not new_owners(fleet.acknowledge(0) + fleet.step(LEASE - 1))
    fleet.acknowledge(1)
    assert new_owners(fleet.step(LINGER))


@pytest.mark.parametrize("fresh", [True, False])
def test_a_proxy_that_joins_a_cleared_table_without_a_lease_delays_nothing(fresh):
    """It reads the store, where the table is empty, before it sends a write."""
    fleet = ExclusiveFleet()
    fleet.handle(api.ProxyLeft(1))
    fleet.step(LEASE)
    fleet.drain()
    fleet.acknowledge(0)
    fleet.join(1, fresh)
    assert new_owners(fleet.step(LINGER))


@pytest.mark.parametrize("fresh", [True, False])
def test_a_proxy_that_joins_before_any_acknowledgement_may_have_read_the_old_entry(fresh):
    """Regression (model, races): a proxy joined while the order was on its way, read the old entry and wrote to it."""
    fleet = ExclusiveFleet()
    fleet.handle(api.ProxyLeft(1))
    fleet.step(LEASE)
    fleet.drain()
    fleet.join(1, fresh)
    assert not new_owners(fleet.acknowledge(0) + fleet.step(5 * SECOND))
    fleet.acknowledge(1)
    assert new_owners(fleet.step(LINGER))


def test_a_joined_proxy_is_asked_at_once_for_the_acknowledgement_that_a_handover_needs():
    """Regression (model): the message after a join waited for less urgent spacing while all tables stayed empty."""
    fleet = ExclusiveFleet(messages_per_window=12)
    fleet.drain()
    fleet.join(1)
    orders = fleet.step(fleet.planner.flow_control.window.next_critical_at - fleet.now)
    assert any(isinstance(order, api.RequestSync) for order in orders)


def test_a_slice_that_is_gained_without_an_entry_waits_for_all_leases():
    """Regression (review, case 3, takeover): the former pilot had cleared the table, and its proxies still wrote."""
    fleet = ExclusiveFleet()
    fleet.tables[40] = {}
    assert api.ClearTable(40) in fleet.handle(api.SliceOwnershipChanged(40, True))
    fleet.acknowledge(0, 1)
    early = fleet.step(LEASE - 1) + fleet.step(LINGER)
    assert not any(isinstance(order, api.SetEntry) and order.table == 40 for order in early)
    late = fleet.step(SECOND) + fleet.step(LINGER)
    assert any(isinstance(order, api.SetEntry) and order.table == 40 for order in late)


def test_a_slice_is_not_given_back_to_a_former_owner():
    """Regression (review, case 3): a write reached a former owner after a later one had taken a write."""
    fleet = ExclusiveFleet()
    owners = []
    for _ in range(3):
        (owner,) = fleet.tables[0]
        owners.append(owner)
        fleet.drain(owner)
        fleet.acknowledge(0, 1)
        fleet.step(LINGER)
        fleet.handle(api.EndpointListChanged("update", (entry(owner),)))
        fleet.acknowledge(0, 1)
        fleet.step(SECOND)
    assert len(dict.fromkeys(owners)) == 3


def test_a_former_owner_is_forgotten_when_it_may_have_the_slice_again():
    """Found by reading: a slice kept every endpoint that it ever had, also those gone long ago."""
    fleet = ExclusiveFleet()
    for _ in range(3):
        (owner,) = fleet.tables[0]
        fleet.drain(owner)
        fleet.acknowledge(0, 1)
        fleet.step(LINGER)
        fleet.acknowledge(0, 1)
        fleet.step(FORMER_OWNER_EXCLUSION_NS)
    assert list(fleet.planner.slices[0].former_owners) == [owner]


def test_a_handover_that_a_hung_proxy_delays_is_given_up_if_the_owner_can_go_on():
    """Found by reading: proxies lacked an entry for as long as another one neither acknowledged nor left."""
    fleet = ExclusiveFleet()
    assert api.ClearTable(0) in fleet.move("q")
    fleet.acknowledge(0)
    assert not new_owners(fleet.step(LINGER + 3 * SECOND // 2 - 1))
    assert new_owners(fleet.step(1)) == ["p"]
    fleet.acknowledge(0, 1)
    assert not new_owners(fleet.step(5 * SECOND)) and fleet.tables[0] == {"p": 1.0}


def test_writes_that_were_stopped_go_on_if_the_handover_is_given_up():
    """Found by reading: writes of a slice were refused for as long as a proxy neither acknowledged nor left."""
    fleet = ExclusiveFleet(write_linger=LONG_LINGER)
    assert STOP in fleet.move("q")
    fleet.acknowledge(0)
    assert END_STOP not in fleet.step(LONG_LINGER + 3 * SECOND // 2 - 1)
    orders = fleet.step(1)
    assert END_STOP in orders and api.ClearTable(0) not in orders and fleet.tables[0] == {"p": 1.0}


def test_a_table_without_writes_changes_its_owner_in_one_step():
    """Reads may be with two endpoints, so that proxies need not be left without an entry."""
    fleet = ExclusiveFleet()
    classes = tuple(request_class._replace(writes=False) for request_class in fleet.settings.classes)
    fleet = ExclusiveFleet(classes=classes)
    orders = fleet.drain()
    assert new_owners(orders) and not any(isinstance(order, api.ClearTable) for order in orders)


@pytest.mark.parametrize("admission, stopped", [("ratio", True), ("none", False)])
def test_writes_are_stopped_by_a_level_where_they_take_long_to_end(admission, stopped):
    """Regression (review, case 3): clearing at once left proxies without an entry for 3.3 s where 2.8 s are allowed."""
    fleet = ExclusiveFleet(write_linger=LONG_LINGER, admission=admission)
    orders = fleet.drain()
    assert (STOP in orders, api.ClearTable(0) in orders) == (stopped, not stopped)
    orders = fleet.acknowledge(0, 1)
    assert bool(fleet.tables[0]) == stopped and (api.SetWithdrawn("p", True) not in fleet.log) == stopped
    orders += fleet.step(HOLD)
    assert api.SetWithdrawn("p", True) in fleet.log and not fleet.tables[0] and not new_owners(orders)
    fleet.acknowledge(0, 1)
    assert new_owners(fleet.step(LONG_LINGER - HOLD))


def test_writes_that_are_stopped_do_not_allow_the_new_owner_before_the_table_is_cleared_everywhere():
    """Regression (model, seed 126): a change of ownership ended the stop at a proxy that still had the old entry."""
    fleet = ExclusiveFleet(write_linger=LONG_LINGER)
    fleet.drain()
    fleet.acknowledge(0, 1)
    fleet.step(HOLD)
    assert not new_owners(fleet.acknowledge(0) + fleet.step(LONG_LINGER))
    assert new_owners(fleet.acknowledge(1))


def test_a_proxy_that_joins_while_writes_are_stopped_lets_the_table_be_cleared():
    """Regression (review, case 3): it reads the stored entry without the level, and writes to the old owner."""
    fleet = ExclusiveFleet(write_linger=LONG_LINGER)
    fleet.handle(api.ProxyLeft(1))
    fleet.step(LEASE)
    fleet.drain()
    assert api.ClearTable(0) in fleet.join(1, True) + fleet.acknowledge(0)


def test_a_proxy_that_missed_the_clearing_gets_its_writes_back_when_it_has_read_the_store():
    """Regression (model, seeds 106, 13): level 0 stayed for ever, or ended at a proxy that still had the old entry."""
    fleet = ExclusiveFleet(write_linger=LONG_LINGER)
    fleet.drain()
    fleet.acknowledge(0, 1)
    fleet.handle(api.ProxyLeft(1))
    fleet.step(HOLD)
    fleet.acknowledge(0)
    fleet.step(LONG_LINGER)
    assert new_owners(fleet.log)
    fleet.acknowledge(0)
    orders = fleet.handle(api.ProxyLeft(0), api.ProxyJoined(0, "a", 5.0, False)) + fleet.join(1)
    assert END_STOP not in orders + fleet.acknowledge(1) + fleet.step(SECOND)
    assert END_STOP in fleet.acknowledge(0, 1) + fleet.step(SECOND)


def test_a_proxy_that_missed_the_end_of_a_stop_of_an_earlier_incarnation_gets_it_again():
    """Regression (model, seed 1151): the message was lost, and the proxy refused writes for ever after a join."""
    fleet = ExclusiveFleet(write_linger=LONG_LINGER)
    fleet.handle(api.ProxyLeft(1), api.ProxyJoined(1, "a", 5.0, False))
    assert END_STOP in fleet.acknowledge(0, 1) + fleet.step(SECOND)
    fleet.handle(api.ProxyLeft(1))
    orders = fleet.join(1) + fleet.acknowledge(0, 1) + fleet.step(SECOND)
    assert END_STOP in orders
