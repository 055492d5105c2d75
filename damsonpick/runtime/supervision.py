"""What one client, connection or task raises ends that alone: it is logged with its reason, and service goes on."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import Listener, SocketStream, TaskGroup
from structlog.typing import FilteringBoundLogger

from damsonpick.runtime.backoff import Backoff

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 1.0  # less than a drain may wait
STEADY_AFTER_S = 10.0  # a task that ran so long starts from the least delay again
ACCEPT_RETRY_DELAY_S = 0.05  # without a pause the loop would spin until a descriptor is free
REMEDY = "send this to the maintainers"


async def keep_running(name: str, run: Callable[[], Awaitable[None]], log: FilteringBoundLogger) -> None:
    """Run a task until it returns or is cancelled; one that raises is logged and started again after a growing delay.

    Args:
        name: of the task, for the log.
        run: the task; called anew after each failure.
        log: for failures.
    """
    backoff = Backoff(random.Random(name), MIN_RESTART_DELAY_S, MAX_RESTART_DELAY_S)
    while True:
        started_s = anyio.current_time()
        try:
            await run()
        except Exception as error:
            if anyio.current_time() - started_s > STEADY_AFTER_S:
                backoff.reset()
            delay_s = backoff.next_delay_s()
            log.exception(
                "task_failed", task=name, error=repr(error), restart_in_ms=round(delay_s * 1e3), remedy=REMEDY
            )
        else:
            return
        await anyio.sleep(delay_s)


class ConnectionServer:
    """Accepts connections and serves each in a task of its own.

    Args:
        name: of the server, for the log.
        handle: serves one connection; what it raises ends that connection alone.
        log: for failed accepts, once until one succeeds, and for faults in a connection.
    """

    def __init__(self, name: str, handle: Callable[[SocketStream], Awaitable[None]], log: FilteringBoundLogger) -> None:
        """Accept nothing before `serve`."""
        self._name = name
        self._handle = handle
        self._log = log
        self._accepting = True

    async def serve(self, listener: Listener[SocketStream], group: TaskGroup) -> None:
        """Accept until cancelled; running out of descriptors neither ends nor spins the loop."""
        while True:
            try:
                stream = await listener.accept()
            except (OSError, anyio.BrokenResourceError) as error:
                self._accept_failed(error)
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
            else:
                self._accepting = True
                group.start_soon(self._serve_one, stream)

    def _accept_failed(self, error: Exception) -> None:
        if self._accepting:
            reason = str(error.__cause__ or error)
            self._log.warning("accept_failed", server=self._name, reason=reason, remedy="see the limit of open files")
        self._accepting = False

    async def _serve_one(self, stream: SocketStream) -> None:
        try:
            await self._handle(stream)
        except Exception as error:
            self._log.exception("connection_failed", server=self._name, error=repr(error), remedy=REMEDY)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
