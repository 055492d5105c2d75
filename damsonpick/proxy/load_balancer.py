"""Picks the server for a request. Sans I/O: the caller passes the time and the random generator.

There are three policies: power of two choices (M. Mitzenmacher, "The power of two choices in randomized load
balancing", 2001), weighted random, and smooth weighted round robin. A server that fails several requests of this proxy
in a row is ejected for a random time of 2 to 6 s. The ejection ends early if a request to the server
succeeds, provided that the request was sent after the ejection started. If all remaining candidates are ejected, the
policy picks among them nevertheless.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Collection, Mapping
from enum import Enum
from itertools import accumulate

from damsonpick.time_units import NS_PER_SECOND

# Bounds of the random duration of an ejection. It is random so that proxies do not all use the server again at once.
MIN_EJECTION_S, MAX_EJECTION_S = 2.0, 6.0
CONSECUTIVE_FAILURES = 5  # failures in a row that eject a server, until the control service publishes a number
DRAWS_BEFORE_EXACT = 4  # draws from the complete table before the weights of the candidates are summed up


class Policy(Enum):
    """Policy that picks a server among the candidates."""

    POWER_OF_TWO = "pair"
    ROUND_ROBIN = "wheel"
    RANDOM = "lottery"


class WeightedTable:
    """The servers of one table with cumulative weights, so that a weighted draw takes logarithmic time."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        """Build the table.

        Args:
            weights: Weight by server. Servers without a positive weight are left out.
        """
        positive = {name: weight for name, weight in weights.items() if weight > 0}
        self.names = list(positive)
        self.weights = list(positive.values())
        self._cumulative = list(accumulate(self.weights))
        self._round_robin_credit = [0.0] * len(self.names)

    def draw(self, rng: random.Random) -> str:
        """Draw a random server by weight."""
        point = rng.random() * self._cumulative[-1]
        return self.names[min(bisect(self._cumulative, point), len(self.names) - 1)]

    def next_round_robin(self, candidates: Collection[str]) -> str:
        """Pick the next server by smooth weighted round robin.

        Each candidate's credit grows by its weight. The candidate with the most credit is picked, and the sum of the
        candidates' weights is subtracted from its credit.
        """
        total = 0.0
        best = -1
        for index, name in enumerate(self.names):
            if name not in candidates:
                continue
            self._round_robin_credit[index] += self.weights[index]
            total += self.weights[index]
            if best < 0 or self._round_robin_credit[index] > self._round_robin_credit[best]:
                best = index
        self._round_robin_credit[best] -= total
        return self.names[best]


class LoadBalancer:
    """Picks servers, and tracks active requests, failures and ejections from this proxy's own requests."""

    def __init__(
        self,
        rng: random.Random,
        policy: Policy = Policy.POWER_OF_TWO,
        ejection_failures: int = CONSECUTIVE_FAILURES,
    ) -> None:
        """Create a load balancer that has no record of any server.

        Args:
            rng: Generator of all random draws.
            policy: Policy that picks a server.
            ejection_failures: Consecutive failures after which a server is ejected. 0 disables ejection.
        """
        self.rng = rng
        self.policy = policy
        self.ejection_failures = ejection_failures
        self.active_requests: dict[str, int] = {}  # number of this proxy's active requests, by server
        self.consecutive_failures: dict[str, int] = {}  # number of failures in a row, by server
        self.ejected_until: dict[str, int] = {}  # end of the ejection in ns, by server
        self._ejected_at: dict[str, int] = {}  # time of the last ejection in ns, by server

    def pick(
        self, now: int, table: WeightedTable, withdrawn: Collection[str], attempted: Collection[str] = ()
    ) -> str | None:
        """Pick a server for a request. Return None if every server of the table is withdrawn or was attempted.

        Ejected servers are picked only if there is no other candidate.

        Args:
            now: Time in ns.
            table: Table of the request's slice.
            withdrawn: Servers that may not receive requests.
            attempted: Servers that an earlier attempt of this request used.
        """
        if not table.names:
            return None
        if not withdrawn and not attempted and not self.ejected_until:
            return self._pick_by_policy(table)
        candidates = [name for name in table.names if name not in withdrawn and name not in attempted]
        if not candidates:
            return None
        healthy = [name for name in candidates if self.ejected_until.get(name, 0) <= now]
        preferred = healthy or candidates
        if len(preferred) == len(table.names):
            return self._pick_by_policy(table)
        return self._pick_by_policy(table, set(preferred))

    def _pick_by_policy(self, table: WeightedTable, candidates: set[str] | None = None) -> str:
        """Pick among the candidates, or from the complete table if `candidates` is None."""
        if self.policy is Policy.ROUND_ROBIN:
            return table.next_round_robin(table.names if candidates is None else candidates)
        first = self._draw(table, candidates)
        if self.policy is Policy.RANDOM:
            return first
        second = self._draw(table, candidates)
        if self.active_requests.get(second, 0) < self.active_requests.get(first, 0):
            return second
        return first

    def _draw(self, table: WeightedTable, candidates: set[str] | None) -> str:
        """Draw a candidate by weight.

        Rejection sampling is cheap while most servers are candidates. If it finds no candidate after a few draws, the
        weights of the candidates are summed up for an exact draw.
        """
        if candidates is None:
            return table.draw(self.rng)
        for _ in range(DRAWS_BEFORE_EXACT):
            name = table.draw(self.rng)
            if name in candidates:
                return name
        names, weights = [], []
        for name, weight in zip(table.names, table.weights, strict=True):
            if name in candidates:
                names.append(name)
                weights.append(weight)
        return self.rng.choices(names, weights)[0]

    def request_started(self, server: str) -> None:
        """Count a new active request to a server."""
        self.active_requests[server] = self.active_requests.get(server, 0) + 1

    def request_ended(self, now: int, server: str, succeeded: bool, started: int | None = None) -> None:
        """Count the end of a request. A success ends the server's ejection; too many failures in a row eject it.

        Args:
            now: Time in ns.
            server: Server that the request was sent to.
            succeeded: Whether the server is not to blame for the end of the request, which is also the case if the
                client disconnected. If False, the end counts as a failure of the server.
            started: Time in ns at which the request was sent, or None if it was sent just now. If the request was sent
                before the server was ejected, its success says nothing about the server's present state, and the server
                stays ejected.
        """
        remaining = self.active_requests.get(server, 1) - 1
        if remaining > 0:
            self.active_requests[server] = remaining
        else:
            self.active_requests.pop(server, None)
        if succeeded:
            self.consecutive_failures.pop(server, None)
            if started is None or started >= self._ejected_at.get(server, 0):
                self.ejected_until.pop(server, None)
            return
        failures = self.consecutive_failures.get(server, 0) + 1
        self.consecutive_failures[server] = failures
        if self.ejection_failures and failures >= self.ejection_failures:
            self._eject(now, server)

    def _eject(self, now: int, server: str) -> None:
        del self.consecutive_failures[server]
        duration_s = self.rng.uniform(MIN_EJECTION_S, MAX_EJECTION_S)
        self.ejected_until[server] = now + int(duration_s * NS_PER_SECOND)
        self.ejected_until = {name: until for name, until in self.ejected_until.items() if until > now}
        self._ejected_at = {name: self._ejected_at.get(name, now) for name in self.ejected_until}
        self._ejected_at[server] = now
