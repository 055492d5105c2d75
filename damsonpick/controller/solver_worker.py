"""A worker process for solves: the loop never waits for one, and one that takes too long is killed.

`python -m damsonpick.controller.solver_worker` reads requests on standard input and writes replies on standard output,
each a length and a pickle. What the solver library prints goes to standard error, so that replies alone are on the
pipe. Only the parent's own objects pass, over a pipe of its own, so unpickling them is safe.
"""

from __future__ import annotations

import os
import pickle
import subprocess
import sys
from collections.abc import Callable
from typing import Any

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

MODULE = "damsonpick.controller.solver_worker"
LENGTH_BYTES = 8
STDOUT, STDERR = 1, 2  # file descriptors
PIPE_BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, anyio.IncompleteRead)


class WorkerError(RuntimeError):
    """The task raised in the worker, or the worker died; the text says what."""


class WorkerDiedError(WorkerError):
    """The worker ended without a reply."""

    def __init__(self) -> None:
        """There is nothing to say of how it ended."""
        super().__init__("the worker process died")


class SolverWorker:
    """One worker process, started at the first call and after each call that failed."""

    def __init__(self) -> None:
        """Nothing is started before the first call."""
        self.process: anyio.abc.Process | None = None
        self.replies: BufferedByteReceiveStream | None = None

    @property
    def is_running(self) -> bool:
        """Whether the next call finds a worker that has started."""
        return self.process is not None

    async def call(self, task: Callable, *arguments: Any, timeout_s: float) -> Any:
        """Run `task(*arguments)` in the worker.

        Args:
            task: a module-level function.
            arguments: what pickle can carry.
            timeout_s: wall seconds after which the worker is killed.

        Raises:
            TimeoutError: no reply in time.
            WorkerError: the task raised, or the worker died.
        """
        if self.process is None:
            await self._start()
        succeeded = False
        try:
            with anyio.fail_after(timeout_s):
                await self.process.stdin.send(_framed((task, arguments)))
                length = int.from_bytes(await self.replies.receive_exactly(LENGTH_BYTES), "big")
                returned, result = pickle.loads(await self.replies.receive_exactly(length))
            succeeded = True
        except PIPE_BROKEN:
            raise WorkerDiedError from None
        finally:
            if not succeeded:
                await self.stop()
        if not returned:
            raise WorkerError(result)
        return result

    async def _start(self) -> None:
        self.process = await anyio.open_process([sys.executable, "-m", MODULE], stderr=subprocess.DEVNULL)
        self.replies = BufferedByteReceiveStream(self.process.stdout)

    async def stop(self) -> None:
        """Kill the worker, whatever it does."""
        process, self.process = self.process, None
        if process is None:
            return
        with anyio.CancelScope(shield=True):
            if process.returncode is None:
                process.kill()
            await process.aclose()


def _framed(message: Any) -> bytes:
    body = pickle.dumps(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def main() -> None:
    """Serve requests until standard input ends."""
    replies = os.fdopen(os.dup(STDOUT), "wb")
    os.dup2(STDERR, STDOUT)
    requests = sys.stdin.buffer
    while length := requests.read(LENGTH_BYTES):
        task, arguments = pickle.loads(requests.read(int.from_bytes(length, "big")))
        try:
            reply = (True, task(*arguments))
        except Exception as error:
            reply = (False, repr(error))
        replies.write(_framed(reply))
        replies.flush()


if __name__ == "__main__":
    main()
