"""Runs the solver beside the loop, in a worker process, so that changes never wait for a solve."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import anyio
from structlog.typing import FilteringBoundLogger

from damsonpick import interface as api
from damsonpick.controller.engine import Engine
from damsonpick.controller.solver_worker import SolverWorker
from damsonpick.decisions.planner import Planner
from damsonpick.runtime.clock import Clock
from damsonpick.solver import work
from damsonpick.solver.advice import Advisor
from damsonpick.solver.model import Plan
from damsonpick.time_units import NS_PER_SECOND

DUE_CHECK_PERIOD_NS = 100_000_000
WORKER_START_S = 5.0  # wall time that the worker may take to start, beside the solve's own limit

LineWeights = dict[int, tuple[tuple[str, float], ...]]


class SolveError(Exception):
    """The solver ended without an optimal plan; the text is its status."""


@dataclass(slots=True, eq=False)
class SolverTask:
    """Solves when the advisor says so and hands its advice to the engine.

    Args:
        advisor: poses the problem and turns a plan into advice.
        engine: receives the advice.
        clock: the pilot's clock.
        notify: wakes the drive loop.
        log: says what a plan changed, or why there is none.
        solve: solves whole tables in the worker; tests hand in slow or failing ones.
    """

    advisor: Advisor
    engine: Engine
    clock: Clock
    notify: Callable[[], None]
    log: FilteringBoundLogger
    solve: Callable
    planner: Planner | None = field(default=None, init=False)  # the one that has all advice
    worker: SolverWorker = field(default_factory=SolverWorker, init=False)

    def advise_at_once(self) -> None:
        """Advice that needs no solve: tables before the first plan, and all advice again to a restarted planner."""
        planner = self.engine.planner
        if planner is None:
            return
        if planner is not self.planner:
            self.planner = planner
            self.engine.enqueue(*self.advisor.readvise())
        self._send(self.advisor.initial_tables(planner) or self.advisor.repaired_tables(planner))

    async def run(self) -> None:
        """Solve whenever it is due until cancelled."""
        try:
            while True:
                await anyio.sleep(self.clock.seconds(DUE_CHECK_PERIOD_NS))
                self.advise_at_once()
                planner, now = self.engine.planner, self.clock.now()
                if planner is not None and planner.endpoints and self.advisor.is_due(now, planner):
                    self.advisor.begin_solve(now, planner)
                    await self._solve_once()
        finally:
            await self.worker.stop()

    async def _solve_once(self) -> None:
        """One solve; the last good weights stay if it does not end well, whatever went wrong."""
        has_slices = self.advisor.settings.tables.slices > 0
        try:
            result = await self._solve(has_slices)
            planner = self.engine.planner
            if planner is None:
                return  # it is being restarted: the next plan is for the new one
            events = self._advice(result, planner)
        except TimeoutError:
            self._failed("took too long")
        except Exception as error:
            self._failed(str(error) or repr(error))
        else:
            if events:
                self._log_advice(result, events)
                self._send(events)

    async def _solve(self, has_slices: bool) -> Plan | LineWeights:
        """What the worker answers to the problem of this moment."""
        planner = self.engine.planner
        if has_slices:
            task, problem = work.solve_slices, self.advisor.slice_problem(planner)
        else:
            task, problem = self.solve, self.advisor.problem(planner)
        limit_s = self.advisor.settings.solver.time_limit / NS_PER_SECOND
        start_s = 0.0 if self.worker.is_running else WORKER_START_S
        return await self.worker.call(task, problem, limit_s, timeout_s=limit_s + start_s)

    def _advice(self, result: Plan | LineWeights, planner: Planner) -> list[api.Event]:
        if not isinstance(result, Plan):
            return self.advisor.accept_slice_weights(result)
        if result.status != "optimal":
            raise SolveError(result.status)
        return self.advisor.accept(result, planner)

    def _log_advice(self, result: Plan | LineWeights, events: list[api.Event]) -> None:
        fields: dict[str, Any] = {}
        if isinstance(result, Plan):
            fields["objective"] = round(result.objective, 2)
            fields["solve_ms"] = round(result.solve_s * 1e3, 1)
            fields["admitted"] = {name: round(share, 3) for name, share in result.admitted.items()}
        self.log.info("weights_solved", tables=len(events), **fields)

    def _send(self, events: list[api.Event]) -> None:
        if events:
            self.engine.enqueue(*events)
            self.notify()

    def _failed(self, reason: str) -> None:
        self.advisor.note_failure(self.clock.now(), reason)
        self.log.warning(
            "solver_failed", reason=reason, weights="the last good ones stay", failures=self.advisor.failures
        )
