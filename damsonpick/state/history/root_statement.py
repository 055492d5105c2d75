"""What a delta response states of its roots: where it starts, where it must end, ranges it replaces. Sans I/O.

It travels in `control_plane.identifier` of a response, which stock proxies ignore. A gateway that understands it lists
`CLIENT_FEATURE` in its node. Its NACK for a wrong root carries its own range sums, so that the pilot can send the least
that puts it in sync again.
"""

from __future__ import annotations

import re
from typing import NamedTuple

CLIENT_FEATURE = "damsonpick.roots"  # in Node.client_features
MISMATCH_PREFIX = "roots differ"  # how a NACK of this kind begins
STATEMENT_PATTERN = re.compile(r"from=([0-9a-f]{32}) to=([0-9a-f]{32})(?: replaces=([0-9,]+))?\Z")
RANGE_SUMS_PATTERN = re.compile(r" ranges=([0-9a-f]+)\Z")


class RootStatement(NamedTuple):
    """The roots of a delta, over the names of one resource type.

    Attributes:
        start: the root that the gateway must have before it.
        end: the root that it must have after it.
        replaces: ranges of which all former names go.
    """

    start: str
    end: str
    replaces: tuple[int, ...] = ()

    def text(self) -> str:
        """The statement as it is sent."""
        replaces = " replaces=" + ",".join(map(str, self.replaces)) if self.replaces else ""
        return f"from={self.start} to={self.end}{replaces}"


def parse(text: str) -> RootStatement | None:
    """The statement of a response; None if it makes none."""
    match = STATEMENT_PATTERN.match(text)
    if match is None:
        return None
    replaces = tuple(int(number) for number in match[3].split(",")) if match[3] else ()
    return RootStatement(match[1], match[2], replaces)


def mismatch_text(actual_root: str, stated_root: str, range_sums: str) -> str:
    """The error text of a NACK for a wrong root."""
    return f"{MISMATCH_PREFIX}: {actual_root} is here, {stated_root} was stated; ranges={range_sums}"


def mismatch_range_sums(error_text: str) -> str | None:
    """The range sums in a NACK for a wrong root, '' if it has none; None: the NACK has another reason."""
    if not error_text.startswith(MISMATCH_PREFIX):
        return None
    match = RANGE_SUMS_PATTERN.search(error_text)
    return match[1] if match else ""
