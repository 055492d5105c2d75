"""Fuzz the SASP server: raw bytes must never cause a crash, a hang, or memory use beyond the size of the input.

    python -m fuzz.sasp_messages -max_total_time=600 fuzz/corpus/sasp

Requires `pip install -e '.[fuzz]'` (atheris, on libFuzzer). The input is a byte stream to one complete session. Its
first byte gives the position at which the stream is cut in two. The session must reply to every complete frame with
one complete frame that carries the number of its request. A message that was decoded must be encoded as it was,
unless spare bits were set. A push may follow any frame.
"""

from __future__ import annotations

import random
import sys

from damsonpick.protocols.sasp import codec
from damsonpick.protocols.sasp.advisor import WeightAdvisor
from damsonpick.protocols.sasp.pacing import MessageRateLimiter, PollPacer
from damsonpick.protocols.sasp.registry import AccessLevel, Limits, Registry
from damsonpick.protocols.sasp.session import SaspSession
from damsonpick.protocols.sasp.weights import MemberStatus
from damsonpick.protocols.shared.session import CoveredChanges
from damsonpick.state.published_tables import PublishedTables

NOW = 10**18
MAX_FRAME_BYTES = 4096


def make_session() -> SaspSession:
    published = PublishedTables(("page",), 2)
    published.restore(0, {"10.0.0.1:80": 1.0})
    published.restore(1, {"10.0.0.2:80": 2.0})
    registry = Registry(Limits(20, 50), lambda name: None if name == b"no" else "fleet", lambda lb: AccessLevel.STATE)
    advisor = WeightAdvisor(
        published,
        registry,
        PollPacer(random.Random(1)),
        lambda n: 1.0,
        lambda n: MemberStatus(True, True, True),
        lambda: 0.0,
    )
    return SaspSession(advisor, lambda lb: "a", MessageRateLimiter(50))


def check(data: bytes) -> None:
    """Check one stream. Every exception that this raises is a finding."""
    if not data:
        return
    cut = data[0] % (len(data) or 1)
    sasp_session, splitter = make_session(), codec.Splitter(MAX_FRAME_BYTES)
    try:
        for piece in (data[1 : 1 + cut], data[1 + cut :]):
            for frame in splitter.feed(piece):
                _check_frame(sasp_session, frame)
        assert len(splitter.buffer) <= len(data)
    except codec.FrameError:
        return


def _check_frame(sasp_session: SaspSession, frame: bytes) -> None:
    reply = sasp_session.receive(NOW, frame)
    frames = list(codec.Splitter().feed(reply))
    assert len(frames) == 1
    assert frames[0][9:13] == frame[9:13], "the reply does not carry the number of its request"
    codec.decode(frames[0])
    try:
        message = codec.decode(frame)
    except codec.MessageError:
        return
    reencoded = codec.encode(message)
    assert len(reencoded) == len(frame) and codec.decode(reencoded) == message
    member_count = sum(
        len(g.members) for b in sasp_session.advisor.registry.balancers.values() for g in b.groups.values()
    )
    assert member_count <= 20 * 50 * len(sasp_session.advisor.registry.balancers)
    sasp_session.enqueue(["slice/0"], CoveredChanges(3, NOW, 1))
    if (push := sasp_session.compose(NOW)) is not None:
        codec.decode(push)
        sasp_session.push_written()


def main() -> None:
    import atheris

    atheris.instrument_all()
    atheris.Setup(sys.argv, check)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
