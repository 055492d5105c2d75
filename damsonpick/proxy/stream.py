"""Sockets of the proxy: asyncio transports that are read by pull and written with back-pressure.

A proxy waits several times for each request, almost always briefly. A cancel scope for each wait was a fifth of the
cost of a request (see docs/design/proxy.md); here a side of a stream has one timer that is moved only when a
deadline comes nearer, and a wait that need not wait costs a comparison. Tasks stay anyio's.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
from collections.abc import Callable

TIMER_TOLERANCE_S = 0.001  # a timer that fires this early is in time
READ_AHEAD_BYTES = 262_144  # read and not yet taken, before reading is paused
FLUSH_S = 2.0  # in which the last bytes of a closed stream may still leave
LINGER_S, LINGER_BYTES = 1.0, 4_194_304  # read and dropped after a rejection, so that a reset does not overtake it


class ConnectionLostError(Exception):
    """The connection is gone: reset, or closed on this side."""


class StreamWait:
    """The wait of one side of a stream. `until` is the loop's time in seconds.

    One timer serves all waits of the side: it is moved only when a deadline comes nearer. A timer that fires while
    nobody waits, or too early for the present wait, is armed again by that wait or by itself.
    """

    __slots__ = ("armed_for", "future", "loop", "timer", "until")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Begin without a waiter on an event loop."""
        self.loop = loop
        self.until = 0.0
        self.armed_for = 0.0
        self.future: asyncio.Future[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def wait(self, until: float) -> None:
        """Wait until woken.

        Raises:
            TimeoutError: the time has come first.
            Exception: whatever the wait was woken with.
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
        """End the wait that is under way, if there is one, with an error if one is given."""
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
        """No further wait follows."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class Stream(asyncio.Protocol):
    """One connection."""

    transport: asyncio.Transport

    def __init__(self, on_connected: Callable[[Stream], object] | None = None) -> None:
        """Begin before the connection is open.

        Args:
            on_connected: called with the stream once it is open.
        """
        self.on_connected = on_connected
        self.on_peer_closed: Callable[[], None] | None = None  # in order or not
        self.data = b""  # received and not yet taken
        self.eof = False
        self.lost = False
        self.reading_paused = False
        self.writing_paused = False

    # -- asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The connection is open."""
        self.transport = transport  # type: ignore[assignment]
        loop = asyncio.get_running_loop()
        self.time, self.reading, self.writing = loop.time, StreamWait(loop), StreamWait(loop)
        self._poll = select.poll()
        self._poll.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        if self.on_connected is not None:
            self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Bytes have come; reading is paused while too many are not taken."""
        self.data = self.data + data if self.data else data
        if len(self.data) > READ_AHEAD_BYTES and not self.reading_paused:
            self.reading_paused = True
            self.transport.pause_reading()
        self.reading.wake()

    def eof_received(self) -> bool:
        """The peer sends no more; returns True, as the answer may still be written."""
        self.eof = True
        self.reading.wake()
        if self.on_peer_closed is not None:
            self.on_peer_closed()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """The connection is gone."""
        self.lost = True
        for side in (self.reading, self.writing):
            side.wake()
            side.cancel_timer()
        if self.on_peer_closed is not None:
            self.on_peer_closed()

    def pause_writing(self) -> None:
        """The write buffer is full."""
        self.writing_paused = True

    def resume_writing(self) -> None:
        """The write buffer has room again."""
        self.writing_paused = False
        self.writing.wake()

    # -- the proxy's side

    def peer(self) -> str:
        """The other side's address, without port."""
        address = self.transport.get_extra_info("peername")
        return str(address[0]) if isinstance(address, tuple) else "?"

    async def receive(self, until: float) -> bytes:
        """What has come; b"" at an orderly end.

        Raises:
            ConnectionLostError: the connection is gone and all that came was read.
            TimeoutError: nothing came.
        """
        while not self.data:
            if self.eof:
                return b""
            if self.lost:
                raise ConnectionLostError
            await self.reading.wait(until)
        data, self.data = self.data, b""
        if self.reading_paused:
            self.reading_paused = False
            if not self.lost:
                self.transport.resume_reading()
        return data

    async def send(self, data: bytes, until: float) -> None:
        """Write; returns when the other side has taken nearly all of it.

        Raises:
            ConnectionLostError: the connection is gone.
            TimeoutError: the other side takes nothing.
        """
        if self.lost or self.transport.is_closing():
            raise ConnectionLostError
        self.transport.write(data)
        while self.writing_paused:
            await self.writing.wait(until)
            if self.lost:
                raise ConnectionLostError

    def is_idle(self) -> bool:
        """Whether nothing came meanwhile: a request must not be lost on a connection that the server has closed."""
        return not (self.data or self.eof or self.lost or self.transport.is_closing() or self._poll.poll(0))

    def close(self) -> None:
        """Close once what was written has left, or soon after."""
        if self.lost:
            return
        self.transport.close()
        if self.transport.get_write_buffer_size():
            self.reading.loop.call_later(FLUSH_S, self.transport.abort)

    def abort(self) -> None:
        """Close at once; what was not written is dropped."""
        self.transport.abort()

    async def linger(self) -> None:
        """End the own side, then read and drop for a moment what the other is still sending."""
        left = LINGER_BYTES
        until = self.time() + LINGER_S
        with contextlib.suppress(ConnectionLostError, TimeoutError, OSError, RuntimeError):
            self.transport.write_eof()
            while left > 0:
                data = await self.receive(until)
                if not data:
                    return
                left -= len(data)


async def dial(host: str, port: int) -> Stream:
    """A stream to a server.

    Raises:
        OSError: no connection.
    """
    _, stream = await asyncio.get_running_loop().create_connection(Stream, host, port)
    return stream
