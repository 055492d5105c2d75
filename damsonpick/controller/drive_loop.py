"""Main loop: steps the engine, sends changes within the channel's budget, and sleeps until there is work again."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import anyio
from structlog.typing import FilteringBoundLogger

from damsonpick.controller.engine import Engine
from damsonpick.protocols.shared.session import Session
from damsonpick.protocols.shared.session_manager import SessionManager
from damsonpick.runtime.clock import Clock

# Pause after each step, in wall time. The next step handles all events that arrive meanwhile, such as a thousand joins.
BATCH_WINDOW_S = 0.001
# Shortest timeout of the wait for a notification, in wall time. It applies if a step or send is due sooner or overdue.
MIN_WAIT_S = 0.001


class Wakeup:
    """A flag that any task can set and one loop waits for. If it is set several times, the loop wakes once."""

    def __init__(self) -> None:
        """Start with the flag cleared."""
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake the loop, or prevent it from sleeping if it is running."""
        self._event.set()

    def clear(self) -> None:
        """Clear the flag. Must be called before checking for work, so that no notification is lost."""
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Wait until `notify` is called. Return at once if it was called since the last `clear`."""
        await self._event.wait()


class StreamServer(Protocol):
    """A protocol server that writes its streams in its own tasks."""

    def wake(self, sessions: list[Session]) -> None:
        """Wake the tasks that write the streams of these sessions."""


@dataclass(slots=True, eq=False)
class DriveLoop:
    """Steps the engine after a notification, when its next step is due, and when waiting changes may be sent.

    Args:
        engine: Makes the decisions. Its method `due` returns when it must run again.
        session_manager: Sends pending changes to sessions within the channel's budget.
        servers: Protocol servers, which are notified of the sessions that have data to write.
        clock: Clock of the pilot.
        wakeup: Set by every task that adds work for the engine.
        log: Logger for resources whose rollout was stopped.
    """

    engine: Engine
    session_manager: SessionManager
    servers: Sequence[StreamServer]
    clock: Clock
    wakeup: Wakeup
    log: FilteringBoundLogger

    async def run(self) -> None:
        """Drive the engine until cancelled."""
        while True:
            now = self.clock.now()
            self.wakeup.clear()
            send_pause = self._step(now)
            await anyio.sleep(BATCH_WINDOW_S)
            if self.session_manager.events or self.engine.inbox:
                continue
            with anyio.move_on_after(self._max_wait_s(now, send_pause)):
                await self.wakeup.wait()

    def _step(self, now: int) -> int | None:
        """Run one step of the engine and send pending changes.

        Returns:
            Time in ns until more changes may be sent, or None if no change can be sent before an event occurs.
        """
        acknowledging_sessions = self.engine.step(now)
        dispatch = self.session_manager.dispatch(now)
        for session in acknowledging_sessions:
            self.session_manager.acknowledge(now, session)
        self._log_stopped_rollouts()
        for server in self.servers:
            server.wake(dispatch.sessions)
        return dispatch.next_due

    def _max_wait_s(self, now: int, send_pause: int | None) -> float | None:
        """Return the wall seconds until the next engine step or send is due, at least `MIN_WAIT_S`.

        Returns:
            The time, or None if only a notification may end the wait.
        """
        waits_ns = []
        if send_pause is not None:
            waits_ns.append(send_pause)
        due_at = self.engine.due()
        if due_at is not None:
            waits_ns.append(due_at - now)
        if not waits_ns:
            return None
        return max(MIN_WAIT_S, self.clock.seconds(min(waits_ns)))

    def _log_stopped_rollouts(self) -> None:
        for stopped in self.session_manager.stopped_rollouts:
            self.log.error(
                "rollout_stopped",
                resource=stopped.unit,
                version=stopped.version,
                rejections=stopped.rejections,
                remedy="other gateways keep the previous version; see `versions who`, then roll back or fix the table",
            )
        self.session_manager.stopped_rollouts.clear()
