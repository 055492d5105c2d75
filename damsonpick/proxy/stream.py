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

READ_AHEAD_BYTES = 262_144  # read and not yet taken, before reading is paused
FLUSH_S = 2.0  # in which the last bytes of a closed stream may still leave
LINGER_S, LINGER_BYTES = 1.0, 4_194_304  # read and dropped after a rejection, so that a reset does not overtake it


class Lost(Exception):
    """The connection is gone: reset, or closed on this side."""


class Wait:
    """One side's wait. `until` is the loop's time, in s."""

    __slots__ = ("at", "future", "loop", "timer", "until")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.until, self.at = loop, 0.0, 0.0
        self.future: asyncio.Future[None] | None = None
        self.timer: asyncio.TimerHandle | None = None

    async def wait(self, until: float) -> None:
        """Until rung.

        Raises:
            TimeoutError: the time has come first.
            Exception: whatever it was rung with.
        """
        self.until = until
        if self.timer is None or self.at > until:
            if self.timer is not None:
                self.timer.cancel()
            self._arm()
        self.future = self.loop.create_future()
        try:
            await self.future
        finally:
            self.future = None

    def ring(self, error: Exception | None = None) -> None:
        future = self.future
        if future is None or future.done():
            return
        if error is None:
            future.set_result(None)
        else:
            future.set_exception(error)

    def _arm(self) -> None:
        self.at = self.until
        self.timer = self.loop.call_at(self.until, self._tick)

    def _tick(self) -> None:
        self.timer = None
        if self.future is None:
            return  # nobody waits: the next wait arms it again
        if self.loop.time() >= self.until - 0.001:
            self.ring(TimeoutError())
        else:
            self._arm()

    def stop(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class Stream(asyncio.Protocol):
    """One connection.

    Args:
        made: called with the stream once it stands.
    """

    transport: asyncio.Transport

    def __init__(self, made: Callable[[Stream], object] | None = None) -> None:
        self.made = made
        self.data, self.eof, self.lost = b"", False, False
        self.paused = self.blocked = False
        self.gone: Callable[[], None] | None = None  # told when the peer closes, in order or not

    # -- asyncio's side

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        loop = asyncio.get_running_loop()
        self.time, self.reading, self.writing = loop.time, Wait(loop), Wait(loop)
        self.watch = select.poll()
        self.watch.register(transport.get_extra_info("socket").fileno(), select.POLLIN)
        if self.made is not None:
            self.made(self)

    def data_received(self, data: bytes) -> None:
        self.data = self.data + data if self.data else data
        if len(self.data) > READ_AHEAD_BYTES and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        self.reading.ring()

    def eof_received(self) -> bool:
        self.eof = True
        self.reading.ring()
        if self.gone is not None:
            self.gone()
        return True  # the answer may still be written

    def connection_lost(self, error: Exception | None) -> None:
        self.lost = True
        for side in (self.reading, self.writing):
            side.ring()
            side.stop()
        if self.gone is not None:
            self.gone()

    def pause_writing(self) -> None:
        self.blocked = True

    def resume_writing(self) -> None:
        self.blocked = False
        self.writing.ring()

    # -- the proxy's side

    def peer(self) -> str:
        """The other side's address, without port."""
        address = self.transport.get_extra_info("peername")
        return str(address[0]) if isinstance(address, tuple) else "?"

    async def receive(self, until: float) -> bytes:
        """What has come; b"" at an orderly end.

        Raises:
            Lost: the connection is gone and all that came was read.
            TimeoutError: nothing came.
        """
        while not self.data:
            if self.eof:
                return b""
            if self.lost:
                raise Lost
            await self.reading.wait(until)
        data, self.data = self.data, b""
        if self.paused:
            self.paused = False
            if not self.lost:
                self.transport.resume_reading()
        return data

    async def send(self, data: bytes, until: float) -> None:
        """Write; returns when the other side has taken nearly all of it.

        Raises:
            Lost, TimeoutError
        """
        if self.lost or self.transport.is_closing():
            raise Lost
        self.transport.write(data)
        while self.blocked:
            await self.writing.wait(until)
            if self.lost:
                raise Lost

    def idle(self) -> bool:
        """Whether nothing came meanwhile: a server that closed an idle connection must not eat a request."""
        return not (self.data or self.eof or self.lost or self.transport.is_closing() or self.watch.poll(0))

    def close(self) -> None:
        """Close once what was written has left, or soon after."""
        if self.lost:
            return
        self.transport.close()
        if self.transport.get_write_buffer_size():
            self.reading.loop.call_later(FLUSH_S, self.transport.abort)

    def abort(self) -> None:
        self.transport.abort()

    async def linger(self) -> None:
        """End the own side, then read and drop for a moment what the other is still sending."""
        left = LINGER_BYTES
        until = self.time() + LINGER_S
        with contextlib.suppress(Lost, TimeoutError, OSError, RuntimeError):
            self.transport.write_eof()
            while left > 0 and (data := await self.receive(until)):
                left -= len(data)


async def dial(host: str, port: int) -> Stream:
    """A stream to a server.

    Raises:
        OSError: no connection.
    """
    _, stream = await asyncio.get_running_loop().create_connection(Stream, host, port)
    return stream
