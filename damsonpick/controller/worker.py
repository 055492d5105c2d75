"""A worker process for solves: orders never wait for one, and one that takes too long is ended for good.

`python -m damsonpick.controller.worker` reads a length and a pickle on standard input and answers in kind. What the
solver library prints goes to standard error: the pipe carries answers alone. Only the parent's own
objects pass, over a pipe of its own.
"""

from __future__ import annotations

import os
import pickle
import subprocess
import sys
from typing import Any

import anyio
from anyio.streams.buffered import BufferedByteReceiveStream

HEAD = 8  # bytes of a length


class Worker:
    """One worker, started at the first call and after each that did not end well."""

    def __init__(self) -> None:
        self.process: anyio.abc.Process | None = None

    async def call(self, task: Any, *arguments: Any, limit: float) -> Any:
        """Run `task(*arguments)` there; a module-level function.

        Raises:
            TimeoutError: no answer within `limit` seconds; the worker is ended.
            RuntimeError: it raised, or the worker died; the text says what.
        """
        if self.process is None:
            self.process = await anyio.open_process(
                [sys.executable, "-m", "damsonpick.controller.worker"], stderr=subprocess.DEVNULL
            )
            self.lines = BufferedByteReceiveStream(self.process.stdout)
        body = pickle.dumps((task, arguments))
        good = False
        try:
            with anyio.fail_after(limit):
                await self.process.stdin.send(len(body).to_bytes(HEAD, "big") + body)
                size = int.from_bytes(await self.lines.receive_exactly(HEAD), "big")
                fine, answer = pickle.loads(await self.lines.receive_exactly(size))
            good = True
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, anyio.IncompleteRead):
            raise RuntimeError("the worker process died") from None
        finally:
            if not good:
                await self.end()
        if not fine:
            raise RuntimeError(answer)
        return answer

    async def end(self) -> None:
        """End the worker, whatever it does."""
        process, self.process = self.process, None
        if process is not None:
            with anyio.CancelScope(shield=True):
                if process.returncode is None:
                    process.kill()
                await process.aclose()


def main() -> None:
    answers = os.fdopen(os.dup(1), "wb")
    os.dup2(2, 1)
    while head := sys.stdin.buffer.read(HEAD):
        task, arguments = pickle.loads(sys.stdin.buffer.read(int.from_bytes(head, "big")))
        try:
            reply = (True, task(*arguments))
        except Exception as error:
            reply = (False, repr(error))
        body = pickle.dumps(reply)
        answers.write(len(body).to_bytes(HEAD, "big") + body)
        answers.flush()


if __name__ == "__main__":
    main()
