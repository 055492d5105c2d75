"""Runs the solver in a worker process, so that table changes in the main loop never wait for a solve."""

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
WORKER_START_S = 5.0  # wall time allowed for the start of the worker, in addition to the time limit of the solve

SliceWeights = dict[int, tuple[tuple[str, float], ...]]


class SolveError(Exception):
    """The solver ended without an optimal plan. The message is the solver's status."""


@dataclass(slots=True, eq=False)
class SolverTask:
    """Runs a solve when the advisor requests it and passes the resulting advice to the engine.

    Args:
        advisor: Formulates the problem and converts a plan into advice.
        engine: Receives the advice.
        clock: Clock of the pilot.
        notify: Wakes the drive loop.
        log: Logger for the results and failures of solves.
        solve: Function that computes the tables of a deployment without slices. It runs in the worker process. Tests
            pass slow or failing functions.
    """

    advisor: Advisor
    engine: Engine
    clock: Clock
    notify: Callable[[], None]
    log: FilteringBoundLogger
    solve: Callable
    planner: Planner | None = field(default=None, init=False)  # the planner to which all previous advice was sent
    worker: SolverWorker = field(default_factory=SolverWorker, init=False)

    def send_immediate_advice(self) -> None:
        """Send advice that needs no solve.

        This covers tables before the first plan, tables after servers were added or removed, and all previous advice
        for a planner that has not received it.
        """
        planner = self.engine.planner
        if planner is None:
            return
        if planner is not self.planner:
            self.planner = planner
            self.engine.enqueue(*self.advisor.repeat_advice())
        self._send(self.advisor.initial_tables(planner) or self.advisor.advice_for_changed_fleet(planner))

    async def run(self) -> None:
        """Send advice that needs no solve, and solve when a solve is due. Repeat periodically until cancelled."""
        try:
            while True:
                await anyio.sleep(self.clock.seconds(DUE_CHECK_PERIOD_NS))
                self.send_immediate_advice()
                planner, now = self.engine.planner, self.clock.now()
                if planner is not None and planner.endpoints and self.advisor.is_due(now, planner):
                    self.advisor.begin_solve(now, planner)
                    await self._solve_once()
        finally:
            await self.worker.stop()

    async def _solve_once(self) -> None:
        """Run one solve. If it fails for any reason, the last good weights stay in use."""
        has_slices = self.advisor.settings.tables.slices > 0
        try:
            result = await self._solve(has_slices)
            planner = self.engine.planner
            if planner is None:
                return  # the planner is being restarted; the result is discarded, and a later solve advises the new one
            events = self._advice(result, planner)
        except TimeoutError:
            self._failed("the solve took too long")
        except Exception as error:
            self._failed(str(error) or repr(error))
        else:
            if events:
                self._log_advice(result, events)
                self._send(events)

    async def _solve(self, has_slices: bool) -> Plan | SliceWeights:
        """Solve the current problem in the worker and return the result."""
        planner = self.engine.planner
        if has_slices:
            task, problem = work.solve_slices, self.advisor.slice_problem(planner)
        else:
            task, problem = self.solve, self.advisor.problem(planner)
        limit_s = self.advisor.settings.solver.time_limit / NS_PER_SECOND
        start_s = 0.0 if self.worker.is_running else WORKER_START_S
        return await self.worker.call(task, problem, limit_s, timeout_s=limit_s + start_s)

    def _advice(self, result: Plan | SliceWeights, planner: Planner) -> list[api.Event]:
        if not isinstance(result, Plan):
            return self.advisor.accept_slice_weights(result)
        if result.status != "optimal":
            raise SolveError(result.status)
        return self.advisor.accept(result, planner)

    def _log_advice(self, result: Plan | SliceWeights, events: list[api.Event]) -> None:
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
            "solver_failed", reason=reason, weights="the last good weights stay in use", failures=self.advisor.failures
        )
