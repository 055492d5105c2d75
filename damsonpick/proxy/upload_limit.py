"""Limits the attempts of requests whose bodies are still on their way, so that slow clients leave servers to others.

Such an attempt occupies a connection to a server for as long as its client likes. At most a share of the connections to
one server is used for them; further ones wait for their turn, in order.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from damsonpick.proxy.client import ClientDisconnectedError
from damsonpick.proxy.retry_policy import Execution
from damsonpick.proxy.upstream_request import AttemptError

UPLOAD_SHARE = 0.5  # share of the connections to a server
CLIENT_CHECK_PERIOD_S = 0.1  # time between checks whether the client of a waiting attempt has left
TOO_MANY_UPLOADS = "too many unfinished requests for this server"


@dataclass(slots=True, eq=False)
class ServerUploads:
    """Attempts with unfinished bodies at one server: their number, and those that wait for their turn."""

    active: int = 0
    waiting: deque[asyncio.Event] = field(default_factory=deque)


class UploadLimit:
    """The attempts with unfinished bodies at all servers.

    Attributes:
        most_active: Most such attempts at one server.
        most_waiting: Most attempts that wait for one server.
    """

    def __init__(self, per_server: int, most_waiting: int) -> None:
        """Create a limit for `per_server` connections to each server."""
        self.most_active = max(1, int(UPLOAD_SHARE * per_server))
        self.most_waiting = most_waiting
        self._servers: dict[str, ServerUploads] = {}

    async def acquire(self, server: str, timeout_s: float, has_left: Callable[[], bool]) -> None:
        """Wait until an attempt may begin. Call `release` when it has ended.

        Args:
            server: Address of the server.
            timeout_s: Longest wait in seconds.
            has_left: Returns whether the client has left, so that nobody waits for the attempt.

        Raises:
            AttemptError: Too many attempts wait already. Nothing was sent.
            ClientDisconnectedError: The client has left.
            TimeoutError: The attempt had no turn in time.
        """
        uploads = self._servers.setdefault(server, ServerUploads())
        if uploads.active < self.most_active:
            uploads.active += 1
            return
        if len(uploads.waiting) >= self.most_waiting:
            raise AttemptError(Execution.NOT_SENT, TOO_MANY_UPLOADS)
        turn = asyncio.Event()
        uploads.waiting.append(turn)
        try:
            with anyio.fail_after(max(0.0, timeout_s)):
                while not turn.is_set():
                    with anyio.move_on_after(CLIENT_CHECK_PERIOD_S):
                        await turn.wait()
                    if has_left():
                        raise ClientDisconnectedError
        except BaseException:
            if turn.is_set():  # the turn came too late and goes to the next one
                self.release(server)
            else:
                uploads.waiting.remove(turn)
            raise

    def release(self, server: str) -> None:
        """End an attempt; the first that waits takes its place."""
        uploads = self._servers[server]
        if uploads.waiting:
            uploads.waiting.popleft().set()
            return
        uploads.active -= 1
        if not uploads.active:
            del self._servers[server]
