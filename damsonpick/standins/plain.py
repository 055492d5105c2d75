"""A small HTTP/1.1 server for stand-ins whose answers may go wrong at any byte: requests by h11, answers by hand."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
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
