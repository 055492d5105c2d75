"""Selects the active list source from several, ordered by preference, and merges their lists. Sans I/O.

The active source determines which endpoints exist. If another reachable source reports the same process of an endpoint
as terminating or terminated, the merged list uses that state because it is the safer one. An endpoint that only another
source lists is ignored. If the active source becomes unreachable, it stays active for `UNREACHABLE_TIMEOUT_NS`, so that
a short outage changes nothing, and for longer if no other source is reachable. A source that is preferred to the active
one takes over after it has been reachable for `STABLE_TIME_NS`.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.state.endpoint_list.validation import STATES_BY_SAFETY
from damsonpick.time_units import NS_PER_SECOND

FIRST_LIST_TIMEOUT_NS = NS_PER_SECOND  # longest wait after the start for the first list of a preferred source
UNREACHABLE_TIMEOUT_NS = 5 * NS_PER_SECOND  # time that the active source may be unreachable before another takes over
STABLE_TIME_NS = 3 * NS_PER_SECOND  # time that a preferred source must be reachable before it takes over
MAX_CALLS = 20  # maximum number of calls to one source within `CALL_WINDOW_NS`
CALL_WINDOW_NS = 60 * NS_PER_SECOND


class ListError(Exception):
    """Reason why a source has no usable list, as text for operators. It is passed on in place of a list."""


class Source:
    """Reachability and last list of one source."""

    def __init__(self) -> None:
        """Create the state of a source that has not sent a usable list yet."""
        self.entries: list[api.EndpointEntry] | None = None  # the last list; None if the source has sent none
        self.up = False  # whether the last call to the source returned a usable list
        self.since = 0  # time when `up` last changed, ns; 0 if the source has never sent a usable list
        self.why = "has not responded yet"  # reason why the source is not up; empty if it is up

    def set_reachable(self, now: int, up: bool) -> None:
        """Set `up`, and set `since` to the present time if `up` changes."""
        if up != self.up:
            self.up = up
            self.since = now

    def has_responded(self) -> bool:
        """Return whether the source has sent a usable list at least once."""
        return self.since != 0


class MergedList(NamedTuple):
    """The endpoint list merged from the sources, before its validation.

    Attributes:
        entries: Entries of the list. None if the active source has sent no list, or no source is active.
        disputes: Differences between the sources, as text for operators.
    """

    entries: list[api.EndpointEntry] | None
    disputes: list[str]


class Sources:
    """All sources of one endpoint list, and the selection of the active one.

    Args:
        names: Names of the sources, the most preferred first.
        now: Present time, ns.
    """

    def __init__(self, names: Sequence[str], now: int) -> None:
        """Create the sources; none of them is active."""
        self.all = {name: Source() for name in names}
        self.started = now
        self.active = ""  # name of the active source; empty if there is none yet

    def received(self, now: int, name: str, entries: list[api.EndpointEntry]) -> None:
        """Process a list that a source has sent."""
        source = self.all[name]
        source.set_reachable(now, True)
        source.entries = entries
        source.why = ""
        self.choose(now)

    def failed(self, now: int, name: str, why: str) -> None:
        """Process a failure: a source cannot be reached, or its list cannot be used."""
        source = self.all[name]
        source.set_reachable(now, False)
        source.why = why
        self.choose(now)

    # -- selection of the active source

    def choose(self, now: int) -> str:
        """Select the active source; return its name, or an empty string if there is none yet."""
        if not self.active:
            self.active = self._first_choice(now)
            return self.active
        better = self._better_source(now)
        if better:
            self.active = better
        elif self._has_timed_out(now):
            self.active = self._best_reachable() or self.active
        return self.active

    def _best_reachable(self) -> str:
        return next((name for name, source in self.all.items() if source.up), "")

    def _preferred_to(self, name: str) -> list[str]:
        names = list(self.all)
        return names[: names.index(name)]

    def _first_choice(self, now: int) -> str:
        """Return the most preferred reachable source.

        An empty string is returned if no source is reachable, or while a more preferred one may still send its first
        list.
        """
        best = self._best_reachable()
        if not best or now - self.started >= FIRST_LIST_TIMEOUT_NS:
            return best
        may_respond = any(not self.all[name].has_responded() for name in self._preferred_to(best))
        return "" if may_respond else best

    def _better_source(self, now: int) -> str:
        """Return the most preferred reachable source if it is to replace the active one, or an empty string.

        It must be preferred to the active source and have been reachable for `STABLE_TIME_NS`.
        """
        best = self._best_reachable()
        if best in self._preferred_to(self.active) and now - self.all[best].since >= STABLE_TIME_NS:
            return best
        return ""

    def _has_timed_out(self, now: int) -> bool:
        """Return whether the active source has been unreachable for at least `UNREACHABLE_TIMEOUT_NS`."""
        source = self.all[self.active]
        return not source.up and now - source.since >= UNREACHABLE_TIMEOUT_NS

    # -- merged list

    def merged(self, now: int) -> MergedList:
        """Return the list of the active source, with the safer states that other reachable sources report."""
        chosen = self.choose(now)
        chosen_entries = self.all[chosen].entries if chosen else None
        if chosen_entries is None:
            return MergedList(None, [])
        entries = {entry.endpoint: entry for entry in chosen_entries}
        disputes: list[str] = []
        for name, source in self.all.items():
            if name != chosen and source.up:
                disputes += self._apply_safer_states(entries, chosen, name)
        return MergedList(list(entries.values()), disputes)

    def _apply_safer_states(self, entries: dict[str, api.EndpointEntry], chosen: str, other: str) -> list[str]:
        """Apply the safer states of another source to `entries`; return the differences as text."""
        disputes: list[str] = []
        for reported in self.all[other].entries or ():
            entry = entries.get(reported.endpoint)
            if entry is None:
                disputes.append(f"{reported.endpoint} is listed by {other} but not by {chosen}: ignored")
            elif reported.started == entry.started and _is_safer(reported, entry):
                disputes.append(
                    f"{reported.endpoint} is {reported.state} according to {other}, "
                    f"{entry.state} according to {chosen}: {reported.state} is used"
                )
                entries[reported.endpoint] = entry._replace(state=reported.state)
        return disputes

    def view(self, now: int) -> list[dict[str, object]]:
        """Return the sources as `damsonpick list` shows them. The keys are part of the command's interface."""
        return [
            {
                "source": name,
                "up": source.up,
                "believed": name == self.active,
                "why": source.why,
                "since_s": round((now - source.since) / NS_PER_SECOND, 1) if source.has_responded() else None,
                "servers": len(source.entries or ()),
            }
            for name, source in self.all.items()
        ]


def _is_safer(entry: api.EndpointEntry, other: api.EndpointEntry) -> bool:
    return STATES_BY_SAFETY.index(entry.state) > STATES_BY_SAFETY.index(other.state)


class CallBudget:
    """Limits the rate of calls to one source.

    Without a limit, a source that closes each connection at once would be called in a loop without pauses.

    Args:
        calls: Most calls within any window.
        window: Length of the window, ns.
    """

    def __init__(self, calls: int = MAX_CALLS, window: int = CALL_WINDOW_NS) -> None:
        """Create a budget from which no call has been spent."""
        self.calls = calls
        self.window = window
        self.recent: list[int] = []  # times of the calls within the last window, ns

    def wait(self, now: int) -> int:
        """Return the time until the next call is allowed, ns; 0 if a call is allowed now."""
        self.recent = [at for at in self.recent if at > now - self.window]
        if len(self.recent) < self.calls:
            return 0
        return self.recent[-self.calls] + self.window - now

    def record_call(self, now: int) -> None:
        """Count a call against the budget."""
        self.recent.append(now)
