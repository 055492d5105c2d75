"""Pilots that break a rule on purpose: `python -m tests.broken_pilot WHICH run FILE`. For tests alone."""

from __future__ import annotations

import sys

from damsonpick import interface as api
from damsonpick.cli.main import main
from damsonpick.decisions import capacity, slow_start
from damsonpick.decisions.endpoint_list import EndpointListTracker
from damsonpick.state.published_tables import PublishedTables


def deaf_to_drains() -> None:
    """Endpoints that drain or are gone are taken to be in service."""

    def apply_change(self, event):
        entries = tuple(entry._replace(state="in_service") for entry in event.entries)
        kind = "update" if event.kind == "replace" else event.kind
        return real(self, api.EndpointListChanged(kind, entries))

    real, EndpointListTracker.apply_change = EndpointListTracker.apply_change, apply_change


def bare() -> None:
    """Every slice but the first loses its entries soon after the start."""

    def apply(self, orders):
        change = real(self, orders)
        if self.seq > 2:  # the first tables have gone out
            for number in range(1, self.slices):
                for name in list(self.tables[number]):
                    del self.tables[number][name]
                    change.entries.setdefault(f"slice/{number}", set()).add(name)
        return change

    real, PublishedTables.apply = PublishedTables.apply, apply


def replace_admission(**fields) -> None:
    """Every admission order goes out with other values in these fields."""

    def apply(self, orders):
        return real(self, [o._replace(**fields) if isinstance(o, api.SetAdmission) else o for o in orders])

    real, PublishedTables.apply = PublishedTables.apply, apply


def retrying() -> None:
    """All classes are tried again after any failure."""
    replace_admission(retry=3)


def reckless() -> None:
    """A warming endpoint is taken for a warm one, gets all requests of its slices, and nothing is shed to spare it."""
    warming = set()

    def warm_up_share(fleet, endpoint):
        if endpoint.started:
            warming.add(endpoint.name)
        return 1.0

    def apply(self, orders):
        change = real(self, orders)
        for number, table in self.tables.items():
            if any(name in warming for name in self.routable_endpoints(number)):
                for name in [name for name in table if name not in warming]:
                    del table[name]
                    change.entries.setdefault(f"slice/{number}", set()).add(name)
        return change

    slow_start.warm_up_share = warm_up_share
    capacity.capacity_of = lambda fleet, endpoint: 1000.0 if endpoint.started else 0.1
    replace_admission(level=1.0)
    real, PublishedTables.apply = PublishedTables.apply, apply


if __name__ == "__main__":
    globals()[sys.argv.pop(1)]()
    main()
