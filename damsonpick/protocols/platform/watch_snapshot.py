"""The state that the registry sends at the start of a watch. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from damsonpick.protocols.platform import registry_events
from damsonpick.protocols.platform.stored_state import TableEntries


class Proxy(NamedTuple):
    """A joined proxy."""

    zone: str
    weight: float
    fresh: bool  # whether the proxy has no tables yet


class WatchSnapshot:
    """Proxies and tables of the registry, collected from the events before the first heartbeat of a watch."""

    def __init__(self) -> None:
        """Create an empty snapshot."""
        self.proxies: dict[int, Proxy] = {}
        self.tables: dict[int, TableEntries] = {}

    def apply(self, event: registry_events.RegistryEvent) -> None:
        """Apply one event of the watch to the snapshot."""
        if isinstance(event, registry_events.ProxyAttached):
            self.proxies[event.proxy] = Proxy(event.zone, event.weight, event.fresh)
        elif isinstance(event, registry_events.ProxyDetached):
            self.proxies.pop(event.proxy, None)
        elif isinstance(event, registry_events.OwnershipChanged):
            self.tables.pop(event.slice, None)
            if event.owned:
                self.tables[event.slice] = {}
        elif isinstance(event, registry_events.EntryChanged) and event.weight > 0:
            self.tables.setdefault(event.slice, {})[event.endpoint] = event.weight
