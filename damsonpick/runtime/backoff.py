"""Computes the delay before the next attempt to reach a source or a peer.

The delay grows exponentially with jitter, and a successful attempt resets it. This module performs no I/O.
"""

from __future__ import annotations

import random

MIN_DELAY_S = 0.05  # default upper bound of the first delay
MAX_DELAY_S = 5.0  # default upper bound of every delay
MAX_DOUBLINGS = 30


class Backoff:
    """Computes delays between attempts.

    The upper bound of the delay doubles with each failure, and each delay is drawn from the range between half the
    upper bound and the upper bound. This jitter spreads the attempts of many clients that lost the same source at the
    same time.

    Args:
        rng: Random generator that draws the jitter.
        min_delay_s: Upper bound of the first delay, in seconds.
        max_delay_s: Upper bound of every delay, in seconds.
    """

    def __init__(self, rng: random.Random, min_delay_s: float = MIN_DELAY_S, max_delay_s: float = MAX_DELAY_S) -> None:
        """Initialize the backoff with the shortest delay."""
        self.rng = rng
        self.min_delay_s = min_delay_s
        self.max_delay_s = max_delay_s
        self.failures = 0  # consecutive failed attempts, counted up to MAX_DOUBLINGS

    def next_delay_s(self) -> float:
        """Record a failed attempt and return the seconds to wait before the next attempt."""
        upper_bound_s = min(self.max_delay_s, self.min_delay_s * 2**self.failures)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        return self.rng.uniform(upper_bound_s / 2, upper_bound_s)

    def reset(self) -> None:
        """Record a successful attempt, which resets the upper bound of the next delay to `min_delay_s`."""
        self.failures = 0
