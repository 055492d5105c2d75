"""JSON objects decoded by msgspec, with its errors mapped to this package's. No I/O."""

from __future__ import annotations

import msgspec

from damsonpick.protocols.platform.errors import InvalidMessageError

DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError, OverflowError)
_PATH_MARK = " - at `$."


def invalid_message(kind: str, error: msgspec.ValidationError) -> InvalidMessageError:
    """Map an error of msgspec, which names the field at its end.

    Args:
        kind: of the message, if known; prefixed to the field.
        error: of the decoder.
    """
    reason, _, path = str(error).partition(_PATH_MARK)
    field = ".".join(part for part in (kind, path.rstrip("`")) if part)
    return InvalidMessageError(field, reason)
