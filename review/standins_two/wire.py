"""HTTP/1.1 and frames on loopback sockets, as the platform's protocol page describes them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

HOST = "127.0.0.1"
BACKLOG = 256
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


class Request(NamedTuple):
    """One HTTP request."""

    method: str
    target: str
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        length = 0
        for line in head.split("\r\n")[1:]:
            name, _, value = line.partition(":")
            if name.strip().lower() == "content-length":
                length = int(value)
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    method, target, _ = head.split("\r\n")[0].split(" ")
    return Request(method, target, body)


def answer(body: dict[str, Any], status: str = "200 OK") -> bytes:
    """Return a complete response."""
    data = json.dumps(body).encode()
    head = f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
    return head.encode() + data


def chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def frame(message: dict[str, Any]) -> bytes:
    """Return one message with its length, least significant byte first."""
    body = json.dumps(message).encode()
    return len(body).to_bytes(4, "little") + body


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Service:
    """A listening socket on loopback whose connections can be reset, and which can be cut off.

    Attributes:
        port: Port at which it listens.
        writers: Its open connections.
        is_cut: Whether no new connection comes up.
    """

    def __init__(self, handler: Handler) -> None:
        """Create a service that does not listen yet."""
        self.port = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self.is_cut = False
        self._handler = handler
        self._socket = socket.socket()
        self._accepting: asyncio.Task[None] | None = None
        self._fillers: list[socket.socket] = []
        self._serving: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on a free port."""
        self._socket.bind((HOST, 0))
        self._socket.setblocking(False)
        self._socket.listen(BACKLOG)
        self.port = self._socket.getsockname()[1]
        self._accepting = asyncio.create_task(self._accept())

    def close(self) -> None:
        """Take no more connections."""
        if self._accepting is not None:
            self._accepting.cancel()
        self._socket.close()

    def cut(self) -> None:
        """Let no new connection come up: the queue of the listening socket is full, and nobody accepts."""
        self.is_cut = True
        if self._accepting is not None:
            self._accepting.cancel()
        self._socket.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((HOST, self.port))
            self._fillers.append(filler)

    def restore(self) -> None:
        """Accept connections again; those that were open are reset."""
        self.is_cut = False
        self.reset_connections()
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._socket.listen(BACKLOG)
        self._accepting = asyncio.create_task(self._accept())

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            connection, _ = await loop.sock_accept(self._socket)
            reader, writer = await asyncio.open_connection(sock=connection)
            task = asyncio.create_task(self._serve(reader, writer))
            self._serving.add(task)
            task.add_done_callback(self._serving.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self._handler(reader, writer)
        finally:
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.transport.abort()


class Watch:
    """One open watch: a chunked answer with a line for each event.

    Where `piece` is given, the bytes arrive in pieces: it bounds their length in bytes, `gap` the seconds between
    two of them.
    """

    def __init__(
        self,
        writer: asyncio.StreamWriter,
        piece: tuple[int, int] = (0, 0),
        gap: tuple[float, float] = (0.0, 0.0),
    ) -> None:
        """Start the answer."""
        self.writer = writer
        self._piece, self._gap = piece, gap
        self._waiting = bytearray()
        self._sending: asyncio.Task[None] | None = None
        writer.write(CHUNKED_HEAD)

    def line(self, data: bytes) -> None:
        """Write one line."""
        if not self._piece[1]:
            self._write(chunk(data + b"\n"))
            return
        self._waiting += chunk(data + b"\n")
        if self._sending is None or self._sending.done():
            self._sending = asyncio.create_task(self._send_pieces())

    async def _send_pieces(self) -> None:
        while self._waiting and self.is_open():
            size = random.randint(*self._piece)
            self._write(bytes(self._waiting[:size]))
            del self._waiting[:size]
            await asyncio.sleep(random.uniform(*self._gap))

    def _write(self, data: bytes) -> None:
        with contextlib.suppress(ConnectionError, RuntimeError):
            self.writer.write(data)

    def is_open(self) -> bool:
        """Return whether the connection is open."""
        return not self.writer.transport.is_closing()
