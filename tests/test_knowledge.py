"""What a pilot may believe of the past: format, damage, cuts in the middle of writing, ages, what is told."""

from __future__ import annotations

import contextlib
import itertools
import random
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from damsonpick import interface as api
from damsonpick.state.learned import ageing, codec, generations, restore
from damsonpick.state.learned.capture import Capture, SnapshotInfo, take_snapshot
from damsonpick.state.learned.errors import SnapshotCorruptError, SnapshotFormatError
from damsonpick.state.learned.snapshot import FORMAT, HostTime, LearnedEndpoint, LearnedFleet, LearnedSlice, Snapshot
from tests.helpers import SECOND, World, entry

FIXTURES = Path(__file__).parent / "fixtures"
FOLDER = Path("/state")


def snapshot(sequence=5, **more):
    made = Snapshot(
        sequence,
        "pilot-0",
        HostTime(10**18, "boot", 10**12),
        0,
        0,
        ("cheap", "dear"),
        12,
        (LearnedEndpoint("p", 0, 0.5), LearnedEndpoint("q", 7, 1.25)),
        (LearnedSlice(0, (3.0, 4.5), (("p", 1.0), ("q", 0.25))), LearnedSlice(11, (0.0, 0.125), ())),
        LearnedFleet(120.0, 9.5),
    )
    return msgspec.structs.replace(made, **more)


names = st.text(min_size=1, max_size=20)
parts = st.floats(0, 1)
snapshots = st.builds(
    Snapshot,
    st.integers(0, 2**62),
    names,
    st.builds(HostTime, st.integers(0, 2**62), names, st.integers(0, 2**62)),
    st.integers(0, 2**62),
    st.just(0),
    st.just(("a", "b")),
    st.just(50),
    st.lists(st.builds(LearnedEndpoint, names, st.integers(0, 2**62), st.floats(0.01, 100)), max_size=9).map(tuple),
    st.lists(
        st.builds(
            LearnedSlice,
            st.integers(0, 49),
            st.tuples(st.floats(0, 1e9), st.floats(0, 1e9)),
            st.lists(st.tuples(names, parts), max_size=3).map(tuple),
        ),
        max_size=9,
    ).map(tuple),
    st.builds(LearnedFleet, st.floats(0, 1e9), st.floats(0, 1e9)),
)


@given(snapshots)
def test_what_is_written_is_read(made):
    assert codec.decode(codec.encode(made)) == made


@given(st.binary(max_size=200))
def test_what_was_never_written_is_refused(data):
    with pytest.raises(SnapshotCorruptError):
        codec.decode(data)


