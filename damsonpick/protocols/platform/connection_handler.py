"""Serves one connection at the pilot's listening address: hands on its reports and answers its heartbeat requests."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import SocketStream

from damsonpick.protocols.platform import framing, http_client
from damsonpick.protocols.platform.collaborators import EventSink
from damsonpick.protocols.platform.connection import CollectorConnection, ConnectionRejectedError, ReceivedInput
from damsonpick.protocols.platform.dropped_input_log import DroppedInput, DroppedInputLog
from damsonpick.protocols.platform.readiness import Readiness

WRITE_TIMEOUT_S = 1.0
READ_BYTES = 65_536
HEARTBEAT = framing.encode_frame(b'{"@type":"hb_ok"}')


@dataclass(slots=True, eq=False)
class OpenConnection:
    """A connection with its socket.

    Attributes:
        connection: its protocol state.
        stream: the socket.
        scope: of the task that serves it; its deadline is the one for joining.
    """

    connection: CollectorConnection
    stream: SocketStream
    scope: anyio.CancelScope


class ConnectionHandler:
    """Serves connections, one call each."""

    def __init__(self, readiness: Readiness, enqueue: EventSink, dropped: DroppedInputLog) -> None:
        """Connect the parts.

        Args:
            readiness: heartbeats are answered from then on.
            enqueue: takes events for the planner.
            dropped: for messages and connections that are rejected.
        """
        self._readiness = readiness
        self._enqueue = enqueue
        self._dropped = dropped
        self._report_count = 0

    def take_report_count(self) -> int:
        """Return the number of reports since the last call."""
        count, self._report_count = self._report_count, 0
        return count

    async def serve(self, opened: OpenConnection, on_joined: Callable[[CollectorConnection], None]) -> None:
        """Process what a connection sends until it is rejected.

        Args:
            opened: the connection.
            on_joined: called when it joins.

        Raises:
            anyio.EndOfStream, anyio.BrokenResourceError, OSError: the peer has closed.
            TransportError: the peer does not take what is sent.
        """
        try:
            while True:
                await self._receive(opened, on_joined)
        except ConnectionRejectedError as error:
            self._dropped.record(DroppedInput.CONNECTION, f"{opened.connection.zone or 'not joined'}: {error}")
            await self.respond(opened, error.received)

    async def _receive(self, opened: OpenConnection, on_joined: Callable[[CollectorConnection], None]) -> None:
        connection = opened.connection
        data = await opened.stream.receive(READ_BYTES)
        was_joined = bool(connection.zone)
        received = connection.feed(time.monotonic_ns(), data)
        if connection.zone and not was_joined:
            opened.scope.deadline = math.inf
            on_joined(connection)
        await self.respond(opened, received)

    async def respond(self, opened: OpenConnection, received: ReceivedInput) -> None:
        """Hand on reports, and send each heartbeat that was asked for."""
        for reason in received.dropped:
            self._dropped.record(DroppedInput.REPORT, reason)
        self._report_count += len(received.events)
        self._enqueue(*received.events)
        if not received.heartbeat_requests:
            return
        if not self._readiness.is_ready():
            await self._wait_until_ready(opened.scope)
        await http_client.send(opened.stream, HEARTBEAT * received.heartbeat_requests, WRITE_TIMEOUT_S)

    async def _wait_until_ready(self, scope: anyio.CancelScope) -> None:
        """Wait with the deadline for joining suspended, as the wait is not the peer's."""
        remaining_s = scope.deadline - anyio.current_time()
        scope.deadline = math.inf
        await self._readiness.wait()
        scope.deadline = anyio.current_time() + remaining_s
