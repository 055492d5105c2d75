"""Errors that end a client's stream. The text goes to the client with a gRPC status."""

from __future__ import annotations


class StreamError(Exception):
    """A stream breaks the protocol and is ended.

    Attributes:
        status: the name of the gRPC status that it ends with.
    """

    status = "INVALID_ARGUMENT"


class MissingNodeIdError(StreamError):
    """The first request of a stream does not identify its client."""

    def __init__(self) -> None:
        """Compose the text."""
        super().__init__("the first request names no node.id; set one for each gateway")


class RequestFormatError(StreamError):
    """Received bytes are no message of the expected type.

    Attributes:
        message_name: the expected protobuf message.
    """

    def __init__(self, message_name: str) -> None:
        """Compose the text for the expected message."""
        super().__init__(f"a request is no {message_name}; send protobuf as specified")
        self.message_name = message_name


class RequestRateError(StreamError):
    """A client sends more requests than any client needs.

    Attributes:
        limit_per_s: the admitted rate.
    """

    status = "RESOURCE_EXHAUSTED"

    def __init__(self, limit_per_s: float) -> None:
        """Compose the text for the admitted rate."""
        super().__init__(f"over {limit_per_s:g} requests a second: no client needs that")
        self.limit_per_s = limit_per_s
