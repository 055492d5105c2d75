"""Confidence in the entries of a cached endpoint list while no list source has responded. Sans I/O.

Confidence is lowered only in a pilot that starts from a cached list. If a source fails while a pilot is running, no
endpoint becomes draining or gone. The age of an entry is the time since a source last confirmed it or since its last
successful response, whichever is later.

    up to FRESH_AGE_NS       as listed
    up to MAX_AGE_NS         a reduced share, until a successful response
    older                    last resort: used only if no other endpoint is left, and put on trial one at a time
    ejected                  last resort, and put on trial again up to MAX_RETRIALS times; then not until a source
                             confirms the entry

An endpoint is ejected after `MIN_FAILED_ATTEMPTS` failed attempts without a success in between. A successful response
in this incarnation restores full confidence. After a source has sent a list, all its entries have full confidence.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.time_units import NS_PER_SECOND

SOURCE_GRACE_NS = NS_PER_SECOND  # time after the start before confidence is lowered; most sources respond within it
FRESH_AGE_NS = 120 * NS_PER_SECOND
MAX_AGE_NS = 86_400 * NS_PER_SECOND
MIN_FAILED_ATTEMPTS = 4  # failed attempts without a success after which an endpoint is ejected
TRIAL_INTERVAL_NS = 5 * NS_PER_SECOND  # minimum time between the starts of trials; only one runs at a time
TRIAL_BACKOFF_NS = 20 * NS_PER_SECOND  # time until an ejected endpoint is on trial again; doubles with each ejection
MAX_RETRIALS = 2  # maximum number of trials of an endpoint after its first ejection


class EntryConfidence(Enum):
    """Confidence in an entry. The value, 0 to 1, is sent to the planner, which scales the endpoint's capacity by it."""

    AS_LISTED = 1.0
    REDUCED = 0.5
    ON_TRIAL = 0.25
    LAST_RESORT = 0.0


class EntryTimes(NamedTuple):
    """Clock times when an entry was last confirmed by a source and last responded successfully, ns; 0 if unknown."""

    confirmed_at: int
    last_success_at: int


@dataclass(slots=True)
class EntryState:
    """Observations of one entry in this incarnation.

    Attributes:
        times: Times of the entry at the start of the pilot, or when it was first listed.
        has_succeeded: Whether the endpoint has responded successfully and has not been ejected since.
        ejections: Number of ejections since the last success.
        failed_attempts: Number of failed attempts since the last success or ejection.
        retry_at: Clock time from which the endpoint may be on trial again, ns.
        on_trial: Whether the endpoint is on trial.
    """

    times: EntryTimes
    has_succeeded: bool = False
    ejections: int = 0
    failed_attempts: int = 0
    retry_at: int = 0
    on_trial: bool = False

    def age_ns(self, now: int) -> int:
        """Return the time since the later of the two `times`, ns; 0 if that time is in the future."""
        return max(0, now - max(self.times))


class ListConfidence:
    """Confidence in each entry of the effective endpoint list."""

    def __init__(self) -> None:
        """Create the state without a list."""
        self.is_confirmed = False  # whether a source has sent a list in this incarnation
        self.started_at = 0
        self.entries: dict[str, EntryState] = {}
        self.last_success_at: dict[str, int] = {}  # clock time of the last successful response by endpoint, ns
        self.published: dict[str, float] = {}  # confidence by endpoint as last sent to the planner
        self.next_trial_at = 0

    def restore(self, now: int, times: Mapping[str, EntryTimes]) -> None:
        """Use the entries of a cached list until a source responds."""
        self.started_at = now
        self.entries = {name: EntryState(entry_times) for name, entry_times in times.items()}
        self.last_success_at = {
            name: entry_times.last_success_at for name, entry_times in times.items() if entry_times.last_success_at
        }

    def confirm(self, now: int, endpoints: Iterable[str]) -> None:
        """Record that a source has sent a list. From now on, all entries have full confidence."""
        self.is_confirmed = True
        for name in endpoints:
            self.entries.setdefault(name, EntryState(EntryTimes(now, 0)))

    # -- load reports

    def apply_reports(self, now: int, events: Iterable[api.Event]) -> None:
        """Apply the outcomes of attempts in endpoint reports, summed over zones; ignore other events."""
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
        """Return whether there is no reason to hold an entry that the newest list omits.

        This is so if the endpoint was ejected and has not succeeded since. It is also so if no source has sent a list,
        the entry is older than `FRESH_AGE_NS`, and the endpoint has not succeeded in this incarnation.
        """
        entry = self.entries.get(name)
        if entry is None or entry.has_succeeded:
            return False
        is_outdated = not self.is_confirmed and entry.age_ns(now) > FRESH_AGE_NS
        return entry.ejections > 0 or is_outdated

    def last_evidence_at(self, name: str) -> int:
        """Return the latest known time of a confirmation or successful response of an endpoint, ns; 0 if unknown.

        The confirmation is the one in `EntryState.times`, which later lists do not update.
        """
        entry = self.entries.get(name)
        times = entry.times if entry is not None else EntryTimes(0, 0)
        return max(*times, self.last_success_at.get(name, 0), 0)

    # -- confidence

    def is_settled(self, now: int) -> bool:
        """Return whether a source has sent a list, or `SOURCE_GRACE_NS` has passed since the start."""
        return self.is_confirmed or now - self.started_at >= SOURCE_GRACE_NS

    def confidences(self, now: int) -> dict[str, float]:
        """Return the confidence by endpoint, 0 to 1. This may put an endpoint on trial."""
        if self.is_confirmed:
            return dict.fromkeys(self.entries, EntryConfidence.AS_LISTED.value)
        self._start_trial(now)
        return {name: _confidence(now, entry).value for name, entry in self.entries.items()}

    def _start_trial(self, now: int) -> None:
        """Put the next last-resort entry on trial, if the interval since the last trial has passed.

        Only one entry at a time is on trial, and only after another endpoint has responded, because requests to an
        endpoint on trial may fail.
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
        """Return events with the confidences that have changed since the last call, and record them as published.

        Before `is_settled`, nothing is returned or recorded. The call may put an endpoint on trial.
        """
        if not self.is_settled(now):
            return []
        events = []
        for name, confidence in self.confidences(now).items():
            if self.published.get(name, 1.0) != confidence:
                self.published[name] = confidence
                events.append(api.EndpointConfidenceChanged(name, confidence))
        return events

    def published_events(self) -> list[api.EndpointConfidenceChanged]:
        """Return events with all published confidences below 1, for a planner that was restarted."""
        return [
            api.EndpointConfidenceChanged(name, confidence)
            for name, confidence in self.published.items()
            if confidence != 1.0
        ]


def _apply_outcomes(now: int, entry: EntryState, attempts: int, successes: int) -> None:
    """Restore an entry after one success, or eject it after `MIN_FAILED_ATTEMPTS` failed attempts without one.

    An entry that had successes before is ejected too, because the endpoint may have been retired meanwhile.
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
    """Return the confidence in an entry of a cached list, by its observations or, without any, by its age."""
    if entry.has_succeeded:
        return EntryConfidence.AS_LISTED
    if entry.on_trial:
        return EntryConfidence.ON_TRIAL
    age_ns = entry.age_ns(now)
    if entry.ejections or age_ns > MAX_AGE_NS:
        return EntryConfidence.LAST_RESORT
    return EntryConfidence.AS_LISTED if age_ns <= FRESH_AGE_NS else EntryConfidence.REDUCED
