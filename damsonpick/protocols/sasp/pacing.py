"""How often balancers are asked to come, and how many are served at once. Sans I/O: clock and randomness handed in."""

from __future__ import annotations

import random

SECOND = 1_000_000_000
CALM, MOVING = 10.0, 2.0  # s between polls when nothing moves, and when something does
MOVED = 15 * SECOND  # ns for which a change counts as moving
FULL = 0.5  # of the channel's limit, from which polls are put off
PUT_OFF = 3.0  # times longer then
POLLS = 200.0  # a second, of all balancers together, that are invited
LEAST, MOST = 1, 300  # s
SPREAD = 0.2  # part by which each session's interval is drawn about the mean


class Pace:
    """Args: rng."""

    def __init__(self, rng: random.Random) -> None:
        self.rng, self.moved = rng, 0

    def change(self, now: int) -> None:
        self.moved = now

    def interval(self, now: int, sessions: int, filled: float) -> int:
        """Seconds to the next poll to be advised. `filled`: of the channel's limit that waits."""
        base = MOVING if self.moved and now - self.moved < MOVED else CALM
        if filled > FULL:
            base *= PUT_OFF
        base = max(base, sessions / POLLS)  # a crowd is asked to come less often
        return max(LEAST, min(MOST, round(base * self.rng.uniform(1 - SPREAD, 1 + SPREAD))))


class Meter:
    """Messages of one session: a token bucket with a burst of two seconds' worth."""

    def __init__(self, rate: float) -> None:
        self.rate, self.left, self.at = rate, 2 * rate, 0

    def wait(self, now: int) -> float:
        """Takes one; s to stand still before the next message is read."""
        if self.at:
            self.left = min(2 * self.rate, self.left + max(0, now - self.at) / SECOND * self.rate)
        self.at = now
        self.left -= 1
        return max(0.0, -self.left / self.rate)
