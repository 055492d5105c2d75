"""Errors of the platform's protocol. Each error names the field, setting or operation that failed, and the reason."""

from __future__ import annotations

MAX_LOGGED_ENDPOINT = 80  # characters


class PlatformError(Exception):
    """Base class of all errors of this package.

    Attributes:
        field: The message field, setting or operation that failed; "" if the input as a whole is invalid.
        reason: The cause of the failure, as a text for the log.
    """

    def __init__(self, field: str, reason: str) -> None:
        """Create an error whose text contains field and reason."""
        super().__init__(f"{field}: {reason}" if field else reason)
        self.field = field
        self.reason = reason


class ConfigError(PlatformError):
    """The configuration is missing, unreadable or invalid, or the listening socket cannot be opened.

    The error text states the reason and, if they are known, the file and the field.
    """


class FrameError(PlatformError):
    """The length prefix of a frame is out of range, so the rest of the stream cannot be decoded."""


class MessageError(PlatformError):
    """Base class of errors in received messages."""


class InvalidMessageError(MessageError):
    """A JSON object is not a valid message, for example because a field is missing, out of range or unknown.

    Only this message is dropped, unless its sender is a client that has not joined a zone; that client is rejected.
    """


class MalformedMessageError(MessageError):
    """The bytes cannot be decoded as JSON or are not a JSON object, so the rest of the stream cannot be trusted.

    A collector's invalid message is also malformed if whitespace precedes its JSON object.
    """


class EndpointListError(PlatformError):
    """An update of the endpoint list, from discovery or from the configuration, is invalid or cannot be applied."""


class EndpointEntryError(EndpointListError):
    """One entry of an endpoint list is invalid; the other entries can be used."""

    def __init__(self, endpoint: str, field: str, reason: str) -> None:
        """Create an error whose text contains the name of the endpoint, the field and the reason."""
        label = endpoint[:MAX_LOGGED_ENDPOINT]
        super().__init__(f"{label}: {field}" if label else field, reason)
        self.endpoint = endpoint


class TransportError(PlatformError):
    """A connection has failed, or its peer sent invalid data. `field` names the operation or the kind of data."""
