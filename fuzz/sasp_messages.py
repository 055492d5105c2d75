"""Fuzz the SASP front: a whole session against raw bytes. Never a crash, a hang, or memory beyond what came in.

    python -m fuzz.sasp_messages -max_total_time=600 fuzz/corpus/sasp

Needs `pip install -e '.[fuzz]'` (atheris, on libFuzzer). The input is a byte stream to one session, cut in two at a
place that its first byte gives. Every whole frame must be answered by one whole frame with the number of its request;
what is read must be written again as it was, unless spare bits were set; a push may follow any of it.
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
LARGEST = 4096  # bytes of a frame here


def session() -> SaspSession:
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
    """One stream. Raises: whatever is a finding."""
    if not data:
        return
    cut = data[0] % (len(data) or 1)
    made, splitter = session(), codec.Splitter(LARGEST)
    try:
        for piece in (data[1 : 1 + cut], data[1 + cut :]):
            for frame in splitter.feed(piece):
                _one(made, frame)
        assert len(splitter.buffer) <= len(data)
    except codec.FrameError:
        return


def _one(made: SaspSession, frame: bytes) -> None:
    reply = made.receive(NOW, frame)
    frames = list(codec.Splitter().feed(reply))
    assert len(frames) == 1
    assert frames[0][9:13] == frame[9:13], "a reply has the number of its request"
    codec.decode(frames[0])
    try:
        message = codec.decode(frame)
    except codec.MessageError:
        return
    again = codec.encode(message)
    assert len(again) == len(frame) and codec.decode(again) == message
    kept = sum(len(g.members) for b in made.advisor.registry.balancers.values() for g in b.groups.values())
    assert kept <= 20 * 50 * len(made.advisor.registry.balancers)
    made.enqueue(["slice/0"], CoveredChanges(3, NOW, 1))
    if (push := made.compose(NOW)) is not None:
        codec.decode(push)
        made.push_written()


def main() -> None:
    import atheris

    atheris.instrument_all()
    atheris.Setup(sys.argv, check)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
