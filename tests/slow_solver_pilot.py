"""A pilot whose solver is slow, or fails: `python -m tests.slow_solver_pilot WHICH run FILE`."""

from __future__ import annotations

import sys
import time

from damsonpick.cli import pilot as pilot_commands
from damsonpick.cli.main import main


def slow(problem, limit):
    """Far longer than any limit, and deaf to signals that ask."""
    end = time.monotonic() + 60
    while time.monotonic() < end:
        pass


def failing(problem, limit):
    raise ArithmeticError("told to fail")


def dying(problem, limit):
    import os

    os._exit(3)


if __name__ == "__main__":
    from tests import slow_solver_pilot as here  # functions that the worker process can load

    work = getattr(here, sys.argv.pop(1))
    run_pilot = pilot_commands.run_pilot
    pilot_commands.run_pilot = lambda settings, port_file: run_pilot(settings, port_file, solve=work)
    main()
