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


def retrying() -> None:
    """All classes are tried again after any failure."""

    def apply(self, orders):
        return real(self, [o._replace(retry=3) if isinstance(o, api.SetAdmission) else o for o in orders])

    real, PublishedTables.apply = PublishedTables.apply, apply


def reckless() -> None:
    """A warming endpoint is taken for a warm one, and for a huge one."""
    slow_start.warm_up_share = lambda fleet, endpoint: 1.0
    capacity.capacity_of = lambda fleet, endpoint: 1000.0 if endpoint.started else 0.1


if __name__ == "__main__":
    globals()[sys.argv.pop(1)]()
    main()
