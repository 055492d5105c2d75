"""SASP client on anyio, in the role of a load balancer: sends requests and passes pushes to a callback."""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
from anyio.abc import SocketStream

from damsonpick.protocols.sasp import codec
from damsonpick.protocols.sasp import layout as sasp
from damsonpick.protocols.sasp.layout import Code, Group, LbFlag, Member, MemberGroup, Sender

READ_BYTES = 65_536


class SaspError(Exception):
    """Raised when the connection to the manager cannot be opened, fails or ends, or a reply has the wrong type."""


class Client:
    """One session of a load balancer with the manager.

    Args:
        stream: The connection to the manager.
        lb: Identifier of the load balancer.
        on_push: Callback for each push.

    Attributes:
        ended: Event that is set when the stream has ended.
    """

    def __init__(self, stream: SocketStream, lb: bytes, on_push: Callable[[sasp.SendWeights], None]) -> None:
        """Create a client without pending requests. The caller must run `read` in a task of its own."""
        self.stream = stream
        self.lb = lb
        self.on_push = on_push
        self.ended = anyio.Event()
        self._number = 0  # message id of the last request
        self._waiting: dict[int, anyio.Event] = {}  # by message id: set when the reply arrives or the stream ends
        self._replies: dict[int, sasp.Body] = {}  # by message id
        self._write_lock = anyio.Lock()

    async def read(self) -> None:
        """Read messages until the stream ends.

        Raises:
            SaspFormatError: The manager sent bytes that are not valid SASP.
        """
        splitter = codec.Splitter()
        try:
            while True:
                for frame in splitter.feed(await self.stream.receive(READ_BYTES)):
                    self._dispatch(codec.decode(frame))
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        finally:
            self.ended.set()
            for event in self._waiting.values():
                event.set()

    def _dispatch(self, message: sasp.Message) -> None:
        if isinstance(message.body, sasp.SendWeights):
            self.on_push(message.body)
        elif message.number in self._waiting:
            self._replies[message.number] = message.body
            self._waiting.pop(message.number).set()

    async def ask(self, body: sasp.Body) -> sasp.Body:
        """Send a request and return its reply.

        Raises:
            SaspError: The connection failed or ended before the reply arrived.
        """
        self._number += 1
        number = self._number
        event = anyio.Event()
        self._waiting[number] = event
        try:
            async with self._write_lock:
                await self.stream.send(codec.encode(sasp.Message(number, body)))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise SaspError(f"the connection to the manager failed ({error!r})") from None
        if self.ended.is_set():
            event.set()
        await event.wait()
        if number not in self._replies:
            raise SaspError("the connection ended before the manager replied")
        return self._replies.pop(number)

    async def _ask_for_code(self, body: sasp.Body) -> int:
        reply = await self.ask(body)
        if not isinstance(reply, sasp.Reply):
            raise SaspError(f"the manager replied to {type(body).__name__} with {type(reply).__name__}")
        return reply.code

    async def set_lb_state(self, flags: int = 0, health: int = 127) -> int:
        """Identify the load balancer to the manager with Set LB State and return the reply code."""
        return await self._ask_for_code(sasp.SetLbState(self.lb, health, LbFlag(flags)))

    async def register(self, name: bytes, members: list[Member], sender: Sender = Sender.BALANCER) -> int:
        """Register members of a group and return the reply code."""
        body = sasp.Register(sender, (MemberGroup(Group(self.lb, name), tuple(members)),))
        return await self._ask_for_code(body)

    async def deregister(self, name: bytes) -> int:
        """Deregister a group with all its members and return the reply code."""
        body = sasp.Deregister(Sender.BALANCER, 0, (MemberGroup(Group(self.lb, name), ()),))
        return await self._ask_for_code(body)

    async def weights(self, *names: bytes) -> sasp.WeightsReply:
        """Poll the weights of the named groups, or of all groups of the load balancer if no names are given.

        Raises:
            SaspError: The connection failed or ended before the reply arrived, or the reply is not a Get Weights Reply.
        """
        reply = await self.ask(sasp.GetWeights(tuple(Group(self.lb, name) for name in names)))
        if not isinstance(reply, sasp.WeightsReply):
            raise SaspError(f"the manager replied to a poll with {type(reply).__name__}")
        return reply


def _ignore_push(body: sasp.SendWeights) -> None:
    del body


@asynccontextmanager
async def connect(
    address: str, lb: bytes, on_push: Callable[[sasp.SendWeights], None] = _ignore_push
) -> AsyncIterator[Client]:
    """Open a connection to the manager at an address such as 127.0.0.1:3860, and close it at the end of the context.

    Raises:
        SaspError: The connection cannot be opened.
    """
    host, _, port = address.rpartition(":")
    try:
        stream = await anyio.connect_tcp(host.strip("[]"), int(port))
    except OSError as error:
        raise SaspError(f"{address}: no manager answers ({error}); check [sasp] listen of the pilot") from None
    async with stream, anyio.create_task_group() as group:
        client = Client(stream, lb, on_push)
        group.start_soon(client.read)
        try:
            yield client
        finally:
            group.cancel_scope.cancel()


def describe_code(code: int) -> str:
    """Return a reply code as readable text."""
    try:
        return Code(code).name.lower().replace("_", " ")
    except ValueError:
        return f"code 0x{code:02x}"
