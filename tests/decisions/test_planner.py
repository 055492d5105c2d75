"""The planner as a whole: invalid events, determinism, random event streams."""

from __future__ import annotations

import random
import typing

from damsonpick import interface as api
from tests.helpers import SECOND, SimulatedFleet, entry

UNUSED_EVENTS = {api.TimerFired, api.ProbeResult, api.PeerMessage, api.ProxyDemand}


def test_every_type_of_event_has_a_handler_or_is_known_to_be_unused():
    handled = set(SimulatedFleet().planner._event_handlers())
    assert handled | UNUSED_EVENTS == set(typing.get_args(api.Event)) and not handled & UNUSED_EVENTS


def test_events_about_unknown_names_and_empty_reports_are_ignored():
    world = SimulatedFleet()
    before = {n: dict(t) for n, t in world.tables.items()}
    world.handle(
        api.EndpointReport("a", "nobody", 5, 5, 0, SECOND, ()),
        api.EndpointReport("a", "p", 0, 0, 0, 0, ()),
        api.SliceDemand(999, "cheap", 5, 0, SECOND),
        api.SliceDemand(0, "unknown", 5, 0, SECOND),
        api.SliceDemand(0, "cheap", 5, 0, 0),
        api.SyncAcknowledged(77, 9, 0),
        api.ProxyLeft(9),
        api.StoredEntry(999, "p", 1.0),
        api.ProbeResult("p", "Ok", 1, ()),
        api.PeerMessage(1, b""),
        api.ProxyDemand(0, "cheap", 1, 0, SECOND),
    )
    assert {n: set(t) >= set(before[n]) for n, t in world.tables.items()} == dict.fromkeys(before, True)


def test_clock_jumps_and_bursts_after_silence_do_no_harm():
    world = SimulatedFleet()
    world.run(4)
    world.now += 45 * SECOND
    burst = [event for _ in range(20) for event in world.report()]
    world.handle(*burst)
    world.run(4)
    assert not world.has_slice_without_endpoint()
    assert not [o for o in world.log if isinstance(o, api.Log) and "eject" in o.text]


def test_two_planners_in_one_process_share_nothing():
    alone, other = SimulatedFleet(seed=5), SimulatedFleet(seed=9, names="vwxy")
    twin = SimulatedFleet(seed=5)
    for _ in range(10):
        other.run(1, failing={"v": 1.0})
        assert alone.run(1, rate=40) == twin.run(1, rate=40)


def test_random_event_streams_never_raise_nor_leave_a_slice_without_an_endpoint():
    rnd = random.Random(3)
    world = SimulatedFleet()
    for _ in range(400):
        world.now += rnd.choice([1, SECOND // 4, 5 * SECOND])
        name = rnd.choice("pqrs")
        world.handle(
            api.EndpointListChanged(
                "update",
                (
                    entry(
                        name,
                        rnd.choice(["in_service", "terminating", "terminated"]),
                        started=rnd.choice([0, world.now]),
                    ),
                ),
            ),
            *(world.report(failing={rnd.choice("pqrs"): rnd.random()}) if rnd.random() < 0.5 else []),
        )
        listed = {e.name for e in world.planner.endpoints.values() if e.state == "in_service"}
        if listed:
            assert all(set(t) & listed for t in world.tables.values())
