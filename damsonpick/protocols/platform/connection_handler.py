"""Serves accepted connections: forwards their reports to the planner and answers their heartbeat requests."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from anyio.abc import ByteStream

from damsonpick.protocols.platform import framing, http_client
from damsonpick.protocols.platform.collaborators import EventSink
from damsonpick.protocols.platform.connection import CollectorConnection, ConnectionRejectedError, ReceivedInput
from damsonpick.protocols.platform.dropped_input_log import DroppedInput, DroppedInputLog
from damsonpick.protocols.platform.errors import PlatformError
from damsonpick.protocols.platform.input_limits import (
    MAX_MESSAGES_PER_TURN,
    ConnectionInput,
    InputLimiter,
    InputLimitError,
)
from damsonpick.protocols.platform.readiness import Readiness

WRITE_TIMEOUT_S = 1.0
READ_BYTES = 16_384
HEARTBEAT = framing.encode_frame(b'{"@type":"hb_ok"}')


@dataclass(slots=True, eq=False)
class OpenConnection:
    """A connection with its socket.

    Attributes:
        connection: Protocol state of the connection.
        stream: The socket.
        scope: Cancel scope of the task that serves the connection. Its deadline is the time by which the collector must
            join a zone. It is infinite once the collector has joined, and while the response to a heartbeat request
            waits until the pilot is ready.
        source: What the connection has sent, for the limits on it.
    """

    connection: CollectorConnection
    stream: ByteStream
    scope: anyio.CancelScope
    source: ConnectionInput = field(default_factory=ConnectionInput)


class ConnectionHandler:
    """Serves accepted connections. `serve` is called once for each connection."""

    def __init__(
        self,
        readiness: Readiness,
        enqueue: EventSink,
        dropped_input_log: DroppedInputLog,
        report_rate: float = 0.0,
    ) -> None:
        """Create a handler.

        Args:
            readiness: Delays the answers to heartbeat requests until the pilot is ready.
            enqueue: Queues events for the planner.
            dropped_input_log: Records dropped messages and rejected connections.
            report_rate: Reports per second that the settings announce, see `InputLimiter`.
        """
        self._readiness = readiness
        self._enqueue = enqueue
        self._dropped_input_log = dropped_input_log
        self._report_count = 0
        self._limiter = InputLimiter(report_rate)

    def take_report_count(self) -> int:
        """Return the number of valid reports received since the previous call, and reset the number to 0."""
        count, self._report_count = self._report_count, 0
        return count

    async def serve(self, opened: OpenConnection, on_joined: Callable[[CollectorConnection], None]) -> None:
        """Process the input of a connection until the connection is rejected.

        Args:
            opened: The connection.
            on_joined: Called when the collector that opened the connection has joined a zone.

        Raises:
            anyio.EndOfStream, anyio.BrokenResourceError, OSError: The peer has closed the connection.
            TransportError: The peer has not accepted a heartbeat in time, or has closed the connection.
        """
        try:
            while True:
                await self._receive(opened, on_joined)
        except ConnectionRejectedError as error:
            self._record_rejection(opened, error)
            await self.respond(opened, error.received)
        except InputLimitError as error:
            self._record_rejection(opened, error)
        finally:
            self._limiter.remove(opened.source)

    def _record_rejection(self, opened: OpenConnection, error: PlatformError) -> None:
        reason = f"{opened.connection.zone or 'not joined'}: {error}"
        self._dropped_input_log.record(DroppedInput.CONNECTION, reason)

    async def _receive(self, opened: OpenConnection, on_joined: Callable[[CollectorConnection], None]) -> None:
        """Receive bytes and handle their messages, in turns between which other connections are served."""
        data = await opened.stream.receive(READ_BYTES)
        has_more = True
        while has_more:
            received = self._decode(opened, data, on_joined)
            await self.respond(opened, received)
            self._limiter.record_buffered(opened.source, len(opened.connection.frames.buffer))
            delay_s = self._limiter.spend(opened.source, anyio.current_time(), received.message_count)
            await anyio.sleep(delay_s)
            has_more = received.message_count == MAX_MESSAGES_PER_TURN
            data = b""

    def _decode(
        self, opened: OpenConnection, data: bytes, on_joined: Callable[[CollectorConnection], None]
    ) -> ReceivedInput:
        connection = opened.connection
        was_joined = bool(connection.zone)
        received = connection.feed(time.monotonic_ns(), data, MAX_MESSAGES_PER_TURN)
        if connection.zone and not was_joined:
            opened.scope.deadline = math.inf
            on_joined(connection)
        return received

    async def respond(self, opened: OpenConnection, received: ReceivedInput) -> None:
        """Queue the events of received reports, log dropped messages, and answer heartbeat requests.

        One heartbeat is sent for each request, but not before the pilot is ready.
        """
        for reason in received.drop_reasons:
            self._dropped_input_log.record(DroppedInput.REPORT, reason)
        self._report_count += len(received.events)
        self._enqueue(*received.events)
        if not received.heartbeat_requests:
            return
        if not self._readiness.is_ready():
            await self._wait_until_ready(opened.scope)
        await http_client.send(opened.stream, HEARTBEAT * received.heartbeat_requests, WRITE_TIMEOUT_S)

    async def _wait_until_ready(self, scope: anyio.CancelScope) -> None:
        """Wait until the pilot is ready. The join deadline is suspended, as the peer does not cause the delay."""
        remaining_s = scope.deadline - anyio.current_time()
        scope.deadline = math.inf
        await self._readiness.wait()
        scope.deadline = anyio.current_time() + remaining_s
