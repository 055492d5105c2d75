"""Serves clients and their requests. The router makes all decisions. The pool bounds the connections to servers.

One task serves each client connection and runs the attempts of its requests. A client that reads slowly or disconnects
therefore delays no other client, and a body is forwarded only as fast as the receiver reads it.
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
from damsonpick.proxy.upload_limit import TOO_MANY_UPLOADS
from damsonpick.proxy.upstream_request import DEADLINE, TIMED_OUT, AttemptError, UpstreamConnection, UpstreamRequest
from damsonpick.runtime.clock import Clock
from damsonpick.time_units import NS_PER_MS

NO_SERVER, DEADLINE_PASSED = "no server", "the deadline passed"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_DEADLINE_DIGITS = 11  # most digits of an x-request-timeout-ms value; a longer value is ignored


def record_nothing(event: str, **details: Any) -> None:
    """Discard an event. This is the `record` callback of a proxy that is not observed."""


class RequestHandler:
    """Serves the client connections of one proxy and counts their requests for load reports."""

    def __init__(
        self, settings: ProxySettings, router: Router, clock: Clock, record: Callable[..., None], log: Any
    ) -> None:
        """Create a handler that has no clients.

        Args:
            settings: Settings of the proxy.
            router: Makes the decisions for each request.
            clock: Clock of the proxy.
            record: Called with the name and fields of each observed event, for test scenarios.
            log: A structlog logger.
        """
        proxy_section = settings.proxy
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
        self.key_header = proxy_section.key_header.lower().encode()
        self.class_header = proxy_section.class_header.lower().encode()
        self.client_header = proxy_section.client_header.lower().encode()
        self.cluster_header = proxy_section.slice_header.lower().encode()
        self.counts: dict[int, SliceCounts] = {}  # counts by slice since the last load report
        self.tables_changed = asyncio.Event()
        self.clients = 0
        self.idle_streams: set[Stream] = set()  # streams of clients that have no request in flight
        self.draining = False
        self.recording = record is not record_nothing
        self.stall: Callable[[], float] | None = None  # returns the seconds by which a test scenario delays a request

    # -- tables and reports

    def apply_tables(self, type_url: str, names: list[str]) -> None:
        """Apply changed tables: wake the waiting requests and close idle connections to newly withdrawn servers."""
        newly_withdrawn = self.router.resources_changed(type_url, names)
        self.tables_changed.set()
        self.tables_changed = asyncio.Event()
        for server in newly_withdrawn:
            self.connector.close_idle(server)

    def take_counts(self) -> dict[int, SliceCounts]:
        """Return and reset the counts by slice."""
        counts, self.counts = self.counts, {}
        return counts

    def _counts_of(self, request: RoutedRequest) -> SliceCounts:
        counts = self.counts.get(request.slice)
        if counts is None:
            counts = self.counts[request.slice] = SliceCounts()
        return counts

    def drain(self) -> None:
        """Abort new connections from now on, and close open connections that have no request in flight."""
        self.draining = True
        for stream in list(self.idle_streams):
            stream.close()

    # -- a client's connection

    async def serve(self, stream: Stream) -> None:
        """Serve all requests of one client connection.

        A new connection is aborted before any request if `limits.connections` are open or the proxy is draining.
        """
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
        except Exception as error:  # a defect of this program ends one connection, not the proxy
            self.log.error("connection_failed", error=repr(error), exc_info=True, remedy="report this as a defect")
        finally:
            self.clients -= 1
            self.idle_streams.discard(stream)
            if stream.lost or not stream.transport.is_closing():
                stream.abort()

    async def _serve_requests(self, client: Client) -> bool:
        """Serve requests until the connection ends. Return False if it must be aborted instead of closed in order."""
        while not self.draining or client.pending():
            head = await self._next_head(client)
            if head is None:
                return True
            if client.has_left():
                raise ClientDisconnectedError
            keep = await self._serve_request(client, head)
            if not keep:
                if not client.request_complete and not client.response_started:
                    await client.stream.linger()
                return client.request_complete or not client.response_started
            if client.pending():
                await asyncio.sleep(0)  # other clients take their turns between the requests that one sent at once
        return True

    async def _next_head(self, client: Client) -> http.Head | None:
        """Return the head of the next request, or None if there is none.

        A head that is invalid, or still incomplete at the timeout, is answered with an error response first.
        """
        self.idle_streams.add(client.stream)
        try:
            return await client.head()
        except http.HttpProtocolError as error:
            self.record("bad", why=str(error))
            await client.send(http.text_response(error.status, str(error), close=True))
            await client.stream.linger()
            return None
        except TimeoutError:
            if client.reader.partial_head:
                await client.send(http.text_response(408, "the head took too long", close=True))
            return None
        finally:
            self.idle_streams.discard(client.stream)

    async def _serve_request(self, client: Client, head: http.Head) -> bool:
        """Serve one request to its end. Return whether the connection stays open."""
        now = self.clock.now()
        request = self._classify(client, head, now)
        if head.length is not None and head.length > self.limits.body:
            await client.send(http.text_response(413, f"the body is over {self.limits.body} bytes", close=True))
            return False
        if self.stall is not None and (stall_s := self.stall()) > 0:
            await anyio.sleep(stall_s)
        counts = self._counts_of(request)
        if not self.router.admit(now, request):
            counts.count_dropped(request.request_class)
            return await self._reject_unadmitted(client, head, now)
        counts.count_admitted(request.request_class)
        try:
            if head.expects_continue:
                await client.send(CONTINUE)
            return await self._attempt_until_response(client, head, request)
        except AttemptError as failed:
            self._counts_of(request).count_failed(request.request_class)
            return await self._send_failure(client, head, failed)
        except http.HttpProtocolError as error:  # from the client's body
            self._counts_of(request).count_failed(request.request_class)
            await client.send(http.text_response(error.status, str(error), close=True))
            return False

    def _classify(self, client: Client, head: http.Head, now: int) -> RoutedRequest:
        headers = head.by_name
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

    # -- responses that the proxy itself creates

    async def _reject_unadmitted(self, client: Client, head: http.Head, now: int) -> bool:
        retry_after = str(self.router.admission.retry_after(now)).encode()
        return await self._reject(
            client, head, 503, "not let in now, come again later", [(b"retry-after", retry_after)]
        )

    async def _reject(
        self, client: Client, head: http.Head, status: int, text: str, headers: list[tuple[bytes, bytes]] | None = None
    ) -> bool:
        """Respond at once without waiting for the rest of the body. Return whether the connection stays open."""
        close = self._must_close(client, head)
        await client.send(http.text_response(status, text, headers, close=close))
        return not close

    def _must_close(self, client: Client, head: http.Head) -> bool:
        return not head.keep_alive or not client.request_complete or self.draining

    async def _send_failure(self, client: Client, head: http.Head, failed: AttemptError) -> bool:
        """Send the result of the last failed attempt to the client. Return whether the connection stays open."""
        if client.response_started:  # only an abort tells the client that the response is incomplete
            client.request_complete = False
            return False
        if failed.response is not None:
            close = self._must_close(client, head)
            response = failed.response
            headers = http.forwardable_headers(response.head)
            start = http.response_head_bytes(response.head.start, headers, len(response.body), close)
            await client.send(start + response.body)
            return not close
        return await self._reject(client, head, _failure_status(failed.reason), failed.reason)

    # -- attempts

    async def _attempt_until_response(self, client: Client, head: http.Head, request: RoutedRequest) -> bool:
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
                replayable = client.replayable() and not client.response_started
                attempts = len(attempted)
                if not self.router.spend_retry(now, request, failed.execution, attempts, replayable=replayable):
                    raise
                # Pick only once: with round robin, each pick uses up a server's turn.
                server = self.router.pick(now, request, attempted)
                if server is None:
                    raise  # no other server
                client.rewind()

    async def _wait_for_server(self, request: RoutedRequest, attempted: set[str]) -> str | None:
        """Pick a server. Before its first attempt, a request waits for a table with a server.

        The wait ends after the hold time or at the request's deadline. If no server can be picked by then, the result
        is None.
        """
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
        """Make one attempt; an attempt with an unfinished body waits for its turn. Return as `_counted_attempt` does.

        Raises:
            AttemptError: The attempt failed.
            ClientDisconnectedError: The client disconnected.
            HttpProtocolError: The client's body is malformed, too large or stalled.
        """
        until = client.stream.time() + self.clock.seconds(self.router.attempt_timeout(request, started))
        if client.body_received():
            return await self._counted_attempt(client, head, request, server, started, until)
        try:
            await self.connector.uploads.acquire(server, until - client.stream.time(), client.has_left)
        except TimeoutError:
            raise AttemptError(Execution.NOT_SENT, self._timeout_reason(request)) from None
        try:
            return await self._counted_attempt(client, head, request, server, started, until)
        finally:
            self.connector.uploads.release(server)

    def _timeout_reason(self, request: RoutedRequest) -> str:
        return DEADLINE_PASSED if self.clock.now() >= request.deadline else TIMED_OUT

    async def _counted_attempt(
        self, client: Client, head: http.Head, request: RoutedRequest, server: str, started: int, until: float
    ) -> bool:
        """Make one attempt and count its end in every case. Return whether the client's connection stays open."""
        zone = self.router.zone_of(request.cluster, server)
        is_upload = not client.body_received()
        self.router.load_balancer.request_started(server)
        succeeded = reusable = body_late = False
        connection: UpstreamConnection | None = None
        try:
            connection = self.connector.take_idle(request, server, started)
            if connection is None:
                connection = await self.connector.connect(request, server, zone, until, client.has_left)
            if client.has_left():
                reusable = True
                raise ClientDisconnectedError
            if self.recording:
                self._record_attempt(head, request, server)
            left_ms = max(0, request.deadline - started) // NS_PER_MS
            upstream = UpstreamRequest(self.limits, client, connection, head, left_ms, self.draining)
            response = await upstream.send(until)
            succeeded = response.start < 500
            reusable = await upstream.forward_response(response)
            return upstream.keep_client_open
        except TimeoutError:
            body_late = succeeded = _waits_for_client(client, connection)
            execution = Execution.NOT_SENT if connection is None else Execution.UNKNOWN
            raise AttemptError(execution, self._timeout_reason(request)) from None
        except http.HttpProtocolError:
            body_late = succeeded = True
            raise
        except ClientDisconnectedError:
            succeeded = True  # the client disconnected, so the server is not at fault
            body_late = _waits_for_client(client, connection)
            raise
        finally:
            now = self.clock.now()
            self.router.load_balancer.request_ended(now, server, succeeded, started)
            if not body_late:
                # With an unfinished body, the time is the client's as much as the server's.
                latency_ms = None if is_upload else (now - started) / 1e6
                self._counts_of(request).count_attempt(zone, server, succeeded, latency_ms)
            if connection is not None:
                self.connector.release(server, connection, reusable, now)

    def _record_attempt(self, head: http.Head, request: RoutedRequest, server: str) -> None:
        request_id = head.get(b"x-request-id").decode("latin-1")
        self.record("try", id=request_id, kind=request.request_class, slice=request.slice, server=server)


def _waits_for_client(client: Client, connection: UpstreamConnection | None) -> bool:
    """Return whether an attempt waits for the rest of the client's body, and not for a server that does not read."""
    return not client.body_received() and not (connection is not None and connection.stream.writing_paused)


def _failure_status(reason: str) -> int:
    if reason in (TIMED_OUT, DEADLINE_PASSED):
        return 504
    return 503 if reason in (NO_SERVER, TOO_MANY_UPLOADS) else 502
