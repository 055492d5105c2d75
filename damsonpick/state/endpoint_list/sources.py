"""Several list sources, best first: which one is active, and what the others add. Sans I/O.

The active source decides which endpoints there are. A drain or an end that any reachable source states holds, as it is
the safer state; an endpoint that only another source names is left out. When the active source falls silent it stays
active for a while, so that a blip changes nothing, and a better one that returns must be steady before it takes over.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state.endpoint_list.validation import STATES_BY_SAFETY
from damsonpick.time_units import NS_PER_SECOND

FIRST_ANSWER_NS = NS_PER_SECOND  # that better sources have to answer at the start
SILENCE_NS = 5 * NS_PER_SECOND  # that the active source may be unreachable before another takes over
STEADY_NS = 3 * NS_PER_SECOND  # that a better source must have been reachable before it takes over
MAX_CALLS = 20  # to one source within `CALL_WINDOW_NS`
CALL_WINDOW_NS = 60 * NS_PER_SECOND


class ListError(Exception):
    """An endpoint list cannot be used; the text names source, place and remedy."""


class Source:
    """The last answer of one source."""

    def __init__(self) -> None:
        """Start with no answer."""
        self.entries: list[api.EndpointEntry] | None = None  # its last list; None: it has given none
        self.up = False  # it answered the last time
        self.since = 0  # ns: when `up` last changed; 0: it never answered
        self.why = "has not answered yet"  # why it is not up; '': it is

    def set_up(self, now: int, up: bool) -> None:
        """Note whether it answered."""
        if up != self.up:
            self.up = up
            self.since = now

    def has_answered(self) -> bool:
        """Whether it has answered at least once."""
        return self.since != 0


class MergedList(NamedTuple):
    """The list in force.

    Attributes:
        entries: None: no source has given a list.
        disputes: where the sources disagree, in words.
    """

    entries: list[api.EndpointEntry] | None
    disputes: list[str]


class Sources:
    """The sources of one endpoint list.

    Args:
        names: the sources, the best first.
        now: ns.
    """

    def __init__(self, names: Sequence[str], now: int) -> None:
        """Start with no active source."""
        self.all = {name: Source() for name in names}
        self.started = now
        self.active = ""  # name of the active source; '': none yet

    def received(self, now: int, name: str, entries: list[api.EndpointEntry]) -> None:
        """A source has given a list."""
        source = self.all[name]
        source.set_up(now, True)
        source.entries = entries
        source.why = ""
        self.choose(now)

    def failed(self, now: int, name: str, why: str) -> None:
        """A source cannot be reached, or its list cannot be used."""
        source = self.all[name]
        source.set_up(now, False)
        source.why = why
        self.choose(now)

    # -- which source is active

    def choose(self, now: int) -> str:
        """The name of the active source; '': none yet."""
        if not self.active:
            self.active = self._first_choice(now)
            return self.active
        better = self._better_source(now)
        if better:
            self.active = better
        elif self._is_silent(now):
            self.active = self._best_up() or self.active
        return self.active

    def _best_up(self) -> str:
        return next((name for name, source in self.all.items() if source.up), "")

    def _better_than(self, name: str) -> list[str]:
        names = list(self.all)
        return names[: names.index(name)]

    def _first_choice(self, now: int) -> str:
        """The best source that is up, unless a better one may still answer in time."""
        best = self._best_up()
        if not best or now - self.started >= FIRST_ANSWER_NS:
            return best
        may_answer = any(not self.all[name].has_answered() for name in self._better_than(best))
        return "" if may_answer else best

    def _better_source(self, now: int) -> str:
        """A source that is better than the active one, and steady; '': there is none."""
        best = self._best_up()
        if best in self._better_than(self.active) and now - self.all[best].since >= STEADY_NS:
            return best
        return ""

    def _is_silent(self, now: int) -> bool:
        """Whether the active source has been unreachable for too long."""
        source = self.all[self.active]
        return not source.up and now - source.since >= SILENCE_NS

    # -- what the list in force is

    def merged(self, now: int) -> MergedList:
        """The list of the active source, with the drains and ends that other reachable sources state."""
        chosen = self.choose(now)
        chosen_entries = self.all[chosen].entries if chosen else None
        if chosen_entries is None:
            return MergedList(None, [])
        entries = {entry.endpoint: entry for entry in chosen_entries}
        disputes: list[str] = []
        for name, source in self.all.items():
            if name != chosen and source.up:
                disputes += self._add_safer_states(entries, chosen, name)
        return MergedList(list(entries.values()), disputes)

    def _add_safer_states(self, entries: dict[str, api.EndpointEntry], chosen: str, other: str) -> list[str]:
        """Take over the safer states of another source into `entries`; returns the disputes, in words."""
        disputes: list[str] = []
        for claimed in self.all[other].entries or ():
            entry = entries.get(claimed.endpoint)
            if entry is None:
                disputes.append(f"{other} names {claimed.endpoint}, {chosen} does not: left out")
            elif claimed.started == entry.started and _is_safer(claimed, entry):
                disputes.append(
                    f"{claimed.endpoint} is {claimed.state} by {other}, {entry.state} by {chosen}: "
                    f"{claimed.state} binds"
                )
                entries[claimed.endpoint] = entry._replace(state=claimed.state)
        return disputes

    def view(self, now: int) -> list[dict[str, object]]:
        """The sources as `damsonpick list` answers them; the keys are part of the command's interface."""
        return [
            {
                "source": name,
                "up": source.up,
                "believed": name == self.active,
                "why": source.why,
                "since_s": round((now - source.since) / NS_PER_SECOND, 1) if source.has_answered() else None,
                "servers": len(source.entries or ()),
            }
            for name, source in self.all.items()
        ]


def _is_safer(entry: api.EndpointEntry, other: api.EndpointEntry) -> bool:
    return STATES_BY_SAFETY.index(entry.state) > STATES_BY_SAFETY.index(other.state)


class CallBudget:
    """Limits the calls to one source, so that one which accepts and hangs up at once is not called in a tight loop.

    Args:
        calls: allowed within any window.
        window: ns.
    """

    def __init__(self, calls: int = MAX_CALLS, window: int = CALL_WINDOW_NS) -> None:
        """Start with no call."""
        self.calls = calls
        self.window = window
        self.recent: list[int] = []  # ns: times of the calls within the last window

    def wait(self, now: int) -> int:
        """ns until the next call may go."""
        self.recent = [at for at in self.recent if at > now - self.window]
        if len(self.recent) < self.calls:
            return 0
        return self.recent[-self.calls] + self.window - now

    def spend(self, now: int) -> None:
        """Note a call."""
        self.recent.append(now)
