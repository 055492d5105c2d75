"""Pilots that break a rule on purpose: `python -m tests.broken_pilot WHICH run FILE`. For tests alone."""

from __future__ import annotations

import sys

from damsonpick import interface as api
from damsonpick.cli import main as cli
from damsonpick.decisions.planner import Planner
from damsonpick.state.published_tables import PublishedTables


def deaf_to_drains() -> None:
    """Servers that drain or are gone are never heard of."""

    def listed(self, event):
        kept = tuple(e._replace(state="in_service") for e in event.entries)
        return heard(self, api.EndpointListChanged("update" if event.kind == "replace" else event.kind, kept))

    heard, Planner.on_EndpointListChanged = Planner.on_EndpointListChanged, listed


def bare() -> None:
    """Every slice but the first loses its lines soon after the start."""

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
    """A cold server is taken for a warm one, and for a huge one."""
    Planner.warm_up_share = lambda self, ep: 1.0
    Planner.capacity_of = lambda self, ep: 1000.0 if ep.started else 0.1


if __name__ == "__main__":
    globals()[sys.argv.pop(1)]()
    cli.main()
