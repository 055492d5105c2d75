"""A worker process for solves. The event loop never blocks on a solve. If a solve takes too long, the worker is killed.

`python -m damsonpick.controller.solver_worker` reads requests from standard input and writes replies to standard
output, each as a length and a pickle. Output of the solver library is redirected to standard error, so that the pipe
carries only replies. Unpickling is safe, because only the parent process and its worker exchange objects, over a
private pipe.
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
PIPE_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, anyio.IncompleteRead)


class WorkerError(RuntimeError):
    """The task raised an exception in the worker, or the worker process ended. The message gives the cause."""


class WorkerDiedError(WorkerError):
    """The worker process ended without a reply."""

    def __init__(self) -> None:
        """Build the message, which gives no cause because none is known."""
        super().__init__("the worker process died")


class SolverWorker:
    """Manages one worker process, which starts at the first call.

    A call that ends without a reply stops the process, and the next call starts a new one. An exception of the task is
    a reply, after which the process continues.
    """

    def __init__(self) -> None:
        """Create the manager. The first call starts the process."""
        self.process: anyio.abc.Process | None = None
        self.replies: BufferedByteReceiveStream | None = None

    @property
    def is_running(self) -> bool:
        """Return whether the worker process was started and has not been stopped since."""
        return self.process is not None

    async def call(self, task: Callable, *arguments: Any, timeout_s: float) -> Any:
        """Run `task(*arguments)` in the worker.

        Args:
            task: A module-level function.
            arguments: Arguments of the task, which must be picklable.
            timeout_s: Wall seconds after which the worker is killed.

        Raises:
            TimeoutError: The worker sent no reply in time.
            WorkerError: The task raised an exception, or the worker process ended.
        """
        if self.process is None:
            await self._start()
        succeeded = False
        try:
            with anyio.fail_after(timeout_s):
                await self.process.stdin.send(_encode_frame((task, arguments)))
                length = int.from_bytes(await self.replies.receive_exactly(LENGTH_BYTES), "big")
                returned, result = pickle.loads(await self.replies.receive_exactly(length))
            succeeded = True
        except PIPE_ERRORS:
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
        """Kill the worker process, even while it runs a task."""
        process, self.process = self.process, None
        if process is None:
            return
        with anyio.CancelScope(shield=True):
            if process.returncode is None:
                process.kill()
            await process.aclose()


def _encode_frame(message: Any) -> bytes:
    body = pickle.dumps(message)
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


def main() -> None:
    """Process requests until standard input ends."""
    replies = os.fdopen(os.dup(STDOUT), "wb")
    os.dup2(STDERR, STDOUT)
    requests = sys.stdin.buffer
    while length := requests.read(LENGTH_BYTES):
        task, arguments = pickle.loads(requests.read(int.from_bytes(length, "big")))
        try:
            reply = (True, task(*arguments))
        except Exception as error:
            reply = (False, repr(error))
        replies.write(_encode_frame(reply))
        replies.flush()


if __name__ == "__main__":
    main()
