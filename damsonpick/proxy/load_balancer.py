"""Which server a request goes to. Sans I/O: time and randomness are handed in.

Two by weight and the less busy of them (M. Mitzenmacher, "The power of two choices in randomized load balancing",
2001), or at random by weight, or evenly by weight in turn (smooth weighted round robin). Servers that fail
this proxy's own requests again and again are shunned for a drawn time, never all of a table at once.
"""

from __future__ import annotations

import random
from bisect import bisect
from collections.abc import Collection, Mapping
from itertools import accumulate

SHUN = 2.0, 6.0  # s, drawn, so that proxies do not come back in step
PAIR, WHEEL, LOTTERY = "pair", "wheel", "lottery"


class Row:
    """One table's lines, ready to draw from in logarithmic time."""

    def __init__(self, lines: Mapping[str, float]) -> None:
        kept = {n: w for n, w in lines.items() if w > 0}
        self.names, self.weights = list(kept), list(kept.values())
        self.sums = list(accumulate(self.weights))
        self.turn = [0.0] * len(self.names)

    def draw(self, rng: random.Random) -> str:
        return self.names[min(bisect(self.sums, rng.random() * self.sums[-1]), len(self.names) - 1)]

    def next(self, fit: Collection[str]) -> str:
        """In turn: every line gains its weight, the first of the highest goes and pays the whole."""
        whole, best = 0.0, -1
        for k, name in enumerate(self.names):
            if name in fit:
                self.turn[k] += self.weights[k]
                whole += self.weights[k]
                if best < 0 or self.turn[k] > self.turn[best]:
                    best = k
        self.turn[best] -= whole
        return self.names[best]


class Chooser:
    """A proxy's own view of its servers.

    Args:
        rng: draws.
        pick: 'pair', 'wheel' or 'lottery'.
        strikes: failures in a row after which a server is shunned; 0: never.
    """

    def __init__(self, rng: random.Random, pick: str = PAIR, strikes: int = 5) -> None:
        self.rng, self.pick, self.strikes = rng, pick, strikes
        self.out: dict[str, int] = {}  # own requests at a server now
        self.failed: dict[str, int] = {}  # in a row
        self.shunned: dict[str, int] = {}  # until when, ns

    def choose(self, now: int, row: Row, barred: Collection[str], tried: Collection[str] = ()) -> str | None:
        """A server for a request, or None where there is no other than those barred or tried."""
        if not row.names:
            return None
        if not barred and not tried and not self.shunned:
            return self._pick(row)
        fit = [n for n in row.names if n not in barred and n not in tried]
        if not fit:
            return None
        liked = [n for n in fit if self.shunned.get(n, 0) <= now] or fit
        return self._pick(row, None if len(liked) == len(row.names) else set(liked))

    def _pick(self, row: Row, fit: set[str] | None = None) -> str:
        if self.pick == WHEEL:
            return row.next(fit if fit is not None else row.names)
        first = self._draw(row, fit)
        if self.pick == LOTTERY:
            return first
        second = self._draw(row, fit)
        return second if self.out.get(second, 0) < self.out.get(first, 0) else first

    def _draw(self, row: Row, fit: set[str] | None) -> str:
        """By weight among the fit ones: draw and drop a few times, then count exactly."""
        if fit is None:
            return row.draw(self.rng)
        for _ in range(4):
            name = row.draw(self.rng)
            if name in fit:
                return name
        pairs = [(n, w) for n, w in zip(row.names, row.weights, strict=True) if n in fit]
        return self.rng.choices([n for n, _ in pairs], [w for _, w in pairs])[0]

    def sent(self, server: str) -> None:
        self.out[server] = self.out.get(server, 0) + 1

    def ended(self, now: int, server: str, good: bool) -> None:
        """A request there has ended."""
        left = self.out.get(server, 1) - 1
        if left > 0:
            self.out[server] = left
        else:
            self.out.pop(server, None)
        if good:
            self.failed.pop(server, None)
            self.shunned.pop(server, None)
            return
        self.failed[server] = self.failed.get(server, 0) + 1
        if self.strikes and self.failed[server] >= self.strikes:
            del self.failed[server]
            self.shunned[server] = now + int(self.rng.uniform(*SHUN) * 1e9)
            self.shunned = {n: t for n, t in self.shunned.items() if t > now}
