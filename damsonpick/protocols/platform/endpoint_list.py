"""The endpoint list as the planner knows it, and its version. No I/O.

An update changes the entries it names; a full one replaces the list, and endpoints that it does not name are removed.
Both take effect at once, as a drain must not wait here.
"""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.protocols.platform.discovery import EndpointListUpdate
from damsonpick.protocols.platform.errors import EndpointListError
from damsonpick.time_units import NS_PER_SECOND

DEFAULT_ROLLBACK_DELAY_NS = 10 * NS_PER_SECOND
COMPLETE_LIST = 0  # as the version from which a watch starts


class EndpointList:
    """Applies updates of the endpoint list and guards against those of an outdated copy.

    Attributes:
        version: of the last update that was applied.
        entries: by endpoint.
    """

    def __init__(self, known: EndpointListUpdate, rollback_delay_ns: int = DEFAULT_ROLLBACK_DELAY_NS) -> None:
        """Start with the list as this pilot last had it.

        Args:
            known: that list.
            rollback_delay_ns: for which updates older than the known version are ignored. An outdated copy
                catches up meanwhile; a discovery that has restarted its versions does not, and is believed then.
        """
        self.version = known.version
        self.entries = {entry.endpoint: entry for entry in known.entries}
        self.rollback_delay_ns = rollback_delay_ns
        self._outdated_since_ns: int | None = None  # since when only older updates have come
        self._needs_full_list = False  # a change may be lost
        self._confirmed = False  # discovery has sent an update since the start

    def initial_events(self) -> list[api.Event]:
        """Return the events that give a new planner the list."""
        entries = tuple(self.entries.values())
        events: list[api.Event] = [api.EndpointListChanged("restored", entries)]
        if self._confirmed:
            events.append(api.EndpointListChanged("replace", entries))
        return events

    def request_full_list(self) -> None:
        """Have the next watch start with the complete list, as a change may be lost."""
        self._needs_full_list = True

    def watch_from(self) -> int:
        """Return the version from which the next watch asks for changes."""
        return COMPLETE_LIST if self._needs_full_list else self.version

    def apply(self, update: EndpointListUpdate, now_ns: int) -> api.EndpointListChanged | None:
        """Apply an update.

        Returns:
            The event for the planner; None if the update is older than what is known, and is ignored. An outdated copy
            would bring drained and terminated endpoints back.

        Raises:
            EndpointListError: the update cannot be used and the complete list is needed.
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
        """Return known entries of endpoints that a full list names but that cannot be read: they must not end."""
        if not update.full:
            return []
        return [self.entries[endpoint] for endpoint in update.invalid_endpoints if endpoint in self.entries]

    def _accepts_rollback(self, update: EndpointListUpdate, now_ns: int) -> bool:
        """Whether an update that is older than what is known is applied all the same."""
        if self._outdated_since_ns is None:
            self._outdated_since_ns = now_ns
        if now_ns - self._outdated_since_ns < self.rollback_delay_ns:
            return False
        if not update.full:
            self._needs_full_list = True
            delay_s = self.rollback_delay_ns / NS_PER_SECOND
            raise EndpointListError("version", f"{update.version} after {self.version}, for {delay_s:g} s")
        return True
