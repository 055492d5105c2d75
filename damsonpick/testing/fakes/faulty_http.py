"""A small HTTP/1.1 server for stand-ins whose answers may go wrong at any byte: requests by h11, answers by hand."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketStream

CHUNK = 65_536


class Asked(NamedTuple):
    """One request."""

    method: str
    target: str
    body: bytes


def answer(body: bytes, status: str = "200 OK") -> bytes:
    """A whole answer's bytes."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(body: bytes) -> bytes:
    return f"{len(body):x}\r\n".encode() + body + b"\r\n"


async def read(stream: SocketStream, http: h11.Connection) -> Asked | None:
    """The next request; None: the peer is gone."""
    head, body = None, b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            try:
                http.receive_data(await stream.receive(CHUNK))
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return None
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return Asked(head.method.decode(), head.target.decode(), body)
        else:
            return None


class Gate:
    """Holds what comes to it until it is opened, so that a test can have something else happen first."""

    def __init__(self) -> None:
        self.reached, self.opened = anyio.Event(), anyio.Event()

    async def pass_through(self) -> None:
        self.reached.set()
        await self.opened.wait()


Serve = Callable[[Asked, SocketStream], Awaitable[bool]]


@asynccontextmanager
async def serving(serve: Serve, port: int = 0):
    """Open a port and hand each request to `serve`, which writes the answer and says whether the connection stays."""
    made = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)

    async def attend(stream: SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        try:
            while (asked := await read(stream, http)) is not None and await serve(asked, stream):
                http = h11.Connection(h11.SERVER)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, h11.RemoteProtocolError):
            pass
        finally:
            await anyio.aclose_forcefully(stream)

    async with made, anyio.create_task_group() as group:
        group.start_soon(made.serve, attend)
        yield made.extra(anyio.abc.SocketAttribute.local_port)
        group.cancel_scope.cancel()


class Watched:
    """A service with watches: long answers that lines are told to until they are cut.

    A subclass gives `beat`, the sign of life, how often it comes (`every`, s), and serves requests in `serve`.
    """

    beat, every = b"", 1.0

    def __init__(self) -> None:
        self.watchers: set[SocketStream] = set()
        self.silent = False  # signs of life stop, and connections stay open
        self.speaking = anyio.Lock()  # a line is written whole before the next one

    async def serve(self, asked: Asked, stream: SocketStream) -> bool:
        raise NotImplementedError

    @asynccontextmanager
    async def running(self, port: int = 0):
        """Its port."""
        async with serving(self.serve, port) as opened, anyio.create_task_group() as group:
            group.start_soon(self._beat)
            yield opened
            group.cancel_scope.cancel()

    async def say(self, line: bytes) -> None:
        """A line as it is to all watchers."""
        await self.drip(line + b"\n")

    async def drip(self, data: bytes) -> None:
        """Bytes as they are to all watchers."""
        async with self.speaking:
            for stream in list(self.watchers):
                try:
                    await stream.send(chunk(data))
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    self.watchers.discard(stream)

    async def cut(self) -> None:
        """Cut all watches."""
        for stream in list(self.watchers):
            await anyio.aclose_forcefully(stream)

    async def watch(self, stream: SocketStream, lines: list[bytes]) -> None:
        """Answer with these lines, and keep the answer open until a further byte or the end comes."""
        await stream.send(HEAD + b"".join(chunk(line + b"\n") for line in lines))
        self.watchers.add(stream)
        with suppress(anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            await stream.receive(1)
        self.watchers.discard(stream)

    async def _beat(self) -> None:
        while True:
            await anyio.sleep(self.every)
            if not self.silent:
                await self.say(self.beat)
