"""Parses and writes HTTP/1.1 messages with httptools (llhttp). Sans I/O: the reader turns received bytes into events.

llhttp is strict about framing. This module rejects the remaining ambiguous input before it is parsed: bare CR or LF in
a head, folded lines, white space before a colon, content-length together with transfer-encoding, and more than one
content-length (RFC 9112, sections 2.2, 5.1, 5.2, 6.3).
"""

from __future__ import annotations

import re
from typing import NamedTuple

import httptools

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"expect",
        b"content-length",
    )
)
BARE_LINE_END = re.compile(rb"(?<!\r)\n|\r(?!\n)")
FOLDED_LINE = re.compile(rb"\r\n[ \t]")
HEADER_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
WELL_FORMED_HEAD = re.compile(rb"[^\r\n\0]+\r\n(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n\0]*\r\n)*\r\n")
BARE_LINE_END_TEXT = "a bare CR or LF stands in the head; end lines with CR LF"
MAX_PARSED_REQUESTS = 16  # requests that are parsed ahead on one connection
MAX_LENGTH_DIGITS = 18  # most digits that are accepted in a content-length value
METHODS_WITHOUT_BODY = (b"GET", b"HEAD", b"OPTIONS")
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class HttpProtocolError(Exception):
    """Raised for a message that the proxy does not accept.

    Attributes:
        status: Status code of the response if a client sent the message. It is not used if a server sent it.
    """

    def __init__(self, text: str, status: int = 400) -> None:
        """Create the error with the text and the status code of the response."""
        super().__init__(text)
        self.status = status


class Head(NamedTuple):
    """Start line and headers of a message.

    Attributes:
        start: Method and target of a request, or status code of a response.
        headers: All headers in order, with names in lower case.
        length: Length of the body. None if the body is chunked or, in a response, ends with the connection.
        chunked: Whether the body is chunked.
        keep_alive: Whether the sender keeps the connection open after the message.
        expects_continue: Whether the client waits for a 100 (Continue) response before it sends the body.
        by_name: Last value of each header, by name.
    """

    start: tuple[bytes, bytes] | int
    headers: list[tuple[bytes, bytes]]
    length: int | None
    chunked: bool
    keep_alive: bool
    expects_continue: bool
    by_name: dict[bytes, bytes]

    def get(self, name: bytes, default: bytes = b"") -> bytes:
        """Return the last value of the header with a lower-case name, or `default` if there is none."""
        return self.by_name.get(name, default)


class Body(NamedTuple):
    """Part of a body."""

    data: bytes


class End(NamedTuple):
    """The end of a message."""

    trailers: list[tuple[bytes, bytes]]


