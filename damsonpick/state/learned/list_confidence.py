"""Confidence in the entries of a cached endpoint list while no list source has answered. Sans I/O.

Only a pilot that starts from a cached list lowers confidence: a source that fails under a running pilot makes no
endpoint draining or gone. The age of an entry counts from when a source last confirmed it, or from its last successful
response, whichever is later.

    up to FRESH_AGE_NS       as listed
    up to MAX_AGE_NS         a reduced share, until a successful response
    older                    last resort: used only where a slice would have no entry, and on trial one at a time
    ejected, only failures   last resort, and on trial again up to MAX_RETRIALS times; then nothing until a source
                             confirms it

A successful response in this incarnation restores full confidence. Once a source has given a list, all its entries
count as listed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.time_units import NS_PER_SECOND

SOURCE_GRACE_NS = NS_PER_SECOND  # for a source to answer before confidence is lowered: most do
FRESH_AGE_NS = 120 * NS_PER_SECOND
MAX_AGE_NS = 86_400 * NS_PER_SECOND
MIN_FAILED_ATTEMPTS = 4  # without a success, before an endpoint is ejected
TRIAL_INTERVAL_NS = 5 * NS_PER_SECOND  # between trials, of one endpoint at a time
TRIAL_BACKOFF_NS = 20 * NS_PER_SECOND  # until the first retrial of an ejected endpoint; doubles with each ejection
MAX_RETRIALS = 2


class EntryConfidence(Enum):
    """Confidence in an entry; the value is the share of load that it may have, 0 to 1."""

    AS_LISTED = 1.0
    REDUCED = 0.5
    ON_TRIAL = 0.25
    LAST_RESORT = 0.0


class EntryTimes(NamedTuple):
    """When an entry was last confirmed by a source and last responded successfully: clock times, ns; 0: not known."""

    confirmed_at: int
    last_success_at: int


@dataclass(slots=True)
class EntryState:
    """What this incarnation has observed of one entry.

    Attributes:
        times: as they were at the start, or when it was first listed.
        has_succeeded: it has responded successfully, and was not ejected since.
        ejections: how often only failures were seen, since the last success.
        failed_attempts: since the last success or ejection.
        retry_at: clock time from which it may be on trial.
        on_trial: it is now.
    """

    times: EntryTimes
    has_succeeded: bool = False
    ejections: int = 0
    failed_attempts: int = 0
    retry_at: int = 0
    on_trial: bool = False

    def age_ns(self, now: int) -> int:
        """Time since a source confirmed it or it responded, before this incarnation observed it."""
        return max(0, now - max(self.times))


class ListConfidence:
    """Confidence in each entry of the endpoint list in force."""

    def __init__(self) -> None:
        """Begin without a list."""
        self.is_confirmed = False  # a source has given a list in this incarnation
        self.started_at = 0
        self.entries: dict[str, EntryState] = {}
        self.last_success_at: dict[str, int] = {}  # by endpoint
        self.published: dict[str, float] = {}  # confidence by endpoint as last given to the planner
        self.next_trial_at = 0

    def restore(self, now: int, times: Mapping[str, EntryTimes]) -> None:
        """Begin with a cached list, before any source has answered."""
        self.started_at = now
        self.entries = {name: EntryState(entry_times) for name, entry_times in times.items()}
        self.last_success_at = {
            name: entry_times.last_success_at for name, entry_times in times.items() if entry_times.last_success_at
        }

    def confirm(self, now: int, endpoints: Iterable[str]) -> None:
        """A source has given a list: from now on its entries count as listed."""
        self.is_confirmed = True
        for name in endpoints:
            self.entries.setdefault(name, EntryState(EntryTimes(now, 0)))

    # -- load reports

    def apply_reports(self, now: int, events: Iterable[api.Event]) -> None:
        """Apply the outcomes of attempts from endpoint reports, summed over zones; other events are ignored."""
        attempts: dict[str, int] = {}
        successes: dict[str, int] = {}
        for event in events:
            if isinstance(event, api.EndpointReport):
                name = event.endpoint
                attempts[name] = attempts.get(name, 0) + event.attempts
                successes[name] = successes.get(name, 0) + event.attempts - event.failures
        for name, count in attempts.items():
            if successes[name]:
                self.last_success_at[name] = now
            entry = self.entries.get(name)
            if entry is not None:
                _apply_outcomes(now, entry, count, successes[name])

    def is_lost(self, now: int, name: str) -> bool:
        """Whether there is no reason to hold an entry that the newest list no longer names.

        It was ejected and has not succeeded since, or no source has answered and it is no longer fresh.
        """
        entry = self.entries.get(name)
        if entry is None or entry.has_succeeded:
            return False
        is_outdated = not self.is_confirmed and entry.age_ns(now) > FRESH_AGE_NS
        return entry.ejections > 0 or is_outdated

    def last_evidence_at(self, name: str) -> int:
        """Clock time when a source or a successful response last confirmed an endpoint, ns; 0: not known."""
        entry = self.entries.get(name)
        times = entry.times if entry is not None else EntryTimes(0, 0)
        return max(*times, self.last_success_at.get(name, 0), 0)

    # -- confidence

    def is_settled(self, now: int) -> bool:
        """Whether a source has answered, or its time to answer is over."""
        return self.is_confirmed or now - self.started_at >= SOURCE_GRACE_NS

    def confidences(self, now: int) -> dict[str, float]:
        """Confidence by endpoint, 0 to 1. May put an endpoint on trial."""
        if self.is_confirmed:
            return dict.fromkeys(self.entries, EntryConfidence.AS_LISTED.value)
        self._start_trial(now)
        return {name: _confidence(now, entry).value for name, entry in self.entries.items()}

    def _start_trial(self, now: int) -> None:
        """Put the next last-resort entry on trial, if it is time for one.

        One at a time, and only once others are known to respond: requests to an endpoint on trial may fail.
        """
        states = self.entries.values()
        if now < self.next_trial_at or not any(entry.has_succeeded for entry in states):
            return
        if any(entry.on_trial for entry in states):
            return
        for entry in states:
            is_last_resort = _confidence(now, entry) is EntryConfidence.LAST_RESORT
            if is_last_resort and entry.ejections <= MAX_RETRIALS and now >= entry.retry_at:
                entry.on_trial = True
                self.next_trial_at = now + TRIAL_INTERVAL_NS
                return

    def changes(self, now: int) -> list[api.EndpointConfidenceChanged]:
        """Events for the planner: what has changed since the last call."""
        if not self.is_settled(now):
            return []
        events = []
        for name, confidence in self.confidences(now).items():
            if self.published.get(name, 1.0) != confidence:
                self.published[name] = confidence
                events.append(api.EndpointConfidenceChanged(name, confidence))
        return events

    def published_events(self) -> list[api.EndpointConfidenceChanged]:
        """All that was published and still differs from full confidence, for a planner that was restarted."""
        return [
            api.EndpointConfidenceChanged(name, confidence)
            for name, confidence in self.published.items()
            if confidence != 1.0
        ]


def _apply_outcomes(now: int, entry: EntryState, attempts: int, successes: int) -> None:
    """One success restores an entry; `MIN_FAILED_ATTEMPTS` without one eject it, also after successes.

    An endpoint that responded before may have been retired meanwhile.
    """
    if successes:
        entry.has_succeeded = True
        entry.failed_attempts = 0
        entry.ejections = 0
        entry.on_trial = False
        return
    entry.failed_attempts += attempts
    if entry.failed_attempts < MIN_FAILED_ATTEMPTS:
        return
    entry.has_succeeded = False
    entry.failed_attempts = 0
    entry.on_trial = False
    entry.ejections += 1
    entry.retry_at = now + TRIAL_BACKOFF_NS * 2 ** (entry.ejections - 1)


def _confidence(now: int, entry: EntryState) -> EntryConfidence:
    """Confidence in an entry of a cached list, by what was observed of it, otherwise by its age."""
    if entry.has_succeeded:
        return EntryConfidence.AS_LISTED
    if entry.on_trial:
        return EntryConfidence.ON_TRIAL
    age_ns = entry.age_ns(now)
    if entry.ejections or age_ns > MAX_AGE_NS:
        return EntryConfidence.LAST_RESORT
    return EntryConfidence.AS_LISTED if age_ns <= FRESH_AGE_NS else EntryConfidence.REDUCED
