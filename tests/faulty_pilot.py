"""A pilot whose module fails every twelfth call: `python -m tests.faulty_pilot run FILE`."""

from __future__ import annotations

from damsonpick.cli import pilot as pilot_commands
from damsonpick.cli.main import main
from damsonpick.decisions.planner import Planner


class Faulty(Planner):
    calls = 0

    def handle(self, now, events):
        Faulty.calls += 1
        if Faulty.calls % 12 == 0:
            raise RuntimeError("told to fail")
        return super().handle(now, events)


if __name__ == "__main__":
    run_pilot = pilot_commands.run_pilot
    pilot_commands.run_pilot = lambda settings, port_file: run_pilot(settings, port_file, planner_factory=Faulty)
    main()
