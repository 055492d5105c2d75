"""A pilot with a careful hand-made weighting in the solver's place: listed weight, own building three times."""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.cli import pilot as pilot_commands
from damsonpick.cli.main import main
from damsonpick.decisions.planner import Planner
from damsonpick.solver.advice import Advisor
from damsonpick.solver.plan import normalise

OWN = 3.0


class HandMade(Advisor):
    """Tables as a careful operator would write them; the module's rules bind them like the solver's."""

    def is_due(self, now: int, planner: Planner) -> bool:
        return False

    def initial_tables(self, planner: Planner) -> list[api.Event]:
        if self.advised_weights or not planner.endpoints:
            return []
        return self._by_hand(planner)

    def repaired_tables(self, planner: Planner) -> list[api.Event]:
        # A cold server is let back in by hand once it is warm: operators know of the ramp.
        now = (self.fleet(planner), tuple(n for n in sorted(planner.usable_capacities()) if planner.is_warming_up(n)))
        if not self.advised_weights or now == self.repaired_fleet:
            return []
        self.repaired_fleet = now
        return self._by_hand(planner)

    def _by_hand(self, planner: Planner) -> list[api.Event]:
        usable = [n for n in sorted(planner.usable_capacities()) if not planner.is_warming_up(n)] or sorted(
            planner.usable_capacities()
        )
        tables = {
            (zone, kind.name): normalise(
                {n: planner.endpoints[n].weight * (OWN if self.zone_of(n) == zone else 1.0) for n in usable}
            )
            for zone in self.settings.pilot.zones
            for kind in self.classes
        }
        return self.advise_tables(tables, planner)


if __name__ == "__main__":
    run_pilot = pilot_commands.run_pilot
    pilot_commands.run_pilot = lambda settings, port_file: run_pilot(settings, port_file, advisor_factory=HandMade)
    main()
