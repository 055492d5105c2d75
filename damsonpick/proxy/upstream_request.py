"""One request on one connection to a server: the request is sent, the answer is forwarded to the client."""

from __future__ import annotations

from typing import NamedTuple

import anyio

from damsonpick.proxy import messages as http
from damsonpick.proxy.client import Client, ClientDisconnectedError
from damsonpick.proxy.retry_policy import Execution
from damsonpick.proxy.settings import Limits
from damsonpick.proxy.stream import READ_AHEAD_BYTES, ConnectionLostError, Stream

NOT_RUN = b"x-not-run"  # with a 503: the server did not begin to execute the request
DEADLINE = b"x-request-timeout-ms"
CONNECTION_CLOSED, TIMED_OUT = "the server closed the connection", "timed out"


class FailedAnswer(NamedTuple):
    """An answer with a 5xx status, complete unless its body was too large to keep."""

    head: http.Head
    body: bytes


class AttemptError(Exception):
    """An attempt that brought no answer to forward."""

    def __init__(self, execution: Execution, reason: str, answer: FailedAnswer | None = None) -> None:
        """Compose an error.

        Args:
            execution: whether the server may have executed the request.
            reason: for the client and the log.
            answer: the server's own answer, if there was one.
        """
        super().__init__(reason)
        self.execution = execution
        self.reason = reason
        self.answer = answer


class UpstreamConnection:
    """One connection to a server."""

    __slots__ = ("reader", "stream")

    def __init__(self, stream: Stream, max_head_bytes: int) -> None:
        """Take over an open socket.

        Args:
            stream: the open socket.
            max_head_bytes: of an answer.
        """
        self.stream = stream
        self.reader = http.Reader(False, max_head_bytes)

    def is_idle(self) -> bool:
        """Whether the connection still lives and the server has sent nothing unasked."""
        return self.stream.is_idle()

    def close(self) -> None:
        """Close at once."""
        self.stream.abort()


