"""When to try a source or peer again: exponential with full jitter, reset by success. Sans I/O."""

from __future__ import annotations

import random

LEAST, MOST = 0.05, 5.0  # s


class Backoff:
    """Waits before tries; a crowd that lost one source does not come back at once."""

    def __init__(self, rng: random.Random, least: float = LEAST, most: float = MOST) -> None:
        self.rng, self.least, self.most, self.fails = rng, least, most, 0

    def failed(self) -> float:
        """Seconds until the next try."""
        top = min(self.most, self.least * 2**self.fails)
        self.fails = min(self.fails + 1, 30)
        return self.rng.uniform(top / 2, top)

    def succeeded(self) -> None:
        self.fails = 0
