"""Helpers for decoding JSON with msgspec and for mapping errors of msgspec to errors of this package. No I/O.

Decoded values are untrusted until their type is checked: a list or an object is not hashable and cannot be looked up in
a dictionary, and the text of a value may be as long as the message.
"""

from __future__ import annotations

import msgspec

from damsonpick.protocols.platform.errors import InvalidMessageError
from damsonpick.protocols.shared.validation import invalid_field

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError)
MAX_LOGGED_VALUE = 40  # characters


def invalid_message(kind: str, error: msgspec.ValidationError) -> InvalidMessageError:
    """Return the `InvalidMessageError` for a validation error of msgspec.

    Args:
        kind: Kind of the message, as a prefix of the field; empty if unknown.
        error: Error of the decoder. Its text ends with the path of the field, if the error concerns a field.
    """
    field = invalid_field(error)
    path = ".".join(part for part in (kind, field.path) if part)
    return InvalidMessageError(path, field.reason)


def describe_value(value: object) -> str:
    """Describe a decoded value for the log: a list or an object by its type, other values by text of limited length."""
    if isinstance(value, list):
        return "a list"
    if isinstance(value, dict):
        return "an object"
    return repr(value[:MAX_LOGGED_VALUE]) if isinstance(value, str) else str(value)[:MAX_LOGGED_VALUE]
