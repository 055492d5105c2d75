"""The client's half of HTTP/1.1, as the relay and discovery speak it: a call with its answer, or lines without end."""

from __future__ import annotations

import anyio
import httptools
from anyio.abc import SocketStream

from damsonpick.protocols.platform.config import Address
from damsonpick.runtime.sockets import idle

READ = 65_536
BODY_MOST = 1 << 20  # bytes of an answer
LINE_MOST = 8 << 20  # bytes of one line; the whole list of a large fleet is one


class Broken(Exception):
    """The connection is of no further use; the text says why."""


class Answers:
    """Reads answers from bytes, however they arrive. Sans I/O."""

    def __init__(self, most: int = BODY_MOST) -> None:
        self.most = most
        self.parser = httptools.HttpResponseParser(self)
        self.body, self.done, self.headers_done = bytearray(), False, False

    def on_headers_complete(self) -> None:
        self.headers_done = True

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.done = self.parser.get_status_code() >= 200

    def feed(self, data: bytes) -> None:
        """Take bytes in.

        Raises:
            Broken: they are no answer, or too long a one.
        """
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserCallbackError, httptools.HttpParserUpgrade) as error:
            raise Broken(f"not HTTP: {error}") from None
        if len(self.body) > self.most:
            raise Broken(f"an answer of over {self.most} bytes")

    def status(self) -> int:
        return self.parser.get_status_code() if self.headers_done else 0

    def keep(self) -> bool:
        return self.parser.should_keep_alive()

    def lines(self) -> list[bytes]:
        """Whole lines that came; what is left stays."""
        *whole, rest = self.body.split(b"\n")
        self.body = bytearray(rest)
        return [bytes(line).strip() for line in whole]


async def dial(address: Address, within: float) -> SocketStream:
    """A connection.

    Raises:
        Broken: none comes up.
    """
    try:
        with anyio.fail_after(within):
            return await anyio.connect_tcp(address.host, address.port)
    except (OSError, TimeoutError) as error:
        raise Broken(f"no connection: {error or 'in time'}") from None


async def receive(stream: SocketStream, within: float) -> bytes:
    """The next bytes. Two looks: after a long step of the loop the time is up before the bytes at hand are seen.

    Raises:
        Broken: none came in time, or the peer has closed.
    """
    for _ in range(2):
        with anyio.move_on_after(within / 2):
            try:
                return await stream.receive(READ)
            except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError) as error:
                raise Broken(f"closed: {type(error).__name__}") from None
    raise Broken(f"silent for {within:g} s")


async def send(stream: SocketStream, data: bytes, within: float) -> None:
    """Write all of it.

    Raises:
        Broken: the peer takes no more, or has closed.
    """
    try:
        with anyio.fail_after(within):
            await stream.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError, TimeoutError) as error:
        raise Broken(f"not written: {type(error).__name__}") from None


def request(method: str, path: str, host: Address, body: bytes = b"") -> bytes:
    """A request's bytes."""
    head = f"{method} {path} HTTP/1.1\r\nHost: {host.host}:{host.port}\r\n"
    if body:
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


class Caller:
    """Calls over one connection that is kept open; a stale one is never written to.

    Args:
        address: where to call.
        keep: s for which an idle connection is kept; less than the peer keeps it.
    """

    def __init__(self, address: Address, keep: float) -> None:
        self.address, self.keep = address, keep
        self.stream: SocketStream | None = None
        self.used = 0.0

    async def connect(self, within: float) -> None:
        """Have a connection that can be written to.

        Raises:
            Broken: none comes up; nothing was sent.
        """
        if self.stream is not None and (anyio.current_time() - self.used > self.keep or not idle(self.stream)):
            await self.close()
        if self.stream is None:
            self.stream = await dial(self.address, within)

    async def call(self, method: str, path: str, body: bytes, within: float) -> tuple[int, bytes]:
        """Status and body of the answer; call `connect` first.

        Raises:
            Broken: the call may or may not have been carried out.
        """
        answers, good = Answers(), False
        try:
            await send(self.stream, request(method, path, self.address, body), within)
            while not answers.done:
                answers.feed(await receive(self.stream, within))
            good = answers.keep()
            self.used = anyio.current_time()
            return answers.status(), bytes(answers.body)
        finally:
            if not good:
                await self.close()

    async def close(self) -> None:
        stream, self.stream = self.stream, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)
