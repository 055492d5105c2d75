"""What a delta states of itself: the root it starts from, the root it must end in, ranges it replaces. Sans I/O.

It travels in `control_plane.identifier` of a response, where stock proxies do not look. A gateway that understands it
says so in its node's `client_features`. A refusal for a wrong root carries the gateway's own ranges, so that the
pilot can send the least that puts it right.
"""

from __future__ import annotations

import re
from typing import NamedTuple

FEATURE = "damsonpick.roots"  # in Node.client_features
MISMATCH = "roots differ"  # how a refusal of this kind begins
TEXT = re.compile(r"from=([0-9a-f]{32}) to=([0-9a-f]{32})(?: replaces=([0-9,]+))?\Z")
RANGES = re.compile(r" ranges=([0-9a-f]+)\Z")


class Statement(NamedTuple):
    """`start` and `end` are roots over the names of one type; `replaces`: ranges whose former names all go."""

    start: str
    end: str
    replaces: tuple[int, ...] = ()

    def text(self) -> str:
        more = " replaces=" + ",".join(map(str, self.replaces)) if self.replaces else ""
        return f"from={self.start} to={self.end}{more}"


def read(text: str) -> Statement | None:
    """The statement of a response; None if it makes none."""
    found = TEXT.match(text)
    if found is None:
        return None
    return Statement(found[1], found[2], tuple(int(n) for n in found[3].split(",")) if found[3] else ())


def refusal(have: str, stated: str, ranges: str) -> str:
    """The text of a NACK for a wrong root, with both roots."""
    return f"{MISMATCH}: {have} is here, {stated} was stated; ranges={ranges}"


def ranges_of(why: str) -> str | None:
    """The ranges of a refusal, or None: it is of another kind."""
    if not why.startswith(MISMATCH):
        return None
    found = RANGES.search(why)
    return found[1] if found else ""
