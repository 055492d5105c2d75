"""Several list sources, best first: which one is believed, and what the others add. Sans I/O.

Membership is the believed source's. A drain or an end that any live source tells of binds, as it is the safer state;
what only a lesser source names is not taken in. A better source that falls silent is held on to for a while, so that a
blip changes nothing, and one that returns must be steady before it is believed again.
"""

from __future__ import annotations

from collections.abc import Sequence

from damsonpick import interface as api
from damsonpick.state.endpoint_list.validation import STATES

SECOND = 1_000_000_000
PATIENCE = SECOND  # ns that better sources have to answer at the start
HOLD = 5 * SECOND  # ns that the believed source may be silent before the next is
STEADY = 3 * SECOND  # ns that a better one must have been up


class ListError(Exception):
    """An endpoint list cannot be used; the text names source, place and remedy."""


class Source:
    """What one source has said."""

    def __init__(self) -> None:
        self.entries: list[api.EndpointEntry] | None = None  # its last list
        self.up = False
        self.since = 0  # of `up`
        self.why = "has not answered yet"


class Sources:
    """Args: names: the sources, the best first; now: ns."""

    def __init__(self, names: Sequence[str], now: int) -> None:
        self.all = {name: Source() for name in names}
        self.started, self.believed = now, ""

    def take(self, now: int, name: str, said: list[api.EndpointEntry] | None, why: str = "") -> None:
        """A source has given a list, or (None) has failed."""
        source = self.all[name]
        if (said is not None) != source.up:
            source.up, source.since = said is not None, now
        if said is None:
            source.why = why
        else:
            source.entries, source.why = said, ""
        self.choose(now)

    def choose(self, now: int) -> str:
        """The source to believe now; '': none yet."""
        names = list(self.all)
        up = [n for n in names if self.all[n].up]
        if not self.believed:
            first = up[0] if up else ""
            if first and (
                first == names[0]
                or now - self.started >= PATIENCE
                or not any(self._open(n) for n in names[: names.index(first)])
            ):
                self.believed = first
            return self.believed
        present = self.all[self.believed]
        better = [
            n for n in up[:1] if names.index(n) < names.index(self.believed) and now - self.all[n].since >= STEADY
        ]
        if better:
            self.believed = better[0]
        elif not present.up and up and now - present.since >= HOLD:
            self.believed = up[0]
        return self.believed

    def _open(self, name: str) -> bool:
        """It may still answer for the first time."""
        return self.all[name].since == 0

    def merged(self, now: int) -> tuple[list[api.EndpointEntry] | None, list[str]]:
        """The list in force, and disagreements in words; None: no source has given one."""
        chosen = self.choose(now)
        if not chosen or self.all[chosen].entries is None:
            return None, []
        doubts: list[str] = []
        entries = {e.endpoint: e for e in self.all[chosen].entries}
        for name, source in self.all.items():
            if name == chosen or not source.up:
                continue
            for other in source.entries or ():
                mine = entries.get(other.endpoint)
                if mine is None:
                    doubts.append(f"{name} names {other.endpoint}, {chosen} does not: left out")
                elif other.started == mine.started and STATES.index(other.state) > STATES.index(mine.state):
                    doubts.append(
                        f"{other.endpoint} is {other.state} by {name}, {mine.state} by {chosen}: {other.state} binds"
                    )
                    entries[other.endpoint] = mine._replace(state=other.state)
        return list(entries.values()), doubts

    def view(self, now: int) -> list[dict[str, object]]:
        """For operators."""
        return [
            {
                "source": name,
                "up": s.up,
                "believed": name == self.believed,
                "why": s.why,
                "since_s": round((now - s.since) / SECOND, 1) if s.since else None,
                "servers": len(s.entries or ()),
            }
            for name, s in self.all.items()
        ]


class Budget:
    """Calls to one source: at most so many in a window, whatever it does. A source that accepts and hangs up at once
    is not called in a tight loop."""

    def __init__(self, calls: int = 20, window: int = 60 * SECOND) -> None:
        self.calls, self.window = calls, window
        self.made: list[int] = []

    def wait(self, now: int) -> int:
        """ns until the next call may go."""
        self.made = [t for t in self.made if t > now - self.window]
        return 0 if len(self.made) < self.calls else self.made[-self.calls] + self.window - now

    def spend(self, now: int) -> None:
        self.made.append(now)
