"""Sends one request on one connection to a server and forwards the response to the client."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from damsonpick.proxy import messages as http
from damsonpick.proxy.client import Client, ClientDisconnectedError
from damsonpick.proxy.retry_policy import Execution
from damsonpick.proxy.settings import Limits
from damsonpick.proxy.stream import READ_AHEAD_BYTES, ConnectionLostError, Stream

# Header of a 503 response, by which the server states that it did not begin to execute the request.
NOT_RUN = b"x-not-run"
DEADLINE = b"x-request-timeout-ms"
CONNECTION_CLOSED, TIMED_OUT = "the server closed the connection", "timed out"


class ErrorResponse(NamedTuple):
    """Response of a server with a 5xx status.

    The body is incomplete if it is over the replay limit, and empty if it ends only with the connection.
    """

    head: http.Head
    body: bytes


class AttemptError(Exception):
    """Raised when an attempt brought no response, an invalid or incomplete response, or a 5xx response."""

    def __init__(self, execution: Execution, reason: str, response: ErrorResponse | None = None) -> None:
        """Create the error.

        Args:
            execution: What is known about the execution of the request by the server.
            reason: Text for the client and the log.
            response: Error response of the server, if it sent one.
        """
        super().__init__(reason)
        self.execution = execution
        self.reason = reason
        self.response = response


class UpstreamConnection:
    """One connection to a server and the reader of its responses."""

    __slots__ = ("reader", "stream")

    def __init__(self, stream: Stream, max_head_bytes: int, max_fields: int) -> None:
        """Wrap an open connection.

        Args:
            stream: The open connection.
            max_head_bytes: Largest accepted size of a response head.
            max_fields: Largest accepted number of header fields of a response.
        """
        self.stream = stream
        self.reader = http.Reader(False, max_head_bytes, max_fields)

    def is_idle(self) -> bool:
        """Return whether the connection is open and the server has sent no unrequested data."""
        return self.stream.is_idle()

    def close(self) -> None:
        """Close the connection at once."""
        self.stream.abort()


class UpstreamRequest:
    """Sends one request and forwards its response."""

    def __init__(
        self,
        limits: Limits,
        client: Client,
        connection: UpstreamConnection,
        head: http.Head,
        left_ms: int,
        closing: bool,
    ) -> None:
        """Prepare a request without sending anything.

        Args:
            limits: Limits on message sizes.
            client: Sends the body and receives the response.
            connection: Connection to the server.
            head: Head of the request.
            left_ms: Milliseconds until the deadline, which are sent to the server.
            closing: Whether the client's connection closes after this request.
        """
        self.limits = limits
        self.client = client
        self.connection = connection
        self.head = head
        self.left_ms = left_ms
        self.keep_client_open = head.keep_alive and not closing  # whether the client's connection stays open
        self._events: list[http.Head | http.Body | http.End] = []  # events of the response that are not consumed yet
        self._sent_completely = False
        connection.reader.bodiless = head.start[0] == b"HEAD"

    async def send(self, until: float) -> http.Head:
        """Send the request and read the head of its response, which may arrive before the body is completely sent.

        Args:
            until: Time of the event loop in seconds at which the attempt ends.

        Raises:
            AttemptError: The server sent no response, an invalid response or a 5xx response.
            TimeoutError: `until` passed first, or writing a part of the body took longer than the stall timeout.
            ClientDisconnectedError: The client no longer waits for the response.
            HttpProtocolError: The client's body is malformed, too large or stalled.
        """
        start = http.upstream_head_bytes(self.head, (DEADLINE, b"%d" % self.left_ms))
        if self.client.request_complete and not self.client.size:
            response = await self._send_without_body(start, until)
        else:
            with anyio.fail_after(max(0.0, until - self.connection.stream.time())):
                response = await self._send_body_and_read(start, until)
        if response.start >= 500:
            await self._raise_error_response(response, until)
        return response

    async def _send_without_body(self, start: bytes, until: float) -> http.Head:
        self._sent_completely = True
        await self._write(start if self.head.length == 0 else start + http.last_chunk([]), until)
        self.client.skip_stored_body()
        return await self._read_head(until)

    async def _send_body_and_read(self, start: bytes, until: float) -> http.Head:
        """Send the body and read the head concurrently: a server may respond before it has read the complete body."""
        responses: list[http.Head] = []
        errors: list[Exception] = []
        async with anyio.create_task_group() as group:

            async def send() -> None:
                try:
                    await self._write(start, until)
                    await self._send_body()
                except AttemptError:
                    pass  # the server stopped reading; its response, if any, states the reason
                except (ClientDisconnectedError, http.HttpProtocolError, TimeoutError) as error:
                    errors.append(error)
                    group.cancel_scope.cancel()

            async def read() -> None:
                try:
                    responses.append(await self._read_head(until))
                except (AttemptError, ClientDisconnectedError, TimeoutError) as error:
                    errors.append(error)
                group.cancel_scope.cancel()

            group.start_soon(send)
            group.start_soon(read)
        if errors:
            raise errors[0]
        return responses[0]

    async def _send_body(self) -> None:
        chunked = self.head.length is None
        stall_s = self.client.timeouts.stall
        stream = self.connection.stream
        while True:
            part = await self.client.next()
            if isinstance(part, http.End):
                if chunked:
                    await self._write(http.last_chunk(part.trailers), stream.time() + stall_s)
                self._sent_completely = True
                return
            data = http.chunk(part.data) if chunked else part.data
            await self._write(data, stream.time() + stall_s)

    async def _write(self, data: bytes, until: float) -> None:
        try:
            await self.connection.stream.send(data, until)
        except ConnectionLostError:
            raise AttemptError(Execution.UNKNOWN, CONNECTION_CLOSED) from None

    # -- the response

    def _client_closed(self) -> None:
        """Stop waiting for the response if the client disconnected while the server works on the request."""
        if self.client.disconnected():
            self.connection.stream.reading.wake(ClientDisconnectedError())

    async def _read_events(self, until: float) -> None:
        """Read until there is an event.

        Raises:
            AttemptError: The server closed the connection or sent invalid HTTP.
            ClientDisconnectedError: The client disconnected.
            TimeoutError: No data arrived in time.
        """
        client_stream = self.client.stream
        while not self._events:
            if self.client.disconnected():
                raise ClientDisconnectedError
            client_stream.on_peer_closed = self._client_closed
            try:
                data = await self.connection.stream.receive(until)
            except ConnectionLostError:
                data = b""
            finally:
                client_stream.on_peer_closed = None
            if not data:
                raise AttemptError(Execution.UNKNOWN, CONNECTION_CLOSED)
            try:
                self._events = self.connection.reader.feed(data)
            except http.HttpProtocolError as error:
                raise AttemptError(Execution.UNKNOWN, f"the server's answer is no HTTP: {error}") from None

    async def _next_event(self, until: float) -> http.Head | http.Body | http.End:
        if not self._events:
            await self._read_events(until)
        return self._events.pop(0)

    async def _read_head(self, until: float) -> http.Head:
        """Return the head of the final response. Drop the 1xx responses before it, and fail if there are too many."""
        interim = 0
        while True:
            event = await self._next_event(until)
            if not isinstance(event, http.Head):
                continue
            if event.start >= 200:
                return event
            interim += 1
            if interim > self.limits.interim:
                raise AttemptError(Execution.UNKNOWN, "the server sends nothing but 1xx")

    async def _raise_error_response(self, response: http.Head, until: float) -> None:
        """Raise an AttemptError for a 5xx response.

        The error contains the response, so that it can be forwarded if no retry follows. Reading the body stops when it
        exceeds the replay limit.
        """
        rejected = response.start == 503 and response.get(NOT_RUN)
        execution = Execution.REJECTED if rejected else Execution.EXECUTED
        body = b""
        keep_reading = response.length is not None or response.chunked
        while keep_reading:
            event = await self._next_event(until)
            if isinstance(event, http.End):
                break
            body += event.data
            keep_reading = len(body) <= self.limits.replay
        raise AttemptError(execution, f"status {response.start}", ErrorResponse(response, body))

    async def forward_response(self, response: http.Head) -> bool:
        """Forward the response to the client. Return whether the connection to the server can be reused.

        Raises:
            AttemptError: The response is invalid, ended early or stalled.
            ClientDisconnectedError: The client disconnected or does not read.
        """
        framed = response.length is not None or response.chunked
        bodiless = self.connection.reader.bodiless or response.start in (204, 304)
        self.keep_client_open = self.keep_client_open and self.client.request_complete
        length = None if response.chunked else response.length
        if bodiless:
            length = _stated_length(response)
        head = http.response_head_bytes(
            response.start, http.forwardable_headers(response), length, close=not self.keep_client_open
        )
        try:
            await self._forward_body(head, length is None, framed, bodiless)
        except AttemptError:
            self.keep_client_open = self.keep_client_open and not self.client.response_started
            raise
        return self._sent_completely and framed and response.keep_alive and not bodiless and not self._events

    async def _forward_body(self, pending: bytes, chunked: bool, framed: bool, ended: bool) -> None:
        """Forward the body as it arrives, no faster than the client reads. The head is sent with the first part.

        Args:
            pending: Head of the response, which is sent before the body.
            chunked: Whether the client receives the body in chunks.
            framed: Whether the server's response states where its body ends.
            ended: Whether there is no body.
        """
        stall_s = self.client.timeouts.stall
        while not ended:
            if not self._events:
                ended = await self._read_more_body(self.connection.stream.time() + stall_s, framed)
                if ended and chunked:
                    pending += http.last_chunk([])
            while self._events and not ended and len(pending) < READ_AHEAD_BYTES:
                event = self._events.pop(0)
                if isinstance(event, http.End):
                    if chunked:
                        pending += http.last_chunk(event.trailers)
                    ended = True
                else:
                    pending += http.chunk(event.data) if chunked else event.data
            if pending and not ended:
                self.client.response_started = True
                await self.client.send(pending)
                pending = b""
        self.client.response_started = True
        if pending:
            await self.client.send(pending)

    async def _read_more_body(self, until: float, framed: bool) -> bool:
        """Read more of the body. Return True if a response without a length ended with its connection."""
        try:
            await self._read_events(until)
        except TimeoutError:
            raise AttemptError(Execution.UNKNOWN, "the answer stalled") from None
        except AttemptError:
            if framed or not self.connection.stream.eof:
                raise
            return True
        return False


def _stated_length(response: http.Head) -> int:
    """Return the content-length that a response without a body states (for example to HEAD), or 0 if it states none."""
    stated = response.get(b"content-length")
    return int(stated) if stated.isdigit() else 0
