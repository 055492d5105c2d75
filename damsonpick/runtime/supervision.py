"""Limits the effect of an exception to the client, connection or task that raised it.

The exception is logged with its reason, and the service continues.
"""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from typing import Generic, Protocol, TypeVar

import anyio
from anyio.abc import ByteStream, TaskGroup
from structlog.typing import FilteringBoundLogger

from damsonpick.runtime.backoff import Backoff

MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 1.0  # shorter than the grace period of a drain
STABLE_RUN_S = 10.0  # a failure after a longer run resets the restart delay to the shortest
ACCEPT_RETRY_DELAY_S = 0.05  # without this delay the loop would spin until a file descriptor is free
StreamType_co = TypeVar("StreamType_co", bound=ByteStream, covariant=True)
REMEDY = "send this to the maintainers"


async def keep_running(name: str, run: Callable[[], Awaitable[None]], log: FilteringBoundLogger) -> None:
    """Run a task until it returns or is cancelled.

    If the task raises an exception, the exception is logged and the task restarts after a delay that grows with each
    failure, up to `MAX_RESTART_DELAY_S`.

    Args:
        name: Name of the task in the log.
        run: Runs the task. It is called again after each failure.
        log: Logger for failures.
    """
    backoff = Backoff(random.Random(name), MIN_RESTART_DELAY_S, MAX_RESTART_DELAY_S)
    while True:
        started_s = anyio.current_time()
        try:
            await run()
        except Exception as error:
            if anyio.current_time() - started_s > STABLE_RUN_S:
                backoff.reset()
            delay_s = backoff.next_delay_s()
            log.exception(
                "task_failed", task=name, error=repr(error), restart_in_ms=round(delay_s * 1e3), remedy=REMEDY
            )
        else:
            return
        await anyio.sleep(delay_s)


class Listener(Protocol[StreamType_co]):
    """A listening socket."""

    async def accept(self) -> StreamType_co:
        """Accept and return the next connection.

        Raises:
            OSError, anyio.BrokenResourceError: The connection could not be accepted.
        """


class ConnectionServer(Generic[StreamType_co]):
    """Accepts connections and serves each in a separate task.

    Args:
        name: Name of the server in the log.
        handle: Serves one connection. An exception that it raises ends only that connection.
        log: Logger for exceptions in a connection and for failed accepts. Of consecutive failed accepts only the first
            is logged.
    """

    def __init__(
        self, name: str, handle: Callable[[StreamType_co], Awaitable[None]], log: FilteringBoundLogger
    ) -> None:
        """Initialize the server. It accepts no connections before `serve` is called."""
        self._name = name
        self._handle = handle
        self._log = log
        self._last_accept_succeeded = True

    async def serve(self, listener: Listener[StreamType_co], group: TaskGroup) -> None:
        """Accept connections until cancelled. A lack of file descriptors neither ends the loop nor makes it spin."""
        while True:
            try:
                stream = await listener.accept()
            except (OSError, anyio.BrokenResourceError) as error:
                self._accept_failed(error)
                await anyio.sleep(ACCEPT_RETRY_DELAY_S)
            else:
                self._last_accept_succeeded = True
                group.start_soon(self._serve_connection, stream)

    def _accept_failed(self, error: Exception) -> None:
        if self._last_accept_succeeded:
            reason = str(error.__cause__ or error)
            self._log.warning("accept_failed", server=self._name, reason=reason, remedy="check the limit on open files")
        self._last_accept_succeeded = False

    async def _serve_connection(self, stream: StreamType_co) -> None:
        try:
            await self._handle(stream)
        except Exception as error:
            self._log.exception("connection_failed", server=self._name, error=repr(error), remedy=REMEDY)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)
