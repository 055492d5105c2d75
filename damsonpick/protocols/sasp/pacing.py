"""How often load balancers are asked to poll, and how many messages a session may send.

Sans I/O: time comes in as nanoseconds, randomness is handed in.
"""

from __future__ import annotations

import random

from damsonpick.time_units import NS_PER_SECOND

STEADY_POLL_INTERVAL_S = 10.0
CHANGING_POLL_INTERVAL_S = 2.0  # shortly after a change
CHANGE_WINDOW_NS = 15 * NS_PER_SECOND  # how long after a change the shorter interval holds
BUSY_QUEUE_SHARE = 0.5  # of the send queue's limit, from which polls are put off
BUSY_INTERVAL_FACTOR = 3.0
MAX_POLLS_PER_S = 200.0  # of all sessions together
MIN_POLL_INTERVAL_S = 1
MAX_POLL_INTERVAL_S = 300
INTERVAL_JITTER = 0.2  # share by which an interval is drawn around its mean
BURST_S = 2  # seconds' worth of messages that a session may send at once


class PollPacer:
    """Chooses the interval of Get Weights Reply: the seconds after which a load balancer should poll again.

    Args:
        rng: draws the jitter that keeps load balancers from polling at the same time.
    """

    def __init__(self, rng: random.Random) -> None:
        """Begin without a change."""
        self.rng = rng
        self.changed_at = 0  # ns; 0: never

    def note_change(self, now: int) -> None:
        """Weights changed at `now` (ns): shorter intervals for a while."""
        self.changed_at = now

    def next_interval(self, now: int, sessions: int, queue_fill: float) -> int:
        """The interval to advise.

        Args:
            now: ns.
            sessions: all that are open.
            queue_fill: share of the send queue's limit that waits.

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
    """A token bucket for the messages of one session.

    Args:
        rate: messages a second; `BURST_S` seconds' worth may come at once.
    """

    def __init__(self, rate: float) -> None:
        """Begin with a full bucket."""
        self.rate = rate
        self.tokens = BURST_S * rate
        self.refilled_at = 0  # ns; 0: never

    def delay(self, now: int) -> float:
        """Count one message at `now` (ns); returns the seconds to wait before the next one is read."""
        if self.refilled_at:
            elapsed_s = max(0, now - self.refilled_at) / NS_PER_SECOND
            self.tokens = min(BURST_S * self.rate, self.tokens + elapsed_s * self.rate)
        self.refilled_at = now
        self.tokens -= 1
        return max(0.0, -self.tokens / self.rate)
