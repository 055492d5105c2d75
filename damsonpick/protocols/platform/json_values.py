"""JSON decoded by msgspec, with its errors mapped to this package's. No I/O.

Decoded JSON is untrusted until its type is known: a list or an object cannot be looked up in a dictionary, and its text
may be as long as the message.
"""

from __future__ import annotations

import msgspec

from damsonpick.protocols.platform.errors import InvalidMessageError
from damsonpick.protocols.shared.validation import invalid_field

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError)
MAX_LOGGED_VALUE = 40  # characters


def invalid_message(kind: str, error: msgspec.ValidationError) -> InvalidMessageError:
    """Map an error of msgspec, which names the field at its end.

    Args:
        kind: of the message, if known; prefixed to the field.
        error: of the decoder.
    """
    field = invalid_field(error)
    path = ".".join(part for part in (kind, field.path) if part)
    return InvalidMessageError(path, field.reason)


def describe_value(value: object) -> str:
    """Return a decoded value for the log: bounded text, and for a list or an object its type alone."""
    if isinstance(value, list):
        return "a list"
    if isinstance(value, dict):
        return "an object"
    return repr(value[:MAX_LOGGED_VALUE]) if isinstance(value, str) else str(value)[:MAX_LOGGED_VALUE]
