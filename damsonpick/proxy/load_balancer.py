"""Which server a request goes to. Sans I/O: time and randomness are handed in.

Three policies: power of two choices (M. Mitzenmacher, "The power of two choices in randomized load balancing", 2001),
weighted random, and smooth weighted round robin. A server that fails this proxy's own requests several times in a row
is ejected for a random time of 2 to 6 s, or until a request to it succeeds. Where all remaining candidates are ejected,
they are used all the same.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Collection, Mapping
from enum import Enum
from itertools import accumulate

from damsonpick.time_units import NS_PER_SECOND

MIN_EJECTION_S, MAX_EJECTION_S = 2.0, 6.0  # drawn between them, so that proxies do not come back in step
CONSECUTIVE_FAILURES = 5  # that eject a server, unless the control service publishes another number
DRAWS_BEFORE_EXACT = 4  # from the whole table, before the weights of the candidates alone are added up


class Policy(Enum):
    """How a server is picked among the candidates."""

    POWER_OF_TWO = "pair"
    ROUND_ROBIN = "wheel"
    RANDOM = "lottery"


class WeightedTable:
    """The servers of one table, prepared for drawing by weight in logarithmic time."""

    def __init__(self, weights: Mapping[str, float]) -> None:
        """Prepare a table.

        Args:
            weights: weight by server; those without a positive weight are left out.
        """
        positive = {name: weight for name, weight in weights.items() if weight > 0}
        self.names = list(positive)
        self.weights = list(positive.values())
        self._cumulative = list(accumulate(self.weights))
        self._round_robin_credit = [0.0] * len(self.names)

    def draw(self, rng: random.Random) -> str:
        """A random server, by weight."""
        point = rng.random() * self._cumulative[-1]
        return self.names[min(bisect(self._cumulative, point), len(self.names) - 1)]

    def next_in_turn(self, candidates: Collection[str]) -> str:
        """Smooth weighted round robin: each candidate earns its weight, the richest is picked and pays the sum."""
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
    """Picks servers and keeps this proxy's own view of them."""

    def __init__(
        self,
        rng: random.Random,
        policy: Policy = Policy.POWER_OF_TWO,
        ejection_failures: int = CONSECUTIVE_FAILURES,
    ) -> None:
        """Begin without a view of any server.

        Args:
            rng: random draws.
            policy: how servers are picked.
            ejection_failures: consecutive failures that eject a server; 0: none is ejected.
        """
        self.rng = rng
        self.policy = policy
        self.ejection_failures = ejection_failures
        self.active_requests: dict[str, int] = {}  # by server, of this proxy
        self.consecutive_failures: dict[str, int] = {}  # by server
        self.ejected_until: dict[str, int] = {}  # ns, by server
        self._ejected_at: dict[str, int] = {}  # ns, by server

    def pick(
        self, now: int, table: WeightedTable, withdrawn: Collection[str], attempted: Collection[str] = ()
    ) -> str | None:
        """A server for a request, or None where the table has no other than those withdrawn or attempted.

        Ejected servers are picked only where no other candidate is left.

        Args:
            now: ns.
            table: the table of the request's slice.
            withdrawn: servers that no request may go to.
            attempted: servers that this request was sent to before.
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
        """Pick among the candidates; None: the whole table."""
        if self.policy is Policy.ROUND_ROBIN:
            return table.next_in_turn(table.names if candidates is None else candidates)
        first = self._draw(table, candidates)
        if self.policy is Policy.RANDOM:
            return first
        second = self._draw(table, candidates)
        if self.active_requests.get(second, 0) < self.active_requests.get(first, 0):
            return second
        return first

    def _draw(self, table: WeightedTable, candidates: set[str] | None) -> str:
        """Draw by weight. Rejection sampling is cheap while most servers are candidates; else weights are added up."""
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
        """Count a request that is sent to a server."""
        self.active_requests[server] = self.active_requests.get(server, 0) + 1

    def request_ended(self, now: int, server: str, succeeded: bool, started: int | None = None) -> None:
        """Count the end of a request, and eject the server after too many failures in a row.

        Args:
            now: ns.
            server: where the request was sent.
            succeeded: whether the server is not to blame.
            started: when the request was sent, ns; None: just now. A success of one that was sent before the server was
                ejected says nothing of the server since, and leaves it ejected.
        """
        left = self.active_requests.get(server, 1) - 1
        if left > 0:
            self.active_requests[server] = left
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
