"""Validates the lists of a source and converts them to the planner's list events. Sans I/O.

A list may be wrong, so it is made consistent first. An endpoint that is listed twice gets the safer of its states. A
start time in the future is replaced by the time when the endpoint was first seen. An empty list after one with entries
is treated as a failure of the source, because a real fleet does not disappear within one response. It does not change
the effective list, which is the list that the planner uses.

If the entries missing from a list are a large part of the endpoints in service, they are held: they stay in the
effective list. They are held until entries have been held for `CONFIRM_NS` without interruption, an operator accepts
the list, or nothing indicates any more that they exist (for example, all requests of clients to them fail). The states
terminating and terminated apply at once, for any number of entries.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.time_units import NS_PER_SECOND

MAX_MISSING_SHARE = 0.4  # if at most this share of the endpoints in service is missing from a list, none is held
MIN_MISSING = 3  # if fewer endpoints are missing from a list, none is held
CONFIRM_NS = 30 * NS_PER_SECOND  # time for which entries are held without interruption before all of them are removed
MAX_WEIGHT = 1e6  # exclusive upper bound on a listed weight
DEFAULT_WEIGHT = 1.0  # replaces an invalid weight
STATES_BY_SAFETY: tuple[api.EndpointStatus, ...] = ("in_service", "terminating", "terminated")  # safest last

IsLost = Callable[[str], bool]  # whether nothing indicates any more that an endpoint exists


def never_lost(_endpoint: str) -> bool:
    """Return False: an `IsLost` for callers that have no information about endpoints."""
    return False


class ListValidation(NamedTuple):
    """Result of the validation of a list.

    Attributes:
        event: Event for the planner. None if nothing has changed.
        problems: Faults of the list, as text for operators.
    """

    event: api.EndpointListChanged | None
    problems: list[str]


class EndpointList:
    """The effective endpoint list, as sent to the planner.

    Args:
        zones: Names of the zones that endpoints may be in.
    """

    def __init__(self, zones: tuple[str, ...]) -> None:
        """Create an empty list that no source has confirmed."""
        self.zones = zones
        self.entries: dict[str, api.EndpointEntry] = {}
        self.confirmed = False  # whether the list of a source has been applied since the start
        self.received_entries: list[api.EndpointEntry] = []  # the last list of a source, before validation
        self.held: dict[str, api.EndpointEntry] = {}  # entries missing from `received_entries` that stay effective
        # Time since which `held` has not been empty, ns; valid only while it is not empty. Entries that are held later
        # do not change it, so they are held for less than `CONFIRM_NS`.
        self.held_since = 0
        self.accepted = False  # whether an operator has accepted that entries are missing; reset when a list is applied
        self.known_zones: dict[str, str] = {}  # zone by endpoint, also of endpoints that are no longer listed

    def restore(self, entries: Iterable[api.EndpointEntry]) -> api.EndpointListChanged:
        """Use the stored list until a source responds; return the event for the planner."""
        self.entries = {entry.endpoint: entry for entry in entries}
        self.known_zones = {entry.endpoint: entry.zone for entry in self.entries.values()}
        return api.EndpointListChanged("restored", tuple(self.entries.values()))

    def update_zones(self, entries: Iterable[api.EndpointEntry]) -> list[str]:
        """Store the zones of endpoints; return the endpoints whose zone is new or has changed."""
        entries = list(entries)
        changed = [entry.endpoint for entry in entries if self.known_zones.get(entry.endpoint) != entry.zone]
        self.known_zones.update((entry.endpoint, entry.zone) for entry in entries)
        return changed

    def unavailable_event(self) -> api.EndpointListChanged:
        """Return the event for a source that sends no list."""
        return api.EndpointListChanged("unavailable", ())

    def apply(self, now: int, received: Iterable[api.EndpointEntry], is_lost: IsLost = never_lost) -> ListValidation:
        """Validate and apply a complete list from a source.

        Args:
            now: Present time, ns.
            received: The list as the source sent it.
            is_lost: Returns whether an endpoint need not be held when the list omits it.
        """
        self.received_entries = list(received)
        problems: list[str] = []
        listed = self._consistent_entries(now, problems)
        if not listed and self.entries:
            problems.append("the list is empty: treated as a failed source, the previous list stays effective")
            return ListValidation(self.unavailable_event(), problems)
        self._update_held(now, listed, is_lost, problems)
        listed.update(self.held)
        if self.confirmed and listed == self.entries:
            return ListValidation(None, problems)
        self.entries, self.confirmed = listed, True
        return ListValidation(api.EndpointListChanged("replace", tuple(listed.values())), problems)

    def recheck(self, now: int, is_lost: IsLost) -> ListValidation | None:
        """Apply the last list again, so that entries that need not be held any more are removed.

        Returns:
            The result, or None if no entry is held.
        """
        return self.apply(now, self.received_entries, is_lost) if self.held else None

    def accept(self, now: int, is_lost: IsLost) -> ListValidation | None:
        """Remove the held entries, because an operator has accepted the list.

        If no entry is held, return None. The acceptance then applies to the next list that is applied.
        """
        self.accepted = True
        return self.recheck(now, is_lost)

    # -- entries missing from a list

    def _update_held(
        self, now: int, listed: dict[str, api.EndpointEntry], is_lost: IsLost, problems: list[str]
    ) -> None:
        """Set `held` to the missing entries that stay effective for now, and reset `accepted`.

        The reported problem gives the whole `CONFIRM_NS`, which applies only to the first held entries: if more entries
        are held later, all are removed `CONFIRM_NS` after the first.
        """
        serving = [endpoint for endpoint, entry in self.entries.items() if entry.state == "in_service"]
        missing = [endpoint for endpoint in serving if endpoint not in listed]
        held: dict[str, api.EndpointEntry] = {}
        if _exceeds_missing_limit(len(missing), len(serving)):
            held = {endpoint: self.entries[endpoint] for endpoint in missing if not is_lost(endpoint)}
        if held and not self.held:
            self.held_since = now
        if self.accepted or now - self.held_since >= CONFIRM_NS:
            held = {}
        if held and held.keys() != self.held.keys():
            problems.append(
                f"{len(missing)} of {len(serving)} servers are missing at once: {len(held)} of them are kept "
                f"for {CONFIRM_NS // NS_PER_SECOND} s unless they fail; `damsonpick list accept` removes them now"
            )
        self.held = held
        self.accepted = False

    # -- invalid entries

    def _consistent_entries(self, now: int, problems: list[str]) -> dict[str, api.EndpointEntry]:
        """Return the listed entries by endpoint, without duplicates and with invalid values replaced."""
        listed: dict[str, api.EndpointEntry] = {}
        for received in self.received_entries:
            entry = self._corrected(now, received, problems)
            other = listed.get(entry.endpoint)
            if other is not None and other != entry:
                problems.append(
                    f"{entry.endpoint} is listed twice with different values: the entry with the safer state is used"
                )
                entry = max(other, entry, key=_safety_rank)
            listed[entry.endpoint] = entry
        return listed

    def _corrected(self, now: int, entry: api.EndpointEntry, problems: list[str]) -> api.EndpointEntry:
        """Return an entry in which each invalid value, except an unknown zone, is replaced by a safe one."""
        if entry.started > now:
            problems.append(f"{entry.endpoint} has a start time in the future: the time when it was first seen is used")
            entry = entry._replace(started=self._first_seen(now, entry))
        if entry.state not in STATES_BY_SAFETY:
            problems.append(f"{entry.endpoint} has the unknown state {entry.state!r}: treated as terminating")
            entry = entry._replace(state="terminating")
        if entry.zone not in self.zones:
            problems.append(f"{entry.endpoint} is in {entry.zone!r}, which is not a known zone")
        if not 0 < entry.weight < MAX_WEIGHT:
            problems.append(f"{entry.endpoint} has the invalid weight {entry.weight}: replaced by {DEFAULT_WEIGHT:g}")
            entry = entry._replace(weight=DEFAULT_WEIGHT)
        return entry

    def _first_seen(self, now: int, entry: api.EndpointEntry) -> int:
        """Return the time when an entry with an impossible start time was first seen in its state, ns."""
        known = self.entries.get(entry.endpoint)
        if known is not None and 0 < known.started <= now and known.state == entry.state:
            return known.started
        return now


def _exceeds_missing_limit(missing: int, serving: int) -> bool:
    """Return whether more endpoints are missing at once than a real change would explain."""
    return missing >= MIN_MISSING and missing > MAX_MISSING_SHARE * serving


def _safety_rank(entry: api.EndpointEntry) -> int:
    return STATES_BY_SAFETY.index(entry.state)
