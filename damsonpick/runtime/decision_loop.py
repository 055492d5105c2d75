"""The loop round the planner: event queue, timers, one call of `Planner.handle` a step, restart after an exception.

No sockets and no store: the owner of a loop decides how a planner is started and carries out what a step returns.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import NamedTuple

from structlog.typing import FilteringBoundLogger

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.runtime.clock import MonotonicReading

BASE_RESTART_DELAY_NS = 100_000_000  # doubled with each failure: 0, 400, 800, 900, 900 ms after failures in a row
MAX_RESTART_DELAY_NS = 900_000_000
MAX_DELAY_DOUBLINGS = 8
FAILURE_RESET_NS = 30_000_000_000  # without a failure, after which the next counts as the first
MAX_LOGGED_EVENTS = 200  # of a failed call
MAX_LOGGED_EVENT_CHARS = 300


class Step(NamedTuple):
    """One call of the planner.

    Attributes:
        events: what the planner received.
        actions: what it ordered, without timers and log lines, which the loop carries out itself.
    """

    events: list[api.Event]
    actions: list[api.Action]


class DecisionLoop:
    """Runs one planner at a time.

    Args:
        log: a structlog logger.
    """

    def __init__(self, log: FilteringBoundLogger) -> None:
        """Start without a planner."""
        self.log = log
        self.inbox: list[api.Event] = []  # for the next step
        self.timers: list[tuple[int, int]] = []  # heap of (ns when due, token)
        self.clock = MonotonicReading()
        self.planner: Planner | None = None  # None: it failed, and the next one is due at `restart_at`
        self.failures = 0  # in a row
        self.failed_at = 0  # ns
        self.restart_at = 0  # ns

    def begin_with(self, planner: Planner, events: list[api.Event]) -> None:
        """Put a planner to work; `events` are the first it receives, in place of all that is queued."""
        self.planner = planner
        self.timers.clear()
        self.inbox = events

    def enqueue(self, *events: api.Event) -> None:
        """Queue events for the next step, in order."""
        self.inbox.extend(events)

    def next_step(self) -> int | None:
        """When the loop must run again by itself, ns; None: only when something happens."""
        if self.planner is None:
            return self.restart_at
        return self.timers[0][0] if self.timers else None

    def advance(self, now: int, more: Iterable[api.Event] = ()) -> Step | None:
        """Hand the planner the queued events, then `more`, then the timers that are due.

        Returns:
            The step; None: nothing happened, or the planner failed.
        """
        events, self.inbox = [*self.inbox, *more], []
        while self.timers and self.timers[0][0] <= now:
            _, token = heapq.heappop(self.timers)
            events.append(api.TimerFired(token))
        if not events:
            return None
        try:
            actions = self.planner.handle(now, events)
        except Exception as error:  # whatever the planner raises must not stop the loop
            self._planner_failed(now, events, error)
            return None
        return Step(events, [action for action in actions if not self._carried_out(now, action)])

    def _carried_out(self, now: int, action: api.Action) -> bool:
        """Carry out an action that concerns the loop alone; False: it is the owner's."""
        if isinstance(action, api.SetTimer):
            heapq.heappush(self.timers, (now + max(1, action.delay), action.token))
        elif isinstance(action, api.Log):
            self.log.info("planner_message", text=action.text)
        else:
            return False
        return True

    def give_up(self, now: int, error: Exception) -> None:
        """The owner failed to start a planner, or to carry out its orders: another planner takes its place."""
        self._planner_failed(now, [], error)

    def _planner_failed(self, now: int, events: list[api.Event], error: Exception) -> None:
        """Drop the planner and set when the next one starts; its last orders stay in force meanwhile."""
        recent = now - self.failed_at < FAILURE_RESET_NS
        self.failures = self.failures + 1 if recent else 1
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
        """ns until the next planner starts."""
        if self.failures == 1:
            return 0
        doublings = min(self.failures, MAX_DELAY_DOUBLINGS)
        return min(MAX_RESTART_DELAY_NS, BASE_RESTART_DELAY_NS * 2**doublings)

    def capture_learned_state(self) -> None:
        """Called while the failed planner can still be read; an owner that hands on what it learned overrides this."""
