"""Which requests of a class are admitted at a level below one. Sans I/O.

The decision is a hash of client and class, not a random draw: a rejected client that comes again at once is rejected
again, so repeating does not help, and admitted work stays with clients that can finish it. The hash is salted with a
period of time, so that no client is rejected for good.
"""

from __future__ import annotations

import xxhash

from damsonpick.time_units import NS_PER_SECOND

DRAW_PERIOD_NS = 10_000_000_000  # for which a client's decision holds
HASH_RANGE = 1 << 64


class Admission:
    """Admits a share of the clients of each class."""

    def __init__(self, seed: int) -> None:
        """Begin without requests.

        Args:
            seed: differs by proxy, so that the same clients are not rejected everywhere.
        """
        self.seed = seed
        self._offset_ns = seed % DRAW_PERIOD_NS

    def admit(self, now: int, level: float, request_class: str, client: str) -> bool:
        """Whether a client's request is admitted.

        Args:
            now: ns.
            level: share of the class that is admitted, from 0 to 1.
            request_class: name of the class.
            client: identity of the client.
        """
        if level >= 1:
            return True
        if level <= 0:
            return False
        period = (now + self._offset_ns) // DRAW_PERIOD_NS
        text = f"{period}|{request_class}|{client}"
        draw = xxhash.xxh3_64_intdigest(text.encode(), self.seed & (HASH_RANGE - 1))
        return draw < level * HASH_RANGE

    def retry_after(self, now: int) -> int:
        """Whole seconds until the next draw, at least 1: the value of a Retry-After header."""
        elapsed_ns = (now + self._offset_ns) % DRAW_PERIOD_NS
        left_ns = DRAW_PERIOD_NS - elapsed_ns
        return max(1, -(-left_ns // NS_PER_SECOND))
