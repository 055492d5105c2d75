"""Plain HTTP/1.1 on loopback between fakes. h11 parses the messages; anyio provides the streams."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketStream

from damsonpick.runtime import sockets
from damsonpick.runtime.timeouts import complete_within

READ_BYTES = 65_536


class Response(NamedTuple):
    """A complete HTTP response."""

    status: int
    headers: dict[str, str]
    body: bytes


class HttpError(Exception):
    """A request received no complete response."""


class NotSentError(HttpError):
    """The request did not reach a server. It has not run and may be sent again."""


class ConnectionBrokenError(HttpError):
    """The connection closed or failed before the whole response was received. The request may have run.

    A handler of `serve_connection` raises it to cut the connection.
    """


class ClientConnection:
    """A client connection that carries one request at a time."""

    def __init__(self, stream: SocketStream) -> None:
        """Wrap an open stream."""
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    @classmethod
    async def connect(cls, address: str, timeout_s: float) -> ClientConnection:
        """Open a connection.

        Raises:
            NotSentError: The connection was refused, or did not open within `timeout_s`.
        """
        host, _, port = address.rpartition(":")
        try:
            stream = await complete_within(
                timeout_s, lambda: anyio.connect_tcp(host.strip("[]"), int(port)), anyio.aclose_forcefully
            )
        except (OSError, TimeoutError) as error:
            raise NotSentError(f"{address}: {error or 'connect timed out'}") from None
        return cls(stream)

    async def post(self, target: str, headers: dict[str, str]) -> Response:
        """Send a POST without a body and wait for the response.

        Raises:
            ConnectionBrokenError: The connection closed or failed before the whole response was received.
        """
        fixed_headers = [("host", "results"), ("content-length", "0")]
        request = h11.Request(method="POST", target=target, headers=[*fixed_headers, *headers.items()])
        try:
            await self._stream.send(self._http.send(request) + self._http.send(h11.EndOfMessage()))
            return await self._read_response()
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, h11.ProtocolError) as error:
            raise ConnectionBrokenError(str(error)) from None

    async def _read_response(self) -> Response:
        head, body = None, b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._receive())
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return Response(head.status_code, _text_headers(head.headers), body)
            elif isinstance(event, h11.ConnectionClosed):
                raise ConnectionBrokenError("connection closed before the whole response was received")

    async def _receive(self) -> bytes:
        try:
            return await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            return b""

    def prepare_reuse(self) -> bool:
        """Prepare the connection for another request if both sides keep it open. Return whether they do."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            return True
        return False

    def is_idle(self) -> bool:
        """Return whether the connection is open and the server has sent no data outside a response."""
        return sockets.is_reusable(self._stream)

    async def close(self) -> None:
        """Close the connection at once."""
        await anyio.aclose_forcefully(self._stream)


def _text_headers(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    return {name.decode(): value.decode() for name, value in headers}


Handler = Callable[[dict[str, str]], Awaitable[Response]]


async def serve_connection(stream: SocketStream, handler: Handler) -> None:
    """Serve one connection until it closes.

    Args:
        stream: Connection to serve.
        handler: Returns the response to a request with the given headers. It may raise ConnectionBrokenError to cut
            the connection.
    """
    http = h11.Connection(h11.SERVER)
    try:
        while (headers := await _read_request(stream, http)) is not None:
            await _send_response(stream, http, await handler(headers))
            http.start_next_cycle()
    except (ConnectionBrokenError, anyio.BrokenResourceError, anyio.ClosedResourceError, h11.ProtocolError):
        return
    finally:
        await anyio.aclose_forcefully(stream)


async def _read_request(stream: SocketStream, http: h11.Connection) -> dict[str, str] | None:
    """Read the next request with its body. Return its headers, or None if the peer has closed the connection."""
    headers: dict[str, str] = {}
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            try:
                http.receive_data(await stream.receive(READ_BYTES))
            except anyio.EndOfStream:
                return None
        elif isinstance(event, h11.Request):
            headers = _text_headers(event.headers)
        elif isinstance(event, h11.EndOfMessage):
            return headers
        elif isinstance(event, h11.ConnectionClosed):
            return None


async def _send_response(stream: SocketStream, http: h11.Connection, answer: Response) -> None:
    headers = [("content-length", str(len(answer.body))), *answer.headers.items()]
    head = http.send(h11.Response(status_code=answer.status, headers=headers))
    body = http.send(h11.Data(data=answer.body))
    await stream.send(head + body + http.send(h11.EndOfMessage()))
