"""Builds the first events of a new planner from the state at its start. Performs no I/O.

A new planner starts without state. It is created when the process starts, after an exception, when a pin begins or
ends, and when an operator discards the learned state. Its first events contain the endpoint list, the tables of the
owned slices, the persistent orders, the confidence in list entries and, if there is any, the learned state of an
earlier planner. If it replaces a planner of this process, they also contain the connected clients.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from structlog.typing import FilteringBoundLogger

from damsonpick import interface as api
from damsonpick.controller.slice_ownership import SliceOwnership
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.state.endpoint_list.validation import EndpointList
from damsonpick.state.learned import restore
from damsonpick.state.learned.snapshot import LearnedFleet, Snapshot
from damsonpick.state.published_tables import PublishedTables

NO_FLEET_KNOWLEDGE = LearnedFleet(0.0, 0.0)


class PlannerStart:
    """Builds the first events of a planner.

    Args:
        endpoint_list: The current endpoint list.
        published: The published tables and persistent orders.
        session_manager: Manages the connected clients.
        ownership: The slices that this controller owns.
        removed_entries: Entries that a rollback removed, by slice. Clients may still have them.
        log: Logger.
    """

    def __init__(
        self,
        endpoint_list: EndpointList,
        published: PublishedTables,
        session_manager: SessionManager,
        ownership: SliceOwnership,
        removed_entries: Mapping[int, Mapping[str, float]],
        log: FilteringBoundLogger,
    ) -> None:
        """Store the components. `events` reads them when a planner starts."""
        self.endpoint_list = endpoint_list
        self.published = published
        self.session_manager = session_manager
        self.ownership = ownership
        self.removed_entries = removed_entries
        self.log = log
        self.confidence_events: Callable[[], list[api.Event]] = list  # confidence in list entries

    def events(self, learned: Snapshot | None, replaces_planner: bool) -> list[api.Event]:
        """Return the events in the order in which the planner must receive them.

        Args:
            learned: Learned state of an earlier planner, with its aging applied, or None if there is none.
            replaces_planner: Whether the planner replaces a planner of this process, so that clients may have joined.
        """
        events = [
            *self._list_events(),
            *self._table_events(),
            *self._learned_events(learned),
            *self.confidence_events(),
        ]
        if replaces_planner:  # they join as not fresh, since they may apply withdrawals of the replaced planner
            events += self._client_events()
        return events

    def _list_events(self) -> list[api.Event]:
        entries = tuple(self.endpoint_list.entries.values())
        events: list[api.Event] = [api.EndpointListChanged("restored", entries)]
        if self.endpoint_list.confirmed:
            events.append(api.EndpointListChanged("replace", entries))
        return events

    def _table_events(self) -> list[api.Event]:
        """Return the owned slices and their entries.

        Entries that a rollback removed are included, because clients may still have them: if their endpoint drains now,
        it must be withdrawn.
        """
        events: list[api.Event] = []
        for number in sorted(self.ownership.owned):
            events.append(api.SliceOwnershipChanged(number, True))
            entries = {**self.removed_entries.get(number, {}), **self.published.tables[number]}
            events += [api.StoredEntry(number, endpoint, weight) for endpoint, weight in entries.items()]
        return events

    def _learned_events(self, learned: Snapshot | None) -> list[api.Event]:
        """Return the learned state of an earlier planner, if any, and the published withdrawals and fleet levels."""
        events = self._snapshot_events(learned) if learned is not None else []
        classes = range(len(self.published.classes))
        levels = tuple(self.published.level(None, class_index) for class_index in classes)
        withdrawn = tuple(self.published.withdrawn)
        if learned is not None or withdrawn or min(levels) < 1:
            fleet = learned.fleet if learned is not None else NO_FLEET_KNOWLEDGE
            events.append(api.FleetRestored(levels, withdrawn, fleet.best_throughput, fleet.throughput_per_capacity))
        return events

    def _snapshot_events(self, learned: Snapshot) -> list[api.Event]:
        mismatch = restore.settings_mismatch(learned, self.published.classes, self.published.slices)
        events, restarted = restore.restored_events(
            learned, self.endpoint_list.entries, self.ownership.owned, not mismatch
        )
        self.log.info(
            "learned_state_restored",
            endpoints=sum(isinstance(event, api.EndpointRestored) for event in events),
            endpoints_restarted=len(restarted),
            slices_left_out=mismatch,
        )
        return events

    def _client_events(self) -> list[api.Event]:
        clients = self.session_manager.clients.values()
        return [api.ProxyJoined(client.number, client.session.zone, 0.0, False) for client in clients]
