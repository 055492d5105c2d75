"""How a fake gateway picks a server: two by weight, the less busy of them, and no ejected one. Sans I/O."""

from __future__ import annotations

import random
from collections.abc import Mapping

from damsonpick.time_units import NS_PER_SECOND

EJECTION_MIN_S, EJECTION_MAX_S = 2.0, 6.0  # a random time between, so that gateways do not return at once


class ServerPicker:
    """A gateway's own view of servers: requests in flight, consecutive failures, and which are ejected."""

    def __init__(self, rng: random.Random) -> None:
        """Draw servers and ejection times from `rng`."""
        self._rng = rng
        self._in_flight: dict[str, int] = {}
        self._consecutive_failures: dict[str, int] = {}
        self._ejected_until: dict[str, int] = {}  # ns

    def pick(self, now: int, entries: Mapping[str, tuple[int, str]], excluded: set[str]) -> str | None:
        """Pick a server; an ejected one only if all are.

        Args:
            now: ns.
            entries: weight and zone by server.
            excluded: servers that must not be picked.

        Returns:
            The server, or None if all are excluded.
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
        """Count the end of a request.

        Args:
            now: ns.
            server: which served it.
            succeeded: whether it did.
            ejection_failures: consecutive failures after which the server is ejected; 0: never.
        """
        self._in_flight[server] -= 1
        failures = 0 if succeeded else self._consecutive_failures.get(server, 0) + 1
        if ejection_failures and failures >= ejection_failures:
            failures = 0
            self._ejected_until[server] = now + int(self._rng.uniform(EJECTION_MIN_S, EJECTION_MAX_S) * NS_PER_SECOND)
        self._consecutive_failures[server] = failures
