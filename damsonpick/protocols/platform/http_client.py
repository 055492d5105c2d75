"""Connections to the registry and to discovery: dial, send, receive, and requests over a connection kept alive."""

from __future__ import annotations

from typing import NamedTuple

import anyio
from anyio.abc import SocketStream

from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.errors import TransportError
from damsonpick.protocols.platform.http_response import ResponseReader, build_request
from damsonpick.runtime.sockets import idle
from damsonpick.runtime.timeouts import complete_within

READ_BYTES = 65_536
MIN_RECEIVE_TIMEOUT_S = 0.05  # for bytes that arrived during a long step of the event loop, although the time is up
MAX_LATE_RECEIVES = 2  # after the time is up, for the same reason
STREAM_ERRORS = (  # a TimeoutError is an OSError
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class HttpResponse(NamedTuple):
    """A complete response."""

    status: int
    body: bytes


async def dial(address: Address, timeout_s: float) -> SocketStream:
    """Open a connection.

    Raises:
        TransportError: it cannot be opened in time.
    """
    try:
        return await complete_within(
            timeout_s, lambda: anyio.connect_tcp(address.host, address.port), anyio.aclose_forcefully
        )
    except TimeoutError:
        raise TransportError("connect", f"not within {timeout_s:g} s") from None
    except OSError as error:
        raise TransportError("connect", str(error)) from None


async def receive(stream: SocketStream, timeout_s: float) -> bytes:
    """Return the next bytes.

    The wait is two waits of half the time: after a long step of the event loop a timeout is handled before the bytes
    that have arrived already, which the second wait then finds.

    Raises:
        TransportError: none arrive in time, or the peer has closed.
    """
    for _ in range(2):
        with anyio.move_on_after(timeout_s / 2):
            try:
                return await stream.receive(READ_BYTES)
            except STREAM_ERRORS as error:
                raise TransportError("receive", f"closed: {type(error).__name__}") from None
    raise TransportError("receive", f"silent for {timeout_s:g} s")


async def send(stream: SocketStream, data: bytes, timeout_s: float) -> None:
    """Write all bytes.

    Raises:
        TransportError: the peer does not take them in time, or has closed.
    """
    try:
        with anyio.fail_after(timeout_s):
            await stream.send(data)
    except STREAM_ERRORS as error:
        raise TransportError("send", type(error).__name__) from None


class HttpConnection:
    """Sends requests over one connection that is kept alive; a stale one is never written to."""

    def __init__(self, address: Address, max_idle_s: float) -> None:
        """Start without a connection.

        Args:
            address: of the server.
            max_idle_s: for which an idle connection is used again; less than the server keeps it.
        """
        self.address = address
        self.max_idle_s = max_idle_s
        self._stream: SocketStream | None = None
        self._last_used_s = 0.0

    async def connect(self, timeout_s: float) -> None:
        """Have a connection that can be written to.

        Raises:
            TransportError: it cannot be opened; nothing was sent.
        """
        if self._stream is not None and self._is_stale(self._stream):
            await self.close()
        if self._stream is None:
            self._stream = await dial(self.address, timeout_s)

    def _is_stale(self, stream: SocketStream) -> bool:
        return anyio.current_time() - self._last_used_s > self.max_idle_s or not idle(stream)

    async def request(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpResponse:
        """Send a request and return its response; call `connect` first.

        Args:
            method: of the request.
            path: of the request.
            body: of the request.
            timeout_s: for sending, and for the whole response after that.

        Raises:
            TransportError: the request may or may not have been carried out.
        """
        stream = self._stream
        if stream is None:
            raise TransportError("send", "not connected")
        reader = ResponseReader()
        reusable = False
        try:
            await send(stream, build_request(method, path, self.address, body), timeout_s)
            await self._read_response(stream, reader, timeout_s)
            reusable = reader.keeps_alive()
            self._last_used_s = anyio.current_time()
            return HttpResponse(reader.status(), bytes(reader.body))
        finally:
            if not reusable:
                await self.close()

    async def _read_response(self, stream: SocketStream, reader: ResponseReader, timeout_s: float) -> None:
        """Read to the end of the response; one that comes byte by byte has no more time than another."""
        deadline_s = anyio.current_time() + timeout_s
        late_receives = 0
        while not reader.complete:
            remaining_s = deadline_s - anyio.current_time()
            if remaining_s <= 0:
                late_receives += 1
            if late_receives > MAX_LATE_RECEIVES:
                raise TransportError("receive", f"no whole response within {timeout_s:g} s")
            reader.feed(await receive(stream, max(remaining_s, MIN_RECEIVE_TIMEOUT_S)))

    async def close(self) -> None:
        """Close the connection, if there is one."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)
