"""The loop body round the module: inbox, timers, one call of `Planner.handle` a step, starting over after an exception.

No sockets and no store: who owns a loop says how a planner is begun and carries out what a step returns.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Any, NamedTuple

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.runtime.clock import MonotonicReading

SECOND = 1_000_000_000
RESTART_FIRST, RESTART_MOST = SECOND // 10, 9 * SECOND // 10  # ns before another planner is tried
CALM = 30 * SECOND  # ns without a failure after which the next counts as the first
LOGGED_EVENTS = 200  # of a failed call
LOGGED_CHARS = 300  # of one of them


class Step(NamedTuple):
    """What one call of the module was told, and what it ordered beyond timers and words for the log."""

    events: list[api.Event]
    actions: list[api.Action]


class DecisionLoop:
    """Args: log: a structlog logger."""

    def __init__(self, log: Any) -> None:
        self.log = log
        self.inbox: list[api.Event] = []
        self.timers: list[tuple[int, int]] = []
        self.clock = MonotonicReading()
        self.planner: Planner | None = None
        self.failures = self.failed_at = self.restart_at = 0

    def begin_with(self, planner: Planner, events: list[api.Event]) -> None:
        """Put a planner to work; it is told `events` first."""
        self.planner = planner
        self.timers.clear()
        self.inbox = events

    def tell(self, *events: api.Event) -> None:
        """Events for the next step, in order."""
        self.inbox.extend(events)

    def next_step(self) -> int | None:
        """When the loop must run again by itself, ns; None: only when something happens."""
        if self.planner is None:
            return self.restart_at
        return self.timers[0][0] if self.timers else None

    def advance(self, now: int, more: Iterable[api.Event] = ()) -> Step | None:
        """Hand over what happened; None: nothing did, or the module failed."""
        events, self.inbox = [*self.inbox, *more], []
        while self.timers and self.timers[0][0] <= now:
            events.append(api.TimerFired(heapq.heappop(self.timers)[1]))
        if not events:
            return None
        try:
            actions = self.planner.handle(now, events)
        except Exception as error:
            self._failed(now, events, error)
            return None
        return Step(events, [a for a in actions if not self._own(now, a)])

    def _own(self, now: int, action: api.Action) -> bool:
        """Carry out what concerns the loop alone."""
        if isinstance(action, api.SetTimer):
            heapq.heappush(self.timers, (now + max(1, action.delay), action.token))
        elif isinstance(action, api.Log):
            self.log.info("module", text=action.text)
        else:
            return False
        return True

    def give_up(self, now: int, error: Exception) -> None:
        """The owner failed where it begins a planner or carries out what one ordered: another takes its place."""
        self._failed(now, [], error)

    def _failed(self, now: int, events: list[api.Event], error: Exception) -> None:
        """Guards against a module that fails on what it is told: the last orders stay in force meanwhile."""
        self.failures = self.failures + 1 if now - self.failed_at < CALM else 1
        self.failed_at = now
        wait = 0 if self.failures == 1 else min(RESTART_MOST, RESTART_FIRST * 2 ** min(self.failures, 8))
        self.salvage()
        self.planner, self.restart_at = None, now + wait
        self.log.error(
            "module_failed",
            error=repr(error),
            restart_in_ms=wait // 1_000_000,
            failures=self.failures,
            tables="the last ones stay in service",
            exc_info=error,
            events=[repr(e)[:LOGGED_CHARS] for e in events[-LOGGED_EVENTS:]],
        )

    def salvage(self) -> None:
        """Called with the failed planner still at hand; a loop that hands on what it learned keeps it here."""
