"""Client connections and their requests. Every decision is the router's, every bound the connection pool's.

One task a client connection; a request's attempts run in it, so a client that reads slowly or goes away holds up
nobody else, and a body is passed on only as fast as the other side takes it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import anyio

from damsonpick.protocols.xds.load_stats import SliceCounts
from damsonpick.proxy import messages as http
from damsonpick.proxy.client import Client, ClientDisconnectedError, ClientTimeouts
from damsonpick.proxy.retry_policy import Execution
from damsonpick.proxy.router import RoutedRequest, Router
from damsonpick.proxy.server_connector import ServerConnector
from damsonpick.proxy.settings import ProxySettings
from damsonpick.proxy.stream import Stream
from damsonpick.proxy.upstream_request import DEADLINE, TIMED_OUT, AttemptError, UpstreamConnection, UpstreamRequest
from damsonpick.runtime.clock import Clock
from damsonpick.time_units import NS_PER_MS

NO_SERVER, DEADLINE_PASSED = "no server", "the deadline passed"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_DEADLINE_DIGITS = 11


def record_nothing(event: str, **details: Any) -> None:
    """The record of a proxy that nobody watches."""


class RequestHandler:
    """Serves the client connections of one proxy."""

    def __init__(
        self, settings: ProxySettings, router: Router, clock: Clock, record: Callable[..., None], log: Any
    ) -> None:
        """Begin without clients.

        Args:
            settings: the proxy's.
            router: decides for each request.
            clock: the proxy's.
            record: called with what passes on the sockets, for rehearsals.
            log: a structlog logger.
        """
        own = settings.proxy
        self.limits = settings.limits
        self.router = router
        self.clock = clock
        self.record = record
        self.log = log
        self.connector = ServerConnector(self.limits, router, clock)
        self.timeouts = ClientTimeouts(
            head=clock.seconds(self.limits.head_time),
            idle=clock.seconds(self.limits.idle_time),
            stall=clock.seconds(self.limits.stall_time),
        )
        self.key_header = own.key_header.lower().encode()
        self.class_header = own.class_header.lower().encode()
        self.client_header = own.client_header.lower().encode()
        self.cluster_header = own.slice_header.lower().encode()
        self.counts: dict[int, SliceCounts] = {}  # by slice, since the last load report
        self.tables_changed = asyncio.Event()
        self.clients = 0
        self.idle_streams: set[Stream] = set()  # of clients that have no request under way
        self.draining = False
        self.recording = record is not record_nothing
        self.stall: Callable[[], float] | None = None  # s for which a rehearsal stalls the proxy

    # -- tables and reports

    def apply_tables(self, type_url: str, names: list[str]) -> None:
        """Tables of these names have changed: requests that wait look again, withdrawn servers lose connections."""
        newly_withdrawn = self.router.resources_changed(type_url, names)
        self.tables_changed.set()
        self.tables_changed = asyncio.Event()
        for server in newly_withdrawn:
            self.connector.close_idle(server)

    def take_counts(self) -> dict[int, SliceCounts]:
        """What was counted by slice since the last call."""
        counts, self.counts = self.counts, {}
        return counts

    def _counts_of(self, request: RoutedRequest) -> SliceCounts:
        counts = self.counts.get(request.slice)
        if counts is None:
            counts = self.counts[request.slice] = SliceCounts()
        return counts

    def drain(self) -> None:
        """Accept no new connections, and close those without a request under way."""
        self.draining = True
        for stream in list(self.idle_streams):
            stream.close()

    # -- a client's connection

    async def serve(self, stream: Stream) -> None:
        """Serve all requests of one client connection."""
        if self.clients >= self.limits.connections or self.draining:
            stream.abort()
            return
        self.clients += 1
        client = Client(stream, self.limits, self.timeouts)
        try:
            if await self._serve_requests(client):
                stream.close()
            else:
                stream.abort()
        except ClientDisconnectedError:
            stream.abort()
        except Exception as error:  # a fault of this program ends one connection, never the proxy
            self.log.error("connection_failed", error=repr(error), exc_info=True, remedy="report this as a defect")
        finally:
            self.clients -= 1
            self.idle_streams.discard(stream)
            if not stream.lost and not stream.transport.is_closing():
                stream.abort()

    async def _serve_requests(self, client: Client) -> bool:
        """Returns whether the connection may be closed in order; otherwise it is aborted."""
        while not self.draining or client.pending():
            head = await self._next_head(client)
            if head is None:
                return True
            keep = await self._serve_request(client, head)
            if not keep:
                if not client.ended and not client.begun:
                    await client.stream.linger()
                return client.ended or not client.begun
        return True

    async def _next_head(self, client: Client) -> http.Head | None:
        """The head of the next request; None: there is none, and the client has been told why if it needs to be."""
        self.idle_streams.add(client.stream)
        try:
            return await client.head()
        except http.HttpProtocolError as error:
            self.record("bad", why=str(error))
            await client.send(http.plain_answer(error.status, str(error), close=True))
            await client.stream.linger()
            return None
        except TimeoutError:
            if client.reader.raw:
                await client.send(http.plain_answer(408, "the head took too long", close=True))
            return None
        finally:
            self.idle_streams.discard(client.stream)

    async def _serve_request(self, client: Client, head: http.Head) -> bool:
        """Serve one request to its end; returns whether the connection may go on."""
        now = self.clock.now()
        request = self._classify(client, head, now)
        if head.length is not None and head.length > self.limits.body:
            await client.send(http.plain_answer(413, f"the body is over {self.limits.body} bytes", close=True))
            return False
        if self.stall is not None and (stalled_s := self.stall()) > 0:
            await anyio.sleep(stalled_s)
        counts = self._counts_of(request)
        if not self.router.admit(now, request):
            counts.count_dropped(request.request_class)
            return await self._reject_unadmitted(client, head, now)
        counts.count_admitted(request.request_class)
        try:
            if head.expects:
                await client.send(CONTINUE)
            return await self._attempt_until_answered(client, head, request)
        except AttemptError as failed:
            self._counts_of(request).count_failed(request.request_class)
            return await self._answer_failure(client, head, failed)
        except http.HttpProtocolError as error:  # of the client's body
            self._counts_of(request).count_failed(request.request_class)
            await client.send(http.plain_answer(error.status, str(error), close=True))
            return False

    def _classify(self, client: Client, head: http.Head, now: int) -> RoutedRequest:
        headers = head.named
        request_class = headers.get(self.class_header, b"").decode("latin-1")
        key = (headers.get(self.key_header) or head.start[1]).decode("latin-1")
        named_cluster = headers.get(self.cluster_header, b"").decode("latin-1") if self.cluster_header else ""
        left_ns = None
        deadline_ms = headers.get(DEADLINE, b"")
        if deadline_ms.isdigit() and len(deadline_ms) <= MAX_DEADLINE_DIGITS:
            left_ns = int(deadline_ms) * NS_PER_MS
        named_client = headers.get(self.client_header)
        identity = named_client.decode("latin-1") if named_client else client.address
        return self.router.classify(now, request_class, key, identity, named_cluster, left_ns)

    # -- answers of the proxy's own

    async def _reject_unadmitted(self, client: Client, head: http.Head, now: int) -> bool:
        retry_after = str(self.router.admission.retry_after(now)).encode()
        return await self._reject(
            client, head, 503, "not let in now, come again later", [(b"retry-after", retry_after)]
        )

    async def _reject(
        self, client: Client, head: http.Head, status: int, text: str, headers: list[tuple[bytes, bytes]] | None = None
    ) -> bool:
        """Answer at once; a body on its way is not waited for. Returns whether the connection may go on."""
        close = self._must_close(client, head)
        await client.send(http.plain_answer(status, text, headers, close=close))
        return not close

    def _must_close(self, client: Client, head: http.Head) -> bool:
        return not head.keep or not client.ended or self.draining

    async def _answer_failure(self, client: Client, head: http.Head, failed: AttemptError) -> bool:
        """Tell the client how its last attempt ended; returns whether the connection may go on."""
        if client.begun:  # part of an answer was sent: the only honest end is to abort
            client.ended = False
            return False
        if failed.answer is not None:
            close = self._must_close(client, head)
            answer = failed.answer
            headers = http.forwardable_headers(answer.head)
            start = http.answer_bytes(answer.head.start, headers, len(answer.body), close)
            await client.send(start + answer.body)
            return not close
        return await self._reject(client, head, _failure_status(failed.reason), failed.reason)

    # -- attempts

    async def _attempt_until_answered(self, client: Client, head: http.Head, request: RoutedRequest) -> bool:
        attempted: set[str] = set()
        now = request.arrived
        server = self.router.pick(now, request, attempted)
        while True:
            if server is None:
                server = await self._wait_for_server(request, attempted)
                now = self.clock.now()
            if server is None:
                raise AttemptError(Execution.NOT_SENT, NO_SERVER)
            attempted.add(server)
            try:
                return await self._attempt(client, head, request, server, now)
            except AttemptError as failed:
                now = self.clock.now()
                replayable = client.replayable() and not client.begun
                attempts = len(attempted)
                if not self.router.spend_retry(now, request, failed.execution, attempts, replayable=replayable):
                    raise
                server = self.router.pick(now, request, attempted)  # once: with round robin it is this server's turn
                if server is None:
                    raise  # no other server
                client.rewind()

    async def _wait_for_server(self, request: RoutedRequest, attempted: set[str]) -> str | None:
        """A server; before its first attempt a request waits a little for a table that has one."""
        until = 0
        if not attempted:
            until = min(request.deadline, request.arrived + self.limits.hold)
        while True:
            server = self.router.pick(self.clock.now(), request, attempted)
            left_ns = until - self.clock.now()
            if server is not None or left_ns <= 0:
                return server
            with anyio.move_on_after(self.clock.seconds(left_ns)):
                await self.tables_changed.wait()

    async def _attempt(
        self, client: Client, head: http.Head, request: RoutedRequest, server: str, started: int
    ) -> bool:
        """One attempt; its end is counted whatever happens. Returns whether the client's connection may go on."""
        zone = self.router.zone_of(request.cluster, server)
        until = client.stream.time() + self.clock.seconds(self.router.attempt_timeout(request, started))
        self.router.load_balancer.request_started(server)
        succeeded = reusable = False
        connection: UpstreamConnection | None = None
        try:
            connection = self.connector.take_idle(request, server, started)
            if connection is None:
                connection = await self.connector.connect(request, server, zone, until)
            if self.recording:
                self._record_attempt(head, request, server)
            left_ms = max(0, request.deadline - started) // NS_PER_MS
            upstream = UpstreamRequest(self.limits, client, connection, head, left_ms, self.draining)
            answer = await upstream.send(until)
            succeeded = answer.start < 500
            reusable = await upstream.forward_answer(answer)
            return upstream.keep
        except TimeoutError:
            reason = DEADLINE_PASSED if self.clock.now() >= request.deadline else TIMED_OUT
            execution = Execution.NOT_SENT if connection is None else Execution.UNKNOWN
            raise AttemptError(execution, reason) from None
        except ClientDisconnectedError:
            succeeded = True  # not the server's fault
            raise
        finally:
            now = self.clock.now()
            self.router.load_balancer.request_ended(now, server, succeeded, started)
            self._counts_of(request).count_attempt(zone, server, succeeded, (now - started) / 1e6)
            if connection is not None:
                self.connector.release(server, connection, reusable, now)

    def _record_attempt(self, head: http.Head, request: RoutedRequest, server: str) -> None:
        request_id = head.get(b"x-request-id").decode("latin-1")
        self.record("try", id=request_id, kind=request.request_class, slice=request.slice, server=server)


def _failure_status(reason: str) -> int:
    if reason in (TIMED_OUT, DEADLINE_PASSED):
        return 504
    return 503 if reason == NO_SERVER else 502
