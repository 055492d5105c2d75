"""HTTP/1.1 messages in and out, on httptools (llhttp). Sans I/O: bytes in, events out.

llhttp is strict about framing. What could still be read in two ways is refused before it is parsed: bare CR or LF in
a head, folded lines, white space before a colon, both lengths, two lengths (RFC 9112, sections 2.2, 5.1, 5.2, 6.3).
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
ORDINARY_HEAD = re.compile(rb"[^\r\n\0]+\r\n(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[^\r\n\0]*\r\n)*\r\n")
BARE_LINE_END_TEXT = "a bare CR or LF stands in the head; end lines with CR LF"
MAX_LENGTH_DIGITS = 18  # of content-length
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
    """A message that this proxy does not accept; `status` is the answer to its sender."""

    def __init__(self, text: str, status: int = 400) -> None:
        """Compose an error with the text and the status of the answer."""
        super().__init__(text)
        self.status = status


class Head(NamedTuple):
    """Start line and headers; names in lower case. `length` None: chunked, or (answers) until the end.

    `named` holds the last value of each header.
    """

    start: tuple[bytes, bytes] | int  # method and target, or status
    headers: list[tuple[bytes, bytes]]
    length: int | None
    chunked: bool
    keep: bool
    expects: bool
    named: dict[bytes, bytes]

    def get(self, name: bytes, default: bytes = b"") -> bytes:
        """The last value of a header."""
        return self.named.get(name, default)


class Body(NamedTuple):
    """Part of a body."""

    data: bytes


class End(NamedTuple):
    """The end of a message."""

    trailers: list[tuple[bytes, bytes]]


class Reader:
    """Turns bytes into Head, Body and End; one for each connection and direction."""

    def __init__(self, requests: bool, max_head_bytes: int = 16_384) -> None:
        """Begin before the first message.

        Args:
            requests: whether it reads requests; otherwise answers.
            max_head_bytes: bytes of a head.
        """
        self.requests, self.max_head_bytes = requests, max_head_bytes
        self.parser = httptools.HttpRequestParser(self) if requests else httptools.HttpResponseParser(self)
        self.events: list[Head | Body | End] = []
        self.raw = bytearray()  # of a head that is not complete yet
        self.in_body = False  # past the head of a message
        self.body_left: int | None = None  # of a body whose length was stated
        self.chunked = False
        self.chunk_tail = b""  # the last bytes of a chunked body so far
        self.bodiless = False  # set for the answer to a HEAD request
        self._reset_fields()

    def _reset_fields(self) -> None:
        self.target, self.fields, self.trailing = b"", [], False

    # -- callbacks, under the names that httptools gives them

    def on_message_begin(self) -> None:
        """A message begins."""
        self._reset_fields()

    def on_url(self, part: bytes) -> None:
        """A part of the request target."""
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header or trailer."""
        self.fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """The head is complete."""
        head = self._build_head()
        self.events.append(head)
        self.body_left, self.chunked, self.chunk_tail = head.length, head.chunked, b""
        self.fields, self.trailing = [], True

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self.events.append(Body(data))

    def on_message_complete(self) -> None:
        """The message is complete."""
        self.events.append(End(self.fields if self.trailing else []))
        self.in_body = False

    def feed(self, data: bytes) -> list[Head | Body | End]:
        """Events of these bytes.

        Raises:
            HttpProtocolError: the bytes are no message that this proxy takes.
        """
        while data:
            data = self._parse_body(data) if self.in_body else self._collect_head(data)
        return self.take_events()

    def take_events(self) -> list[Head | Body | End]:
        """What has been read and not yet been taken; after a HttpProtocolError, what came before it."""
        found, self.events = self.events, []
        return found

    def _parse_body(self, data: bytes) -> bytes:
        """Parse no further than the end of the message: the next head must be looked at; returns what is behind.

        A chunked message ends with an empty line, so it is handed over in pieces that end with one.
        """
        if self.body_left is not None:
            if not self.body_left and self.bodiless:
                return b""  # the connection is not used again
            if not self.body_left:  # the parser sees a body where the rules of the protocol allow none
                raise HttpProtocolError("a body where there can be none")
            part, rest = data[: self.body_left], data[self.body_left :]
            self.body_left -= len(part)
            self._parse(part)
            return rest
        if not self.chunked:
            self._parse(data)
            return b""
        begin, look, data = len(self.chunk_tail), 0, self.chunk_tail + data
        while self.in_body and (found := data.find(b"\r\n\r\n", look)) >= 0:
            self._parse(data[begin : found + 4])
            begin, look = found + 4, found + 2
        if self.in_body:
            self._parse(data[begin:])
            self.chunk_tail = data[-3:]
            return b""
        return data[begin:]

    def _collect_head(self, data: bytes) -> bytes:
        """Collect a head until it is complete, check and parse it; returns the bytes behind it."""
        if not self.raw:
            if self.requests:
                data = data.lstrip(b"\r\n")  # RFC 9112, 2.2: empty lines before a request
            end = data.find(b"\r\n\r\n") + 4
            if 4 <= end <= self.max_head_bytes:  # the ordinary case: a complete head at once
                head = data[:end]
                self._parse_head(head)
                return data[end:]
        self.raw += data
        end = self.raw.find(b"\r\n\r\n")
        whole = end + 4 if end >= 0 else len(self.raw)
        half = end < 0 and self.raw.endswith(b"\r")  # its LF may still come
        if BARE_LINE_END.search(self.raw, 0, whole - half):
            raise HttpProtocolError(BARE_LINE_END_TEXT)
        if whole > self.max_head_bytes:
            raise HttpProtocolError(f"the head is over {self.max_head_bytes} bytes", 431)
        if end < 0:
            return b""
        head, rest = bytes(self.raw[:whole]), bytes(self.raw[whole:])
        self.raw.clear()
        self._parse_head(head)
        return rest

    def _parse_head(self, head: bytes) -> None:
        """Parse a complete head. A regular expression recognizes the ordinary ones; others are checked line by line."""
        low = head.lower()
        lengths = low.count(b"\ncontent-length")
        if not ORDINARY_HEAD.fullmatch(head) or lengths > 1 or b"\ntransfer-encoding" in low:
            self._check_head_lines(head)
        self.in_body = True
        self._parse(head)

    def _check_head_lines(self, head: bytes) -> None:
        """Check the headers of a complete head one by one.

        Raises:
            HttpProtocolError: a line is malformed or the framing of the body is ambiguous.
        """
        if BARE_LINE_END.search(head):
            raise HttpProtocolError(BARE_LINE_END_TEXT)
        if FOLDED_LINE.search(head):
            raise HttpProtocolError("a header is folded over lines; write it on one")
        lengths: list[bytes] = []
        codings: list[bytes] = []
        for line in head.split(b"\r\n")[1:-2]:
            name, value = _split_header(line)
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
            if isinstance(error.__context__, HttpProtocolError):  # from a callback of this class
                raise error.__context__ from None
            raise HttpProtocolError(f"no proper HTTP/1.1: {error}") from None

    def _build_head(self) -> Head:
        named = dict(self.fields)
        length = int(named[b"content-length"]) if b"content-length" in named else None
        chunked = b"transfer-encoding" in named
        keep = self.parser.should_keep_alive()
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
        expects = named.get(b"expect", b"").lower() == b"100-continue"
        return Head(start, self.fields, length, chunked, keep, expects, named)


