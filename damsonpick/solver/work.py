"""What runs in the worker process: a solver kept warm from plan to plan."""

from __future__ import annotations

from damsonpick.solver.lines import LinesProblem, divide
from damsonpick.solver.model import Plan, Problem
from damsonpick.solver.plan import plan
from damsonpick.solver.program import Program

_kept: dict[float, Program] = {}


def solve(problem: Problem, time_limit: float) -> Plan:
    """A plan; the process keeps the program, so the next one starts from this basis."""
    if time_limit not in _kept:
        _kept[time_limit] = Program(time_limit)
    return plan(_kept[time_limit], problem)


def solve_lines(problem: LinesProblem, time_limit: float) -> dict[int, tuple[tuple[str, float], ...]]:
    del time_limit  # small by construction
    return divide(problem)
