"""Runs a pilot whose planner fails at every twelfth call: `python -m tests.faulty_pilot run FILE`."""

from __future__ import annotations

from damsonpick.cli import pilot as pilot_commands
from damsonpick.cli.main import main
from damsonpick.decisions.planner import Planner


class FaultyPlanner(Planner):
    call_count = 0

    def handle(self, now, events):
        FaultyPlanner.call_count += 1
        if FaultyPlanner.call_count % 12 == 0:
            raise RuntimeError("injected planner failure")
        return super().handle(now, events)


if __name__ == "__main__":
    run_pilot = pilot_commands.run_pilot
    pilot_commands.run_pilot = lambda settings, port_file: run_pilot(settings, port_file, planner_factory=FaultyPlanner)
    main()
