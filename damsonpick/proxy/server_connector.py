"""Provides a connection for each attempt: an idle one, a new one, or one that becomes free while the attempt waits."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import anyio

from damsonpick.proxy import stream as streams
from damsonpick.proxy.client import ClientDisconnectedError
from damsonpick.proxy.pool import ConnectionPool
from damsonpick.proxy.retry_policy import NON_IDEMPOTENT, Execution
from damsonpick.proxy.router import RoutedRequest, Router
from damsonpick.proxy.settings import Limits
from damsonpick.proxy.upload_limit import UploadLimit
from damsonpick.proxy.upstream_request import AttemptError, UpstreamConnection
from damsonpick.runtime.clock import Clock
from damsonpick.runtime.timeouts import complete_within

QUEUE_RETRY_PERIOD_S = 0.05  # after this time, a waiter tries again because the opening rate may allow a connection
SWEEP_PERIOD_S = 1.0  # time between removals of expired idle connections


class ServerConnector:
    """Provides attempts with connections to servers and returns the connections to the pool."""

    def __init__(self, limits: Limits, router: Router, clock: Clock) -> None:
        """Create a connector that has no connections.

        Args:
            limits: Limits on sizes, numbers and times.
            router: Decides whether a server may still be used.
            clock: Clock of the proxy.
        """
        self.limits = limits
        self.router = router
        self.clock = clock
        self.uploads = UploadLimit(limits.per_server, limits.waiting)
        self.connect_timeout_s = clock.seconds(limits.connect_time)
        self.pool: ConnectionPool[UpstreamConnection, asyncio.Event] = ConnectionPool(
            limits.per_server, limits.waiting, limits.churn, limits.pool_time
        )
        # Returns whether the proxy can reach a zone. Test scenarios replace it to cut links between zones.
        self.can_reach_zone: Callable[[str], bool] = lambda zone: True

    def take_idle(self, request: RoutedRequest, server: str, now: int) -> UpstreamConnection | None:
        """Return an idle connection that is still open and may be reused for this request, or None.

        A non-idempotent request reuses only a connection that was idle for at most `limits.write_fresh`.
        """
        non_idempotent = request.effect == NON_IDEMPOTENT
        max_idle_ns = self.limits.write_fresh if non_idempotent else self.limits.pool_time
        while (connection := self.pool.acquire_idle(now, server, max_idle_ns)) is not None:
            if connection.is_idle():
                return connection
            self.release(server, connection, False, now)
        return None

    async def connect(
        self, request: RoutedRequest, server: str, zone: str, until: float, has_left: Callable[[], bool]
    ) -> UpstreamConnection:
        """Open a connection or wait for one that becomes free.

        Args:
            request: The request.
            server: Address of the server.
            zone: Zone of the server.
            until: Time of the event loop in seconds at which the attempt ends.
            has_left: Returns whether the client has left, so that nobody waits for the attempt.

        Raises:
            ClientDisconnectedError: The client has left. Nothing was sent.
            AttemptError: The queue is full, the connection cannot be opened, or the server left the table or was
                withdrawn. Nothing was sent.
            TimeoutError: `until` has passed.
        """
        loop = asyncio.get_running_loop()
        with anyio.fail_after(max(0.0, until - loop.time())):
            connection = await self._open_or_wait(request, server, zone, has_left)
        if self.router.is_routable(request, server):
            return connection
        # The table changed while the connection was opened, so nothing is sent to this server.
        self.release(server, connection, connection.is_idle(), self.clock.now())
        raise AttemptError(Execution.NOT_SENT, "the table changed")

    async def _open_or_wait(
        self, request: RoutedRequest, server: str, zone: str, has_left: Callable[[], bool]
    ) -> UpstreamConnection:
        while True:
            now = self.clock.now()
            if (oldest := self.pool.evict_idle(server)) is not None:
                oldest.close()
            if self.pool.reserve_new(now, server):
                return await self._dial(server, zone)
            await self._wait_in_queue(server)
            if has_left():
                raise ClientDisconnectedError
            connection = self.take_idle(request, server, self.clock.now())
            if connection is not None:
                return connection

    async def _wait_in_queue(self, server: str) -> None:
        """Wait until a connection may be available.

        Raises:
            AttemptError: The queue is full.
        """
        woken = asyncio.Event()
        if not self.pool.enqueue(server, woken):
            raise AttemptError(Execution.NOT_SENT, "too many wait for this server")
        try:
            with anyio.move_on_after(QUEUE_RETRY_PERIOD_S):
                await woken.wait()
        finally:
            self.pool.cancel_wait(server, woken)

    async def _dial(self, server: str, zone: str) -> UpstreamConnection:
        host, _, port = server.rpartition(":")

        async def open_stream() -> streams.Stream:
            if not self.can_reach_zone(zone):
                await anyio.sleep_forever()
            return await streams.dial(host.strip("[]"), int(port))

        try:
            stream = await complete_within(self.connect_timeout_s, open_stream, _abort)
            return UpstreamConnection(stream, self.limits.head, self.limits.fields)
        except (OSError, TimeoutError):
            self.release(server, None, False, self.clock.now())
            raise AttemptError(Execution.NOT_SENT, "cannot connect") from None
        except BaseException:  # cancelled: pass the reserved connection slot to the next waiter
            _wake(self.pool.release(self.clock.now(), server, None))
            raise

    def release(self, server: str, connection: UpstreamConnection | None, reusable: bool, now: int) -> None:
        """Return a connection to the pool and wake the next waiter.

        The connection is closed instead if it is not reusable or its server is withdrawn. `connection` is None if it
        was never opened.
        """
        keep = reusable and connection is not None and server not in self.router.withdrawn
        _wake(self.pool.release(now, server, connection if keep else None))
        if connection is not None and not keep:
            connection.close()

    def close_idle(self, server: str) -> None:
        """Close the idle connections to a withdrawn server."""
        for connection in self.pool.pop_idle(server):
            connection.close()

    async def close_expired(self) -> None:
        """Close expired idle connections periodically, until cancelled."""
        while True:
            await anyio.sleep(SWEEP_PERIOD_S)
            for connection in self.pool.pop_expired(self.clock.now()):
                connection.close()


async def _abort(stream: streams.Stream) -> None:
    stream.abort()


def _wake(waiter: asyncio.Event | None) -> None:
    if waiter is not None:
        waiter.set()