class Reader:
    """Turns the bytes of HTTP/1 messages into Head, Body and End events.

    Each direction of a connection has its own reader.
    """

    def __init__(self, requests: bool, max_head_bytes: int = 16_384, max_fields: int = 200) -> None:
        """Create a reader that expects the start of a message.

        Args:
            requests: Whether to read requests. Otherwise the reader reads responses.
            max_head_bytes: Largest accepted size of a head.
            max_fields: Largest accepted number of header fields of a head, and of the trailers.
        """
        self.requests, self.max_head_bytes, self.max_fields = requests, max_head_bytes, max_fields
        self.unparsed = b""  # received bytes after `MAX_PARSED_REQUESTS` complete requests
        self.parser = httptools.HttpRequestParser(self) if requests else httptools.HttpResponseParser(self)
        self.events: list[Head | Body | End] = []
        self.partial_head = bytearray()  # received bytes of an incomplete head
        self.completed = 0  # messages completed by the current call of `feed`
        self.in_body = False  # whether the head of the current message is complete and its end is not parsed yet
        self.body_left: int | None = None  # unparsed bytes of a body with a known length; None for any other body
        self.chunked = False
        self.chunk_tail = b""  # up to three last received bytes of a chunked body
        self.bodiless = False  # whether the next response answers a HEAD request and therefore has no body
        self._reset_fields()

    def _reset_fields(self) -> None:
        self.target, self.fields, self.in_trailers = b"", [], False

    # -- callbacks; httptools prescribes their names

    def on_message_begin(self) -> None:
        """Handle the start of a message."""
        self._reset_fields()

    def on_url(self, part: bytes) -> None:
        """Handle a part of the request target."""
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle one header or trailer."""
        if len(self.fields) >= self.max_fields:
            raise HttpProtocolError(f"there are over {self.max_fields} header fields", 431)
        self.fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        head = self._build_head()
        self.events.append(head)
        self.body_left, self.chunked, self.chunk_tail = head.length, head.chunked, b""
        self.fields, self.in_trailers = [], True

    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""
        self.events.append(Body(data))

    def on_message_complete(self) -> None:
        """Handle the end of the message."""
        self.events.append(End(self.fields if self.in_trailers else []))
        self.in_body = False
        self.completed += 1

    def feed(self, data: bytes) -> list[Head | Body | End]:
        """Parse received bytes and return the resulting events.

        At most `MAX_PARSED_REQUESTS` requests are completed, so that a client that sends very many at once occupies
        little more memory than their bytes. The next call continues, also without further bytes.

        Raises:
            HttpProtocolError: The bytes are not a message that this proxy accepts.
        """
        data = self.unparsed + data if self.unparsed else data
        self.unparsed = b""
        self.completed = 0
        while data:
            data = self._parse_body(data) if self.in_body else self._collect_head(data)
            if self.requests and self.completed >= MAX_PARSED_REQUESTS:
                self.unparsed = data
                break
        return self.take_events()

    def take_events(self) -> list[Head | Body | End]:
        """Return and clear the parsed events. After an HttpProtocolError, these are the events before the error."""
        found, self.events = self.events, []
        return found

    def _parse_body(self, data: bytes) -> bytes:
        """Parse body bytes up to the end of the message and return the bytes after it.

        The parser may not read past the end of the message, because the next head must be checked first. A chunked
        message ends with an empty line, so its bytes are split after each empty line and parsed in pieces.
        """
        if self.body_left is not None:
            if not self.body_left and self.bodiless:
                return b""  # the data is dropped, because the connection is not used again
            if not self.body_left:  # the parser expects a body that the protocol does not allow here
                raise HttpProtocolError("a body where there can be none")
            part, rest = data[: self.body_left], data[self.body_left :]
            self.body_left -= len(part)
            self._parse(part)
            return rest
        if not self.chunked:
            self._parse(data)
            return b""
        unparsed_from, search_from, data = len(self.chunk_tail), 0, self.chunk_tail + data
        while self.in_body and (found := data.find(b"\r\n\r\n", search_from)) >= 0:
            self._parse(data[unparsed_from : found + 4])
            unparsed_from, search_from = found + 4, found + 2
        if self.in_body:
            self._parse(data[unparsed_from:])
            self.chunk_tail = data[-3:]
            return b""
        return data[unparsed_from:]

    def _collect_head(self, data: bytes) -> bytes:
        """Collect bytes until the head is complete, then check and parse it. Return the bytes after it."""
        if not self.partial_head:
            if self.requests:
                data = data.lstrip(b"\r\n")  # RFC 9112, 2.2: ignore empty lines before a request
            end = data.find(b"\r\n\r\n") + 4
            if 4 <= end <= self.max_head_bytes:  # the usual case: the data contains the complete head
                head = data[:end]
                self._parse_head(head)
                return data[end:]
        checked = max(0, len(self.partial_head) - 3)  # the rest of an end of the head may be in the new data
        self.partial_head += data
        end = self.partial_head.find(b"\r\n\r\n", checked)
        head_size = end + 4 if end >= 0 else len(self.partial_head)
        ends_with_cr = end < 0 and self.partial_head.endswith(b"\r")  # the LF of this CR may be in the next data
        if BARE_LINE_END.search(self.partial_head, checked, head_size - ends_with_cr):
            raise HttpProtocolError(BARE_LINE_END_TEXT)
        if head_size > self.max_head_bytes:
            raise HttpProtocolError(f"the head is over {self.max_head_bytes} bytes", 431)
        if end < 0:
            return b""
        head, rest = bytes(self.partial_head[:head_size]), bytes(self.partial_head[head_size:])
        self.partial_head.clear()
        self._parse_head(head)
        return rest

    def _parse_head(self, head: bytes) -> None:
        """Parse a complete head.

        Its lines are checked first if `WELL_FORMED_HEAD` does not match it, if there may be several content-length
        headers, or if there may be a transfer-encoding header.
        """
        lower_head = head.lower()
        lengths = lower_head.count(b"\ncontent-length")
        if not WELL_FORMED_HEAD.fullmatch(head) or lengths > 1 or b"\ntransfer-encoding" in lower_head:
            self._check_head_lines(head)
        self.in_body = True
        self._parse(head)

    def _check_head_lines(self, head: bytes) -> None:
        """Check the headers of a complete head one by one.

        Raises:
            HttpProtocolError: A line is malformed or the framing of the body is ambiguous.
        """
        if BARE_LINE_END.search(head):
            raise HttpProtocolError(BARE_LINE_END_TEXT)
        if FOLDED_LINE.search(head):
            raise HttpProtocolError("a header is folded over lines; write it on one")
        lengths: list[bytes] = []
        codings: list[bytes] = []
        for line in head.split(b"\r\n")[1:-2]:
            name, value = _parse_header_line(line)
            if name == b"content-length":
                lengths.append(value.strip())
            elif name == b"transfer-encoding":
                codings.append(value.strip().lower())
        _check_framing(lengths, codings)

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise HttpProtocolError("upgrades are not taken", 501) from None
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as error:
            if isinstance(error.__context__, HttpProtocolError):  # raised by a callback of this class
                raise error.__context__ from None
            raise HttpProtocolError(f"no proper HTTP/1.1: {error}") from None

    def _build_head(self) -> Head:
        named = dict(self.fields)
        length = int(named[b"content-length"]) if b"content-length" in named else None
        chunked = b"transfer-encoding" in named
        keep_alive = self.parser.should_keep_alive()
        if self.requests:
            start: tuple[bytes, bytes] | int = (self.parser.get_method(), self.target)
            if not chunked and length is None:
                length = 0
            hosts = sum(n == b"host" for n, _ in self.fields)
            if hosts > 1 or (not hosts and self.parser.get_http_version() != "1.0"):
                raise HttpProtocolError("a request needs one host header")
            if start[0] == b"CONNECT":
                raise HttpProtocolError("tunnels are not made here", 501)
        else:
            start = self.parser.get_status_code()
            if start < 100:
                raise HttpProtocolError(f"{start} is no status")
            if start < 200 or start in (204, 304) or self.bodiless:
                length, chunked = 0, False
        expects_continue = named.get(b"expect", b"").lower() == b"100-continue"
        return Head(start, self.fields, length, chunked, keep_alive, expects_continue, named)


def forwardable_headers(head: Head, without: bytes = b"") -> list[tuple[bytes, bytes]]:
    """Return the headers except hop-by-hop headers, those that `Connection` names (RFC 9110, 7.6.1) and `without`."""
    if b"connection" not in head.by_name:
        return [p for p in head.headers if p[0] not in HOP_BY_HOP_HEADERS and p[0] != without]
    named = {part.strip().lower() for n, v in head.headers if n == b"connection" for part in v.split(b",")}
    return [p for p in head.headers if p[0] not in HOP_BY_HOP_HEADERS and p[0] not in named and p[0] != without]


def upstream_head_bytes(head: Head, *more: tuple[bytes, bytes]) -> bytes:
    """Return the head of a request as the proxy sends it to a server.

    The proxy sends HTTP/1.1, which requires a host header. An HTTP/1.0 request without one gets an empty value.
    The headers `more` are added, and the first of them replaces the client's headers of the same name.
    """
    headers = forwardable_headers(head, more[0][0] if more else b"")
    headers += more
    if b"host" not in head.by_name:
        headers.append((b"host", b""))  # RFC 9112, 3.2: empty if there is no authority
    method, target = head.start  # type: ignore[misc]
    return request_bytes(method, target, headers, head.length)


def request_bytes(method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], length: int | None) -> bytes:
    """Return the head of a request to a server. The body is chunked if `length` is None."""
    return _head_bytes(b"%s %s HTTP/1.1\r\n" % (method, target), headers, length, method in METHODS_WITHOUT_BODY)


def response_head_bytes(
    status: int, headers: list[tuple[bytes, bytes]], length: int | None, close: bool = False
) -> bytes:
    """Return the head of a response to a client. The body is chunked if `length` is None."""
    more = [*headers, (b"connection", b"close")] if close else headers
    omit_zero_length = status < 200 or status in (204, 304)
    return _head_bytes(
        b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status")), more, length, omit_zero_length
    )


def _head_bytes(start: bytes, headers: list[tuple[bytes, bytes]], length: int | None, omit_zero_length: bool) -> bytes:
    lines = [b"%s: %s\r\n" % pair for pair in headers]
    if length is None:
        lines.append(b"transfer-encoding: chunked\r\n")
    elif length or not omit_zero_length:
        lines.append(b"content-length: %d\r\n" % length)
    return b"%s%s\r\n" % (start, b"".join(lines))


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def last_chunk(trailers: list[tuple[bytes, bytes]]) -> bytes:
    """Return the last chunk and the trailers of a chunked body."""
    return b"0\r\n" + b"".join(b"%s: %s\r\n" % pair for pair in trailers) + b"\r\n"


def text_response(
    status: int, text: str, headers: list[tuple[bytes, bytes]] | None = None, close: bool = False
) -> bytes:
    """Return a complete plain-text response that the proxy itself sends."""
    body = text.encode() + b"\n"
    return response_head_bytes(status, [(b"content-type", b"text/plain"), *(headers or [])], len(body), close) + body


def _parse_header_line(line: bytes) -> tuple[bytes, bytes]:
    """Return the lower-case name and the value of a header.

    Raises:
        HttpProtocolError: The line is not a valid header.
    """
    name, colon, value = line.partition(b":")
    if not colon or not HEADER_NAME.match(name):
        raise HttpProtocolError("a header has no proper name; write name: value without white space before the colon")
    if b"\0" in value:
        raise HttpProtocolError("a header holds a zero byte")
    return name.lower(), value


def _check_framing(lengths: list[bytes], codings: list[bytes]) -> None:
    """Check that the values of content-length and transfer-encoding headers are valid and state a length at most once.

    Raises:
        HttpProtocolError: The length is stated more than once, a content-length is not a number of at most
            `MAX_LENGTH_DIGITS` digits, or the transfer coding is not `chunked` alone.
    """
    if len(lengths) > 1 or (lengths and codings):
        raise HttpProtocolError("the length of the body is stated twice; state it once")
    if lengths and not (lengths[0].isdigit() and len(lengths[0]) <= MAX_LENGTH_DIGITS):
        raise HttpProtocolError("content-length is no number")
    if codings and codings != [b"chunked"]:
        raise HttpProtocolError("transfer-encoding is not chunked alone", 501)
