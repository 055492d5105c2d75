"""What share of a class is let in, and who. Sans I/O.

A client that was refused and comes again at once is refused again: the draw is a hash of client and class, not
a die, so pressing the button does not help, and work let in stays with clients that can finish it. The salt changes
from time to time so that nobody is shut out for good.
"""

from __future__ import annotations

import xxhash

EPOCH = 10_000_000_000  # ns for which a draw holds
WHOLE = 1 << 64


class Admission:
    """Args: seed: another for each proxy, so that the same clients are not refused everywhere."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def admit(self, now: int, level: float, kind: str, client: str) -> bool:
        """Whether a client's request of a class is let in at a level from 0 to 1."""
        if level >= 1:
            return True
        if level <= 0:
            return False
        text = f"{(now + self.seed % EPOCH) // EPOCH}|{kind}|{client}"
        return xxhash.xxh3_64_intdigest(text.encode(), self.seed & (WHOLE - 1)) < level * WHOLE

    def retry_after(self, now: int) -> int:
        """Whole seconds until the next draw, at least 1."""
        return max(1, -(-(EPOCH - (now + self.seed % EPOCH) % EPOCH) // 1_000_000_000))
