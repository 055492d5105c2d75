"""Drives the planner: collects events, runs its steps and hands on its orders."""

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

EVENT_BATCH_S = 0.004  # events that arrive within it are handled in one step
MIN_PAUSE_S = 0.001


class PlannerStart(NamedTuple):
    """A new planner and its first events."""

    planner: Planner
    events: list[api.Event]


class StepStatistics(NamedTuple):
    """Steps since the last call."""

    step_count: int
    longest_step_ns: int


class PlannerDriver:
    """The task that runs the planner.

    Attributes:
        clock: of the planner.
        loop: events, timers and the planner itself; it replaces a planner that fails.
        publish: takes the planner's orders.
    """

    def __init__(
        self,
        clock: Clock,
        start_planner: Callable[[], PlannerStart],
        publish: Callable[[Iterable[Order]], None],
        log: Logger,
    ) -> None:
        """Start without a planner.

        Args:
            clock: of the planner.
            start_planner: makes a planner, at the start and in place of one that failed.
            publish: takes the planner's orders.
            log: for failures of the planner.
        """
        self.clock = clock
        self.loop = DecisionLoop(log)
        self.publish = publish
        self._start_planner = start_planner
        self._wakeup = anyio.Event()
        self._step_count = 0
        self._longest_step_ns = 0

    def enqueue(self, *events: api.Event) -> None:
        """Add events for the next step, in order."""
        if events:
            self.loop.enqueue(*events)
            self._wakeup.set()

    def start(self) -> None:
        """Start a new planner."""
        planner, events = self._start_planner()
        self.loop.begin_with(planner, events)

    def take_statistics(self) -> StepStatistics:
        """Return the statistics of the steps since the last call."""
        statistics = StepStatistics(self._step_count, self._longest_step_ns)
        self._step_count = 0
        self._longest_step_ns = 0
        return statistics

    async def run(self) -> None:
        """Run steps as events arrive and timers fire, until cancelled."""
        while True:
            self._wakeup = anyio.Event()
            now_ns = self.clock.now()
            try:
                self._step(now_ns)
            except Exception as error:
                # Outside the planner, whose failures the loop handles. Orders of this step may not have been queued:
                # the next planner starts from what the registry stores and orders what is missing.
                self.loop.give_up(now_ns, error)
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
        # Actions that ask for the endpoint list need nothing here: it is watched all the time.
        orders = [action for action in step.actions if isinstance(action, api.TableOrder)]
        if orders:
            self.publish(orders)

    def _record_step(self, duration_ns: int) -> None:
        self._step_count += 1
        self._longest_step_ns = max(self._longest_step_ns, duration_ns)

    def _pause_s(self) -> float | None:
        """Return the time until the next step is due; None: only an event makes one due."""
        due_ns = self.loop.next_step()
        if due_ns is None:
            return None
        return max(MIN_PAUSE_S, self.clock.seconds(due_ns - self.clock.now()))
