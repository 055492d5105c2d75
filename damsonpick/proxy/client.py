"""A client's connection: its requests are read as events, a body is kept for a retry while it is small."""

from __future__ import annotations

from typing import NamedTuple

from damsonpick.proxy import messages as http
from damsonpick.proxy.settings import Limits
from damsonpick.proxy.stream import ConnectionLostError, Stream


class ClientDisconnectedError(Exception):
    """The client has closed or stalled; nobody is left to answer."""


class ClientTimeouts(NamedTuple):
    """Timeouts in seconds of the machine's own clock."""

    head: float
    idle: float
    stall: float


class Client:
    """One client connection."""

    def __init__(self, stream: Stream, limits: Limits, timeouts: ClientTimeouts) -> None:
        """Take over an accepted connection.

        Args:
            stream: the open socket.
            limits: of sizes.
            timeouts: of waits.
        """
        self.stream = stream
        self.limits = limits
        self.timeouts = timeouts
        self.reader = http.Reader(True, limits.head)
        self.address = stream.peer()
        self.ended = True  # the request was read completely
        self.begun = False  # part of an answer was sent
        self.size = 0  # bytes of the body so far
        self._events: list[http.Head | http.Body | http.End] = []  # read, not yet used
        self._kept: list[http.Body | http.End] = []  # of the body, for a retry
        self._position = 0  # in what is kept
        self._complete = True  # what is kept is the complete body so far

    def pending(self) -> bool:
        """Whether bytes of a further request have come."""
        return bool(self._events or self.reader.raw or self.stream.data)

    def left(self) -> bool:
        """Whether the client has closed and nothing of it is left to read."""
        return (self.stream.eof or self.stream.lost) and not self.stream.data

    async def _read_events(self, timeout_s: float) -> bool:
        """Read more events; False at the end of the stream."""
        until = self.stream.time() + timeout_s
        while not self._events:
            try:
                data = await self.stream.receive(until)
            except ConnectionLostError:
                raise ClientDisconnectedError from None
            if not data:
                return False
            self._events.extend(self.reader.feed(data))
        return True

    async def head(self) -> http.Head | None:
        """The next request, or None at an orderly end.

        Raises:
            HttpProtocolError: what came is no request.
            ClientDisconnectedError: the connection is gone.
            TimeoutError: nothing came, or the head took too long.
        """
        while not self.ended:  # what is left of a body that nobody wanted
            await self.next()
        events = self._events
        if not events:
            timeout_s = self.timeouts.head if self.reader.raw else self.timeouts.idle
            if not await self._read_events(timeout_s):
                return None
        head = events.pop(0)
        self._kept, self._position, self.size = [], 0, 0
        self._complete, self.ended, self.begun = True, False, False
        if head.length == 0 and events and isinstance(events[0], http.End):
            self._kept.append(events.pop(0))
            self.ended = True
        return head

    async def next(self) -> http.Body | http.End:
        """The next part of the body; what was kept is read again after `rewind`.

        Raises:
            HttpProtocolError: the body is malformed, too large or stalled.
            ClientDisconnectedError: the connection is gone.
        """
        if self._position < len(self._kept):
            self._position += 1
            return self._kept[self._position - 1]
        try:
            if not await self._read_events(self.timeouts.stall):
                raise ClientDisconnectedError
        except TimeoutError:
            raise http.HttpProtocolError("the body stalled", 408) from None
        part = self._events.pop(0)
        self._keep(part)
        return part

    def _keep(self, part: http.Body | http.End) -> None:
        if isinstance(part, http.Body):
            self.size += len(part.data)
            if self.size > self.limits.body:
                raise http.HttpProtocolError(f"the body is over {self.limits.body} bytes", 413)
            if self.size > self.limits.replay:
                self._complete, self._kept, self._position = False, [], 0
        else:
            self.ended = True
        if self._complete:
            self._kept.append(part)
            self._position = len(self._kept)

    def replayable(self) -> bool:
        """Whether the body can be sent again."""
        return self._complete

    def rewind(self) -> None:
        """Read the kept body from its start, for a retry."""
        self._position = 0

    def skip_kept(self) -> None:
        """What is kept was sent."""
        self._position = len(self._kept)

    async def send(self, data: bytes) -> None:
        """Send bytes, as fast as the client takes them, but not for ever.

        Raises:
            ClientDisconnectedError: it has closed or takes nothing.
        """
        try:
            await self.stream.send(data, self.stream.time() + self.timeouts.stall)
        except (ConnectionLostError, TimeoutError):
            raise ClientDisconnectedError from None
