"""The poll interval that load balancers are advised to use, and the rate limit on the messages of a session.

Sans I/O: callers pass the time in nanoseconds and the random number generator.
"""

from __future__ import annotations

import random

from damsonpick.time_units import NS_PER_SECOND

STEADY_POLL_INTERVAL_S = 10.0
CHANGING_POLL_INTERVAL_S = 2.0  # advised for `CHANGE_WINDOW_NS` after a change
CHANGE_WINDOW_NS = 15 * NS_PER_SECOND  # time after a change during which the shorter interval is advised
BUSY_QUEUE_SHARE = 0.5  # queued share of the send queue's limit above which longer intervals are advised
BUSY_INTERVAL_FACTOR = 3.0  # factor on the interval while the send queue is filled above `BUSY_QUEUE_SHARE`
MAX_POLLS_PER_S = 200.0  # rate of polls of all sessions together above which longer intervals are advised
MIN_POLL_INTERVAL_S = 1
MAX_POLL_INTERVAL_S = 300
INTERVAL_JITTER = 0.2  # maximum random deviation of an interval from its mean, as a share of the mean
BURST_S = 2  # a session may send the messages of this many seconds at once


class PollPacer:
    """Chooses the interval in Get Weights Reply: the seconds after which a load balancer should poll again.

    Args:
        rng: Random number generator for the jitter, which keeps load balancers from polling at the same time.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create a pacer to which no change has been reported yet."""
        self.rng = rng
        self.changed_at = 0  # time of the last change in ns; 0 if there was none

    def note_change(self, now: int) -> None:
        """Record that weights changed at `now` (ns): shorter intervals are advised for `CHANGE_WINDOW_NS`."""
        self.changed_at = now

    def next_interval(self, now: int, sessions: int, queue_fill: float) -> int:
        """Return the poll interval to advise.

        Args:
            now: Current time, nanoseconds.
            sessions: Number of open sessions.
            queue_fill: Queued entries as a share of the send queue's limit.

        Returns:
            Seconds, from `MIN_POLL_INTERVAL_S` to `MAX_POLL_INTERVAL_S`.
        """
        is_changing = self.changed_at and now - self.changed_at < CHANGE_WINDOW_NS
        interval = CHANGING_POLL_INTERVAL_S if is_changing else STEADY_POLL_INTERVAL_S
        if queue_fill > BUSY_QUEUE_SHARE:
            interval *= BUSY_INTERVAL_FACTOR
        interval = max(interval, sessions / MAX_POLLS_PER_S)
        jittered = round(interval * self.rng.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER))
        return max(MIN_POLL_INTERVAL_S, min(MAX_POLL_INTERVAL_S, jittered))


class MessageRateLimiter:
    """Token bucket that limits the message rate of one session.

    Args:
        rate: Messages per second. A burst of up to `BURST_S` times this number is allowed.
    """

    def __init__(self, rate: float) -> None:
        """Create a limiter with a full bucket."""
        self.rate = rate
        self.tokens = BURST_S * rate
        self.refilled_at = 0  # time of the last refill in ns; 0 before the first message

    def delay(self, now: int) -> float:
        """Count one message at `now` (ns) and return the seconds to wait before reading the next message."""
        if self.refilled_at:
            elapsed_s = max(0, now - self.refilled_at) / NS_PER_SECOND
            self.tokens = min(BURST_S * self.rate, self.tokens + elapsed_s * self.rate)
        self.refilled_at = now
        self.tokens -= 1
        return max(0.0, -self.tokens / self.rate)
