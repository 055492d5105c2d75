"""Errors that end a client's stream. The server sends the error text to the client with a gRPC status."""

from __future__ import annotations


class StreamError(Exception):
    """The client broke the protocol, and the server ends the stream.

    Attributes:
        status: Name of the gRPC status with which the server ends the stream.
    """

    status = "INVALID_ARGUMENT"


class MissingNodeIdError(StreamError):
    """The first request of a stream does not identify the client."""

    def __init__(self) -> None:
        """Build the message."""
        super().__init__("the first request names no node.id; set one for each gateway")


class RequestFormatError(StreamError):
    """The received bytes are not a message of the expected type.

    Attributes:
        message_name: Name of the expected protobuf message.
    """

    def __init__(self, message_name: str) -> None:
        """Build the message that names the expected type."""
        super().__init__(f"a request is no {message_name}; send protobuf as specified")
        self.message_name = message_name


class RequestRateError(StreamError):
    """A client sends more requests than any client needs, so the server ends its stream.

    Attributes:
        limit_per_s: Highest sustained rate that is accepted, requests per second.
    """

    status = "RESOURCE_EXHAUSTED"

    def __init__(self, limit_per_s: float) -> None:
        """Build the message that states the accepted rate."""
        super().__init__(f"over {limit_per_s:g} requests a second: no client needs that")
        self.limit_per_s = limit_per_s


class NodeIdTooLongError(StreamError):
    """The node id is longer than any gateway needs."""

    def __init__(self, max_chars: int) -> None:
        """Build the message that states the limit."""
        super().__init__(f"node.id is longer than {max_chars} characters")


class TooManyNodesError(StreamError):
    """No number is left for a new node id."""

    status = "RESOURCE_EXHAUSTED"
