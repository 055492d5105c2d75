"""A balancer's half of SASP on anyio: requests with their replies, pushes to a callback."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketStream

from damsonpick.protocols.sasp import codec
from damsonpick.protocols.sasp import layout as sasp
from damsonpick.protocols.sasp.layout import Code, Group, LbFlag, Member, MembersOf, Sender


class SaspError(Exception):
    """The manager cannot be asked, or refuses; the text says why."""


class Client:
    """One session. Args: lb: the balancer's identifier; pushed: called with what is sent unasked."""

    def __init__(self, stream: SocketStream, lb: bytes, pushed: Callable[[sasp.SendWeights], None]) -> None:
        self.stream, self.lb, self.pushed = stream, lb, pushed
        self.number = 0
        self.waits: dict[int, anyio.Event] = {}
        self.replies: dict[int, sasp.Body] = {}
        self.ended = anyio.Event()
        self.lock = anyio.Lock()

    async def read(self) -> None:
        """Until the stream ends."""
        splitter = codec.Splitter()
        try:
            while True:
                for frame in splitter.feed(await self.stream.receive(65_536)):
                    message = codec.decode(frame)
                    if isinstance(message.body, sasp.SendWeights):
                        self.pushed(message.body)
                    elif message.number in self.waits:
                        self.replies[message.number] = message.body
                        self.waits.pop(message.number).set()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.ended.set()
            for wait in self.waits.values():
                wait.set()

    async def ask(self, body: sasp.Body) -> sasp.Body:
        """The reply to a request.

        Raises:
            SaspError: the stream ended first.
        """
        self.number += 1
        number, event = self.number, anyio.Event()
        self.waits[number] = event
        try:
            async with self.lock:
                await self.stream.send(codec.encode(sasp.Message(number, body)))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise SaspError(f"the stream broke ({error!r})") from None
        if self.ended.is_set():
            event.set()
        await event.wait()
        if number not in self.replies:
            raise SaspError("the manager ended the stream before it answered")
        return self.replies.pop(number)

    async def hello(self, flags: int = 0, health: int = 127) -> int:
        """Make the balancer known; returns the code."""
        return (await self.ask(sasp.SetLbState(self.lb, health, LbFlag(flags)))).code

    async def register(self, name: bytes, members: list[Member], sender: Sender = Sender.BALANCER) -> int:
        body = sasp.Register(sender, (MembersOf(Group(self.lb, name), tuple(members)),))
        return (await self.ask(body)).code

    async def deregister(self, name: bytes) -> int:
        """A whole group; returns the code."""
        body = sasp.Deregister(Sender.BALANCER, 0, (MembersOf(Group(self.lb, name), ()),))
        return (await self.ask(body)).code

    async def weights(self, *names: bytes) -> sasp.WeightsReply:
        return await self.ask(sasp.GetWeights(tuple(Group(self.lb, n) for n in names)))


@asynccontextmanager
async def connect(
    address: str, lb: bytes, pushed: Callable[[sasp.SendWeights], None] = lambda body: None
) -> AsyncIterator[Client]:
    """A session with the manager at an address such as 127.0.0.1:3860.

    Raises:
        SaspError: nobody listens there.
    """
    host, _, port = address.rpartition(":")
    try:
        stream = await anyio.connect_tcp(host.strip("[]"), int(port))
    except OSError as error:
        raise SaspError(f"{address}: no manager answers ({error}); check [sasp] listen of the pilot") from None
    async with stream, anyio.create_task_group() as group:
        client = Client(stream, lb, pushed)
        group.start_soon(client.read)
        try:
            yield client
        finally:
            group.cancel_scope.cancel()


def words(code: int) -> str:
    """A reply code for people."""
    try:
        return Code(code).name.lower().replace("_", " ")
    except ValueError:
        return f"code 0x{code:02x}"