class UpstreamRequest:
    """Sends one request and forwards its answer."""

    def __init__(
        self,
        limits: Limits,
        client: Client,
        connection: UpstreamConnection,
        head: http.Head,
        left_ms: int,
        closing: bool,
    ) -> None:
        """Prepare a request; nothing is sent yet.

        Args:
            limits: of sizes.
            client: where the body comes from and the answer goes to.
            connection: to the server.
            head: of the request.
            left_ms: of the deadline, for the server to know.
            closing: no request follows on the client's connection.
        """
        self.limits = limits
        self.client = client
        self.connection = connection
        self.head = head
        self.left_ms = left_ms
        self.keep = head.keep and not closing  # whether the client's connection may go on
        self._events: list[http.Head | http.Body | http.End] = []  # of the answer, not yet used
        self._sent_completely = False
        connection.reader.bodiless = head.start[0] == b"HEAD"

    async def send(self, until: float) -> http.Head:
        """Send the request and read the head of its answer; the answer may come while the body is still being sent.

        Args:
            until: time of the loop (s) at which the attempt ends.

        Raises:
            AttemptError: it brought no good answer.
            TimeoutError: the attempt has ended.
            ClientDisconnectedError: nobody waits for the answer.
            HttpProtocolError: the client's body is malformed.
        """
        start = http.upstream_head_bytes(self.head, (DEADLINE, b"%d" % self.left_ms))
        if self.client.ended and not self.client.size:
            answer = await self._send_without_body(start, until)
        else:
            with anyio.fail_after(max(0.0, until - self.connection.stream.time())):
                answer = await self._send_body_and_read(start, until)
        if answer.start >= 500:
            await self._fail_with_answer(answer, until)
        return answer

    async def _send_without_body(self, start: bytes, until: float) -> http.Head:
        self._sent_completely = True
        await self._write(start if self.head.length == 0 else start + http.last_chunk([]), until)
        self.client.skip_kept()
        return await self._read_head(until)

    async def _send_body_and_read(self, start: bytes, until: float) -> http.Head:
        """Send the body and read the head at the same time: a server may answer before it has read everything."""
        answers: list[http.Head] = []
        errors: list[Exception] = []
        async with anyio.create_task_group() as group:

            async def send() -> None:
                try:
                    await self._write(start, until)
                    await self._send_body()
                except AttemptError:
                    pass  # the server stopped reading; its answer, if any, tells why
                except (ClientDisconnectedError, http.HttpProtocolError, TimeoutError) as error:
                    errors.append(error)
                    group.cancel_scope.cancel()

            async def read() -> None:
                try:
                    answers.append(await self._read_head(until))
                except (AttemptError, ClientDisconnectedError, TimeoutError) as error:
                    errors.append(error)
                group.cancel_scope.cancel()

            group.start_soon(send)
            group.start_soon(read)
        if errors:
            raise errors[0]
        return answers[0]

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

    # -- the answer

    def _client_closed(self) -> None:
        """The client has closed while the server works: nobody waits for the answer any more."""
        if self.client.left():
            self.connection.stream.reading.wake(ClientDisconnectedError())

    async def _read_events(self, until: float) -> None:
        """Read at least one more event; the client's leaving ends the wait."""
        client_stream = self.client.stream
        while not self._events:
            if self.client.left():
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
        """The answer's head; a few 1xx answers before it are dropped, a flood of them fails the attempt."""
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

    async def _fail_with_answer(self, answer: http.Head, until: float) -> None:
        """Keep a 5xx answer while it is small, to forward it if no retry follows."""
        rejected = answer.start == 503 and answer.get(NOT_RUN)
        execution = Execution.REJECTED if rejected else Execution.EXECUTED
        body = b""
        keep_reading = answer.length is not None or answer.chunked
        while keep_reading:
            event = await self._next_event(until)
            if isinstance(event, http.End):
                break
            body += event.data
            keep_reading = len(body) <= self.limits.replay
        raise AttemptError(execution, f"status {answer.start}", FailedAnswer(answer, body))

    async def forward_answer(self, answer: http.Head) -> bool:
        """Forward the answer to the client; returns whether the connection to the server can be used again.

        Raises:
            AttemptError: the answer broke off.
            ClientDisconnectedError: nobody reads it.
        """
        framed = answer.length is not None or answer.chunked
        bodiless = self.connection.reader.bodiless or answer.start in (204, 304)
        self.keep = self.keep and self.client.ended
        length = None if answer.chunked else answer.length
        if bodiless:
            length = _stated_length(answer)
        head = http.answer_bytes(answer.start, http.forwardable_headers(answer), length, close=not self.keep)
        try:
            await self._forward_body(head, length is None, framed, bodiless)
        except AttemptError:
            self.keep = self.keep and not self.client.begun
            raise
        return self._sent_completely and framed and answer.keep and not bodiless and not self._events

    async def _forward_body(self, pending: bytes, chunked: bool, framed: bool, ended: bool) -> None:
        """Forward the body as it comes, no faster than the client reads; the head goes with the first part.

        Args:
            pending: bytes that go first.
            chunked: whether the client gets the body in chunks.
            framed: whether the server's answer tells where it ends.
            ended: whether there is no body.
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
                self.client.begun = True
                await self.client.send(pending)
                pending = b""
        self.client.begun = True
        if pending:
            await self.client.send(pending)

    async def _read_more_body(self, until: float, framed: bool) -> bool:
        """Read more of the body; True: an answer without a length has ended with its connection."""
        try:
            await self._read_events(until)
        except TimeoutError:
            raise AttemptError(Execution.UNKNOWN, "the answer stalled") from None
        except AttemptError:
            if framed or not self.connection.stream.eof:
                raise
            return True
        return False


def _stated_length(answer: http.Head) -> int:
    """Length that an answer without a body states of the body it would have."""
    stated = answer.get(b"content-length")
    return int(stated) if stated.isdigit() else 0
