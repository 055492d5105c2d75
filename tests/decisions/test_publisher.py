"""Contents and order of the published messages."""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.decisions.flow_control import Urgency
from damsonpick.decisions.planner import Planner
from tests.helpers import SECOND, START, SimulatedFleet, entry, settings, table_entries


def test_draining_endpoint_leaves_every_table_in_the_same_reply():
    world = SimulatedFleet(slices=60)
    orders = world.handle(api.EndpointListChanged("update", (entry("p", "terminating"),)))
    assert world.count("p") == 0
    first_add = next(i for i, o in enumerate(orders) if isinstance(o, api.SetEntry) and o.weight > 0)
    first_drop = next(i for i, o in enumerate(orders) if isinstance(o, api.SetEntry) and o.weight == 0)
    assert first_add < first_drop
    assert not world.has_slice_without_endpoint()


def test_non_idempotent_classes_never_retry_without_proof():
    world = SimulatedFleet()
    world.run(10, latency=dict.fromkeys("pqrs", 900), failing={"p": 1.0})
    modes = {o.retry for o in world.log if isinstance(o, api.SetAdmission) and 1 in o.classes}
    assert modes and modes <= {0, 1}


def test_rejoining_proxy_is_sent_the_admission_levels_again():
    world = SimulatedFleet()
    world.run(4)
    world.log.clear()
    world.handle(api.ProxyLeft(1))
    world.handle(api.ProxyJoined(1, "a", 1.0, False))
    assert [o for o in world.log if isinstance(o, api.SetAdmission) and o.table is None]


def test_orders_wait_until_a_proxy_has_joined():
    planner = Planner(settings(), 1)
    events = [api.EndpointListChanged("replace", (entry("p"),)), api.SliceOwnershipChanged(0, True)]
    assert not table_entries(planner.handle(START, events))
    assert table_entries(planner.handle(START + 1, [api.ProxyJoined(0, "a", 1.0, True)]))


def test_in_a_small_channel_the_withdrawal_goes_first_and_slices_without_an_endpoint_follow():
    """Regression (ocitanja-vode, overload): a draining endpoint kept its entry if the order exceeded the channel."""
    world = SimulatedFleet(slices=60, channel_limit=90.0)
    world.acks = False
    world.handle(api.EndpointListChanged("update", (entry("p", "terminating"),)))
    assert world.count("p") == 0
    assert world.has_slice_without_endpoint()  # the channel is too small for all changes at once
    for _ in range(8):
        world.now += SECOND // 4
        tokens = [o.token for o in world.log if isinstance(o, api.RequestSync)]
        world.handle(*(api.SyncAcknowledged(tokens[-1], proxy, 0) for proxy in world.proxies))
    assert not world.has_slice_without_endpoint()


def test_withdrawals_go_before_the_resync_of_proxies_that_came_back():
    """Regression (parking-varazdin on sockets, reload): 39 readmissions filled three messages before 14 withdrawals."""
    world = SimulatedFleet([f"s{n:02}" for n in range(30)], slices=30, channel_limit=120.0)
    world.run(4)
    room = world.planner.flow_control.message_capacity(Urgency.CRITICAL, 0.0)
    world.handle(api.ProxyLeft(1))
    world.planner.known_proxies.pop(1)  # as after a restart: the withdrawals that the proxy has are unknown
    world.acks = False
    world.now += SECOND
    orders = world.handle(
        api.ProxyJoined(1, "a", 1.0, False), api.EndpointListChanged("update", (entry("s07", "terminating"),))
    )
    assert room < 30 and api.SetWithdrawn("s07", True) in orders
    assert sum(isinstance(o, api.SetWithdrawn) for o in orders) <= 1 + room // 2 + 1
    assert [o for o in orders if isinstance(o, api.SetEntry)], (
        "the slice without an endpoint follows in the same message"
    )


def test_a_return_waits_for_cleanup_and_reaches_proxies_that_were_away():
    """When an endpoint returns under its old name, no proxy may keep it withdrawn or send to it from an old entry."""
    world = SimulatedFleet(slices=40)
    world.run(6, tries=200)
    for _ in range(3):
        world.handle(api.EndpointListChanged("update", (entry("p", "terminated"),)))
        assert world.count("p") == 0
        world.run(4, tries=200)
        world.handle(api.EndpointListChanged("update", (entry("p", started=world.now),)))
        world.run(4, tries=200)
        assert not world.withdrawn["p"] and 0 < world.slice_share("p") < 10
    world.handle(api.ProxyLeft(1))
    orders = world.handle(api.ProxyJoined(1, "a", 5.0, False))
    orders += world.run(2)
    assert api.SetWithdrawn("p", False) in orders


def test_an_endpoint_that_flaps_under_its_old_start_time_returns():
    """Regression (ocitanja-vode, flapping): the list removed the endpoint and added it again unchanged."""
    world = SimulatedFleet(slices=24)
    world.run(6)
    for _ in range(3):
        world.handle(api.EndpointListChanged("update", (entry("p", "terminated"),)))
        world.run(2)
        assert world.count("p") == 0 and not world.has_slice_without_endpoint()
        world.handle(api.EndpointListChanged("update", (entry("p"),)))
        world.run(8)
        assert world.count("p") > 0 and not world.withdrawn["p"]
