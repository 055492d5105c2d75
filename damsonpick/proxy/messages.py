"""HTTP/1.1 messages in and out, on httptools (llhttp). Sans I/O: bytes in, events out.

llhttp is strict about framing. What could still be read in two ways is refused before it is parsed: bare CR or LF in
a head, folded lines, white space before a colon, both lengths, two lengths (RFC 9112, sections 2.2, 5.1, 5.2, 6.3).
"""

from __future__ import annotations

import re
from typing import NamedTuple

import httptools

HOP = frozenset((b"connection", b"keep-alive", b"proxy-connection", b"te", b"trailer", b"transfer-encoding", b"upgrade",
                 b"proxy-authenticate", b"proxy-authorization", b"expect"))
BARE = re.compile(rb"(?<!\r)\n|\r(?!\n)")
FOLD = re.compile(rb"\r\n[ \t]")
NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+\Z")
REASONS = {200: b"OK", 400: b"Bad Request", 408: b"Request Timeout", 413: b"Content Too Large",
           431: b"Request Header Fields Too Large", 500: b"Internal Server Error", 501: b"Not Implemented",
           502: b"Bad Gateway", 503: b"Service Unavailable", 504: b"Gateway Timeout"}


class BadMessage(Exception):
    """A message that is not taken; `status` is what its sender is told."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


class Head(NamedTuple):
    """Start line and headers; names in lower case. `length` None: chunked, or (answers) until the end."""

    start: tuple[bytes, bytes] | int  # method and target, or status
    headers: list[tuple[bytes, bytes]]
    length: int | None
    chunked: bool
    keep: bool
    expects: bool = False

    def get(self, name: bytes, usual: bytes = b"") -> bytes:
        return next((v for n, v in self.headers if n == name), usual)


class Body(NamedTuple):
    data: bytes


class End(NamedTuple):
    trailers: list[tuple[bytes, bytes]]


class Reader:
    """Turns bytes into Head, Body and End; one for each connection and direction.

    Args:
        requests: whether it reads requests; otherwise answers.
        most_head: bytes of a head.
    """

    def __init__(self, requests: bool, most_head: int = 16_384) -> None:
        self.requests, self.most_head = requests, most_head
        self.parser = httptools.HttpRequestParser(self) if requests else httptools.HttpResponseParser(self)
        self.events: list[Head | Body | End] = []
        self.raw = bytearray()  # of a head not yet whole
        self.inside = False  # past the head of a message
        self.begun = False
        self.bodiless = False  # the answer to HEAD: told by who asked
        self._reset()

    def _reset(self) -> None:
        self.target, self.fields, self.trailing = b"", [], False

    # llhttp's own names
    def on_message_begin(self) -> None:
        self._reset()

    def on_url(self, part: bytes) -> None:
        self.target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self.fields.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        self.events.append(self._head())
        self.fields, self.trailing = [], True

    def on_body(self, data: bytes) -> None:
        self.events.append(Body(data))

    def on_message_complete(self) -> None:
        self.events.append(End(self.fields if self.trailing else []))
        self.inside = False

    def feed(self, data: bytes) -> list[Head | Body | End]:
        """Events of these bytes.

        Raises:
            BadMessage: the bytes are no message that this proxy takes.
        """
        self.begun |= bool(data)
        while data:
            if self.inside:
                self._parse(data)
                data = b""
            else:
                data = self._gather(data)
        found, self.events = self.events, []
        return found

    def _gather(self, data: bytes) -> bytes:
        """Collect a head until it is whole, look at it, parse it; returns what is behind it."""
        if not self.raw:
            data = data.lstrip(b"\r\n") if self.requests else data  # RFC 9112, 2.2: empty lines before a request
        self.raw += data
        end = self.raw.find(b"\r\n\r\n")
        whole = end + 4 if end >= 0 else len(self.raw)
        half = end < 0 and self.raw.endswith(b"\r")  # its LF may still come
        if BARE.search(self.raw, 0, whole - half):
            raise BadMessage("a bare CR or LF stands in the head; end lines with CR LF")
        if whole > self.most_head:
            raise BadMessage(f"the head is over {self.most_head} bytes", 431)
        if end < 0:
            return b""
        head, rest = bytes(self.raw[:whole]), bytes(self.raw[whole:])
        self.raw.clear()
        self._look(head)
        self.inside = True
        self._parse(head)
        return rest

    def _look(self, head: bytes) -> None:
        if FOLD.search(head):
            raise BadMessage("a header is folded over lines; write it on one")
        lengths, codings = [], []
        for line in head.split(b"\r\n")[1:-2]:
            name, colon, value = line.partition(b":")
            if not colon or not NAME.match(name):
                raise BadMessage("a header has no proper name; write name: value without white space before the colon")
            if b"\0" in value:
                raise BadMessage("a header holds a zero byte")
            low = name.lower()
            if low == b"content-length":
                lengths.append(value.strip())
            elif low == b"transfer-encoding":
                codings.append(value.strip().lower())
        if len(lengths) > 1 or (lengths and codings):
            raise BadMessage("the length of the body is stated twice; state it once")
        if lengths and not (lengths[0].isdigit() and len(lengths[0]) < 19):
            raise BadMessage("content-length is no number")
        if codings and codings != [b"chunked"]:
            raise BadMessage("transfer-encoding is not chunked alone", 501)

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadMessage("upgrades are not taken", 501) from None
        except (httptools.HttpParserError, httptools.HttpParserCallbackError) as error:
            raise BadMessage(f"no proper HTTP/1.1: {error}") from None

    def _head(self) -> Head:
        named = dict(self.fields)
        length = int(named[b"content-length"]) if b"content-length" in named else None
        chunked = b"transfer-encoding" in named
        keep = self.parser.should_keep_alive()
        if self.requests:
            start: tuple[bytes, bytes] | int = (self.parser.get_method(), self.target)
            if not chunked and length is None:
                length = 0
            if self.parser.get_http_version() == "1.1" and sum(n == b"host" for n, _ in self.fields) != 1:
                raise BadMessage("a request needs one host header")
        else:
            start = self.parser.get_status_code()
            if start < 200 or start in (204, 304) or self.bodiless:
                length, chunked = 0, False
        expects = named.get(b"expect", b"").lower() == b"100-continue"
        return Head(start, self.fields, length, chunked, keep, expects)


def forwardable(head: Head) -> list[tuple[bytes, bytes]]:
    """Headers without those of one hop and those that `Connection` names (RFC 9110, 7.6.1)."""
    named = {part.strip().lower() for n, v in head.headers if n == b"connection" for part in v.split(b",")}
    return [(n, v) for n, v in head.headers if n not in HOP and n not in named and n != b"content-length"]


def request_bytes(method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], length: int | None) -> bytes:
    """Head of a request to a server; `length` None: chunked."""
    return _bytes(b"%s %s HTTP/1.1\r\n" % (method, target), headers, length, method in (b"GET", b"HEAD", b"OPTIONS"))


def answer_bytes(status: int, headers: list[tuple[bytes, bytes]], length: int | None, close: bool = False) -> bytes:
    """Head of an answer to a client; `length` None: chunked."""
    more = [*headers, (b"connection", b"close")] if close else headers
    quiet = status < 200 or status in (204, 304)
    return _bytes(b"HTTP/1.1 %d %s\r\n" % (status, REASONS.get(status, b"Status")), more, length, quiet)


def _bytes(start: bytes, headers: list[tuple[bytes, bytes]], length: int | None, quiet: bool) -> bytes:
    lines = [start, *(b"%s: %s\r\n" % pair for pair in headers)]
    if length is None:
        lines.append(b"transfer-encoding: chunked\r\n")
    elif length or not quiet:
        lines.append(b"content-length: %d\r\n" % length)
    lines.append(b"\r\n")
    return b"".join(lines)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def last_chunk(trailers: list[tuple[bytes, bytes]]) -> bytes:
    return b"0\r\n" + b"".join(b"%s: %s\r\n" % pair for pair in trailers) + b"\r\n"


def plain(status: int, text: str, headers: list[tuple[bytes, bytes]] | None = None, close: bool = False) -> bytes:
    """A whole answer of the proxy's own."""
    body = text.encode() + b"\n"
    return answer_bytes(status, [(b"content-type", b"text/plain"), *(headers or [])], len(body), close) + body
