"""Requests and responses of the client side of HTTP/1.1 as bytes. No I/O."""

from __future__ import annotations

import httptools

from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.errors import TransportError

MAX_BODY_BYTES = 1 << 20
MAX_LINE_BYTES = 8 << 20  # the endpoint list of a large fleet is one line
FIRST_FINAL_STATUS = 200  # those below are interim
PARSER_ERRORS = (
    httptools.HttpParserError,
    httptools.HttpParserCallbackError,
    httptools.HttpParserUpgrade,
)


def build_request(method: str, path: str, address: Address, body: bytes = b"") -> bytes:
    """Return the bytes of a request."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {address.host}:{address.port}\r\n"
    if body:
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class ResponseReader:
    """Reads one response, however its bytes arrive.

    Attributes:
        body: the part that has arrived and was not taken as lines.
        complete: whether the response has ended.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Start before the first byte.

        Args:
            max_body_bytes: of the body, or of one line if it is taken as lines.
        """
        self.body = bytearray()
        self.complete = False
        self._max_body_bytes = max_body_bytes
        self._headers_complete = False
        self._parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        """Note the end of the headers; called by the parser."""
        self._headers_complete = True

    def on_body(self, data: bytes) -> None:
        """Add a part of the body; called by the parser."""
        self.body += data

    def on_message_complete(self) -> None:
        """Note the end of the response; called by the parser, also for interim responses."""
        self.complete = self._parser.get_status_code() >= FIRST_FINAL_STATUS

    def feed(self, data: bytes) -> None:
        """Add received bytes.

        Raises:
            TransportError: they are no HTTP response, or one that is too long.
        """
        try:
            self._parser.feed_data(data)
        except PARSER_ERRORS as error:
            raise TransportError("response", f"not HTTP: {error}") from None
        if len(self.body) > self._max_body_bytes:
            raise TransportError("response", f"over {self._max_body_bytes} bytes")

    def status(self) -> int:
        """Return the status code; 0 before the end of the headers."""
        return self._parser.get_status_code() if self._headers_complete else 0

    def keeps_alive(self) -> bool:
        """Whether the connection may be used again."""
        return self._parser.should_keep_alive()

    def take_lines(self) -> list[bytes]:
        """Remove and return the complete lines that have arrived."""
        *complete, rest = self.body.split(b"\n")
        self.body = bytearray(rest)
        return [bytes(line).strip() for line in complete]
