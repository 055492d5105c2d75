"""The endpoint list that the planner uses, and its version. No I/O.

A partial update changes the entries that it contains. A full update replaces the list and removes all other endpoints.
Both are applied on arrival, because a drain must not be delayed here. Only updates that are older than the known
version are ignored, for a limited time.
"""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.protocols.platform.discovery import EndpointListUpdate
from damsonpick.protocols.platform.errors import EndpointListError
from damsonpick.time_units import NS_PER_SECOND

DEFAULT_ROLLBACK_DELAY_NS = 10 * NS_PER_SECOND
COMPLETE_LIST = 0  # start version of a watch that requests the complete list


class EndpointList:
    """Applies updates of the endpoint list and ignores updates of an outdated copy of the list.

    Attributes:
        version: Version of the last applied update.
        entries: Entries by endpoint name.
    """

    def __init__(self, known: EndpointListUpdate, rollback_delay_ns: int = DEFAULT_ROLLBACK_DELAY_NS) -> None:
        """Create the list from the last known list.

        Args:
            known: The last list that this pilot received before it started.
            rollback_delay_ns: How long updates that are older than the known version are ignored. An outdated copy of
                the list catches up in this time. If discovery has restarted its version numbers, its updates remain
                older and are accepted after this delay.
        """
        self.version = known.version
        self.entries = {entry.endpoint: entry for entry in known.entries}
        self.rollback_delay_ns = rollback_delay_ns
        # Time of the first outdated update since the last applied update; None if there was no outdated update.
        self._outdated_since_ns: int | None = None
        self._needs_full_list = False  # whether a change may have been missed
        self._confirmed = False  # whether an update from discovery has been applied

    def initial_events(self) -> list[api.Event]:
        """Return the events that pass the current list to a new planner.

        The list is passed as `restored`, which may be outdated, and also as `replace` once an update from discovery has
        been applied.
        """
        entries = tuple(self.entries.values())
        events: list[api.Event] = [api.EndpointListChanged("restored", entries)]
        if self._confirmed:
            events.append(api.EndpointListChanged("replace", entries))
        return events

    def request_full_list(self) -> None:
        """Make the next watch start with the complete list, because a change may have been missed."""
        self._needs_full_list = True

    def watch_from(self) -> int:
        """Return the start version of the next watch, which is `COMPLETE_LIST` if a change may have been missed."""
        return COMPLETE_LIST if self._needs_full_list else self.version

    def apply(self, update: EndpointListUpdate, now_ns: int) -> api.EndpointListChanged | None:
        """Apply an update.

        Returns:
            The event for the planner, or None if the update is older than the known version and is ignored. Applying
            an outdated copy would restore drained and terminated endpoints.

        Raises:
            EndpointListError: Only outdated updates were received for `rollback_delay_ns`, and this update is partial.
                The complete list is required.
        """
        if update.version < self.version and not self._accepts_rollback(update, now_ns):
            return None
        entries = (*update.entries, *self._entries_to_keep(update))
        if update.full:
            self.entries = {}
            self._needs_full_list = False
        for entry in entries:
            self.entries[entry.endpoint] = entry
            if entry.state == "terminated":
                del self.entries[entry.endpoint]
        self.version = update.version
        self._confirmed = True
        self._outdated_since_ns = None
        return api.EndpointListChanged("replace" if update.full else "update", entries)

    def _entries_to_keep(self, update: EndpointListUpdate) -> list[api.EndpointEntry]:
        """Return the known entries of the endpoints whose entries in a full update are invalid.

        The update must not remove these endpoints, because its list contains them.
        """
        if not update.full:
            return []
        return [self.entries[endpoint] for endpoint in update.invalid_endpoints if endpoint in self.entries]

    def _accepts_rollback(self, update: EndpointListUpdate, now_ns: int) -> bool:
        """Return whether an update that is older than the known version is applied nevertheless.

        Raises:
            EndpointListError: The update is accepted now, but cannot be applied because it is partial. The complete
                list is required.
        """
        if self._outdated_since_ns is None:
            self._outdated_since_ns = now_ns
        if now_ns - self._outdated_since_ns < self.rollback_delay_ns:
            return False
        if not update.full:
            self._needs_full_list = True
            delay_s = self.rollback_delay_ns / NS_PER_SECOND
            raise EndpointListError(
                "version",
                f"{update.version} after {self.version}: the received version is older than the known version; only "
                f"older versions were received for {delay_s:g} s, and this update is partial; a full update is "
                "required",
            )
        return True
