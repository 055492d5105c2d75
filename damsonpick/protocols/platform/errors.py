"""Errors of the platform protocol. Each names the field, setting or operation that failed, and the reason."""

from __future__ import annotations

MAX_LOGGED_ENDPOINT = 80  # characters


class PlatformError(Exception):
    """Base of all errors of this package.

    Attributes:
        field: what failed: a field of a message, a setting; "" if all of the input cannot be used.
        reason: why, in words for the log.
    """

    def __init__(self, field: str, reason: str) -> None:
        """Build the text from field and reason."""
        super().__init__(f"{field}: {reason}" if field else reason)
        self.field = field
        self.reason = reason


class ConfigError(PlatformError):
    """The configuration cannot be used. The text names file, field, reason and remedy."""


class FrameError(PlatformError):
    """The length prefix of a frame is invalid; the stream cannot be read any further."""


class MessageError(PlatformError):
    """A message cannot be used."""


class InvalidMessageError(MessageError):
    """A JSON object with a field that is missing, out of range or unknown. Only this message is lost."""


class MalformedMessageError(MessageError):
    """The bytes are no JSON object; the stream that carried them cannot be trusted any further."""


class EndpointListError(PlatformError):
    """Discovery sent an object that is no update of the endpoint list."""


class EndpointEntryError(EndpointListError):
    """One entry of an endpoint list cannot be read."""

    def __init__(self, endpoint: str, field: str, reason: str) -> None:
        """Build the text from the endpoint's name, field and reason."""
        label = endpoint[:MAX_LOGGED_ENDPOINT]
        super().__init__(f"{label}: {field}" if label else field, reason)
        self.endpoint = endpoint


class TransportError(PlatformError):
    """A connection to the registry or to discovery is of no further use; `field` names the operation that failed."""
