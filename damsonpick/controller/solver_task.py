"""The solver beside the loop: a worker process, so that orders never wait for a solve."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio

from damsonpick.controller.engine import Engine
from damsonpick.controller.worker import Worker
from damsonpick.runtime.clock import Clock
from damsonpick.solver import work
from damsonpick.solver.advice import Advisor

LOOK = 100_000_000  # ns between looks at whether a solve is due
START = 5.0  # real s that the worker process may take to start, beside the limit of the solve


class Solving:
    """Runs solves while the engine goes on.

    Args:
        advisor: what to ask and tell.
        solve, solve_lines: run in the worker; tests hand in slow or failing ones.
    """

    def __init__(
        self,
        advisor: Advisor,
        engine: Engine,
        clock: Clock,
        stir: Callable[[], None],
        log: Any,
        solve: Callable = work.solve,
        solve_lines: Callable = work.solve_lines,
    ) -> None:
        self.advisor, self.engine, self.clock, self.stir, self.log = advisor, engine, clock, stir, log
        self.solve, self.solve_lines = solve, solve_lines
        self.planner: object = None
        self.worker = Worker()

    def first(self) -> None:
        """Tables at once, before any solve; and all advice again to a planner that was started over."""
        planner = self.engine.planner
        if planner is None:
            return
        if planner is not self.planner:
            self.planner = planner
            self.engine.tell(*self.advisor.again())
        events = self.advisor.stopgap(planner) or self.advisor.repair(planner)
        if events:
            self.engine.tell(*events)
            self.stir()

    async def run(self) -> None:
        try:
            while True:
                await anyio.sleep(self.clock.seconds(LOOK))
                self.first()
                planner, now = self.engine.planner, self.clock.now()
                if planner is not None and planner.endpoints and self.advisor.due(now, planner):
                    self.advisor.begin(now, planner)
                    await self._once()
        finally:
            await self.worker.end()

    async def _once(self) -> None:
        """One solve; the last good weights stay if it does not end well, whatever went wrong."""
        lines = self.advisor.settings.tables.slices > 0
        try:
            result = await self._ask(lines)
            if self.engine.planner is None:
                return  # it is being started over: the next plan is for the new one
            if not lines and result.status != "optimal":
                raise ArithmeticError(result.status)
            events = self.advisor.accept_lines(result) if lines else self.advisor.accept(result, self.engine.planner)
        except Exception as error:
            self._failed("took too long" if isinstance(error, TimeoutError) else f"{error}" or repr(error))
            return
        if events:
            self.log.info(
                "weights",
                tables=len(events),
                **(
                    {}
                    if lines
                    else {
                        "value": round(result.value, 2),
                        "ms": round(result.seconds * 1e3, 1),
                        "let_in": {k: round(v, 3) for k, v in result.let_in.items()},
                    }
                ),
            )
            self.engine.tell(*events)
            self.stir()

    async def _ask(self, lines: bool) -> Any:
        """What the worker answers to the problem of this moment."""
        planner, limit = self.engine.planner, self.advisor.settings.solver.time_limit / 1e9
        spare = START if self.worker.process is None else 0.0
        task = self.solve_lines if lines else self.solve
        problem = self.advisor.lines_problem(planner) if lines else self.advisor.problem(planner)
        return await self.worker.call(task, problem, limit, limit=limit + spare)

    def _failed(self, why: str) -> None:
        self.advisor.failed(self.clock.now(), why)
        self.log.warning("solver_failed", why=why, weights="the last good ones stay", failures=self.advisor.fails)
