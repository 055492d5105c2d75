"""Accepted TCP connections that read from their socket only when a caller asks for data.

A transport of the event loop reads ahead: until it is paused, it takes whatever the peer sends, and a stream that anyio
accepts is paused only while its reader waits. A peer that never lets the reader wait therefore fills the memory. Here
nothing is read ahead, so that unread data stays in the buffers of the operating system, and the peer has to wait.
"""

from __future__ import annotations

import contextlib
import select
import socket

import anyio
from anyio.abc import ByteStream, SocketAttribute, SocketListener

DEFAULT_READ_BYTES = 65_536


class PulledSocketStream(ByteStream):
    """A connected TCP socket. Each direction may be used by one task at a time."""

    def __init__(self, connected: socket.socket) -> None:
        """Take over a connected socket."""
        connected.setblocking(False)
        connected.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket = connected
        self._closed = False

    def peer_host(self) -> str:
        """Return the address of the peer without its port."""
        return str(self._socket.getpeername()[0])

    async def receive(self, max_bytes: int = DEFAULT_READ_BYTES) -> bytes:
        """Return the next bytes, at most `max_bytes`. Other tasks run in between, even if data has arrived already.

        Raises:
            anyio.EndOfStream: The peer has ended its sending side.
            anyio.BrokenResourceError: The connection has failed.
            anyio.ClosedResourceError: The stream was closed on this side.
        """
        while True:
            self._check_open()
            await anyio.wait_readable(self._socket)
            try:
                data = self._socket.recv(max_bytes)
            except (BlockingIOError, InterruptedError):
                continue
            except OSError as error:
                raise anyio.BrokenResourceError from error
            if not data:
                raise anyio.EndOfStream
            return data

    async def send(self, item: bytes) -> None:
        """Send all bytes, as fast as the peer reads them.

        Raises:
            anyio.BrokenResourceError: The connection has failed.
            anyio.ClosedResourceError: The stream was closed on this side.
        """
        await anyio.lowlevel.checkpoint()
        rest = memoryview(item)
        while rest:
            self._check_open()
            try:
                rest = rest[self._socket.send(rest) :]
            except (BlockingIOError, InterruptedError):
                await anyio.wait_writable(self._socket)
            except OSError as error:
                raise anyio.BrokenResourceError from error

    def is_reset(self) -> bool:
        """Return whether the peer has reset the connection, so that it reads no answer any more."""
        if self._closed:
            return True
        poller = select.poll()
        poller.register(self._socket, 0)
        return bool(poller.poll(0))

    async def send_eof(self) -> None:
        """End the sending side."""
        self._check_open()
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)

    async def aclose(self) -> None:
        """Close the connection. No task may wait on it."""
        if not self._closed:
            self._closed = True
            self._socket.close()
        await anyio.lowlevel.checkpoint()

    def _check_open(self) -> None:
        if self._closed:
            raise anyio.ClosedResourceError


class PulledSocketListener:
    """Accepts the connections of a listening TCP socket as `PulledSocketStream`."""

    def __init__(self, listener: SocketListener) -> None:
        """Take over a listener that is open."""
        self._listener = listener
        self._socket: socket.socket = listener.extra(SocketAttribute.raw_socket)

    async def accept(self) -> PulledSocketStream:
        """Accept the next connection.

        Raises:
            OSError: The connection could not be accepted.
        """
        while True:
            await anyio.wait_readable(self._socket)
            try:
                connected, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError):
                continue
            return PulledSocketStream(connected)

    async def aclose(self) -> None:
        """Close the listening socket."""
        await self._listener.aclose()
