"""Encoding of snapshots: round trips, damage, impossible values, older and newer formats."""

from __future__ import annotations

import random
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damsonpick.state.learned import codec
from damsonpick.state.learned.errors import SnapshotCorruptError, SnapshotFormatError
from damsonpick.state.learned.snapshot import FORMAT, HostTime, LearnedEndpoint, LearnedFleet, LearnedSlice, Snapshot
from tests.learned_state import snapshot, with_format

FIXTURES = Path(__file__).parent / "fixtures"
names = st.text(min_size=1, max_size=20)
shares = st.floats(0, 1)
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
            st.lists(st.tuples(names, shares), max_size=3).map(tuple),
        ),
        max_size=9,
    ).map(tuple),
    st.builds(LearnedFleet, st.floats(0, 1e9), st.floats(0, 1e9)),
)


@given(snapshots)
def test_snapshot_survives_encoding(original):
    assert codec.decode(codec.encode(original)) == original


@given(st.binary(max_size=200))
def test_bytes_that_are_no_snapshot_are_rejected(data):
    with pytest.raises(SnapshotCorruptError):
        codec.decode(data)


def test_every_flipped_bit_is_detected():
    data = codec.encode(snapshot())
    rng = random.Random(4)
    bits = list(range(len(data) * 8))
    for bit in bits if len(bits) < 1000 else rng.sample(bits, max(1000, len(bits) // 2)):
        flipped = bytearray(data)
        flipped[bit // 8] ^= 1 << bit % 8
        with pytest.raises((SnapshotCorruptError, SnapshotFormatError)) as caught:
            codec.decode(bytes(flipped))
        assert caught.type is SnapshotCorruptError, (
            f"bit {bit}: a damaged file must not be reported as one of a newer format"
        )


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
def test_undamaged_file_with_values_out_of_bounds_is_rejected(change):
    with pytest.raises(SnapshotCorruptError):
        codec.decode(codec.encode(snapshot(**change)))


def test_newer_format_and_a_format_never_written_are_rejected():
    data = codec.encode(snapshot())
    with pytest.raises(SnapshotFormatError, match=f"format {FORMAT + 1}"):
        codec.decode(with_format(data, FORMAT + 1))
    with pytest.raises(SnapshotCorruptError, match="never written"):
        codec.decode(with_format(data, 0))


@pytest.mark.parametrize("stored_format", range(1, FORMAT + 1))
def test_every_format_ever_written_is_read(stored_format):
    loaded = codec.decode((FIXTURES / f"knowledge-{stored_format}").read_bytes())
    assert [s.endpoint for s in loaded.endpoints] == ["127.0.0.1:9001", "127.0.0.1:9002"]
    assert loaded.endpoints[1].last_success_at == (123 if stored_format > 1 else 0) and loaded.list_confirmed_at == (
        10**17 - 5 if stored_format > 1 else 0
    )
    assert loaded.slices[0].rates == (3.0, 4.5) and loaded.fleet == LearnedFleet(120.0, 9.5)
