"""Runs pilots that deliberately break a rule, for tests: `python -m tests.broken_pilot WHICH run FILE`.

WHICH is the name of a function of this module.
"""

from __future__ import annotations

import sys

from damsonpick import interface as api
from damsonpick.cli.main import main
from damsonpick.decisions import capacity, slow_start
from damsonpick.decisions.endpoint_list import EndpointListTracker
from damsonpick.state.published_tables import PublishedTables


def ignore_drains() -> None:
    """Show the planner every endpoint as in service, even if the endpoint is draining or gone."""

    def apply_change(self, event):
        entries = tuple(entry._replace(state="in_service") for entry in event.entries)
        kind = "update" if event.kind == "replace" else event.kind
        return original(self, api.EndpointListChanged(kind, entries))

    original, EndpointListTracker.apply_change = EndpointListTracker.apply_change, apply_change


def remove_table_entries() -> None:
    """Remove all entries of every slice except the first, once the first tables have been published."""

    def apply(self, orders):
        change = original(self, orders)
        if self.seq > 2:  # the first tables have been published
            for number in range(1, self.slices):
                for name in list(self.tables[number]):
                    del self.tables[number][name]
                    change.entries.setdefault(f"slice/{number}", set()).add(name)
        return change

    original, PublishedTables.apply = PublishedTables.apply, apply


def replace_admission(**fields) -> None:
    """Replace the given fields in every admission order before the order is published."""

    def apply(self, orders):
        return original(self, [o._replace(**fields) if isinstance(o, api.SetAdmission) else o for o in orders])

    original, PublishedTables.apply = PublishedTables.apply, apply


def retry_all_classes() -> None:
    """Let proxies retry requests of all classes after any failure."""
    replace_admission(retry=3)


def overload_warming_endpoints() -> None:
    """Treat warming endpoints as warm, send them all requests of their slices, and shed no load to protect them."""
    warming = set()

    def warm_up_share(fleet, endpoint):
        if endpoint.started:
            warming.add(endpoint.name)
        return 1.0

    def apply(self, orders):
        change = original(self, orders)
        for number, table in self.tables.items():
            if any(name in warming for name in self.routable_endpoints(number)):
                for name in [name for name in table if name not in warming]:
                    del table[name]
                    change.entries.setdefault(f"slice/{number}", set()).add(name)
        return change

    slow_start.warm_up_share = warm_up_share
    capacity.capacity_of = lambda fleet, endpoint: 1000.0 if endpoint.started else 0.1
    replace_admission(level=1.0)
    original, PublishedTables.apply = PublishedTables.apply, apply


if __name__ == "__main__":
    globals()[sys.argv.pop(1)]()
    main()
