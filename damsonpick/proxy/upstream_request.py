"""One request on one connection to a server: the request out, the answer back."""

from __future__ import annotations

import anyio

from damsonpick.proxy import messages as http
from damsonpick.proxy.client import Client, ClientGone
from damsonpick.proxy.retry_policy import Execution
from damsonpick.proxy.settings import Limits
from damsonpick.proxy.stream import HIGH, Lost, Stream

NOT_RUN = b"x-not-run"  # a server's orderly 'no': 503 with this header
DEADLINE = b"x-request-timeout-ms"
BROKE, TIMED_OUT = "the server closed the connection", "timed out"


class Attempt(Exception):
    """An attempt that brought no answer to pass on."""

    def __init__(self, execution: Execution, why: str, answer: tuple[http.Head, bytes] | None = None) -> None:
        super().__init__(why)
        self.execution, self.why, self.answer = execution, why, answer


class Upstream:
    """One connection to a server."""

    __slots__ = ("reader", "stream")

    def __init__(self, stream: Stream, most_head: int) -> None:
        self.stream, self.reader = stream, http.Reader(False, most_head)

    def idle(self) -> bool:
        return self.stream.idle()

    def close(self) -> None:
        self.stream.abort()


class Exchange:
    """Args: limits; client, wire; head: the request's; left_ms: of its deadline; closing: no request follows."""

    def __init__(
        self, limits: Limits, client: Client, wire: Upstream, head: http.Head, left_ms: int, closing: bool
    ) -> None:
        self.limits, self.client, self.wire, self.head, self.left_ms = limits, client, wire, head, left_ms
        self.events: list[http.Head | http.Body | http.End] = []
        self.keep = head.keep and not closing
        self.sent_all = False
        wire.reader.bodiless = head.start[0] == b"HEAD"

    def gone(self) -> None:
        """The client has left while the server works: nobody waits for the answer any more."""
        if self.client.left():
            self.wire.stream.reading.ring(ClientGone())

    async def ask(self, until: float) -> http.Head:
        """Send the request and read the head of its answer; the body goes out while the answer may already come.

        Args:
            until: time of the loop at which the attempt ends.

        Raises:
            Attempt: it brought no good answer. TimeoutError, ClientGone, BadMessage (of the client's body).
        """
        start = http.onward(self.head, (DEADLINE, b"%d" % self.left_ms))
        if self.client.ended and not self.client.size:
            self.sent_all = True
            await self._send(start if self.head.length == 0 else start + http.last_chunk([]), until)
            self.client.place = len(self.client.kept)
            answer = await self._head(until)
        else:
            with anyio.fail_after(max(0.0, until - self.wire.stream.time())):
                answer = await self._both(start, until)
        if answer.start >= 500:
            await self._failed(answer, until)
        return answer

    async def _both(self, start: bytes, until: float) -> http.Head:
        """Body out and head in at the same time: a server may answer before it has read all."""
        found: list[http.Head] = []
        trouble: list[Exception] = []
        async with anyio.create_task_group() as group:

            async def out() -> None:
                try:
                    await self._send(start, until)
                    await self._body()
                except Attempt:
                    pass  # the server stopped reading; its answer, if any, tells why
                except (ClientGone, http.BadMessage, TimeoutError) as error:
                    trouble.append(error)
                    group.cancel_scope.cancel()

            async def back() -> None:
                try:
                    found.append(await self._head(until))
                except (Attempt, ClientGone, TimeoutError) as error:
                    trouble.append(error)
                group.cancel_scope.cancel()

            group.start_soon(out)
            group.start_soon(back)
        if trouble:
            raise trouble[0]
        return found[0]

    async def _body(self) -> None:
        chunked, stall = self.head.length is None, self.client.spans.stall
        stream = self.wire.stream
        while True:
            part = await self.client.next()
            if isinstance(part, http.End):
                if chunked:
                    await self._send(http.last_chunk(part.trailers), stream.time() + stall)
                self.sent_all = True
                return
            await self._send(http.chunk(part.data) if chunked else part.data, stream.time() + stall)

    async def _send(self, data: bytes, until: float) -> None:
        try:
            await self.wire.stream.send(data, until)
        except Lost:
            raise Attempt(Execution.UNKNOWN, BROKE) from None

    async def _more(self, until: float) -> None:
        """At least one more event; the client's leaving ends the wait."""
        wire, near = self.wire, self.client.stream
        while not self.events:
            if self.client.left():
                raise ClientGone
            near.gone = self.gone
            try:
                data = await wire.stream.receive(until)
            except Lost:
                data = b""
            finally:
                near.gone = None
            if not data:
                raise Attempt(Execution.UNKNOWN, BROKE)
            try:
                self.events = wire.reader.feed(data)
            except http.BadMessage as error:
                raise Attempt(Execution.UNKNOWN, f"the server's answer is no HTTP: {error}") from None

    async def _head(self, until: float) -> http.Head:
        """The answer's head; a few 1xx before it are passed over, a flood of them is an end."""
        interim = 0
        while True:
            if not self.events:
                await self._more(until)
            event = self.events.pop(0)
            if isinstance(event, http.Head):
                if event.start >= 200:
                    return event
                interim += 1
                if interim > self.limits.interim:
                    raise Attempt(Execution.UNKNOWN, "the server sends nothing but 1xx")

    async def _failed(self, answer: http.Head, until: float) -> None:
        """A bad answer, kept whole while small so that it can be passed on if no other try follows."""
        proof = Execution.REJECTED if answer.start == 503 and answer.get(NOT_RUN) else Execution.EXECUTED
        body, small = b"", answer.length is not None or answer.chunked
        while small:
            if not self.events:
                await self._more(until)
            event = self.events.pop(0)
            if isinstance(event, http.End):
                break
            body += event.data
            if len(body) > self.limits.replay:
                small = False
        raise Attempt(proof, f"status {answer.start}", (answer, body))

    async def pass_on(self, answer: http.Head) -> bool:
        """The answer to the client; returns whether the connection to the server can be used again."""
        framed = answer.length is not None or answer.chunked
        bodiless = self.wire.reader.bodiless or answer.start in (204, 304)
        self.keep = self.keep and self.client.ended
        length = answer.length if not answer.chunked else None
        if bodiless:
            stated = answer.get(b"content-length")
            length = int(stated) if stated.isdigit() else 0
        head = http.answer_bytes(answer.start, http.forwardable(answer), length, close=not self.keep)
        try:
            await self._parts(head, length is None, framed, bodiless)
        except Attempt:
            self.keep = self.keep and not self.client.begun
            raise
        return self.sent_all and framed and answer.keep and not bodiless and not self.events

    async def _parts(self, out: bytes, chunked: bool, framed: bool, bodiless: bool) -> None:
        """The body as it comes, no faster than the client reads; the head goes with the first part."""
        stall, ended = self.client.spans.stall, bodiless
        while not ended:
            if not self.events:
                ended = await self._more_of(self.wire.stream.time() + stall, framed)
                if ended:
                    out += http.last_chunk([]) if chunked else b""
            while self.events and not ended and len(out) < HIGH:
                event = self.events.pop(0)
                if isinstance(event, http.End):
                    out += http.last_chunk(event.trailers) if chunked else b""
                    ended = True
                else:
                    out += http.chunk(event.data) if chunked else event.data
            if out and not ended:
                self.client.begun = True
                await self.client.send(out)
                out = b""
        self.client.begun = True
        if out:
            await self.client.send(out)

    async def _more_of(self, until: float, framed: bool) -> bool:
        """More of the body; True: an answer without a length has ended with its connection."""
        try:
            await self._more(until)
        except TimeoutError:
            raise Attempt(Execution.UNKNOWN, "the answer stalled") from None
        except Attempt:
            if framed or not self.wire.stream.eof:
                raise
            return True
        return False
