"""Turns the lists of a source into the planner's list events. Sans I/O.

A list is a claim and may be wrong. Here it is made consistent: an endpoint named twice takes the safer state, a start
in the future is the moment it was first seen, and an empty list after a full one is a failed source (a real fleet does
not vanish in one answer), so the list in force stays.

So does, for a while, what a list no longer names, if that is a large part of the endpoints in service: the missing
entries stay until the list has omitted them for `CONFIRM_NS`, an operator accepts the list, or nothing speaks for them
any more (clients get nothing but failures). A drain or an end that a list states holds at once, however many it names.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.time_units import NS_PER_SECOND

MAX_MISSING_SHARE = 0.4  # of the endpoints in service, that may be missing from a list at once
MIN_MISSING = 3  # endpoints; fewer may always be missing
CONFIRM_NS = 30 * NS_PER_SECOND  # that a list must go on omitting endpoints
MAX_WEIGHT = 1e6  # exclusive
DEFAULT_WEIGHT = 1.0
STATES_BY_SAFETY: tuple[api.EndpointStatus, ...] = ("in_service", "terminating", "terminated")  # the safest last

IsLost = Callable[[str], bool]  # whether nothing speaks for an endpoint any more


def never_lost(_endpoint: str) -> bool:
    """An `IsLost` for callers that know nothing of endpoints."""
    return False


class ListValidation(NamedTuple):
    """What became of a list.

    Attributes:
        event: for the planner; None: nothing has changed.
        problems: what was wrong with the list, in words.
    """

    event: api.EndpointListChanged | None
    problems: list[str]


class EndpointList:
    """The endpoint list in force, as the planner knows it.

    Args:
        zones: names of the zones that endpoints may be in.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        """Start with an empty list."""
        self.zones = zones
        self.entries: dict[str, api.EndpointEntry] = {}
        self.confirmed = False  # a source has given a list since the start
        self.claim: list[api.EndpointEntry] = []  # the last list of a source, as it came
        self.held: dict[str, api.EndpointEntry] = {}  # missing from it, and kept
        self.held_since = 0  # ns; meaningful while `held` is not empty
        self.accepted = False  # an operator accepts what is missing
        self.known_zones: dict[str, str] = {}  # by endpoint, kept after it has left the list

    def restore(self, entries: Iterable[api.EndpointEntry]) -> api.EndpointListChanged:
        """Take the stored list, before any source has answered."""
        self.entries = {entry.endpoint: entry for entry in entries}
        self.known_zones = {entry.endpoint: entry.zone for entry in self.entries.values()}
        return api.EndpointListChanged("restored", tuple(self.entries.values()))

    def update_zones(self, entries: Iterable[api.EndpointEntry]) -> list[str]:
        """Note the zones of endpoints; returns the endpoints whose zone is new or has changed."""
        entries = list(entries)
        changed = [entry.endpoint for entry in entries if self.known_zones.get(entry.endpoint) != entry.zone]
        self.known_zones.update((entry.endpoint, entry.zone) for entry in entries)
        return changed

    def failed(self) -> api.EndpointListChanged:
        """The event for a source that gives no list."""
        return api.EndpointListChanged("unavailable", ())

    def apply(self, now: int, claimed: Iterable[api.EndpointEntry], is_lost: IsLost = never_lost) -> ListValidation:
        """Take a whole list from a source.

        Args:
            now: ns.
            claimed: the list as the source gave it.
            is_lost: tells which endpoints need not be held when the list omits them.
        """
        self.claim = list(claimed)
        problems: list[str] = []
        listed = self._consistent_entries(now, problems)
        if not listed and self.entries:
            problems.append("the list is empty: taken as a failed source, the list in force stays")
            return ListValidation(self.failed(), problems)
        self._update_held(now, listed, is_lost, problems)
        listed.update(self.held)
        if self.confirmed and listed == self.entries:
            return ListValidation(None, problems)
        self.entries, self.confirmed = listed, True
        return ListValidation(api.EndpointListChanged("replace", tuple(listed.values())), problems)

    def recheck(self, now: int, is_lost: IsLost) -> ListValidation | None:
        """Look whether entries that are held can go by now; None: none are held."""
        return self.apply(now, self.claim, is_lost) if self.held else None

    def accept(self, now: int, is_lost: IsLost) -> ListValidation | None:
        """An operator accepts the list as it is; None: nothing is held."""
        self.accepted = True
        return self.recheck(now, is_lost)

    # -- entries missing from a list

    def _update_held(
        self, now: int, listed: dict[str, api.EndpointEntry], is_lost: IsLost, problems: list[str]
    ) -> None:
        """Set `held` to the missing entries that stay in force for now."""
        serving = [endpoint for endpoint, entry in self.entries.items() if entry.state == "in_service"]
        missing = [endpoint for endpoint in serving if endpoint not in listed]
        held: dict[str, api.EndpointEntry] = {}
        if _too_many(len(missing), len(serving)):
            held = {endpoint: self.entries[endpoint] for endpoint in missing if not is_lost(endpoint)}
        if held and not self.held:
            self.held_since = now
        if self.accepted or now - self.held_since >= CONFIRM_NS:
            held = {}
        if held and held.keys() != self.held.keys():
            problems.append(
                f"{len(missing)} of {len(serving)} servers are missing at once: {len(held)} of them are kept "
                f"for {CONFIRM_NS // NS_PER_SECOND} s unless they fail; `damsonpick list accept` ends it"
            )
        self.held = held
        self.accepted = False

    # -- entries that cannot be as they are

    def _consistent_entries(self, now: int, problems: list[str]) -> dict[str, api.EndpointEntry]:
        """The claimed entries by endpoint, each once and with possible figures."""
        listed: dict[str, api.EndpointEntry] = {}
        for claimed in self.claim:
            entry = self._corrected(now, claimed, problems)
            other = listed.get(entry.endpoint)
            if other is not None and other != entry:
                problems.append(f"{entry.endpoint} is listed twice and differently: the safer state counts")
                entry = max(other, entry, key=_safety)
            listed[entry.endpoint] = entry
        return listed

    def _corrected(self, now: int, entry: api.EndpointEntry, problems: list[str]) -> api.EndpointEntry:
        """An entry with what cannot be replaced by the safer assumption."""
        if entry.started > now:
            problems.append(f"{entry.endpoint} started in the future: taken as started when first seen")
            entry = entry._replace(started=self._first_seen(now, entry))
        if entry.state not in STATES_BY_SAFETY:
            problems.append(f"{entry.endpoint} has the unknown state {entry.state!r}: taken as terminating")
            entry = entry._replace(state="terminating")
        if entry.zone not in self.zones:
            problems.append(f"{entry.endpoint} is in {entry.zone!r}, which is not among the zones")
        if not 0 < entry.weight < MAX_WEIGHT:
            problems.append(f"{entry.endpoint} has the weight {entry.weight}: taken as {DEFAULT_WEIGHT:g}")
            entry = entry._replace(weight=DEFAULT_WEIGHT)
        return entry

    def _first_seen(self, now: int, entry: api.EndpointEntry) -> int:
        """When an entry with an impossible start was first seen in its state, ns."""
        known = self.entries.get(entry.endpoint)
        if known is not None and 0 < known.started <= now and known.state == entry.state:
            return known.started
        return now


def _too_many(missing: int, serving: int) -> bool:
    """Whether more endpoints are missing at once than a real change would explain."""
    return missing >= MIN_MISSING and missing > MAX_MISSING_SHARE * serving


def _safety(entry: api.EndpointEntry) -> int:
    return STATES_BY_SAFETY.index(entry.state)
