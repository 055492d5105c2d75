"""Chooses the server for a request of a fake gateway: the less busy of two servers drawn by weight.

Ejected servers are avoided. This module performs no I/O.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from damsonpick.time_units import NS_PER_SECOND

# Range from which the time of an ejection is drawn, so that gateways do not all return to a server at the same time.
EJECTION_MIN_S, EJECTION_MAX_S = 2.0, 6.0


class ServerPicker:
    """Picks servers by a gateway's own counts of their requests in flight, and ejects servers that fail repeatedly."""

    def __init__(self, rng: random.Random) -> None:
        """Create a picker that draws servers and ejection times from `rng`."""
        self._rng = rng
        self._in_flight: dict[str, int] = {}
        self._consecutive_failures: dict[str, int] = {}
        self._ejected_until: dict[str, int] = {}  # by server, ns

    def pick(self, now: int, entries: Mapping[str, tuple[int, str]], excluded: set[str]) -> str | None:
        """Draw two servers by weight and return the less busy one. Both draws may give the same server.

        Ejected servers are drawn only if no other server is left.

        Args:
            now: Current time, in ns.
            entries: Weight and zone of each server.
            excluded: Servers that must not be picked.

        Returns:
            The server, or None if `entries` is empty or every server is excluded.
        """
        weights = {server: weight for server, (weight, _) in entries.items() if server not in excluded}
        healthy = {server: weight for server, weight in weights.items() if self._ejected_until.get(server, 0) <= now}
        candidates = healthy or weights
        if not candidates:
            return None
        pair = self._rng.choices(list(candidates), list(candidates.values()), k=2)
        return min(pair, key=lambda server: self._in_flight.get(server, 0))

    def request_sent(self, server: str) -> None:
        """Count a request in flight."""
        self._in_flight[server] = self._in_flight.get(server, 0) + 1

    def request_ended(self, now: int, server: str, succeeded: bool, ejection_failures: int) -> None:
        """Count the end of a request, and eject the server after too many consecutive failures.

        Args:
            now: Current time, in ns.
            server: Server to which the request was sent.
            succeeded: Whether the request succeeded.
            ejection_failures: Number of consecutive failures after which a server is ejected. 0 disables ejection.
        """
        self._in_flight[server] -= 1
        failures = 0 if succeeded else self._consecutive_failures.get(server, 0) + 1
        if ejection_failures and failures >= ejection_failures:
            failures = 0
            self._ejected_until[server] = now + int(self._rng.uniform(EJECTION_MIN_S, EJECTION_MAX_S) * NS_PER_SECOND)
        self._consecutive_failures[server] = failures
