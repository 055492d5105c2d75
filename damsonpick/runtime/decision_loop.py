"""Runs the planner: queues events, keeps timers, calls `Planner.handle` once per step, and schedules restarts.

The planner is restarted if it raises an exception or if the owner of the loop calls `fail_planner`. The loop uses no
sockets and no store. The owner of the loop starts the planner and executes the actions that a step returns.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from structlog.typing import FilteringBoundLogger

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.runtime.clock import MonotonicReading

# Delay of a restart. After consecutive failures it is 0, 400, 800, 900, 900 ms, and so on: it doubles from the second
# failure on, up to the maximum.
BASE_RESTART_DELAY_NS = 100_000_000
MAX_RESTART_DELAY_NS = 900_000_000
MAX_DELAY_DOUBLINGS = 8
FAILURE_RESET_NS = 30_000_000_000  # time without a failure after which the next failure counts as the first
MAX_LOGGED_EVENTS = 200  # number of events of a failed planner call that are logged
MAX_LOGGED_EVENT_CHARS = 300


class Step(NamedTuple):
    """Input and output of one call of the planner.

    Attributes:
        events: Events that the planner received.
        actions: Actions that the planner ordered, except timers and log lines, which the loop executes itself.
    """

    events: list[api.Event]
    actions: list[api.Action]


class DecisionLoop:
    """Runs one planner at a time.

    Args:
        log: Structured logger for planner messages and failures.
    """

    def __init__(self, log: FilteringBoundLogger) -> None:
        """Initialize the loop without a planner."""
        self.log = log
        self.inbox: list[api.Event] = []  # events for the next step
        self.timers: list[tuple[int, int]] = []  # heap of (due time in ns, token)
        self.clock = MonotonicReading()
        # None before the first planner is installed, and after a failure until the owner starts the next planner, which
        # is due at `restart_at`.
        self.planner: Planner | None = None
        self.failures = 0  # consecutive failures
        self.failed_at = 0  # ns
        self.restart_at = 0  # ns

    def install_planner(self, planner: Planner, events: list[api.Event]) -> None:
        """Install a planner and discard all timers and queued events.

        Args:
            planner: The new planner.
            events: The first events that the planner receives.
        """
        self.planner = planner
        self.timers.clear()
        self.inbox = events

    def enqueue(self, *events: api.Event) -> None:
        """Queue events for the next step, in order."""
        self.inbox.extend(events)

    def next_due_at(self) -> int | None:
        """Return the time in ns at which the loop must run again, or None if only an event requires it to run."""
        if self.planner is None:
            return self.restart_at
        return self.timers[0][0] if self.timers else None

    def advance(self, now: int, more: Iterable[api.Event] = ()) -> Step | None:
        """Pass events to the planner in one call: the queued events, then `more`, then the timers that are due.

        Returns:
            The step, or None if there were no events and no due timers, or if the planner failed.
        """
        events, self.inbox = [*self.inbox, *more], []
        while self.timers and self.timers[0][0] <= now:
            _, token = heapq.heappop(self.timers)
            events.append(api.TimerFired(token))
        if not events:
            return None
        try:
            actions = self.planner.handle(now, events)
        except Exception as error:  # no exception of the planner may stop the loop
            self._planner_failed(now, events, error)
            return None
        return Step(events, [action for action in actions if not self._execute_loop_action(now, action)])

    def _execute_loop_action(self, now: int, action: api.Action) -> bool:
        """Execute an action that concerns only the loop. Return False if the owner must execute it."""
        if isinstance(action, api.SetTimer):
            heapq.heappush(self.timers, (now + max(1, action.delay), action.token))
        elif isinstance(action, api.Log):
            self.log.info("planner_message", text=action.text)
        else:
            return False
        return True

    def fail_planner(self, now: int, error: Exception) -> None:
        """Drop the planner because the owner failed to start it or to execute its orders.

        Another planner replaces it after the restart delay.
        """
        self._planner_failed(now, [], error)

    def _planner_failed(self, now: int, events: list[api.Event], error: Exception) -> None:
        """Drop the planner and schedule the start of the next. Until then the last orders stay in effect."""
        failed_recently = now - self.failed_at < FAILURE_RESET_NS
        self.failures = self.failures + 1 if failed_recently else 1
        self.failed_at = now
        delay = self._restart_delay()
        self.capture_learned_state()
        self.planner = None
        self.restart_at = now + delay
        self.log.error(
            "planner_failed",
            error=repr(error),
            restart_in_ms=delay // 1_000_000,
            failures=self.failures,
            effect="the published tables stay in service",
            exc_info=error,
            events=[repr(event)[:MAX_LOGGED_EVENT_CHARS] for event in events[-MAX_LOGGED_EVENTS:]],
        )

    def _restart_delay(self) -> int:
        """Return the time in ns until the next planner starts."""
        if self.failures == 1:
            return 0
        doublings = min(self.failures, MAX_DELAY_DOUBLINGS)
        return min(MAX_RESTART_DELAY_NS, BASE_RESTART_DELAY_NS * 2**doublings)

    def capture_learned_state(self) -> None:
        """Save the learned state of a failed planner while it can still be read.

        The base class does nothing. An owner that passes the learned state to the next planner overrides this method.
        """
