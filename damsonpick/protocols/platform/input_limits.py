"""Limits on what the clients at the pilot's address may send: messages per second and buffered bytes. No I/O.

The limits hold for each connection and for the process. A connection that sends more is read more slowly, so that its
data waits in the buffers of the operating system. It is rejected if it does not slow down.
"""

from __future__ import annotations

from damsonpick.protocols.platform.errors import PlatformError

MAX_MESSAGES_PER_TURN = 64  # messages of one connection that are handled before other tasks run
CONNECTION_MESSAGES_PER_S = 1000.0
CONNECTION_BURST_MESSAGES = 4000.0  # more than fit in the 128 KiB that a collector keeps for a pilot that is busy
PROCESS_MESSAGES_PER_S = 4000.0
REPORT_RATE_MARGIN = 2.0  # rate of a connection over that of the reports that the settings announce, at least
PROCESS_BURST_MESSAGES = 8000.0
MAX_THROTTLED_S = 5.0  # time for which a connection may exceed its rate without a pause before it is rejected
MAX_BUFFERED_BYTES = 16 << 20  # incomplete and unhandled messages of all connections


class InputLimitError(PlatformError):
    """A client has exceeded a limit, and its connection must be closed."""


class MessageBudget:
    """A token bucket of messages.

    Attributes:
        rate: Messages per second.
        burst: Messages that may be handled at once after a pause.
    """

    def __init__(self, rate: float, burst: float) -> None:
        """Create a full bucket."""
        self.rate = rate
        self.burst = burst
        self._tokens = burst
        self._refilled_s = 0.0

    def spend(self, now_s: float, count: float) -> float:
        """Remove tokens for handled messages, and return the seconds until the bucket is not overdrawn any more."""
        gained = max(0.0, now_s - self._refilled_s) * self.rate
        self._tokens = min(self.burst, self._tokens + gained) - count
        self._refilled_s = now_s
        return max(0.0, -self._tokens / self.rate)


class ConnectionInput:
    """What one connection has sent.

    Attributes:
        budget: Its messages.
        buffered_bytes: Bytes that it has sent and that are not handled yet.
        throttled_since_s: Time since which it has exceeded its rate without a pause; None if it has not.
    """

    def __init__(self) -> None:
        """Create the state of a connection that has sent nothing."""
        self.budget = MessageBudget(CONNECTION_MESSAGES_PER_S, CONNECTION_BURST_MESSAGES)
        self.buffered_bytes = 0
        self.throttled_since_s: float | None = None


class InputLimiter:
    """Applies the limits to all connections of the process.

    Attributes:
        buffered_bytes: Bytes that all connections have sent and that are not handled yet.
        throttled_count: Number of times that a connection began to exceed its rate.
    """

    def __init__(self, report_rate: float = 0.0) -> None:
        """Create a limiter without connections.

        Args:
            report_rate: Reports per second that the settings announce. Where the limits leave no margin over it, all
                rates and bursts grow by one factor.
        """
        self.buffered_bytes = 0
        self.throttled_count = 0
        self._factor = max(1.0, REPORT_RATE_MARGIN * report_rate / CONNECTION_MESSAGES_PER_S)
        self._budget = MessageBudget(PROCESS_MESSAGES_PER_S, PROCESS_BURST_MESSAGES)

    def record_buffered(self, source: ConnectionInput, buffered_bytes: int) -> None:
        """Record how many bytes of a connection are not handled.

        Raises:
            InputLimitError: Together with the other connections, these are too many.
        """
        self.buffered_bytes += buffered_bytes - source.buffered_bytes
        source.buffered_bytes = buffered_bytes
        if self.buffered_bytes > MAX_BUFFERED_BYTES:
            reason = f"over {MAX_BUFFERED_BYTES} bytes of all connections are not handled yet"
            raise InputLimitError("buffered_bytes", reason)

    def remove(self, source: ConnectionInput) -> None:
        """Forget the buffered bytes of a closed connection."""
        self.buffered_bytes -= source.buffered_bytes
        source.buffered_bytes = 0

    def spend(self, source: ConnectionInput, now_s: float, count: int) -> float:
        """Count handled messages, and return the seconds to wait before the connection is read again.

        Raises:
            InputLimitError: The connection has exceeded its rate for too long.
        """
        process_delay_s = self._budget.spend(now_s, count / self._factor)
        delay_s = source.budget.spend(now_s, count / self._factor)
        if delay_s <= 0:
            source.throttled_since_s = None
        elif source.throttled_since_s is None:
            source.throttled_since_s = now_s
            self.throttled_count += 1
        elif now_s - source.throttled_since_s > MAX_THROTTLED_S:
            rate = self._factor * CONNECTION_MESSAGES_PER_S
            reason = f"over {rate:g} messages a second for more than {MAX_THROTTLED_S:g} s"
            raise InputLimitError("rate", reason)
        return max(delay_s, process_delay_s)
