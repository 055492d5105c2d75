"""State kept for endpoints that no longer exist."""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.decisions import retention
from tests.helpers import SECOND, SimulatedFleet, entry


def test_state_kept_of_replaced_endpoints_stays_bounded():
    """Names are never reused. 3,000 endpoints are added and removed, and entries that could accumulate are counted."""
    world, sizes = SimulatedFleet(names=[f"a{k}" for k in range(8)], slices=24, proxies=4), []
    for turn in range(1500):
        world.now += 5 * SECOND
        gone, new = world.names.pop(0), f"n{turn}"
        world.names.append(new)
        events = [
            api.EndpointListChanged(
                "update", (entry(new, started=world.now - 20 * SECOND), entry(gone, "terminating"))
            ),
            *world.report(),
        ]
        world.handle(*events)
        world.now += SECOND
        world.handle(api.EndpointListChanged("update", (entry(gone, "terminated"),)), *world.report())
        if turn % 7 == 0:
            proxy = turn % 4
            world.handle(api.ProxyLeft(proxy), api.ProxyJoined(proxy, "a", 5.0, False))
        planner = world.planner
        sizes.append(
            (
                len(planner.endpoints),
                len(planner.resync_withdrawals),
                sum(len(p.warmth) for p in planner.slices.values()),
                len(planner.flow_control.in_flight),
                len(planner.unpublished),
            )
        )
        assert not world.has_slice_without_endpoint()
    kept = retention.MAX_PROXY_ABSENCE_NS / (6 * SECOND)  # number of endpoints removed within that time
    assert max(sizes[1000:]) <= max(sizes[:500]) and sizes[-1][0] < 8 + kept + 8
    assert len(world.planner.withdrawn) <= retention.MAX_WITHDRAWALS + len(world.planner.endpoints)


def test_a_forgotten_endpoint_that_is_listed_anew_returns():
    world = SimulatedFleet(slices=12)
    world.handle(api.EndpointListChanged("update", (entry("p", "terminated"),)))
    world.run(retention.MAX_PROXY_ABSENCE_NS // SECOND + 4)
    assert world.withdrawn["p"] and "p" not in world.planner.endpoints
    world.handle(api.ProxyLeft(0), api.ProxyJoined(0, "a", 5.0, False))
    world.run(1)
    world.handle(api.EndpointListChanged("update", (entry("p"),)))
    world.run(1)
    assert not world.withdrawn["p"]


def test_a_proxy_that_was_away_is_sent_the_withdrawals_of_endpoints_terminated_meanwhile():
    """Regression (split+mass seed 8): a proxy rejoined with an entry of a removed endpoint and kept the entry."""
    world = SimulatedFleet(slices=12)
    world.run(3)
    world.handle(api.ProxyLeft(0))
    world.handle(api.EndpointListChanged("update", (entry("p", "terminated"),)))
    world.run(5)
    assert not world.count("p") and not any("p" in table for table in world.tables.values())
    orders = world.handle(api.ProxyJoined(0, "a", 5.0, False)) + world.run(1)
    assert api.SetWithdrawn("p", True) in orders


def test_an_endpoint_whose_withdrawal_was_forgotten_returns(monkeypatch):
    """Regression (related to review, case 7): proxies kept a withdrawal that the planner had removed as the oldest."""
    monkeypatch.setattr(retention, "MAX_WITHDRAWALS", 1)
    world = SimulatedFleet(slices=12)
    world.handle(api.EndpointListChanged("update", (entry("p", "terminated"), entry("q", "terminated"))))
    world.run(5)
    assert world.withdrawn == {"p": True, "q": True} and len(world.planner.withdrawn) == 1
    world.handle(api.EndpointListChanged("update", (entry("p"), entry("q"))))
    world.run(1)
    assert world.withdrawn == {"p": False, "q": False}
