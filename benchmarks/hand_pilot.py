"""Run a pilot with careful hand-made weights in place of the solver: the listed weight, times three in the own zone."""

from __future__ import annotations

from damsonpick import interface as api
from damsonpick.cli import pilot as pilot_commands
from damsonpick.cli.main import main
from damsonpick.decisions.planner import Planner
from damsonpick.solver.advice import Advisor
from damsonpick.solver.plan import normalise

OWN_ZONE_FACTOR = 3.0  # on the listed weight of a server in the zone of the gateway


class HandMadeAdvisor(Advisor):
    """Writes tables as a careful operator would. The planner's rules apply to them as to the tables of the solver."""

    def is_due(self, now: int, planner: Planner) -> bool:
        return False

    def initial_tables(self, planner: Planner) -> list[api.Event]:
        if self.advised_weights or not planner.endpoints:
            return []
        return self._advise_hand_made_tables(planner)

    def advice_for_changed_fleet(self, planner: Planner) -> list[api.Event]:
        # Operators know that a cold server warms up, so they return it to the tables by hand once it is warm.
        fleet_state = (
            self.fleet(planner),
            tuple(n for n in sorted(planner.usable_capacities()) if planner.is_warming_up(n)),
        )
        if not self.advised_weights or fleet_state == self.repaired_fleet:
            return []
        self.repaired_fleet = fleet_state
        return self._advise_hand_made_tables(planner)

    def _advise_hand_made_tables(self, planner: Planner) -> list[api.Event]:
        usable = [n for n in sorted(planner.usable_capacities()) if not planner.is_warming_up(n)] or sorted(
            planner.usable_capacities()
        )
        tables = {
            (zone, kind.name): normalise(
                {n: planner.endpoints[n].weight * (OWN_ZONE_FACTOR if self.zone_of(n) == zone else 1.0) for n in usable}
            )
            for zone in self.settings.pilot.zones
            for kind in self.classes
        }
        return self.advise_tables(tables, planner)


if __name__ == "__main__":
    run_pilot = pilot_commands.run_pilot
    pilot_commands.run_pilot = lambda settings, port_file: run_pilot(
        settings, port_file, advisor_factory=HandMadeAdvisor
    )
    main()
