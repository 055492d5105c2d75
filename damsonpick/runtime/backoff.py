"""When to try a source or peer again: exponential with jitter, reset by success. Sans I/O."""

from __future__ import annotations

import random

MIN_DELAY_S = 0.05
MAX_DELAY_S = 5.0
MAX_DOUBLINGS = 30


class Backoff:
    """Delays between attempts, drawn from the upper half of a doubling range.

    The jitter spreads the attempts of many clients that lost one source at once.

    Args:
        rng: draws the jitter.
        min_delay_s: upper bound of the first delay.
        max_delay_s: upper bound of any delay.
    """

    def __init__(self, rng: random.Random, min_delay_s: float = MIN_DELAY_S, max_delay_s: float = MAX_DELAY_S) -> None:
        """Start from the least delay."""
        self.rng = rng
        self.min_delay_s = min_delay_s
        self.max_delay_s = max_delay_s
        self.failures = 0  # in a row

    def next_delay_s(self) -> float:
        """Note a failed attempt and return the seconds until the next one."""
        longest = min(self.max_delay_s, self.min_delay_s * 2**self.failures)
        self.failures = min(self.failures + 1, MAX_DOUBLINGS)
        return self.rng.uniform(longest / 2, longest)

    def reset(self) -> None:
        """Note a successful attempt: the next delay starts from the least again."""
        self.failures = 0
