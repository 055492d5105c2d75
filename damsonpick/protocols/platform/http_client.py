"""Client connections to the registry and to discovery, and HTTP requests over a persistent connection."""

from __future__ import annotations

from typing import NamedTuple

import anyio
from anyio.abc import ByteStream, SocketStream

from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.errors import TransportError
from damsonpick.protocols.platform.http_response import ResponseReader, build_request
from damsonpick.runtime.sockets import is_reusable
from damsonpick.runtime.timeouts import complete_within

READ_BYTES = 65_536
# While a long step blocks the event loop, a deadline may pass although bytes have arrived in time. To receive these
# bytes, each receive of a response or a watch has a timeout of at least MIN_RECEIVE_TIMEOUT_S, and up to
# MAX_LATE_RECEIVES receives of a response may start after its deadline.
MIN_RECEIVE_TIMEOUT_S = 0.05
MAX_LATE_RECEIVES = 2
STREAM_ERRORS = (  # includes TimeoutError, which is a subclass of OSError
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
)


class HttpResponse(NamedTuple):
    """A complete HTTP response."""

    status: int
    body: bytes


async def dial(address: Address, timeout_s: float) -> SocketStream:
    """Open a connection.

    Raises:
        TransportError: The connection failed or was not established in time.
    """
    try:
        return await complete_within(
            timeout_s, lambda: anyio.connect_tcp(address.host, address.port), anyio.aclose_forcefully
        )
    except TimeoutError:
        raise TransportError("connect", f"timed out after {timeout_s:g} s") from None
    except OSError as error:
        raise TransportError("connect", str(error)) from None


async def receive(stream: SocketStream, timeout_s: float) -> bytes:
    """Receive the next bytes.

    The wait is split into two waits of half the time. After a long step of the event loop, the loop handles an expired
    timeout before bytes that have already arrived; the second wait then receives these bytes.

    Raises:
        TransportError: No bytes were received in time, or the connection was closed or has failed.
    """
    for _ in range(2):
        with anyio.move_on_after(timeout_s / 2):
            try:
                return await stream.receive(READ_BYTES)
            except STREAM_ERRORS as error:
                raise TransportError(
                    "receive", f"the connection was closed or has failed: {type(error).__name__}"
                ) from None
    raise TransportError("receive", f"no data received for {timeout_s:g} s")


async def send(stream: ByteStream, data: bytes, timeout_s: float) -> None:
    """Send all bytes.

    Raises:
        TransportError: The peer has not accepted the bytes in time, or the connection was closed or has failed.
    """
    try:
        with anyio.fail_after(timeout_s):
            await stream.send(data)
    except STREAM_ERRORS as error:
        raise TransportError("send", type(error).__name__) from None


class HttpConnection:
    """Sends requests over one persistent connection.

    `connect` replaces the connection if it is stale, so that no request is written to a stale connection.
    """

    def __init__(self, address: Address, max_idle_s: float) -> None:
        """Create a client that is not connected yet.

        Args:
            address: Address of the server.
            max_idle_s: Longest idle time after which the connection is reused. It must be shorter than the idle timeout
                of the server.
        """
        self.address = address
        self.max_idle_s = max_idle_s
        self._stream: SocketStream | None = None
        self._last_used_s = 0.0

    async def connect(self, timeout_s: float) -> None:
        """Ensure that there is a usable connection: replace a stale one, and open one if there is none.

        Raises:
            TransportError: The connection cannot be opened. Nothing was sent.
        """
        if self._stream is not None and self._is_stale(self._stream):
            await self.close()
        if self._stream is None:
            self._stream = await dial(self.address, timeout_s)

    def _is_stale(self, stream: SocketStream) -> bool:
        return anyio.current_time() - self._last_used_s > self.max_idle_s or not is_reusable(stream)

    async def request(self, method: str, path: str, body: bytes, timeout_s: float) -> HttpResponse:
        """Send a request and return its response; call `connect` first.

        The connection is closed if the request fails or the response does not allow the connection to be reused.

        Args:
            method: HTTP method.
            path: Request path.
            body: Request body.
            timeout_s: Timeout for sending the request, and again for receiving the complete response.

        Raises:
            TransportError: The request failed. The server may or may not have executed it.
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
        """Read the complete response.

        The timeout covers the whole response, even if it arrives byte by byte. After the timeout, at most
        `MAX_LATE_RECEIVES` further receives are made.
        """
        deadline_s = anyio.current_time() + timeout_s
        late_receives = 0
        while not reader.complete:
            remaining_s = deadline_s - anyio.current_time()
            if remaining_s <= 0:
                late_receives += 1
            if late_receives > MAX_LATE_RECEIVES:
                raise TransportError("receive", f"no complete response within {timeout_s:g} s")
            reader.feed(await receive(stream, max(remaining_s, MIN_RECEIVE_TIMEOUT_S)))

    async def close(self) -> None:
        """Close the connection if it is open."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await anyio.aclose_forcefully(stream)
