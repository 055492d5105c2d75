"""Runs a pilot whose solver is slow, raises or ends its process: `python -m tests.slow_solver_pilot WHICH run FILE`.

WHICH is the name of a function of this module.
"""

from __future__ import annotations

import sys
import time

from damsonpick.cli import pilot as pilot_commands
from damsonpick.cli.main import main


def slow(problem, limit):
    """Run far longer than any time limit, in a busy loop that reacts to no request to stop."""
    end = time.monotonic() + 60
    while time.monotonic() < end:
        pass


def failing(problem, limit):
    raise ArithmeticError("told to fail")


def dying(problem, limit):
    import os

    os._exit(3)


if __name__ == "__main__":
    from tests import slow_solver_pilot as this_module  # under this name the worker process can load its functions

    work = getattr(this_module, sys.argv.pop(1))
    run_pilot = pilot_commands.run_pilot
    pilot_commands.run_pilot = lambda settings, port_file: run_pilot(settings, port_file, solve=work)
    main()
