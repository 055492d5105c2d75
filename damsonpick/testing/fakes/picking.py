"""How a stand-in gateway chooses: two by weight, the less busy of them, none that is shunned. Sans I/O."""

from __future__ import annotations

import random
from collections.abc import Mapping

SHUN = (2.0, 6.0)  # s that a server is shunned after too many own failures in a row, drawn


class Picker:
    """A gateway's own view of servers: requests out, failures in a row, and whom it shuns."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.out: dict[str, int] = {}
        self.strikes: dict[str, int] = {}
        self.shunned: dict[str, int] = {}

    def pick(self, now: int, lines: Mapping[str, tuple[int, str]], avoid: set[str]) -> str | None:
        """A server, or None if there is no other than those to avoid. Shunned ones only if all are."""
        fit = {n: w for n, (w, _) in lines.items() if n not in avoid}
        liked = {n: w for n, w in fit.items() if self.shunned.get(n, 0) <= now} or fit
        if not liked:
            return None
        names, weights = list(liked), list(liked.values())
        pair = self.rng.choices(names, weights, k=2)
        return min(pair, key=lambda n: self.out.get(n, 0))

    def sent(self, server: str) -> None:
        self.out[server] = self.out.get(server, 0) + 1

    def ended(self, now: int, server: str, good: bool, most: int) -> None:
        self.out[server] -= 1
        self.strikes[server] = 0 if good else self.strikes.get(server, 0) + 1
        if most and self.strikes[server] >= most:
            self.strikes[server] = 0
            self.shunned[server] = now + int(self.rng.uniform(*SHUN) * 1e9)
