"""Decides which requests of a class are admitted at its admission level. Sans I/O.

The decision is a hash of client and class, not a random draw. A rejected client that repeats its request at once is
rejected again. Repeating a request therefore gains nothing, and the admitted requests belong to clients that can finish
their work. The hash is salted with the number of the current period, so that no client is rejected permanently.
"""

from __future__ import annotations

import xxhash

from damsonpick.time_units import NS_PER_SECOND

DECISION_PERIOD_NS = 10_000_000_000  # time for which a client gets the same decision while the level is unchanged
HASH_RANGE = 1 << 64


class Admission:
    """Admits a share of the clients of each class."""

    def __init__(self, seed: int) -> None:
        """Create an admission filter.

        Args:
            seed: Seed of the hash. It differs between proxies, so that they do not all reject the same clients.
        """
        self.seed = seed
        self._offset_ns = seed % DECISION_PERIOD_NS

    def admit(self, now: int, level: float, request_class: str, client: str) -> bool:
        """Return whether a client's request is admitted.

        Args:
            now: Time in ns.
            level: Admission level of the class, the admitted share from 0 to 1.
            request_class: Name of the request class.
            client: Identity of the client.
        """
        if level >= 1:
            return True
        if level <= 0:
            return False
        period = (now + self._offset_ns) // DECISION_PERIOD_NS
        text = f"{period}|{request_class}|{client}"
        hash_value = xxhash.xxh3_64_intdigest(text.encode(), self.seed & (HASH_RANGE - 1))
        return hash_value < level * HASH_RANGE

    def retry_after(self, now: int) -> int:
        """Return the value of a Retry-After header: whole seconds until the next period starts, at least 1."""
        elapsed_ns = (now + self._offset_ns) % DECISION_PERIOD_NS
        remaining_ns = DECISION_PERIOD_NS - elapsed_ns
        return max(1, -(-remaining_ns // NS_PER_SECOND))
