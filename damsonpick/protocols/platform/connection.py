"""Protocol state of one accepted connection: turns received bytes into events and heartbeat requests. No I/O.

A client may send heartbeat requests at any time. The connection is rejected unless the first message that is not a
heartbeat request is a `CollectorJoin` for an existing zone.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.protocols.platform import framing, messages
from damsonpick.protocols.platform.errors import FrameError, InvalidMessageError, MessageError, PlatformError

# Largest frame body before the collector has joined a zone. It bounds the memory that many clients can occupy by each
# sending a part of a first message.
MAX_FRAME_BYTES_BEFORE_JOIN = 4096


@dataclass(slots=True)
class ReceivedInput:
    """The decoded messages of one call of `CollectorConnection.feed`.

    Attributes:
        events: Events of the received reports, in order of arrival.
        heartbeat_requests: Number of heartbeats that the client has requested.
        drop_reasons: Reason for each dropped message, in order of arrival.
        message_count: Number of decoded messages, valid or not.
    """

    events: list[api.Event] = field(default_factory=list)
    heartbeat_requests: int = 0
    drop_reasons: list[str] = field(default_factory=list)
    message_count: int = 0


class ConnectionRejectedError(PlatformError):
    """The connection must be closed. The caller must still process `received`, the valid input before the error."""

    def __init__(self, field_name: str, reason: str) -> None:
        """Create an error with the invalid field, the reason and no received input."""
        super().__init__(field_name, reason)
        self.received = ReceivedInput()


class CollectorConnection:
    """The state of one connection.

    Attributes:
        zone: Zone of the collector; empty until it has joined.
        last_received_ns: Time at which bytes were last received; 0 if none were received.
    """

    def __init__(self, reports: messages.ReportMapper) -> None:
        """Create the state of a connection whose collector has not joined yet.

        Args:
            reports: Maps reports to events and knows the existing zones.
        """
        self.zone = ""
        self.last_received_ns = 0
        self.frames = framing.FrameReader(MAX_FRAME_BYTES_BEFORE_JOIN)
        self._reports = reports

    def feed(self, now_ns: int, data: bytes, max_messages: int | None = None) -> ReceivedInput:
        """Decode received bytes.

        Args:
            now_ns: Time at which the bytes were received.
            data: The received bytes; empty to decode messages that an earlier call has left.
            max_messages: Largest number of messages to decode; None for all.

        Returns:
            The decoded input of the frames that these bytes complete.

        Raises:
            ConnectionRejectedError: The input is malformed or not allowed, and the connection must be closed.
        """
        self.last_received_ns = now_ns
        self.frames.feed(data)
        received = ReceivedInput()
        try:
            while received.message_count != max_messages and (body := self.frames.next_frame()) is not None:
                received.message_count += 1
                self._process(body, received)
        except (FrameError, MessageError, ConnectionRejectedError) as error:
            rejected = ConnectionRejectedError(error.field, error.reason)
            rejected.received = received
            raise rejected from None
        return received

    def _process(self, body: bytes, received: ReceivedInput) -> None:
        try:
            self._process_message(messages.decode_message(body), received)
        except InvalidMessageError as error:
            if not self.zone:
                raise ConnectionRejectedError("first_message", str(error)) from None
            received.drop_reasons.append(str(error))

    def _process_message(self, message: messages.CollectorMessage, received: ReceivedInput) -> None:
        if isinstance(message, messages.HeartbeatRequest):
            received.heartbeat_requests += 1
        elif isinstance(message, messages.CollectorJoin):
            self._join(message)
        elif not self.zone:
            raise ConnectionRejectedError("", "a report was received before the collector joined a zone")
        else:
            received.events.append(self._reports.to_event(message))

    def _join(self, message: messages.CollectorJoin) -> None:
        if message.zone not in self._reports.zones:
            raise InvalidMessageError("zone", f"{message.zone[: messages.MAX_LOGGED_NAME]!r} does not exist")
        self.zone = message.zone
        self.frames.max_frame_bytes = framing.MAX_FRAME_BYTES
