"""One connection at the pilot's listening address: bytes in, events and heartbeat requests out. No I/O.

Collectors of a zone that exists may stay; anyone else is rejected with its first message.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.protocols.platform import framing, messages
from damsonpick.protocols.platform.errors import FrameError, InvalidMessageError, MessageError, PlatformError

MAX_FRAME_BYTES_BEFORE_JOIN = 4096  # so that many halves of a first message do not hold much memory


@dataclass(slots=True)
class ReceivedInput:
    """What the bytes of a connection contained.

    Attributes:
        events: from its reports, in order.
        heartbeat_requests: how many heartbeats it asked for.
        dropped: messages that could not be used, with the reason.
    """

    events: list[api.Event] = field(default_factory=list)
    heartbeat_requests: int = 0
    dropped: list[str] = field(default_factory=list)


class ConnectionRejectedError(PlatformError):
    """This connection is to be closed; `received` is what it sent before the reason, which counts."""

    def __init__(self, field_name: str, reason: str) -> None:
        """Build the text from field and reason."""
        super().__init__(field_name, reason)
        self.received = ReceivedInput()


class CollectorConnection:
    """The state of one connection.

    Attributes:
        zone: of a collector that has joined; "" before.
        last_received_ns: when bytes last arrived; 0 before.
    """

    def __init__(self, reports: messages.ReportMapper) -> None:
        """Start before the join.

        Args:
            reports: turns reports into events.
        """
        self.zone = ""
        self.last_received_ns = 0
        self.frames = framing.FrameReader(MAX_FRAME_BYTES_BEFORE_JOIN)
        self._reports = reports

    def feed(self, now_ns: int, data: bytes) -> ReceivedInput:
        """Return what received bytes contain.

        Raises:
            ConnectionRejectedError: the connection is to be closed.
        """
        self.last_received_ns = now_ns
        self.frames.feed(data)
        received = ReceivedInput()
        try:
            while (body := self.frames.next_frame()) is not None:
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
            received.dropped.append(str(error))

    def _process_message(self, message: messages.CollectorMessage, received: ReceivedInput) -> None:
        if isinstance(message, messages.HeartbeatRequest):
            received.heartbeat_requests += 1
        elif isinstance(message, messages.CollectorJoin):
            self._join(message)
        elif not self.zone:
            raise ConnectionRejectedError("", "a report before joining")
        else:
            received.events.append(self._reports.to_event(message))

    def _join(self, message: messages.CollectorJoin) -> None:
        if message.zone not in self._reports.zones:
            raise InvalidMessageError("zone", f"{message.zone[: messages.MAX_LOGGED_NAME]!r} does not exist")
        self.zone = message.zone
        self.frames.max_frame_bytes = framing.MAX_FRAME_BYTES
