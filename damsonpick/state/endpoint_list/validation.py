"""From what a list source said to the module's list events. Sans I/O.

A list is a claim, not a truth. Here it is made consistent: an endpoint named twice takes the safer
state, a start in the future is the moment it was first seen, and an empty list after a full one is a
failed source (a real fleet does not vanish in one answer), so the kept list stays in force.

So is, for a while, a list that no longer names a large part of what served: the missing stay as they were until the
list has said so for `CONFIRM`, an operator accepts it, or nothing speaks for them any more (gateways get nothing but
failures).
A drain or an end that a list states binds at once, however many it names.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from damsonpick import interface as api

SECOND = 1_000_000_000
VANISH, VANISH_LEAST = 0.4, 3  # share of those in service, and how many, that may not vanish at once
CONFIRM = 30 * SECOND  # ns that a list must go on saying so
STATES = ("in_service", "terminating", "terminated")  # from harmless to binding


class ListValidation(NamedTuple):
    """An event for the module (or none) and what was wrong with the list, in words."""

    event: api.EndpointListChanged | None
    doubts: list[str]


class EndpointList:
    """The list as the module has been told it."""

    def __init__(self, zones: tuple[str, ...]) -> None:
        self.zones = zones
        self.entries: dict[str, api.EndpointEntry] = {}
        self.fresh = False  # a list has come since the start
        self.claim: list[api.EndpointEntry] = []  # the last list that was taken, as it came
        self.held: dict[str, api.EndpointEntry] = {}  # missing from it, and kept
        self.held_since = 0
        self.accepted = False  # an operator accepts what is missing
        self.places: dict[str, str] = {}  # zone by endpoint, kept after it has left the list

    def restore(self, entries: Iterable[api.EndpointEntry]) -> api.EndpointListChanged:
        """The kept list, before any source has answered."""
        self.entries = {e.endpoint: e for e in entries}
        self.places = {e.endpoint: e.zone for e in self.entries.values()}
        return api.EndpointListChanged("restored", tuple(self.entries.values()))

    def moved(self, entries: Iterable[api.EndpointEntry]) -> list[str]:
        """Endpoints whose zone is news; it is taken over."""
        news = [e.endpoint for e in entries if self.places.get(e.endpoint) != e.zone]
        self.places.update((e.endpoint, e.zone) for e in entries)
        return news

    def failed(self) -> api.EndpointListChanged:
        return api.EndpointListChanged("unavailable", ())

    def recheck(self, now: int, lost: Callable[[str], bool]) -> ListValidation | None:
        """Whether entries that are held can go by now; None: none are held."""
        return self.take(now, self.claim, lost) if self.held else None

    def accept(self, now: int, lost: Callable[[str], bool]) -> ListValidation | None:
        """An operator believes the list."""
        self.accepted = True
        return self.recheck(now, lost)

    def _hold(
        self, now: int, listed: dict[str, api.EndpointEntry], lost: Callable[[str], bool], doubts: list[str]
    ) -> None:
        """Keep what vanished in too large a part, in `listed`."""
        serving = [n for n, e in self.entries.items() if e.state == "in_service"]
        missing = [n for n in serving if n not in listed]
        many = len(missing) >= VANISH_LEAST and len(missing) > VANISH * len(serving)
        held = {n: self.entries[n] for n in missing if not lost(n)} if many else {}
        if held and not self.held:
            self.held_since = now
        if self.accepted or (held and now - self.held_since >= CONFIRM):
            held = {}
        if held and held.keys() != self.held.keys():
            doubts.append(
                f"{len(missing)} of {len(serving)} servers are missing at once: {len(held)} of them are kept "
                f"for {CONFIRM // SECOND} s unless they fail; `damsonpick list accept` ends it"
            )
        self.held, self.accepted = held, False
        listed.update(held)

    def take(
        self, now: int, claimed: Iterable[api.EndpointEntry], lost: Callable[[str], bool] = lambda name: False
    ) -> ListValidation:
        """A whole list from a source, as a `replace` event; nothing where it says what is known.

        Args:
            lost: whether nothing speaks for an entry any more.
        """
        self.claim = claimed = list(claimed)
        doubts: list[str] = []
        listed: dict[str, api.EndpointEntry] = {}
        for entry in claimed:
            entry = self._mend(now, entry, doubts)
            twin = listed.get(entry.endpoint)
            if twin is not None and twin != entry:
                doubts.append(f"{entry.endpoint} is listed twice and differently: the safer state counts")
                entry = max(twin, entry, key=lambda e: STATES.index(e.state))
            listed[entry.endpoint] = entry
        if not listed and self.entries:
            doubts.append("the list is empty: taken as a failed source, the kept list stays in force")
            return ListValidation(self.failed(), doubts)
        self._hold(now, listed, lost, doubts)
        if self.fresh and listed == self.entries:
            return ListValidation(None, doubts)
        self.entries, self.fresh = listed, True
        return ListValidation(api.EndpointListChanged("replace", tuple(listed.values())), doubts)

    def _mend(self, now: int, entry: api.EndpointEntry, doubts: list[str]) -> api.EndpointEntry:
        if entry.started > now:
            known = self.entries.get(entry.endpoint)
            same = known is not None and 0 < known.started <= now and known.state == entry.state
            doubts.append(f"{entry.endpoint} started in the future: taken as started when first seen")
            entry = entry._replace(started=known.started if same else now)
        if entry.state not in STATES:
            doubts.append(f"{entry.endpoint} has the unknown state {entry.state!r}: taken as terminating")
            entry = entry._replace(state="terminating")
        if entry.zone not in self.zones:
            doubts.append(f"{entry.endpoint} is in {entry.zone!r}, which is not among the zones")
        if not 0 < entry.weight < 1e6:
            doubts.append(f"{entry.endpoint} has the weight {entry.weight}: taken as 1")
            entry = entry._replace(weight=1.0)
        return entry
