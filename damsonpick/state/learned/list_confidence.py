"""How far a listed server is believed while no source vouches for the list. Sans I/O.

Only a pilot that starts from a kept list doubts it: a source that falls silent under a running pilot makes nothing
newly draining or gone. Age counts from when a source last vouched for the entry, or a gateway last had a good answer
from it, whichever is later.

    up to FRESH          as listed
    up to OLD            a smaller share, until a good answer
    beyond               last resort: only so that no slice is bare, and one in turn on trial
    nothing but failures last resort, and on trial again twice; then nothing until a source names it

A good answer in this life ends all doubt. With a list from a source every entry counts as listed.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from damsonpick import interface as api

SECOND = 1_000_000_000
WAIT = SECOND  # ns that a source has to answer before the kept list is doubted: most do
FRESH, OLD = 120 * SECOND, 86_400 * SECOND
SMALL, TRIAL = 0.5, 0.25  # trust of an old entry; of one on trial
MIN_TRIES = 4  # all failed: behind a refusal
TURN = 5 * SECOND  # ns between trials, one server at a time
AGAIN = 20 * SECOND  # ns until a refused one is tried again, then twice that
TRIALS = 2  # of a refused one


class Kept(NamedTuple):
    """When an entry was last vouched for and last gave a good answer. Clock times in ns; 0: not known."""

    vouched: int
    answered: int


class Doubt:
    """What this life has seen of one entry."""

    def __init__(self, kept: Kept) -> None:
        self.kept = kept
        self.good = False  # it has answered well, and not failed wholly since
        self.refused = 0  # how often nothing but failures was seen
        self.tries = 0  # since the last judgement
        self.again = 0  # when it may be on trial
        self.trial = False


class Trust:
    """Trust in each entry of the list in force."""

    def __init__(self) -> None:
        self.live = False  # a source has given a list in this life
        self.started = 0
        self.doubts: dict[str, Doubt] = {}
        self.answered: dict[str, int] = {}  # endpoint: when it last gave a good answer
        self.said: dict[str, float] = {}
        self.turn = 0

    def start(self, now: int, kept: dict[str, Kept]) -> None:
        """The kept list is in force."""
        self.started, self.doubts = now, {name: Doubt(when) for name, when in kept.items()}
        self.answered = {name: when.answered for name, when in kept.items() if when.answered}

    def vouch(self, now: int, names: Iterable[str]) -> None:
        """A source has given a list: its entries count as listed."""
        self.live = True
        for name in names:
            self.doubts.setdefault(name, Doubt(Kept(now, 0)))

    # -- evidence

    def hear(self, now: int, events: Iterable[api.Event]) -> None:
        """What gateways met, whatever their zones."""
        tries: dict[str, list[int]] = {}
        for event in events:
            if isinstance(event, api.EndpointReport):
                sums = tries.setdefault(event.endpoint, [0, 0])
                sums[0] += event.attempts
                sums[1] += event.attempts - event.failures
        for name, (count, good) in tries.items():
            if good:
                self.answered[name] = now
            doubt = self.doubts.get(name)
            if doubt is not None:
                self._judge(now, doubt, count, good)

    def _judge(self, now: int, doubt: Doubt, count: int, good: int) -> None:
        if good:
            doubt.good, doubt.tries, doubt.refused, doubt.trial = True, 0, 0, False
            return
        doubt.tries += count
        if doubt.tries >= MIN_TRIES:  # also one that answered before: it may have been retired meanwhile
            doubt.good, doubt.trial, doubt.tries = False, False, 0
            doubt.refused += 1
            doubt.again = now + AGAIN * 2 ** (doubt.refused - 1)

    def lost(self, now: int, name: str) -> bool:
        """Whether nothing speaks for an entry that a list no longer names."""
        doubt = self.doubts.get(name)
        if doubt is None:
            return False
        return not doubt.good and (bool(doubt.refused) or (not self.live and self.age(now, doubt) > FRESH))

    def age(self, now: int, doubt: Doubt) -> int:
        """ns since something last spoke for an entry."""
        return max(0, now - max(doubt.kept))

    # -- what follows

    def due(self, now: int) -> bool:
        """Whether trust has anything to say by now."""
        return self.live or now - self.started >= WAIT

    def levels(self, now: int) -> dict[str, float]:
        """Trust by endpoint, 0 to 1."""
        if self.live:
            return dict.fromkeys(self.doubts, 1.0)
        self._put_on_trial(now)
        return {name: self._level(now, doubt) for name, doubt in self.doubts.items()}

    def _level(self, now: int, doubt: Doubt) -> float:
        if doubt.good:
            return 1.0
        if doubt.trial:
            return TRIAL
        if doubt.refused or (age := self.age(now, doubt)) > OLD:
            return 0.0
        return 1.0 if age <= FRESH else SMALL

    def _put_on_trial(self, now: int) -> None:
        """One at a time, once others are known to answer: what is on trial may cost its requests."""
        if now < self.turn or not any(d.good for d in self.doubts.values()):
            return
        if any(d.trial for d in self.doubts.values()):
            return
        for doubt in self.doubts.values():
            if not doubt.good and not self._level(now, doubt) and doubt.refused <= TRIALS and now >= doubt.again:
                doubt.trial, self.turn = True, now + TURN
                return

    def say(self, now: int) -> list[api.EndpointConfidenceChanged]:
        """Changes of trust since the last time."""
        if not self.due(now):
            return []
        found = []
        for name, level in self.levels(now).items():
            if self.said.get(name, 1.0) != level:
                self.said[name] = level
                found.append(api.EndpointConfidenceChanged(name, level))
        return found

    def again(self) -> list[api.EndpointConfidenceChanged]:
        """All that was said, for a planner that was started over."""
        return [api.EndpointConfidenceChanged(name, level) for name, level in self.said.items() if level != 1.0]
