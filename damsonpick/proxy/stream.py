"""Sockets of the proxy: asyncio transports whose callers pull received data and write with back-pressure.

The proxy waits several times during each request, almost always briefly. A cancel scope for each wait took a fifth of
the cost of a request (see docs/design/proxy.md). Instead, each direction of a stream has one timer, which is set again
only if a new deadline is earlier, and a wait whose condition already holds costs one comparison. Tasks are anyio tasks.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
from collections.abc import Callable
from typing import ClassVar

TIMER_TOLERANCE_S = 0.001  # a timer that fires early by at most this time counts as expired
READ_BYTES = 65_536  # most bytes that are received at once
READ_AHEAD_BYTES = 65_536  # reading is paused while a stream has more unread bytes than this
MAX_UNREAD_BYTES = 64 << 20  # while all streams have more unread bytes than this, each is paused that has any
FLUSH_S = 2.0  # time to send the last bytes of a closed stream before it is aborted
# After a rejection, the client's data is read and dropped within these limits, so that no reset overtakes the response.
LINGER_S, LINGER_BYTES = 1.0, 4_194_304
MAX_LINGERING = 32  # streams of the process that do so at a time; others are closed at once


class ConnectionLostError(Exception):
    """Raised when the connection is lost: it was reset, or closed on this side."""


class StreamWait:
    """Lets a task wait in one direction of a stream, up to a deadline.

    One timer serves all waits of the direction. A wait sets the timer if it is not set, or if it is set to a time after
    the wait's deadline. A timer that fires while no task waits is not set again until the next wait. A timer that fires
    more than `TIMER_TOLERANCE_S` before the current wait's deadline is set again to this deadline.

    Attributes:
        loop: Event loop of the stream.
        until: Deadline of the current or last wait, in seconds on the clock of the event loop.
        armed_for: Time to which the timer was last set, on the same clock.
        future: Future that the waiting task awaits. None if no task waits.
        timer: The timer. None if it is not set.
    """

    __slots__ = ("armed_for", "future", "loop", "timer", "until")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Create a wait on an event loop, without a waiting task and without a timer."""
        self.loop = loop
        self.until = 0.0
        self.armed_for = 0.0
        self.future: asyncio.Future[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def wait(self, until: float) -> None:
        """Wait until `wake` is called.

        Args:
            until: Deadline, in seconds on the clock of the event loop.

        Raises:
            TimeoutError: The deadline passed first.
            Exception: The error that was passed to `wake`.
        """
        self.until = until
        if self.timer is None or self.armed_for > until:
            if self.timer is not None:
                self.timer.cancel()
            self._arm()
        self.future = self.loop.create_future()
        try:
            await self.future
        finally:
            self.future = None

    def wake(self, error: Exception | None = None) -> None:
        """End the current wait, if there is one. If an error is given, the wait raises it."""
        future = self.future
        if future is None or future.done():
            return
        if error is None:
            future.set_result(None)
        else:
            future.set_exception(error)

    def _arm(self) -> None:
        self.armed_for = self.until
        self.timer = self.loop.call_at(self.until, self._on_timer)

    def _on_timer(self) -> None:
        self.timer = None
        if self.future is None:
            return
        if self.loop.time() >= self.until - TIMER_TOLERANCE_S:
            self.wake(TimeoutError())
        else:
            self._arm()

    def cancel_timer(self) -> None:
        """Cancel the timer, because no further wait follows."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class Stream(asyncio.BufferedProtocol):
    """One TCP connection, to a client or a server.

    Attributes:
        unread_bytes: Received bytes of all streams of the process that `receive` has not returned yet.
        lingering: Number of streams of the process whose data is read and dropped.
    """

    transport: asyncio.Transport
    unread_bytes: ClassVar[int] = 0
    lingering: ClassVar[int] = 0
    # All streams receive into one buffer: the event loop calls `buffer_updated` before it reads from another socket.
    _buffer: ClassVar[bytearray] = bytearray(READ_BYTES)

    def __init__(self, on_connected: Callable[[Stream], object] | None = None) -> None:
        """Create a stream whose connection is not open yet.

        Args:
            on_connected: Called with the stream when the connection is open.
        """
        self.on_connected = on_connected
        # Called when the peer closes the connection or the connection is lost.
        self.on_peer_closed: Callable[[], None] | None = None
        self.data = b""  # received bytes that `receive` has not returned yet
        self.eof = False
        self.lost = False
        self.reading_paused = False
        self.writing_paused = False

    # -- callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the opening of the connection."""
        self.transport = transport  # type: ignore[assignment]
        loop = asyncio.get_running_loop()
        self.time, self.reading, self.writing = loop.time, StreamWait(loop), StreamWait(loop)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        self._hang_up_poll = select.poll()
        self._hang_up_poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
        if self.on_connected is not None:
            self.on_connected(self)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer into which the event loop receives bytes."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle received bytes. Reading is paused while too many bytes are unread."""
        data = bytes(memoryview(self._buffer)[:nbytes])
        self.data = self.data + data if self.data else data
        Stream.unread_bytes += nbytes
        has_many = len(self.data) > READ_AHEAD_BYTES or Stream.unread_bytes > MAX_UNREAD_BYTES
        if has_many and not self.reading_paused:
            self.reading_paused = True
            self.transport.pause_reading()
        self.reading.wake()

    def eof_received(self) -> bool:
        """Handle the end of the peer's data. Return True, so that a response may still be written."""
        self.eof = True
        self.reading.wake()
        if self.on_peer_closed is not None:
            self.on_peer_closed()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the loss or the closing of the connection."""
        self.lost = True
        for side in (self.reading, self.writing):
            side.wake()
            side.cancel_timer()
        if self.on_peer_closed is not None:
            self.on_peer_closed()

    def pause_writing(self) -> None:
        """Handle a full write buffer."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """Handle free space in the write buffer."""
        self.writing_paused = False
        self.writing.wake()

    # -- interface for the proxy

    def peer(self) -> str:
        """Return the address of the peer without its port, or '?' if it has none."""
        address = self.transport.get_extra_info("peername")
        return str(address[0]) if isinstance(address, tuple) else "?"

    async def receive(self, until: float) -> bytes:
        """Return the received data, or b"" if the peer ended the connection in order.

        Raises:
            ConnectionLostError: The connection is lost and all received data was returned.
            TimeoutError: No data arrived in time.
        """
        while not self.data:
            if self.eof:
                return b""
            if self.lost:
                raise ConnectionLostError
            await self.reading.wait(until)
        data = self._take_unread()
        if self.reading_paused:
            self.reading_paused = False
            if not self.lost:
                self.transport.resume_reading()
        return data

    async def send(self, data: bytes, until: float) -> None:
        """Write data, and wait while the write buffer is full.

        Raises:
            ConnectionLostError: The connection is lost or closed.
            TimeoutError: The write buffer stayed full until `until`, because the peer does not read.
        """
        if self.lost or self.transport.is_closing():
            raise ConnectionLostError
        self.transport.write(data)
        while self.writing_paused:
            await self.writing.wait(until)
            if self.lost:
                raise ConnectionLostError

    def _take_unread(self) -> bytes:
        data, self.data = self.data, b""
        Stream.unread_bytes -= len(data)
        return data

    def is_hung_up(self) -> bool:
        """Return whether the peer has closed the connection or its sending side, even if its data is not read yet."""
        return self.eof or self.lost or self.transport.is_closing() or bool(self._hang_up_poll.poll(0))

    def is_idle(self) -> bool:
        """Return whether the connection is open and has received nothing since its last use.

        The socket itself is polled as well, so that no request is sent on a connection that the server has closed.
        """
        return not (self.data or self.eof or self.lost or self.transport.is_closing() or self._poll.poll(0))

    def close(self) -> None:
        """Close the connection when all written data is sent, or abort it after `FLUSH_S`. Drop unread data."""
        self._take_unread()
        if self.lost:
            return
        self.transport.close()
        if self.transport.get_write_buffer_size():
            self.reading.loop.call_later(FLUSH_S, self.transport.abort)

    def abort(self) -> None:
        """Close the connection at once and drop unread and unsent data."""
        self._take_unread()
        self.transport.abort()

    async def linger(self) -> None:
        """End the sending side, then read and drop the peer's data until the peer closes the connection.

        Reading stops earlier after `LINGER_S` or `LINGER_BYTES`. Nothing is read while `MAX_LINGERING` others do so.
        """
        if Stream.lingering >= MAX_LINGERING:
            return
        Stream.lingering += 1
        try:
            await self._drop_received()
        finally:
            Stream.lingering -= 1

    async def _drop_received(self) -> None:
        remaining = LINGER_BYTES
        until = self.time() + LINGER_S
        with contextlib.suppress(ConnectionLostError, TimeoutError, OSError, RuntimeError):
            self.transport.write_eof()
            while remaining > 0:
                data = await self.receive(until)
                if not data:
                    return
                remaining -= len(data)


async def dial(host: str, port: int) -> Stream:
    """Connect to a server and return the stream.

    Raises:
        OSError: The connection cannot be opened.
    """
    _, stream = await asyncio.get_running_loop().create_connection(Stream, host, port)
    return stream
