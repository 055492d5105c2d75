"""Encodes HTTP/1.1 requests and decodes responses, for clients. No I/O."""

from __future__ import annotations

import httptools

from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.errors import TransportError

MAX_BODY_BYTES = 1 << 20
MAX_LINE_BYTES = 8 << 20  # the endpoint list of a large fleet is one line
FIRST_FINAL_STATUS = 200  # lower status codes are interim responses
PARSER_ERRORS = (
    httptools.HttpParserError,
    httptools.HttpParserCallbackError,
    httptools.HttpParserUpgrade,
)


def build_request(method: str, path: str, address: Address, body: bytes = b"") -> bytes:
    """Encode a request; the body, if there is one, is JSON."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {address.host}:{address.port}\r\n"
    if body:
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class ResponseReader:
    """Decodes one response from chunks of any size.

    Attributes:
        body: The received part of the body, without the lines that `take_lines` has removed.
        complete: Whether the response was received completely.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        """Create a reader for a new response.

        Args:
            max_body_bytes: Largest length of `body`: of the whole body, or of the part that `take_lines` has not
                removed yet.
        """
        self.body = bytearray()
        self.complete = False
        self._max_body_bytes = max_body_bytes
        self._headers_complete = False
        self._parser = httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        """Record the end of the headers. The parser calls this."""
        self._headers_complete = True

    def on_body(self, data: bytes) -> None:
        """Append a part of the body. The parser calls this."""
        self.body += data

    def on_message_complete(self) -> None:
        """Record the end of a final response. The parser also calls this for interim responses."""
        self.complete = self._parser.get_status_code() >= FIRST_FINAL_STATUS

    def feed(self, data: bytes) -> None:
        """Decode received bytes.

        Raises:
            TransportError: The bytes are not a valid HTTP response, or `body` is longer than `max_body_bytes`.
        """
        try:
            self._parser.feed_data(data)
        except PARSER_ERRORS as error:
            raise TransportError("response", f"invalid HTTP: {error}") from None
        if len(self.body) > self._max_body_bytes:
            raise TransportError("response", f"over {self._max_body_bytes} bytes of the body are buffered")

    def status(self) -> int:
        """Return the status code, or 0 if the headers are not complete yet."""
        return self._parser.get_status_code() if self._headers_complete else 0

    def keeps_alive(self) -> bool:
        """Return whether the connection may be reused after this response."""
        return self._parser.should_keep_alive()

    def take_lines(self) -> list[bytes]:
        """Remove the complete lines from the received body and return them without surrounding whitespace."""
        end = self.body.rfind(b"\n")
        if end < 0:
            return []  # without a copy: a long line arrives in many parts
        complete = bytes(self.body[:end])
        del self.body[: end + 1]
        return [line.strip() for line in complete.split(b"\n")]
