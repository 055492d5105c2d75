"""Timeouts that do not fail an operation because the event loop itself is late.

On a busy machine one iteration of the event loop can take longer than a timeout. The event that the operation waits for
may have occurred long before, but the loop needs a few more iterations to process it. Without extra iterations the
timer, which is due in the same iteration, would always expire first.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.lowlevel

# Iterations of the event loop for which an operation may continue after its timeout. Opening a connection needs fewer
# iterations once the response of the peer has arrived.
GRACE_ITERATIONS = 10

Result = TypeVar("Result")


async def complete_within(
    timeout_s: float,
    operation: Callable[[], Awaitable[Result]],
    discard: Callable[[Result], Awaitable[None]],
) -> Result:
    """Run an operation and cancel it after a timeout and `GRACE_ITERATIONS` further iterations of the event loop.

    The further iterations take almost no time if the event loop is not late.

    Args:
        timeout_s: Timeout in seconds.
        operation: Operation to run. An exception that it raises is raised by this function.
        discard: Closes the result of the operation if the caller was cancelled and cannot receive the result.

    Raises:
        TimeoutError: The operation did not end in time.
    """
    results: list[Result] = []
    errors: list[Exception] = []
    ended = anyio.Event()

    async def run() -> None:
        try:
            results.append(await operation())
        except Exception as error:
            errors.append(error)
        ended.set()

    try:
        async with anyio.create_task_group() as group:
            group.start_soon(run)
            with anyio.move_on_after(timeout_s):
                await ended.wait()
            for _ in range(GRACE_ITERATIONS):
                if ended.is_set():
                    break
                await anyio.lowlevel.checkpoint()
            group.cancel_scope.cancel()
    except BaseException:
        with anyio.CancelScope(shield=True):
            for result in results:
                await discard(result)
        raise
    if errors:
        raise errors[0]
    if not results:
        raise TimeoutError
    return results[0]
