"""Root statement of a delta response: the root before it, the root after it, and the ranges it replaces. Sans I/O.

The statement is sent in `control_plane.identifier` of a response, which stock proxies ignore. A gateway that supports
it lists `CLIENT_FEATURE` in its node. The NACK of a gateway for a wrong root contains the gateway's own range sums, so
that the pilot can send the smallest response that synchronizes the gateway again.
"""

from __future__ import annotations

import re
from typing import NamedTuple

CLIENT_FEATURE = "damsonpick.roots"  # in `Node.client_features` of a gateway that supports root statements
MISMATCH_PREFIX = "roots differ"  # beginning of the error text of a NACK for a wrong root
STATEMENT_PATTERN = re.compile(r"from=([0-9a-f]{32}) to=([0-9a-f]{32})(?: replaces=([0-9,]+))?\Z")
RANGE_SUMS_PATTERN = re.compile(r" ranges=([0-9a-f]+)\Z")


class RootStatement(NamedTuple):
    """Roots of a delta response, over the names of one resource type.

    Attributes:
        start: Root that the gateway must have before it applies the delta.
        end: Root that the gateway must have after it has applied the delta.
        replaces: Ranges whose previous names are all removed by the delta.
    """

    start: str
    end: str
    replaces: tuple[int, ...] = ()

    def text(self) -> str:
        """Return the statement in its wire format."""
        replaces = " replaces=" + ",".join(map(str, self.replaces)) if self.replaces else ""
        return f"from={self.start} to={self.end}{replaces}"


def parse(text: str) -> RootStatement | None:
    """Return the root statement of a response, or None if the text is not one."""
    match = STATEMENT_PATTERN.match(text)
    if match is None:
        return None
    replaces = tuple(int(number) for number in match[3].split(",")) if match[3] else ()
    return RootStatement(match[1], match[2], replaces)


def mismatch_text(actual_root: str, stated_root: str, range_sums: str) -> str:
    """Return the error text of a NACK for a wrong root."""
    return f"{MISMATCH_PREFIX}: {actual_root} is here, {stated_root} was stated; ranges={range_sums}"


def mismatch_range_sums(error_text: str) -> str | None:
    """Return the range sums in a NACK for a wrong root, empty if missing; None if the NACK has another reason."""
    if not error_text.startswith(MISMATCH_PREFIX):
        return None
    match = RANGE_SUMS_PATTERN.search(error_text)
    return match[1] if match else ""
