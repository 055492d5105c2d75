"""The state with which a watch of the registry begins. No I/O."""

from __future__ import annotations

from typing import NamedTuple

from damsonpick.protocols.platform import registry_events
from damsonpick.protocols.platform.stored_state import TableEntries


class Proxy(NamedTuple):
    """A joined proxy."""

    zone: str
    weight: float
    fresh: bool  # it holds no tables yet


class WatchSnapshot:
    """Proxies and tables of the registry, gathered from the events before the first heartbeat of a watch."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.proxies: dict[int, Proxy] = {}
        self.tables: dict[int, TableEntries] = {}

    def apply(self, event: registry_events.RegistryEvent) -> None:
        """Add one event of the watch."""
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
