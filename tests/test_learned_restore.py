"""Capture of learned state, its restoration in a new planner, and the use of restored values."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from damsonpick import interface as api
from damsonpick.state.learned import codec, restore
from damsonpick.state.learned.capture import Capture, SnapshotInfo, take_snapshot
from damsonpick.state.learned.list_confidence import EntryTimes
from damsonpick.state.learned.snapshot import HostTime, LearnedEndpoint, LearnedFleet, Snapshot
from damsonpick.state.store.sqlite import ListedAt
from tests.helpers import SECOND, SimulatedFleet, entry
from tests.learned_state import snapshot

NOW = HostTime(10**18, "boot", 10**13)


def world_that_has_learned():
    """Return a world after 20 s of reports, in which endpoint p is slow and its slices are loaded."""
    world = SimulatedFleet("pqrs", slices=12)
    world.run(20, latency={"p": 800})
    return world


def test_new_planner_restores_what_the_old_one_learned():
    old = world_that_has_learned()
    saved = take_snapshot(old.planner, SnapshotInfo(1, "pilot-0", NOW))
    assert take_snapshot(old.planner, SnapshotInfo(1, "pilot-0", NOW)) == codec.decode(codec.encode(saved))
    new = SimulatedFleet("pqrs", slices=12)
    events, restarted = restore.restored_events(saved, {n: entry(n) for n in "pqrs"}, range(12))
    assert not restarted
    new.handle(*events)
    for name in "pqrs":
        assert new.planner.endpoints[name].capacity_factor == old.planner.endpoints[name].capacity_factor
    assert new.planner.endpoints["p"].capacity_factor < 0.5
    assert all(new.planner.slices[n].rates == old.planner.slices[n].rates for n in range(12))


def test_pre_encoded_snapshot_has_the_bytes_of_the_snapshot():
    pre_encoding = Capture(world_that_has_learned().planner, SnapshotInfo(7, "pilot-0", NOW, 5, 4), {"p": 3})
    for _ in pre_encoding.steps(pre_encode=True):
        pass
    plain = Capture(pre_encoding.planner, SnapshotInfo(7, "pilot-0", NOW, 5, 4), {"p": 3})
    for _ in plain.steps():
        pass
    assert codec.encode(pre_encoding.pre_encoded_snapshot()) == codec.encode(plain.snapshot())


def test_nothing_is_restored_of_an_endpoint_whose_process_was_restarted():
    saved = take_snapshot(world_that_has_learned().planner, SnapshotInfo(1, "pilot-0", NOW))
    events, restarted = restore.restored_events(saved, {"p": entry("p", started=9), "q": entry("q")}, range(12))
    assert restarted == ["p"] and [e.endpoint for e in events if isinstance(e, api.EndpointRestored)] == ["q"]


def test_restored_factor_is_dropped_once_the_list_shows_a_restart():
    world = SimulatedFleet("pqrs", slices=12)
    world.handle(api.EndpointRestored("p", 0, 0.2))
    assert world.planner.endpoints["p"].capacity_factor == 0.2
    world.handle(api.EndpointListChanged("replace", tuple(entry(n, started=5 if n == "p" else 0) for n in "pqrs")))
    assert world.planner.endpoints["p"].capacity_factor == 1.0


def test_wrong_capacity_factors_are_corrected_within_seconds():
    world = SimulatedFleet("pqrs", slices=12)
    world.handle(api.EndpointRestored("p", 0, 0.1), api.EndpointRestored("q", 0, 2.0))
    world.run(10)
    factors = {n: world.planner.endpoints[n].capacity_factor for n in "pqrs"}
    assert factors["p"] > 0.6 and factors["q"] < 1.3, factors


def test_only_capacity_factors_are_restored_if_slices_or_classes_differ():
    saved = snapshot()
    assert "12 slices" in restore.settings_mismatch(
        saved, ("cheap", "dear"), 13
    ) and "classes" in restore.settings_mismatch(saved, ("cheap",), 12)
    assert not restore.settings_mismatch(saved, ("cheap", "dear"), 12)
    events, _ = restore.restored_events(saved, {"p": entry("p")}, range(12), include_slices=False)
    assert events == [api.EndpointRestored("p", 0, 0.5)]


def test_restored_levels_apply_until_reports_arrive_and_then_follow_them():
    world = SimulatedFleet("pqrs", slices=12, proxies=0)
    world.handle(api.FleetRestored((0.5, 0.6), ("s",), 240.0, 2.0))
    world.proxies = [0, 1]
    world.handle(api.ProxyJoined(0, "a", 5.0, False), api.ProxyJoined(1, "a", 5.0, False))
    assert world.planner.desired_levels == (0.5, 0.6) and world.planner.admitted_rate_limit > 1e9
    assert world.levels[None, 0] == 0.5 and world.levels[None, 1] == 0.6, "joining proxies receive the restored levels"
    world.run(1, latency=dict.fromkeys("pqrs", 700))
    assert world.planner.admitted_rate_limit < 0.62 * 240, "the first limit is the rate that the levels admit"
    world.run(40, latency=dict.fromkeys("pqrs", 50))
    assert world.planner.desired_levels == (1.0, 1.0), "the levels rise to 1 again"


def test_restored_best_throughput_speeds_recovery_and_does_not_weaken_the_first_cut():
    """Regression: when the restored best throughput was capped at once, the limit recovered by only 4% per second.

    Too much load had been shed before the restart.
    """

    def recovered_world(best_throughput):
        world = SimulatedFleet("pqrs", slices=12, proxies=0)
        world.handle(api.FleetRestored((0.1, 0.1), (), best_throughput, 2.0))
        world.proxies = [0, 1]
        world.handle(api.ProxyJoined(0, "a", 5.0, False), api.ProxyJoined(1, "a", 5.0, False))
        # Latencies are low, but neither low enough nor near enough to the usual ones to allow fast growth on their own.
        world.run(1, latency=dict.fromkeys("pqrs", 120), rate=40, tries=12)
        world.run(6, latency=dict.fromkeys("pqrs", 200), rate=40, tries=12)
        return world

    assert recovered_world(240.0).planner.admitted_rate_limit > 1.3 * recovered_world(0.0).planner.admitted_rate_limit
    world = recovered_world(5000.0)
    world.run(2, latency=dict.fromkeys("pqrs", 900), rate=40, tries=12)
    throughput = sum(ep.response_rate for ep in world.planner.endpoints.values())
    assert world.planner.best_throughput <= 1.6 * throughput and world.planner.admitted_rate_limit <= 1.2 * throughput


def test_restored_withdrawal_ends_once_the_list_has_the_endpoint_in_service():
    world = SimulatedFleet("pqrs", slices=12)
    world.planner.withdrawn.clear()
    world.handle(api.FleetRestored((1.0, 1.0), ("s", "ghost"), 0.0, 0.0))
    world.run(2)
    assert world.withdrawn.get("s") is False and world.withdrawn.get("ghost") is None


@settings(max_examples=25, deadline=None)
@given(st.randoms(use_true_random=False))
def test_no_restored_state_leaves_a_slice_without_entries_or_routes_to_an_unroutable_endpoint(rng):
    world = SimulatedFleet("pqrstu", slices=12)
    names = "pqrstux"
    for _ in range(4):
        world.handle(
            *[api.EndpointRestored(n, rng.choice((0, 5)), rng.choice((0.01, 0.3, 1, 90))) for n in names],
            *[api.EndpointConfidenceChanged(n, rng.choice((0.0, 0.3, 1.0))) for n in names],
            *[api.SliceRestored(k, (rng.random() * 1e3, 0.0), ((rng.choice(names), 1.0),)) for k in range(14)],
            api.FleetRestored(
                (rng.choice((0.05, 1.0)),) * 2, tuple(rng.sample(names, 2)), rng.random() * 1e4, rng.random() * 1e2
            ),
        )
        unroutable = rng.choice("pqr")
        world.handle(api.EndpointListChanged("update", (entry(unroutable, rng.choice(("terminating", "terminated"))),)))
        world.run(4, latency={n: rng.choice((50, 900)) for n in names})
        assert not world.has_slice_without_endpoint()
        assert not any(unroutable in world.routable(n) for n in world.tables)
        world.handle(api.EndpointListChanged("update", (entry(unroutable),)))
        world.run(1)


def test_entry_times_are_right_after_a_clock_step():
    """The clock is set between two incarnations.

    The previous incarnation wrote at clock time 500 s that the last response was 20 s ago. After 30 s, the new one
    starts at clock time 9,000 s.
    """
    second = SECOND
    saved = Snapshot(
        1,
        "p",
        HostTime(0, "", 0),
        500 * second,
        490 * second,
        ("a",),
        1,
        (LearnedEndpoint("p", 0, 1.0, 480 * second), LearnedEndpoint("q", 7, 1.0, 480 * second)),
        (),
        LearnedFleet(0.0, 0.0),
    )
    listed = {"p": entry("p"), "q": entry("q", started=9), "r": entry("r")}
    listed_at = {
        "p": ListedAt(100 * second, "list"),
        "q": ListedAt(100 * second, "list"),
        "r": ListedAt(50 * second, "list"),
    }
    times = restore.entry_times(saved, 9000 * second, 30 * second, listed, listed_at)
    assert times["p"] == EntryTimes(8960 * second, 8950 * second)
    assert times["q"] == EntryTimes(8960 * second, 0), "the process of the endpoint was restarted"
    assert times["r"] == EntryTimes(50 * second, 0), (
        "an entry that is held although no source lists it keeps its own time"
    )
    assert restore.entry_times(None, 9000 * second, None, listed, listed_at)["p"] == EntryTimes(100 * second, 0)
    future = restore.entry_times(None, 10 * second, None, listed, listed_at)
    assert future["p"].confirmed_at == 10 * second, "a time is not later than now, even if the clock was set back"
