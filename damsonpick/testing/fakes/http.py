"""Plain HTTP/1.1 on loopback between stand-ins: a parser from h11, streams from anyio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketStream

from damsonpick.runtime import sockets

CHUNK = 65_536


class Answer(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


class NeverRan(Exception):
    """The request did not reach a server: proof enough for another try."""


class Broken(Exception):
    """The connection broke while a request was out: it may have run."""


class Wire:
    """One client connection, one request at a time."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream, self.http = stream, h11.Connection(h11.CLIENT)

    @classmethod
    async def dial(cls, address: str, patience: float) -> Wire:
        host, _, port = address.rpartition(":")
        try:
            with anyio.fail_after(patience):
                return cls(await anyio.connect_tcp(host.strip("[]"), int(port)))
        except (OSError, TimeoutError) as error:
            raise NeverRan(f"{address}: {error or 'connect timed out'}") from None

    async def ask(self, target: str, headers: dict[str, str]) -> Answer:
        request = h11.Request(
            method="POST", target=target, headers=[("host", "results"), ("content-length", "0"), *headers.items()]
        )
        try:
            await self.stream.send(self.http.send(request) + self.http.send(h11.EndOfMessage()))
            head, body = None, b""
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    self.http.receive_data(await self._more())
                elif isinstance(event, h11.Response):
                    head = event
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    break
                elif isinstance(event, h11.ConnectionClosed):
                    raise Broken("closed before an answer")
            return Answer(head.status_code, {k.decode(): v.decode() for k, v in head.headers}, body)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, h11.ProtocolError) as error:
            raise Broken(str(error)) from None

    async def _more(self) -> bytes:
        try:
            return await self.stream.receive(CHUNK)
        except anyio.EndOfStream:
            return b""

    def reuse(self) -> bool:
        """Make ready for another request, if both sides left it open."""
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
            return True
        return False

    def idle(self) -> bool:
        return sockets.idle(self.stream)

    async def close(self) -> None:
        await anyio.aclose_forcefully(self.stream)


Handler = Callable[[dict[str, str]], Awaitable[Answer]]


async def answer(stream: SocketStream, handler: Handler) -> None:
    """Serve one connection until it closes or `handler` raises Broken, which cuts it off."""
    http = h11.Connection(h11.SERVER)
    headers: dict[str, str] = {}
    try:
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                try:
                    http.receive_data(await stream.receive(CHUNK))
                except anyio.EndOfStream:
                    return
            elif isinstance(event, h11.Request):
                headers = {k.decode(): v.decode() for k, v in event.headers}
            elif isinstance(event, h11.EndOfMessage):
                said = await handler(headers)
                head = h11.Response(
                    status_code=said.status, headers=[("content-length", str(len(said.body))), *said.headers.items()]
                )
                await stream.send(http.send(head) + http.send(h11.Data(data=said.body)) + http.send(h11.EndOfMessage()))
                http.start_next_cycle()
            elif isinstance(event, h11.ConnectionClosed):
                return
    except (Broken, anyio.BrokenResourceError, anyio.ClosedResourceError, h11.ProtocolError):
        return
    finally:
        await anyio.aclose_forcefully(stream)
