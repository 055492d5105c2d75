"""Tests of the frames of the platform's protocol."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damsonpick.protocols.platform import framing
from damsonpick.protocols.platform.errors import FrameError


@given(st.lists(st.binary(min_size=2, max_size=300), max_size=6), st.lists(st.integers(1, 50), max_size=60))
def test_frames_cut_anywhere_give_the_same_messages(bodies, lengths):
    data = b"".join(map(framing.encode_frame, bodies))
    reader, received = framing.FrameReader(), []
    cuts = sorted({min(end, len(data)) for end in itertools.accumulate(lengths)})
    for start, end in itertools.pairwise([0, *cuts, len(data)]):
        reader.feed(data[start:end])
        while (body := reader.next_frame()) is not None:
            received.append(body)
    assert received == bodies


@pytest.mark.parametrize("length", [0, 1, framing.MAX_FRAME_BYTES + 1, 0xFFFFFFFF])
def test_invalid_length_is_rejected_before_the_body_arrives(length):
    reader = framing.FrameReader()
    reader.feed(length.to_bytes(4, "little"))
    with pytest.raises(FrameError):
        reader.next_frame()
