"""Reads requests from a client connection as events and sends responses. A small body is stored for a retry."""

from __future__ import annotations

from typing import NamedTuple

from damsonpick.proxy import messages as http
from damsonpick.proxy.settings import Limits
from damsonpick.proxy.stream import ConnectionLostError, Stream


class ClientDisconnectedError(Exception):
    """Raised when the client has closed its connection or stalled, so that no response can be delivered."""


class ClientTimeouts(NamedTuple):
    """Timeouts in wall seconds.

    Attributes:
        head: Time to receive the rest of a partly received request head.
        idle: Time to receive a request head when no byte of it has arrived yet.
        stall: Time for which a body may make no progress, in either direction.
    """

    head: float
    idle: float
    stall: float


class Client:
    """Reads requests from one client connection and sends responses to it."""

    def __init__(self, stream: Stream, limits: Limits, timeouts: ClientTimeouts) -> None:
        """Wrap an accepted connection.

        Args:
            stream: The open connection.
            limits: Limits on message sizes.
            timeouts: Timeouts of reads and writes.
        """
        self.stream = stream
        self.limits = limits
        self.timeouts = timeouts
        self.reader = http.Reader(True, limits.head, limits.fields)
        self.address = stream.peer()
        self.request_complete = True  # whether the current request was read to its end
        self.response_started = False  # whether a part of the response was sent
        self.size = 0  # number of body bytes that were read
        self._events: list[http.Head | http.Body | http.End] = []  # parsed events that are not consumed yet
        self._replay_parts: list[http.Body | http.End] = []  # parts of the body that are stored for a retry
        self._replay_position = 0  # index of the next stored part to read
        self._replay_complete = True  # whether every part of the body that was read is stored

    def pending(self) -> bool:
        """Return whether any received data is left to process: parsed events, a partial head or unread bytes."""
        return bool(self._events or self.reader.partial_head or self.reader.unparsed or self.stream.data)

    def disconnected(self) -> bool:
        """Return whether the client closed the connection or it was lost, and all received data was read."""
        return (self.stream.eof or self.stream.lost) and not self.stream.data

    def body_received(self) -> bool:
        """Return whether the whole body of the current request has been received, if not yet processed."""
        return self.request_complete or any(isinstance(event, http.End) for event in self._events)

    def has_left(self) -> bool:
        """Return whether the client closed the connection or it was lost, whether or not its data was read."""
        return self.stream.is_hung_up()

    async def _read_events(self, timeout_s: float) -> bool:
        """Read until there is an event. Return False if the stream ends first."""
        until = self.stream.time() + timeout_s
        if not self._events and self.reader.unparsed:
            self._events.extend(self.reader.feed(b""))
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
        """Return the head of the next request, or None if the client closed the connection before a complete head.

        The unread rest of the previous request is read and discarded first.

        Raises:
            HttpProtocolError: The received data is not a valid request, or the rest of the previous body is malformed,
                too large or stalled.
            ClientDisconnectedError: The connection is lost, or the client closed it within the previous body.
            TimeoutError: No complete request head was received in time.
        """
        while not self.request_complete:  # discard the unread rest of the previous request's body
            await self.next()
        events = self._events
        if not events:
            timeout_s = self.timeouts.head if self.reader.partial_head else self.timeouts.idle
            if not await self._read_events(timeout_s):
                return None
        head = events.pop(0)
        self._replay_parts, self._replay_position, self.size = [], 0, 0
        self._replay_complete, self.request_complete, self.response_started = True, False, False
        if head.length == 0 and events and isinstance(events[0], http.End):
            self._replay_parts.append(events.pop(0))
            self.request_complete = True
        return head

    async def next(self) -> http.Body | http.End:
        """Return the next part of the body. After `rewind`, the stored parts are returned again.

        Raises:
            HttpProtocolError: The body is malformed, too large or stalled.
            ClientDisconnectedError: The connection is lost, or the client closed it before the end of the body.
        """
        if self._replay_position < len(self._replay_parts):
            self._replay_position += 1
            return self._replay_parts[self._replay_position - 1]
        try:
            if not await self._read_events(self.timeouts.stall):
                raise ClientDisconnectedError
        except TimeoutError:
            raise http.HttpProtocolError("the body stalled", 408) from None
        part = self._events.pop(0)
        self._store_for_replay(part)
        return part

    def _store_for_replay(self, part: http.Body | http.End) -> None:
        if isinstance(part, http.Body):
            self.size += len(part.data)
            if self.size > self.limits.body:
                raise http.HttpProtocolError(f"the body is over {self.limits.body} bytes", 413)
            if self.size > self.limits.replay:
                self._replay_complete, self._replay_parts, self._replay_position = False, [], 0
        else:
            self.request_complete = True
        if self._replay_complete:
            self._replay_parts.append(part)
            self._replay_position = len(self._replay_parts)

    def replayable(self) -> bool:
        """Return whether the body can be sent again from its start."""
        return self._replay_complete

    def rewind(self) -> None:
        """Restart reading at the first stored part of the body, for a retry."""
        self._replay_position = 0

    def skip_stored_body(self) -> None:
        """Mark the stored parts of the body as read."""
        self._replay_position = len(self._replay_parts)

    async def send(self, data: bytes) -> None:
        """Send data with back-pressure, for at most the stall timeout.

        Raises:
            ClientDisconnectedError: The connection is lost, or the client did not read within the stall timeout.
        """
        try:
            await self.stream.send(data, self.stream.time() + self.timeouts.stall)
        except (ConnectionLostError, TimeoutError):
            raise ClientDisconnectedError from None
