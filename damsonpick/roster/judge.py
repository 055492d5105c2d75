"""From what a list source said to the module's list events. Sans I/O.

A list is a claim, not a truth. Here it is made consistent: an endpoint named twice takes the safer
state, a start in the future is the moment it was first seen, and an empty list after a full one is a
failed source (a real fleet does not vanish in one answer), so the kept list stays in force.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from damsonpick import interface as api

STATES = ("in_service", "terminating", "terminated")  # from harmless to binding


class Verdict(NamedTuple):
    """An event for the module (or none) and what was wrong with the list, in words."""

    event: api.ListChanged | None
    doubts: list[str]


class Roster:
    """The list as the module has been told it."""

    def __init__(self, zones: tuple[str, ...]) -> None:
        self.zones = zones
        self.entries: dict[str, api.ListEntry] = {}
        self.fresh = False  # a list has come since the start
        self.places: dict[str, str] = {}  # zone by endpoint, kept after it has left the list

    def restore(self, entries: Iterable[api.ListEntry]) -> api.ListChanged:
        """The kept list, before any source has answered."""
        self.entries = {e.endpoint: e for e in entries}
        self.places = {e.endpoint: e.zone for e in self.entries.values()}
        return api.ListChanged("restored", tuple(self.entries.values()))

    def moved(self, entries: Iterable[api.ListEntry]) -> list[str]:
        """Endpoints whose zone is news; it is taken over."""
        news = [e.endpoint for e in entries if self.places.get(e.endpoint) != e.zone]
        self.places.update((e.endpoint, e.zone) for e in entries)
        return news

    def failed(self) -> api.ListChanged:
        return api.ListChanged("unavailable", ())

    def take(self, now: int, claimed: Iterable[api.ListEntry]) -> Verdict:
        """A whole list from a source, as a `replace` event; nothing where it says what is known."""
        doubts: list[str] = []
        listed: dict[str, api.ListEntry] = {}
        for entry in claimed:
            entry = self._mend(now, entry, doubts)
            twin = listed.get(entry.endpoint)
            if twin is not None and twin != entry:
                doubts.append(f"{entry.endpoint} is listed twice and differently: the safer state counts")
                entry = max(twin, entry, key=lambda e: STATES.index(e.state))
            listed[entry.endpoint] = entry
        if not listed and self.entries:
            doubts.append("the list is empty: taken as a failed source, the kept list stays in force")
            return Verdict(self.failed(), doubts)
        if self.fresh and listed == self.entries:
            return Verdict(None, doubts)
        self.entries, self.fresh = listed, True
        return Verdict(api.ListChanged("replace", tuple(listed.values())), doubts)

    def _mend(self, now: int, entry: api.ListEntry, doubts: list[str]) -> api.ListEntry:
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
