"""Runs the planner: queues its events, executes its steps and publishes its orders."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

import anyio

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.platform.collaborators import Logger
from damsonpick.protocols.platform.order_codec import Order
from damsonpick.runtime.clock import Clock
from damsonpick.runtime.decision_loop import DecisionLoop

EVENT_BATCH_S = 0.004  # pause after each step; the events that arrive during the pause are handled in one step
MIN_PAUSE_S = 0.001  # shortest wait for the next step, even if the step is due earlier


class PlannerStart(NamedTuple):
    """A new planner and its first events."""

    planner: Planner
    events: list[api.Event]


class StepStatistics(NamedTuple):
    """Statistics of the driver's steps, also those without events, since the previous call of `take_statistics`."""

    step_count: int
    longest_step_ns: int


class PlannerDriver:
    """Runs the steps of the planner in a task, and starts a new planner after a planner has failed.

    Attributes:
        clock: Clock of the planner.
        loop: Runs the planner and keeps its events and timers. It drops a planner that fails, and determines when the
            next planner starts.
        publish: Receives the planner's orders.
    """

    def __init__(
        self,
        clock: Clock,
        start_planner: Callable[[], PlannerStart],
        publish: Callable[[Iterable[Order]], None],
        log: Logger,
    ) -> None:
        """Create a driver without a planner.

        Args:
            clock: Clock of the planner.
            start_planner: Creates the first planner, and each planner that replaces a failed planner.
            publish: Receives the planner's orders.
            log: Receives failures of the planner.
        """
        self.clock = clock
        self.loop = DecisionLoop(log)
        self.publish = publish
        self._start_planner = start_planner
        self._wakeup = anyio.Event()
        self._step_count = 0
        self._longest_step_ns = 0

    def enqueue(self, *events: api.Event) -> None:
        """Queue events for the next step in the given order."""
        if events:
            self.loop.enqueue(*events)
            self._wakeup.set()

    def start(self) -> None:
        """Create a planner and queue its first events, which replace all queued events."""
        planner, events = self._start_planner()
        self.loop.install_planner(planner, events)

    def take_statistics(self) -> StepStatistics:
        """Return the statistics of the steps since the previous call, and reset them."""
        statistics = StepStatistics(self._step_count, self._longest_step_ns)
        self._step_count = 0
        self._longest_step_ns = 0
        return statistics

    async def run(self) -> None:
        """Run a step whenever events arrive, a timer fires or a planner must be started, until cancelled."""
        while True:
            self._wakeup = anyio.Event()
            now_ns = self.clock.now()
            try:
                self._step(now_ns)
            except Exception as error:
                # The error was raised outside `Planner.handle`, whose errors the loop handles. Orders of this step may
                # not have been queued. The next planner starts from the known state of the registry, and orders what is
                # missing.
                self.loop.fail_planner(now_ns, error)
            self._record_step(self.clock.now() - now_ns)
            await anyio.sleep(EVENT_BATCH_S)
            if self.loop.planner is not None and self.loop.inbox:
                continue
            with anyio.move_on_after(self._pause_s()):
                await self._wakeup.wait()

    def _step(self, now_ns: int) -> None:
        if self.loop.planner is None and now_ns >= self.loop.restart_at:
            self.start()
        if self.loop.planner is None:
            return
        step = self.loop.advance(now_ns)
        if step is None:
            return
        # Requests for the endpoint list are ignored, because the list is watched permanently.
        orders = [action for action in step.actions if isinstance(action, api.TableOrder)]
        if orders:
            self.publish(orders)

    def _record_step(self, duration_ns: int) -> None:
        self._step_count += 1
        self._longest_step_ns = max(self._longest_step_ns, duration_ns)

    def _pause_s(self) -> float | None:
        """Return the seconds until the next step is due, or None if no step is due before the next event."""
        due_ns = self.loop.next_due_at()
        if due_ns is None:
            return None
        return max(MIN_PAUSE_S, self.clock.seconds(due_ns - self.clock.now()))
