"""A client's side of a connection: its requests read as events, its body kept for another try while small."""

from __future__ import annotations

from typing import NamedTuple

from damsonpick.proxy import messages as http
from damsonpick.proxy.settings import Limits
from damsonpick.proxy.stream import Lost, Stream


class ClientGone(Exception):
    """The client has closed or stalled; nobody is left to answer."""


class Spans(NamedTuple):
    """Time-outs in s of the machine's own clock."""

    head: float
    idle: float
    stall: float
    connect: float


class Client:
    """Args: stream; limits: of sizes; spans: of times."""

    def __init__(self, stream: Stream, limits: Limits, spans: Spans) -> None:
        self.stream, self.limits, self.spans = stream, limits, spans
        self.reader = http.Reader(True, limits.head)
        self.queue: list[http.Head | http.Body | http.End] = []
        self.kept: list[http.Body | http.End] = []
        self.place = 0
        self.whole, self.ended, self.begun, self.size = True, True, False, 0
        self.address = stream.peer()

    def pending(self) -> bool:
        return bool(self.queue or self.reader.raw or self.stream.data)

    def left(self) -> bool:
        """Whether it has closed and nothing of it is left to read."""
        return (self.stream.eof or self.stream.lost) and not self.stream.data

    async def _fill(self, patience: float) -> bool:
        """More events; False at the end of the stream."""
        until = self.stream.time() + patience
        while not self.queue:
            try:
                data = await self.stream.receive(until)
            except Lost:
                raise ClientGone from None
            if not data:
                return False
            self.queue.extend(self.reader.feed(data))
        return True

    async def head(self) -> http.Head | None:
        """The next request, or None at an orderly end."""
        while not self.ended:  # what is left of a body that nobody wanted
            await self.next()
        queue = self.queue
        if not queue and not await self._fill(self.spans.head if self.reader.raw else self.spans.idle):
            return None
        head = queue.pop(0)
        self.kept, self.place, self.size = [], 0, 0
        self.whole, self.ended, self.begun = True, False, False
        if head.length == 0 and queue and isinstance(queue[0], http.End):
            self.kept.append(queue.pop(0))
            self.ended = True
        return head

    async def next(self) -> http.Body | http.End:
        """The next part of the body; what was kept is read again after `rewind`."""
        if self.place < len(self.kept):
            self.place += 1
            return self.kept[self.place - 1]
        try:
            if not await self._fill(self.spans.stall):
                raise ClientGone
        except TimeoutError:
            raise http.BadMessage("the body stalled", 408) from None
        part = self.queue.pop(0)
        self._keep(part)
        return part

    def _keep(self, part: http.Body | http.End) -> None:
        if isinstance(part, http.Body):
            self.size += len(part.data)
            if self.size > self.limits.body:
                raise http.BadMessage(f"the body is over {self.limits.body} bytes", 413)
            if self.size > self.limits.replay:
                self.whole, self.kept, self.place = False, [], 0
        else:
            self.ended = True
        if self.whole:
            self.kept.append(part)
            self.place = len(self.kept)

    def replayable(self) -> bool:
        return self.whole

    def rewind(self) -> None:
        self.place = 0

    async def send(self, data: bytes) -> None:
        """Bytes to the client, as fast as it takes them, but not for ever."""
        try:
            await self.stream.send(data, self.stream.time() + self.spans.stall)
        except (Lost, TimeoutError):
            raise ClientGone from None