def forwardable_headers(head: Head, without: bytes = b"") -> list[tuple[bytes, bytes]]:
    """Headers without hop-by-hop ones, those that `Connection` names (RFC 9110, 7.6.1) and `without`."""
    if b"connection" not in head.named:
        return [p for p in head.headers if p[0] not in HOP_BY_HOP_HEADERS and p[0] != without]
    named = {part.strip().lower() for n, v in head.headers if n == b"connection" for part in v.split(b",")}
    return [p for p in head.headers if p[0] not in HOP_BY_HOP_HEADERS and p[0] not in named and p[0] != without]


def upstream_head_bytes(head: Head, *more: tuple[bytes, bytes]) -> bytes:
    """The head of a request as it goes to a server: HTTP/1.1, so a host is named even where HTTP/1.0 named none."""
    headers = forwardable_headers(head, more[0][0] if more else b"")
    headers += more
    if b"host" not in head.named:
        headers.append((b"host", b""))  # RFC 9112, 3.2: empty where there is no authority
    method, target = head.start  # type: ignore[misc]
    return request_bytes(method, target, headers, head.length)


def request_bytes(method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], length: int | None) -> bytes:
    """Head of a request to a server; `length` None: chunked."""
    return _head_bytes(b"%s %s HTTP/1.1\r\n" % (method, target), headers, length, method in METHODS_WITHOUT_BODY)


def answer_bytes(status: int, headers: list[tuple[bytes, bytes]], length: int | None, close: bool = False) -> bytes:
    """Head of an answer to a client; `length` None: chunked."""
    more = [*headers, (b"connection", b"close")] if close else headers
    quiet = status < 200 or status in (204, 304)
    return _head_bytes(b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status")), more, length, quiet)


def _head_bytes(start: bytes, headers: list[tuple[bytes, bytes]], length: int | None, quiet: bool) -> bytes:
    lines = [b"%s: %s\r\n" % pair for pair in headers]
    if length is None:
        lines.append(b"transfer-encoding: chunked\r\n")
    elif length or not quiet:
        lines.append(b"content-length: %d\r\n" % length)
    return b"%s%s\r\n" % (start, b"".join(lines))


def chunk(data: bytes) -> bytes:
    """Data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def last_chunk(trailers: list[tuple[bytes, bytes]]) -> bytes:
    """The end of a chunked body."""
    return b"0\r\n" + b"".join(b"%s: %s\r\n" % pair for pair in trailers) + b"\r\n"


def plain_answer(
    status: int, text: str, headers: list[tuple[bytes, bytes]] | None = None, close: bool = False
) -> bytes:
    """A complete answer of the proxy itself, in plain text."""
    body = text.encode() + b"\n"
    return answer_bytes(status, [(b"content-type", b"text/plain"), *(headers or [])], len(body), close) + body


def _split_header(line: bytes) -> tuple[bytes, bytes]:
    """The lower-case name and the value of a header.

    Raises:
        HttpProtocolError: the line is no header.
    """
    name, colon, value = line.partition(b":")
    if not colon or not HEADER_NAME.match(name):
        raise HttpProtocolError("a header has no proper name; write name: value without white space before the colon")
    if b"\0" in value:
        raise HttpProtocolError("a header holds a zero byte")
    return name.lower(), value


def _check_framing(lengths: list[bytes], codings: list[bytes]) -> None:
    """Check that content-length and transfer-encoding headers state the length of a body once.

    Raises:
        HttpProtocolError: they do not.
    """
    if len(lengths) > 1 or (lengths and codings):
        raise HttpProtocolError("the length of the body is stated twice; state it once")
    if lengths and not (lengths[0].isdigit() and len(lengths[0]) <= MAX_LENGTH_DIGITS):
        raise HttpProtocolError("content-length is no number")
    if codings and codings != [b"chunked"]:
        raise HttpProtocolError("transfer-encoding is not chunked alone", 501)
