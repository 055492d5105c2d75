"""Functions that run in the solver's worker process, which keeps the solver's basis between plans.

The functions are called by their module path, so they must be defined at module level.
"""

from __future__ import annotations

from damsonpick.solver.model import Plan, Problem, Weights
from damsonpick.solver.plan import plan
from damsonpick.solver.program import Program
from damsonpick.solver.slice_weights import SliceWeightsProblem, solve_slice_weights

_programs: dict[float, Program] = {}  # by time limit in seconds


def solve(problem: Problem, time_limit: float) -> Plan:
    """Solve a problem and return the plan.

    The process keeps the program, so that the next solve can start from the basis of this one.

    Args:
        problem: The problem to solve.
        time_limit: Time limit of the solver, seconds.
    """
    if time_limit not in _programs:
        _programs[time_limit] = Program(time_limit)
    return plan(_programs[time_limit], problem)


def solve_slices(problem: SliceWeightsProblem, time_limit: float) -> dict[int, Weights]:
    """Return new weights by slice. `time_limit` is ignored, because the program is small by construction.

    Raises:
        NoOptimumError: The program has no optimum.
    """
    del time_limit
    return solve_slice_weights(problem)
