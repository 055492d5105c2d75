"""The loop that steps the engine, sends what the channel has room for, and sleeps until there is work again."""

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

BATCH_WINDOW_S = 0.001  # wall time; events within it are handed to the engine in one step: a thousand joins are one
SHORTEST_WAIT_S = 0.001  # wall time


class Wakeup:
    """A flag that any task raises and one loop waits for. Raising it twice before the loop looks wakes it once."""

    def __init__(self) -> None:
        """Not raised yet."""
        self._event = anyio.Event()

    def notify(self) -> None:
        """Wake the loop, or keep it from going to sleep."""
        self._event.set()

    def clear(self) -> None:
        """Forget earlier notifications. Call it before looking for work, so that none is lost."""
        self._event = anyio.Event()

    async def wait(self) -> None:
        """Return once `notify` was called after the last `clear`."""
        await self._event.wait()


class StreamServer(Protocol):
    """A protocol server whose streams are written by tasks of its own."""

    def wake(self, sessions: list[Session]) -> None:
        """Wake the writers of the streams of these sessions."""


@dataclass(slots=True, eq=False)
class DriveLoop:
    """Steps the engine whenever something happened or a timer is due.

    Args:
        engine: takes decisions and says when it must run again.
        session_manager: sends pending changes to sessions within the channel's budget.
        servers: protocol servers that are told which sessions have something to write.
        clock: the pilot's clock.
        wakeup: raised by every task that gives the engine work.
        log: names resources whose rollout was stopped.
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
            with anyio.move_on_after(self._longest_wait_s(now, send_pause)):
                await self.wakeup.wait()

    def _step(self, now: int) -> int | None:
        """One step of the engine and of sending; returns ns until the channel has room again, None: nothing waits."""
        acknowledging = self.engine.step(now)
        dispatch = self.session_manager.dispatch(now)
        for session in acknowledging:
            self.session_manager.acknowledge(now, session)
        self._log_stopped_rollouts()
        for server in self.servers:
            server.wake(dispatch.sessions)
        return dispatch.next_due

    def _longest_wait_s(self, now: int, send_pause: int | None) -> float | None:
        """Wall seconds until the engine or the channel must run by itself; None: until notified."""
        waits_ns = []
        if send_pause is not None:
            waits_ns.append(send_pause)
        due_at = self.engine.due()
        if due_at is not None:
            waits_ns.append(due_at - now)
        if not waits_ns:
            return None
        return max(SHORTEST_WAIT_S, self.clock.seconds(min(waits_ns)))

    def _log_stopped_rollouts(self) -> None:
        for stopped in self.session_manager.stopped_rollouts:
            self.log.error(
                "rollout_stopped",
                resource=stopped.unit,
                version=stopped.version,
                rejections=stopped.rejections,
                remedy="others keep the former one; see `versions who`, then go back or change the table",
            )
        self.session_manager.stopped_rollouts.clear()
