"""What runs in the worker process: a solver kept warm from plan to plan.

The functions are called there by their module path, so they stand at module level.
"""

from __future__ import annotations

from damsonpick.solver.model import Plan, Problem, Weights
from damsonpick.solver.plan import plan
from damsonpick.solver.program import Program
from damsonpick.solver.slice_weights import SliceWeightsProblem, divide_slices

_programs: dict[float, Program] = {}  # by time limit in seconds


def solve(problem: Problem, time_limit: float) -> Plan:
    """A plan; the process keeps the program, so the next one starts from this basis.

    Args:
        problem: what is asked.
        time_limit: seconds.
    """
    if time_limit not in _programs:
        _programs[time_limit] = Program(time_limit)
    return plan(_programs[time_limit], problem)


def solve_slices(problem: SliceWeightsProblem, time_limit: float) -> dict[int, Weights]:
    """New weights by slice; `time_limit` is not needed, as the program is small by construction.

    Raises:
        NoOptimumError: the program has no optimum.
    """
    del time_limit
    return divide_slices(problem)
