"""A small HTTP/1.1 server for fakes. A fake can break off a response at any byte.

h11 parses the requests. This module formats the responses itself, so that a fake can send partial or invalid ones.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from typing import ClassVar, NamedTuple

import anyio
import h11
from anyio.abc import SocketStream

READ_BYTES = 65_536
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
CONNECTION_ENDED = (anyio.BrokenResourceError, anyio.ClosedResourceError)


class Request(NamedTuple):
    """An HTTP request with its whole body."""

    method: str
    target: str
    body: bytes


def response_bytes(body: bytes, status: str = "200 OK") -> bytes:
    """Return a complete response with a Content-Length header."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


def chunk_bytes(body: bytes) -> bytes:
    """Return one chunk of a response with chunked transfer encoding."""
    return f"{len(body):x}\r\n".encode() + body + b"\r\n"


async def read_request(stream: SocketStream, http: h11.Connection) -> Request | None:
    """Return the next request, or None if the peer has closed the connection."""
    head, body = None, b""
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            try:
                http.receive_data(await stream.receive(READ_BYTES))
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return None
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            return Request(head.method.decode(), head.target.decode(), body)
        else:
            return None


class Gate:
    """Blocks exchanges until it is opened, so that a test can make another event happen first.

    Attributes:
        reached: Set once an exchange waits at the gate.
        opened: Setting this event lets all waiting exchanges continue.
    """

    def __init__(self) -> None:
        """Create a closed gate."""
        self.reached, self.opened = anyio.Event(), anyio.Event()

    async def wait(self) -> None:
        """Wait until the gate is opened."""
        self.reached.set()
        await self.opened.wait()


Handler = Callable[[Request, SocketStream], Awaitable[bool]]


@asynccontextmanager
async def serving(handler: Handler, port: int = 0) -> AsyncIterator[int]:
    """Open a listening port on loopback and serve its connections.

    Args:
        handler: Writes the response to a request and returns whether the connection stays open.
        port: Port to listen on, or 0 to let the operating system choose one.

    Yields:
        The port that was opened.
    """
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=port)

    async def serve_connection(stream: SocketStream) -> None:
        try:
            await _serve_requests(stream, handler)
        except (*CONNECTION_ENDED, h11.RemoteProtocolError):
            pass
        finally:
            await anyio.aclose_forcefully(stream)

    async with listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve_connection)
        yield listener.extra(anyio.abc.SocketAttribute.local_port)
        group.cancel_scope.cancel()


async def _serve_requests(stream: SocketStream, handler: Handler) -> None:
    stays_open = True
    while stays_open:
        request = await read_request(stream, h11.Connection(h11.SERVER))
        if request is None:
            return
        stays_open = await handler(request, stream)


class WatchServer:
    """A server with watches: chunked responses to which it appends lines until the connection is closed.

    A subclass implements `serve`.

    Attributes:
        heartbeat_line: Line sent on each watch at regular intervals.
        heartbeat_interval_s: Seconds between two heartbeat lines.
        watchers: Connections with an open watch.
        silent: Whether heartbeats are suppressed while the connections stay open.
    """

    heartbeat_line: ClassVar[bytes] = b""
    heartbeat_interval_s: ClassVar[float] = 1.0

    def __init__(self) -> None:
        """Create a server without open watches."""
        self.watchers: set[SocketStream] = set()
        self.silent = False
        self._write_lock = anyio.Lock()  # one send completes before the next one starts, so lines never interleave

    async def serve(self, request: Request, stream: SocketStream) -> bool:
        """Respond to a request. Return whether the connection stays open."""
        raise NotImplementedError

    @asynccontextmanager
    async def running(self, port: int = 0) -> AsyncIterator[int]:
        """Serve on a port and yield its number. With port 0 the operating system chooses one."""
        async with serving(self.serve, port) as opened_port, anyio.create_task_group() as group:
            group.start_soon(self._send_heartbeats)
            yield opened_port
            group.cancel_scope.cancel()

    async def send_line(self, line: bytes) -> None:
        """Send a line, with its line feed, on all watches."""
        await self.send_bytes(line + b"\n")

    async def send_bytes(self, data: bytes) -> None:
        """Send bytes on all watches as one chunk."""
        async with self._write_lock:
            for stream in list(self.watchers):
                try:
                    await stream.send(chunk_bytes(data))
                except CONNECTION_ENDED:
                    self.watchers.discard(stream)

    async def cut_watches(self) -> None:
        """Close the connections of all watches."""
        for stream in list(self.watchers):
            await anyio.aclose_forcefully(stream)

    async def watch(self, stream: SocketStream, lines: list[bytes]) -> None:
        """Start a response with `lines`, and register the connection so that later lines are sent on it.

        The response stays open until the peer sends a byte or closes the connection.
        """
        first_chunks = [chunk_bytes(line + b"\n") for line in lines]
        await stream.send(CHUNKED_HEAD + b"".join(first_chunks))
        self.watchers.add(stream)
        with suppress(anyio.EndOfStream, *CONNECTION_ENDED):
            await stream.receive(1)
        self.watchers.discard(stream)

    async def _send_heartbeats(self) -> None:
        while True:
            await anyio.sleep(self.heartbeat_interval_s)
            if not self.silent:
                await self.send_line(self.heartbeat_line)
