"""What msgspec says of a message that does not fit its type, taken apart. No I/O."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

_PATH_MARK = " - at `$."


class InvalidField(NamedTuple):
    """A field that has another type than it should, is missing or out of range.

    Attributes:
        path: of the field, with dots; empty: the message as a whole.
        reason: what is wrong.
    """

    path: str
    reason: str


def invalid_field(error: msgspec.ValidationError) -> InvalidField:
    """Return the field that an error of msgspec names at its end."""
    reason, _, path = str(error).partition(_PATH_MARK)
    return InvalidField(path.rstrip("`"), reason)
