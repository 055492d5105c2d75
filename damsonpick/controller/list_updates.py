"""Validates and stores endpoint lists, and passes them and changed confidences in their entries to the engine."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from structlog.typing import FilteringBoundLogger

from damsonpick import interface as api
from damsonpick.controller.engine import Engine
from damsonpick.runtime.clock import Clock
from damsonpick.state.endpoint_list.validation import EndpointList, ListValidation
from damsonpick.state.learned import restore
from damsonpick.state.learned.list_confidence import ListConfidence
from damsonpick.state.learned.snapshot import Snapshot
from damsonpick.state.load_reports import LoadReports
from damsonpick.state.store.sqlite import ListedAt, Store

MAX_LOGGED_ENDPOINTS = 20  # endpoints that one log entry about changes of confidence names


@dataclass(slots=True, eq=False)
class ListUpdater:
    """Processes a list from its source and passes the changes to the engine.

    Args:
        clock: Clock of the pilot.
        endpoint_list: The list as the engine has received it.
        confidence: Confidence in each entry.
        engine: Receives list events.
        load_reports: Accepts load reports on the endpoints of the stored list and of every list since the start.
        store: Stores the list, so that it survives a restart.
        on_change: Called after a change has been queued for the engine.
        notify: Wakes the drive loop.
        log: Logger for invalid lists and changes of the list.
    """

    clock: Clock
    endpoint_list: EndpointList
    confidence: ListConfidence
    engine: Engine
    load_reports: LoadReports
    store: Store
    on_change: Callable[[], None]
    notify: Callable[[], None]
    log: FilteringBoundLogger
    source: str = field(default="", init=False)  # source of the list that was applied last

    def start(self, learned: Snapshot | None, away: int | None) -> None:
        """Restore the confidence in the stored list, and accept load reports on its endpoints.

        The stored list is used until a source returns a list.

        Args:
            learned: Learned state of an earlier incarnation, with its aging applied, or None if there is none.
            away: Time in ns since that incarnation was last seen, or None if unknown.
        """
        now = self.clock.now()
        entries = self.endpoint_list.entries
        self.load_reports.known_endpoints = set(entries)
        times = restore.entry_times(learned, now, away, entries, self.store.listed_at())
        self.confidence.restore(now, times)

    def apply(self, source: str, entries: list[api.EndpointEntry]) -> None:
        """Apply a list that `source` returned."""
        now = self.clock.now()
        self.source = source
        self._apply(self.endpoint_list.apply(now, entries, lambda name: self.confidence.is_lost(now, name)))

    def list_unavailable(self) -> None:
        """Notify the engine that no source is available and that the list, which stays in use, may be out of date."""
        self.engine.enqueue(self.endpoint_list.unavailable_event())

    def accept(self) -> list[str]:
        """Apply an operator's confirmation that the held endpoints, which the list omits, are gone. Return them."""
        held = sorted(self.endpoint_list.held)
        validation = self.endpoint_list.accept(self.clock.now(), lambda name: False)
        if validation is not None:
            self._apply(validation)
            self.log.warning("list_accepted", removed=held)
        return held

    def recheck(self) -> None:
        """Apply changes that need no new list: remove endpoints that need not be held any more, update confidences."""
        now = self.clock.now()
        validation = self.endpoint_list.recheck(now, lambda name: self.confidence.is_lost(now, name))
        if validation is not None:
            self._apply(validation)
        changes = self.confidence.changes(now)
        if changes:
            confidences = {change.endpoint: change.confidence for change in changes[:MAX_LOGGED_ENDPOINTS]}
            self.log.info("list_confidence_changed", confidences=confidences, changes=len(changes))
            self.engine.enqueue(*changes)
            self.notify()

    def _apply(self, validation: ListValidation) -> None:
        for problem in validation.problems:
            self.log.warning("list_validation_failed", reason=problem)
        event = validation.event
        if event is None:
            return
        now = self.clock.now()
        names = [entry.endpoint for entry in event.entries]
        self.load_reports.known_endpoints.update(names)
        if event.kind == "replace":
            self.confidence.confirm(now, names)
            self._store(event)
        self.engine.relocate(now, self.endpoint_list.update_zones(event.entries))
        self.engine.enqueue(event, *self.confidence.changes(now))
        self.on_change()
        self.notify()

    def _store(self, event: api.EndpointListChanged) -> None:
        states: Counter[str] = Counter(entry.state for entry in event.entries)
        self.log.info("list_applied", **states)
        try:
            listed_at = ListedAt(self.clock.now(), self.source)
            self.store.save_endpoint_list(event.entries, listed_at, self.endpoint_list.held)
        except Exception as error:
            self._store_failed(error)

    def _store_failed(self, error: Exception) -> None:
        self.log.error(
            "list_not_stored", error=str(error), remedy="check free space and permissions of the state folder"
        )
