"""Timeouts that do not count the event loop's own lateness against the other side.

On a busy machine one turn of the loop can take longer than a timeout. What the timeout waits for may have happened long
ago, and needs some turns more to be noticed; the timer that is due in the same turn would win each time.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
import anyio.lowlevel

GRACE_TURNS = 10  # of the loop; more than a connect takes once the peer's answer is there

Result = TypeVar("Result")


async def complete_within(
    timeout_s: float,
    operation: Callable[[], Awaitable[Result]],
    discard: Callable[[Result], Awaitable[None]],
) -> Result:
    """Run an operation that is cancelled after a timeout and some more turns of the loop.

    On a loop that is not late the turns take no time.

    Args:
        timeout_s: seconds.
        operation: what is to be done; what it raises is raised here.
        discard: closes a result that nobody takes, as the caller was cancelled meanwhile.

    Raises:
        TimeoutError: it has not ended by then.
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
            for _ in range(GRACE_TURNS):
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
