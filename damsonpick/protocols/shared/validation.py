"""Splits the error of msgspec for an invalid message into field and reason. This module performs no I/O."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

_PATH_SEPARATOR = " - at `$."


class InvalidField(NamedTuple):
    """A field that has the wrong type, is missing or is out of range.

    Attributes:
        path: Path of the field, with dots. Empty if the error concerns the message as a whole.
        reason: Description of the error.
    """

    path: str
    reason: str


def invalid_field(error: msgspec.ValidationError) -> InvalidField:
    """Return the field that the message of a msgspec error names at its end, with the reason."""
    reason, _, path = str(error).partition(_PATH_SEPARATOR)
    return InvalidField(path.rstrip("`"), reason)
