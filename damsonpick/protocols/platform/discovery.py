"""The endpoint list: what discovery says, checked, and which version the pilot stands at. Sans I/O.

An update changes the entries it names; a full list replaces all, and what it no longer names is gone. Both bind at
once: a drain must not wait here. A spoilt entry costs only itself; the entry known before stays.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from damsonpick import interface as api

STATES = {"Ready": "in_service", "Terminating": "terminating", "Gone": "terminated"}
MS = 1_000_000
MOST_MS = 1 << 52  # far beyond any clock, and still exact as nanoseconds in a float-free sum
LOGGED = 8  # doubts said of one listing


class ListingError(ValueError):
    """What discovery sent is no listing at all; the text says why."""


class Listing(NamedTuple):
    """One object of discovery's."""

    version: int
    full: bool
    entries: tuple[api.EndpointEntry, ...]
    spoilt: tuple[str, ...] = ()  # ids of entries that cannot be read
    doubts: tuple[str, ...] = ()


EMPTY = Listing(0, True, ())


def _whole(value: Any, most: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and 0 <= value < most


def _entry(raw: Any) -> api.EndpointEntry:
    if not isinstance(raw, dict) or not isinstance(raw.get("id"), str) or not raw["id"]:
        raise ListingError("id: missing, or not text")
    name = raw["id"][:80]
    if raw.get("state") not in STATES:
        raise ListingError(f"{name}: state: {str(raw.get('state'))[:40]!r} is none of {', '.join(STATES)}")
    if not isinstance(raw.get("zone"), str):
        raise ListingError(f"{name}: zone: missing, or not text")
    weight, started = raw.get("weight", 1.0), raw.get("started_ms", 0)
    if isinstance(weight, bool) or not isinstance(weight, int | float) or not 0 <= weight < 1e9:
        raise ListingError(f"{name}: weight: {str(weight)[:40]} is no number from 0")
    if not _whole(started, MOST_MS):
        raise ListingError(f"{name}: started_ms: {str(started)[:40]} is no time in ms")
    return api.EndpointEntry(raw["id"], raw["zone"], STATES[raw["state"]], float(weight), started * MS)


def read_listing(raw: Any) -> Listing:
    """A listing from decoded JSON.

    Raises:
        ListingError: it is none; the text names the field.
    """
    if not isinstance(raw, dict):
        raise ListingError("not an object")
    if not _whole(raw.get("version"), 1 << 62):
        raise ListingError("version: missing, or no whole number")
    if not isinstance(raw.get("full"), bool):
        raise ListingError("full: missing, or neither true nor false")
    if not isinstance(raw.get("servers"), list):
        raise ListingError("servers: missing, or no list")
    entries, spoilt, doubts = [], [], []
    for item in raw["servers"]:
        try:
            entries.append(_entry(item))
        except ListingError as error:
            doubts.append(str(error))
            name = item.get("id") if isinstance(item, dict) else None
            spoilt.append(name if isinstance(name, str) else "")
    return Listing(raw["version"], raw["full"], tuple(entries), tuple(spoilt), tuple(doubts[:LOGGED]))


def decode(line: bytes) -> Listing:
    """A listing from one line of a watch.

    Raises:
        ListingError: it is none.
    """
    try:
        return read_listing(msgspec.json.decode(line))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ListingError(f"not JSON: {error}") from None


class EndpointList:
    """The list as the module has been told it.

    Args:
        known: the list as the pilot last had it.
        patience: ns for which what discovery tells may be older than what is known. A copy that lags catches up within
            it; a discovery that counts anew does not, and is believed then.
    """

    def __init__(self, known: Listing, patience: int = 10_000_000_000) -> None:
        self.version, self.patience = known.version, patience
        self.older_since: int | None = None  # ns: only older listings have come since
        self.whole = False  # a change may be lost: ask for the whole list
        self.entries = {entry.endpoint: entry for entry in known.entries}
        self.fresh = False  # discovery has spoken since the start

    def begin(self) -> list[api.Event]:
        """What a new planner is told of the list."""
        kept = tuple(self.entries.values())
        events: list[api.Event] = [api.EndpointListChanged("restored", kept)]
        return [*events, api.EndpointListChanged("replace", kept)] if self.fresh else events

    def since(self) -> int:
        """The version from which changes are to be asked for; 0: the whole list."""
        return 0 if self.whole else self.version

    def take(self, listing: Listing, now: int) -> api.EndpointListChanged | None:
        """The event that a listing is; None: it is older than what is known, and changes nothing. An older copy would
        bring drained and ended endpoints back.

        Raises:
            ListingError: the whole list must be had.
        """
        if listing.version < self.version and not self._believed(listing, now):
            return None
        # A full list with an entry that cannot be read must not end that endpoint: the entry known before holds.
        kept = [self.entries[name] for name in listing.spoilt if listing.full and name in self.entries]
        entries = (*listing.entries, *kept)
        if listing.full:
            self.entries, self.whole = {}, False
        for entry in entries:
            self.entries[entry.endpoint] = entry
            if entry.state == "terminated":
                del self.entries[entry.endpoint]
        self.version, self.fresh, self.older_since = listing.version, True, None
        return api.EndpointListChanged("replace" if listing.full else "update", entries)

    def _believed(self, listing: Listing, now: int) -> bool:
        """Whether a listing that is older than what is known is to be taken all the same."""
        self.older_since = now if self.older_since is None else self.older_since
        if now - self.older_since < self.patience:
            return False
        if not listing.full:
            self.whole = True
            raise ListingError(f"version {listing.version} after {self.version}, for {self.patience / 1e9:g} s")
        return True