def test_a_bit_flipped_in_a_thousand_places_is_never_believed():
    data = codec.encode(snapshot())
    rng = random.Random(4)
    places = list(range(len(data) * 8))
    for bit in places if len(places) < 1000 else rng.sample(places, max(1000, len(places) // 2)):
        flipped = bytearray(data)
        flipped[bit // 8] ^= 1 << bit % 8
        with pytest.raises((SnapshotCorruptError, SnapshotFormatError)) as caught:
            codec.decode(bytes(flipped))
        assert caught.type is SnapshotCorruptError, f"bit {bit}: a damaged file is not taken for a newer one"


@pytest.mark.parametrize(
    "change",
    [
        {"endpoints": (LearnedEndpoint("p", 0, float("nan")),)},
        {"endpoints": (LearnedEndpoint("p", 0, 1e9),)},
        {"endpoints": (LearnedEndpoint("", 0, 1.0),)},
        {"slices": (LearnedSlice(0, (float("inf"), 0.0), ()),)},
        {"slices": (LearnedSlice(0, (1.0,), ()),)},
        {"slices": (LearnedSlice(99, (1.0, 1.0), ()),)},
        {"slices": (LearnedSlice(0, (1.0, 1.0), (("p", 1.5),)),)},
        {"fleet": LearnedFleet(-1.0, 0.0)},
    ],
)
def test_a_whole_file_with_impossible_figures_is_refused(change):
    with pytest.raises(SnapshotCorruptError):
        codec.decode(codec.encode(snapshot(**change)))


def _as_format(data, form):
    head = codec.HEADER.pack(codec.MAGIC, form, 0, len(data) - codec.HEADER.size - codec.CHECKSUM_BYTES)
    import xxhash

    body = data[codec.HEADER.size + codec.CHECKSUM_BYTES :]
    return head + xxhash.xxh3_128_digest(head + body) + body


def test_a_newer_file_is_refused_and_a_format_never_written_too():
    data = codec.encode(snapshot())
    with pytest.raises(SnapshotFormatError, match=f"format {FORMAT + 1}"):
        codec.decode(_as_format(data, FORMAT + 1))
    with pytest.raises(SnapshotCorruptError, match="never written"):
        codec.decode(_as_format(data, 0))


@pytest.mark.parametrize("form", range(1, FORMAT + 1))
def test_files_of_every_format_ever_written_are_read(form):
    found = codec.decode((FIXTURES / f"knowledge-{form}").read_bytes())
    assert [s.endpoint for s in found.endpoints] == ["127.0.0.1:9001", "127.0.0.1:9002"]
    assert found.endpoints[1].last_success_at == (123 if form > 1 else 0) and found.list_confirmed_at == (
        10**17 - 5 if form > 1 else 0
    )
    assert found.slices[0].rates == (3.0, 4.5) and found.fleet == LearnedFleet(120.0, 9.5)


# -- cuts


class Cut(Exception):
    pass


class CutDisk:
    """A disk that stops after some operations; what was not synced is then lost, torn, or there after all."""

    def __init__(self, files, stop, part=None):
        self.data = {k: v for k, v in enumerate(files.values())}  # synced, by inode
        self.dirty = {}
        self.names = dict(zip(files, self.data, strict=True))  # as the running system sees them
        self.durable = dict(self.names)
        self.pending = []  # changes of names since the folder was synced
        self.stop, self.part, self.count = stop, part, 0

    def _step(self):
        self.count += 1
        if self.count > self.stop:
            raise Cut

    def read(self, path):
        if path.name not in self.names:
            raise FileNotFoundError(path)
        inode = self.names[path.name]
        return self.dirty.get(inode, self.data.get(inode, b""))

    def write(self, path, data):
        inode = max(self.data, default=0) + 1
        self._step()
        self.data[inode] = b""
        self.names[path.name] = inode
        self.pending.append(("make", path.name, inode))
        if self.count == self.stop and self.part is not None:
            self.dirty[inode] = data[: self.part]
            raise Cut
        self.dirty[inode] = data

    def sync(self, path):
        self._step()
        inode = self.names[path.name]
        self.data[inode] = self.dirty.pop(inode, self.data[inode])

    def link(self, old, new):
        self._step()
        if old.name not in self.names:
            raise FileNotFoundError(old)
        self.names[new.name] = self.names[old.name]
        self.pending.append(("make", new.name, self.names[old.name]))

    def rename(self, old, new):
        self._step()
        if old.name not in self.names:
            raise FileNotFoundError(old)
        self.names[new.name] = self.names.pop(old.name)
        self.pending.append(("move", old.name, new.name))

    def sync_folder(self, path):
        self._step()
        self.durable, self.pending = dict(self.names), []

    def after(self, kept, torn):
        """Files after a cut: which pending changes of names made it, and how many bytes of what was not synced."""
        names = dict(self.durable)
        for k in kept:
            kind, one, other = self.pending[k]
            if kind == "make":
                names[one] = other
            elif one in names:
                names[other] = names.pop(one)
        found = {}
        for name, inode in names.items():
            data = self.dirty.get(inode)
            found[name] = self.data.get(inode, b"") if data is None else data[:torn]
        return found


def _generations():
    return {generations.CURRENT: codec.encode(snapshot(5)), generations.PREVIOUS: codec.encode(snapshot(4))}


@pytest.mark.parametrize("damaged", [False, True])
def test_power_cut_at_every_operation_and_every_byte_leaves_the_old_or_the_new(damaged):
    """With `current` damaged before, `previous` is all there is until the new one stands."""
    new = codec.encode(snapshot(6))
    before = _generations()
    if damaged:
        before[generations.CURRENT] = before[generations.CURRENT][:-1]
    old = 4 if damaged else 5
    seen, cases = set(), 0
    for stop, part in [(k, None) for k in range(8)] + [(1, n) for n in range(len(new))]:
        disk = CutDisk(before, stop, part)
        rotate = generations.load(disk, FOLDER).generation == generations.CURRENT
        try:
            generations.save(disk, FOLDER, new, rotate)
            done = True
        except Cut:
            done = False
        changes = range(len(disk.pending))
        for count in range(len(disk.pending) + 1):
            for kept in itertools.combinations(changes, count):
                for torn in (0, 1, len(new) // 2, len(new) - 1, len(new)):
                    files = disk.after(kept, torn)
                    found = generations.load(CutDisk(files, 99), FOLDER).snapshot
                    assert found is not None and found.sequence in (old, 6), (stop, part, kept, torn)
                    assert not done or found.sequence == 6, "what was said to be written is there"
                    if not damaged:
                        del files[generations.CURRENT]
                        assert generations.load(CutDisk(files, 99), FOLDER).snapshot.sequence in (4, 5), "a second one"
                    seen.add(found.sequence)
                    cases += 1
    assert seen == {old, 6} and cases > 1000


def test_the_first_one_cut_leaves_nothing_or_the_new():
    new = codec.encode(snapshot(1))
    for stop in range(5):
        disk = CutDisk({}, stop)
        with contextlib.suppress(Cut):
            generations.save(disk, FOLDER, new, False)
        for count in range(len(disk.pending) + 1):
            found = generations.load(CutDisk(disk.after(range(count), len(new) // 2), 99), FOLDER)
            assert found.snapshot is None or found.snapshot.sequence == 1


def test_a_newer_file_stops_all_writing_and_a_damaged_one_gives_way_to_the_previous():
    files = _generations()
    files[generations.CURRENT] = _as_format(files[generations.CURRENT], FORMAT + 1)
    found = generations.load(CutDisk(files, 99), FOLDER)
    assert found.newer_format and found.snapshot.sequence == 4 and "left alone" in found.problems[0]
    files[generations.CURRENT] = b"torn"
    found = generations.load(CutDisk(files, 99), FOLDER)
    assert (
        not found.newer_format
        and found.generation == generations.PREVIOUS
        and "fewer than a header" in found.problems[0]
    )


# -- ages

NOW = HostTime(10**18, "boot", 10**13)
HOUR = 3600 * SECOND


@pytest.mark.parametrize(
    ("then", "ns", "doubt"),
    [
        (HostTime(10**18 - HOUR, "boot", 10**13 - HOUR), HOUR, ""),
        (HostTime(10**18 + 5 * HOUR, "boot", 10**13 - SECOND), SECOND, "wall clock was set by -18001 s"),
        (HostTime(10**18 - 9 * HOUR, "boot", 10**13 - SECOND), SECOND, "wall clock was set by +32399 s"),
        (HostTime(10**18 - HOUR, "other", 10**13), HOUR, ""),
        (HostTime(10**18 + HOUR, "other", 5), ageing.UNKNOWN_AGE_NS, "in the future"),
        (HostTime(10**18 + SECOND, "other", 5), 0, ""),
        (HostTime(10**18 - HOUR, "", 0), HOUR, ""),
    ],
)
def test_age_survives_a_clock_that_was_set_and_a_machine_that_was_started_anew(then, ns, doubt):
    found = ageing.age_of(then, NOW)
    assert found.ns == ns and doubt in found.clock_warning and bool(doubt) == bool(found.clock_warning)


def test_each_figure_fades_by_its_own_half_life_toward_ignorance():
    made = snapshot()
    assert ageing.decay(made, 0) == made
    minute = ageing.decay(made, 60 * SECOND)
    assert minute.slices[0].rates == (1.5, 2.25) and minute.fleet.best_throughput == 60.0
    assert 0.5 < minute.endpoints[0].capacity_factor < 0.6 and 1.1 < minute.endpoints[1].capacity_factor < 1.25
    assert minute.slices[0].warmth == (("p", 0.5**4),)
    day = ageing.decay(made, 24 * HOUR)
    assert (
        not day.slices
        and day.fleet == LearnedFleet(0.0, 0.0)
        and all(abs(s.capacity_factor - 1) < 1e-9 for s in day.endpoints)
    )
    assert (
        ageing.admission_levels_valid(SECOND)
        and not ageing.admission_levels_valid(HOUR)
        and not ageing.admission_levels_valid(None)
    )


# -- what is told


def taught():
    """A world that has learned: p is slow, its slices hot."""
    world = World("pqrs", slices=12)
    world.run(20, latency={"p": 800})
    return world


def test_a_new_planner_is_told_what_the_old_one_learned():
    old = taught()
    kept = take_snapshot(old.planner, SnapshotInfo(1, "pilot-0", NOW))
    assert take_snapshot(old.planner, SnapshotInfo(1, "pilot-0", NOW)) == codec.decode(codec.encode(kept))
    new = World("pqrs", slices=12)
    told, anew = restore.restored_events(kept, {n: entry(n) for n in "pqrs"}, range(12))
    assert not anew
    new.tell(*told)
    for name in "pqrs":
        assert new.planner.endpoints[name].capacity_factor == old.planner.endpoints[name].capacity_factor
    assert new.planner.endpoints["p"].capacity_factor < 0.5
    assert all(new.planner.slices[n].rates == old.planner.slices[n].rates for n in range(12))


def test_a_draft_is_written_as_the_snapshot_it_stands_for():
    made = Capture(taught().planner, SnapshotInfo(7, "pilot-0", NOW, 5, 4), {"p": 3})
    for _ in made.steps(pre_encode=True):
        pass
    whole = Capture(made.planner, SnapshotInfo(7, "pilot-0", NOW, 5, 4), {"p": 3})
    for _ in whole.steps():
        pass
    assert codec.encode(made.pre_encoded_snapshot()) == codec.encode(whole.snapshot())


def test_nothing_is_told_of_a_server_replaced_under_the_same_name():
    kept = take_snapshot(taught().planner, SnapshotInfo(1, "pilot-0", NOW))
    told, anew = restore.restored_events(kept, {"p": entry("p", started=9), "q": entry("q")}, range(12))
    assert anew == ["p"] and [e.endpoint for e in told if isinstance(e, api.EndpointRestored)] == ["q"]


def test_hearsay_of_a_server_that_turns_out_to_be_new_is_dropped():
    world = World("pqrs", slices=12)
    world.tell(api.EndpointRestored("p", 0, 0.2))
    assert world.planner.endpoints["p"].capacity_factor == 0.2
    world.tell(api.EndpointListChanged("replace", tuple(entry(n, started=5 if n == "p" else 0) for n in "pqrs")))
    assert world.planner.endpoints["p"].capacity_factor == 1.0


def test_wrong_speeds_are_put_right_within_seconds():
    world = World("pqrs", slices=12)
    world.tell(api.EndpointRestored("p", 0, 0.1), api.EndpointRestored("q", 0, 2.0))
    world.run(10)
    speeds = {n: world.planner.endpoints[n].capacity_factor for n in "pqrs"}
    assert speeds["p"] > 0.6 and speeds["q"] < 1.3, speeds


def test_other_slices_or_classes_leave_speeds_alone_to_be_told():
    kept = snapshot()
    assert "12 slices" in restore.settings_mismatch(
        kept, ("cheap", "dear"), 13
    ) and "classes" in restore.settings_mismatch(kept, ("cheap",), 12)
    assert not restore.settings_mismatch(kept, ("cheap", "dear"), 12)
    told, _ = restore.restored_events(kept, {"p": entry("p")}, range(12), include_slices=False)
    assert told == [api.EndpointRestored("p", 0, 0.5)]


def test_levels_of_an_earlier_life_hold_until_reports_come_and_then_are_weighed():
    world = World("pqrs", slices=12, proxies=0)
    world.tell(api.FleetRestored((0.5, 0.6), ("s",), 240.0, 2.0))
    world.proxies = [0, 1]
    world.tell(api.ProxyJoined(0, "a", 5.0, False), api.ProxyJoined(1, "a", 5.0, False))
    assert world.planner.desired_levels == (0.5, 0.6) and world.planner.admitted_rate_limit > 1e9
    assert world.levels[None, 0] == 0.5 and world.levels[None, 1] == 0.6, "greeted with what is in force"
    world.run(1, latency=dict.fromkeys("pqrs", 700))
    assert world.planner.admitted_rate_limit < 0.62 * 240, "what the levels let in is the first allowance"
    world.run(40, latency=dict.fromkeys("pqrs", 50))
    assert world.planner.desired_levels == (1.0, 1.0), "and it grows back"


def test_a_recalled_best_leads_the_way_back_fast_and_does_not_blunt_the_first_cut():
    """Shed far too deep before the restart: with the best capped at once it came back by 4% a second alone."""

    def back(best):
        world = World("pqrs", slices=12, proxies=0)
        world.tell(api.FleetRestored((0.1, 0.1), (), best, 2.0))
        world.proxies = [0, 1]
        world.tell(api.ProxyJoined(0, "a", 5.0, False), api.ProxyJoined(1, "a", 5.0, False))
        # calm, but not so calm, nor so near to the usual, that growth is sure by itself
        world.run(1, latency=dict.fromkeys("pqrs", 120), rate=40, tries=12)
        world.run(6, latency=dict.fromkeys("pqrs", 200), rate=40, tries=12)
        return world

    assert back(240.0).planner.admitted_rate_limit > 1.3 * back(0.0).planner.admitted_rate_limit
    world = back(5000.0)
    world.run(2, latency=dict.fromkeys("pqrs", 900), rate=40, tries=12)
    good = sum(ep.answer_rate for ep in world.planner.endpoints.values())
    assert world.planner.best_throughput <= 1.6 * good and world.planner.admitted_rate_limit <= 1.2 * good


def test_a_withdrawal_of_an_earlier_life_is_lifted_once_the_list_lets_it_in():
    world = World("pqrs", slices=12)
    world.planner.withdrawn.clear()
    world.tell(api.FleetRestored((1.0, 1.0), ("s", "ghost"), 0.0, 0.0))
    world.run(2)
    assert world.shut.get("s") is False and world.shut.get("ghost") is None


@settings(max_examples=25, deadline=None)
@given(st.randoms(use_true_random=False))
def test_no_hearsay_leaves_a_slice_bare_or_lets_a_barred_server_in(rng):
    world = World("pqrstu", slices=12)
    names = "pqrstux"
    for _ in range(4):
        world.tell(
            *[api.EndpointRestored(n, rng.choice((0, 5)), rng.choice((0.01, 0.3, 1, 90))) for n in names],
            *[api.EndpointConfidenceChanged(n, rng.choice((0.0, 0.3, 1.0))) for n in names],
            *[api.SliceRestored(k, (rng.random() * 1e3, 0.0), ((rng.choice(names), 1.0),)) for k in range(14)],
            api.FleetRestored(
                (rng.choice((0.05, 1.0)),) * 2, tuple(rng.sample(names, 2)), rng.random() * 1e4, rng.random() * 1e2
            ),
        )
        out = rng.choice("pqr")
        world.tell(api.EndpointListChanged("update", (entry(out, rng.choice(("terminating", "terminated"))),)))
        world.run(4, latency={n: rng.choice((50, 900)) for n in names})
        assert not world.bare()
        assert not any(out in world.live(n) for n in world.tables)
        world.tell(api.EndpointListChanged("update", (entry(out),)))
        world.run(1)
