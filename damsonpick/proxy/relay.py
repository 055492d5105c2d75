"""Clients in, servers out: the sockets of the proxy. Every choice is the router's, every bound the pool's.

One task a client connection; a request's attempts run in it, so a client that reads slowly or goes away holds up
nobody else, and a body is passed on only as fast as the other side takes it.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import SocketStream

from damsonpick.engine.clock import Clock
from damsonpick.proxy import messages as http
from damsonpick.proxy.again import Proof
from damsonpick.proxy.pool import Pool
from damsonpick.proxy.router import Asked, Router
from damsonpick.proxy.settings import ProxySettings
from damsonpick.wire import sockets
from damsonpick.xds.loads import SliceCounts
from damsonpick.xds.names import slice_of

READ = 65_536
NOT_RUN = b"x-not-run"  # a server's orderly 'no': 503 with this header
DEADLINE = b"x-request-timeout-ms"
TABLE_GONE = "no server"
GONE = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream)


class ClientGone(Exception):
    """The client has closed or stalled; nobody is left to answer."""


class Attempt(Exception):
    """An attempt that brought no answer to pass on."""

    def __init__(self, proof: Proof, why: str, answer: tuple[http.Head, bytes] | None = None) -> None:
        super().__init__(why)
        self.proof, self.why, self.answer = proof, why, answer


class Upstream:
    """One connection to a server."""

    def __init__(self, stream: SocketStream, most_head: int) -> None:
        self.stream, self.reader = stream, http.Reader(False, most_head)

    def idle(self) -> bool:
        return sockets.idle(self.stream)

    async def close(self) -> None:
        await anyio.aclose_forcefully(self.stream)


class Relay:
    """Args: settings, router, clock; said: hears what passes, for records; log: a structlog logger."""

    def __init__(self, settings: ProxySettings, router: Router, clock: Clock, said: Callable[..., None],
                 log: Any) -> None:
        self.settings, self.router, self.clock, self.said, self.log = settings, router, clock, said, log
        own, limits = settings.proxy, settings.limits
        self.limits = limits
        self.key, self.kind = own.key_header.lower().encode(), own.class_header.lower().encode()
        self.client, self.named = own.client_header.lower().encode(), own.slice_header.lower().encode()
        self.pool: Pool[Upstream, anyio.Event] = Pool(limits.per_server, limits.waiting, limits.churn, limits.pool_time)
        self.counts: dict[int, SliceCounts] = {}
        self.changed = anyio.Event()
        self.clients = self.serial = 0
        self.draining = False
        self.reaches: Callable[[str], bool] = lambda zone: True  # a cut link, in rehearsals
        self.stand_still: Callable[[], float] = lambda: 0.0

    # -- tables

    def took(self, kind: str, resources: list[tuple[str, str, bytes]], removed: list[str]) -> list[Upstream]:
        """New tables are in force; returns idle connections to servers that are now barred."""
        fresh = self.router.took(kind, [n for n, *_ in resources] + removed)
        self.changed.set()
        self.changed = anyio.Event()
        return [wire for server in fresh for wire in self.pool.drop(server)]

    def sums(self) -> dict[int, SliceCounts]:
        found, self.counts = self.counts, {}
        return found

    def _count(self, asked: Asked) -> SliceCounts:
        return self.counts.setdefault(slice_of(asked.cluster), SliceCounts())

    async def sweep(self) -> None:
        """Close idle connections past their time, for ever."""
        while True:
            await anyio.sleep(1.0)
            for wire in self.pool.expired(self.clock.now()):
                await wire.close()

    # -- a client's connection

    async def serve(self, stream: SocketStream) -> None:
        """All requests of one client connection."""
        if self.clients >= self.limits.connections or self.draining:
            await anyio.aclose_forcefully(stream)
            return
        self.clients += 1
        try:
            await self._requests(Client(stream, self))
        except (ClientGone, *GONE):
            pass
        finally:
            self.clients -= 1
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _requests(self, client: Client) -> None:
        while not self.draining or client.pending():
            try:
                head = await client.head()
            except http.BadMessage as error:
                self.said("bad", why=str(error))
                await client.send(http.plain(error.status, str(error), close=True))
                return
            except TimeoutError:
                if client.reader.raw:
                    await client.send(http.plain(408, "the head took too long", close=True))
                return
            if head is None:
                return
            keep = await self._request(client, head)
            if not keep:
                return

    async def _request(self, client: Client, head: http.Head) -> bool:
        """One request to its end; returns whether the connection may go on."""
        asked, now = self._asked(client, head), self.clock.now()
        if head.length is not None and head.length > self.limits.body:
            await client.send(http.plain(413, f"the body is over {self.limits.body} bytes", close=True))
            return False
        if (wait := self.stand_still()) > 0:
            await anyio.sleep(wait)
        if not self.router.admit(now, asked):
            self._count(asked).refused(asked.kind)
            after = str(self.router.admission.retry_after(now)).encode()
            return await self._refuse(client, head, 503, "not let in now, come again later", [(b"retry-after", after)])
        self._count(asked).came(asked.kind)
        try:
            if head.expects:
                await client.send(b"HTTP/1.1 100 Continue\r\n\r\n")
            return await self._tries(client, head, asked)
        except Attempt as failed:
            self._count(asked).came(asked.kind, failed=True)
            return await self._give_up(client, head, failed)
        except http.BadMessage as error:  # of the client's body
            self._count(asked).came(asked.kind, failed=True)
            await client.send(http.plain(error.status, str(error), close=True))
            return False

    def _asked(self, client: Client, head: http.Head) -> Asked:
        kind = head.get(self.kind).decode("latin-1")
        key = head.get(self.key).decode("latin-1") or head.start[1].decode("latin-1")
        named = head.get(self.named).decode("latin-1") if self.named else ""
        text = head.get(DEADLINE)
        limit = int(text) * 1_000_000 if text.isdigit() and len(text) < 12 else None
        who = head.get(self.client).decode("latin-1") or client.address
        return self.router.ask(self.clock.now(), kind, key, who, named, limit)

    async def _refuse(self, client: Client, head: http.Head, status: int, text: str,
                      headers: list[tuple[bytes, bytes]] | None = None) -> bool:
        """Refuse at once; a body on its way is not waited for."""
        whole = head.length == 0 or client.ended
        close = not head.keep or not whole
        await client.send(http.plain(status, text, headers, close=close))
        return not close

    async def _give_up(self, client: Client, head: http.Head, failed: Attempt) -> bool:
        if client.begun:  # an answer was under way: the only honest end is a cut
            return False
        if failed.answer is not None:
            answer, body = failed.answer
            close = not head.keep or not client.ended
            await client.send(http.answer_bytes(answer.start, http.forwardable(answer), len(body), close) + body)
            return not close
        status = 504 if failed.why in ("timed out", "the deadline passed") else 503 if failed.why == TABLE_GONE else 502
        return await self._refuse(client, head, status, failed.why)

    # -- attempts

    async def _tries(self, client: Client, head: http.Head, asked: Asked) -> bool:
        tried: set[str] = set()
        while True:
            server = await self._server(asked, tried)
            if server is None:
                raise Attempt(Proof.NOT_SENT, TABLE_GONE)
            tried.add(server)
            try:
                return await self._try(client, head, asked, server)
            except Attempt as failed:
                replayable = client.replayable() and not client.begun
                if not self.router.again(self.clock.now(), asked, failed.proof, len(tried), replayable=replayable):
                    raise
                if self.router.choose(self.clock.now(), asked, tried) is None:
                    raise  # no other line
                client.rewind()

    async def _server(self, asked: Asked, tried: set[str]) -> str | None:
        """A server; the first time a request waits a little for a table with a line, then it is given up."""
        until = min(asked.deadline, asked.arrived + self.limits.hold) if not tried else 0
        while True:
            server = self.router.choose(self.clock.now(), asked, tried)
            left = until - self.clock.now()
            if server is not None or left <= 0:
                return server
            with anyio.move_on_after(self.clock.seconds(left)):
                await self.changed.wait()

    async def _try(self, client: Client, head: http.Head, asked: Asked, server: str) -> bool:
        """One attempt; its end is told to chooser and sums whatever happens."""
        start, zone = self.clock.now(), self.router.zone_of(asked.cluster, server)
        self.router.chooser.sent(server)
        good = False
        wire: Upstream | None = None
        reusable = False
        try:
            with anyio.fail_after(self.clock.seconds(self.router.patience(asked, start))):
                wire = await self._connect(asked, server, zone)
                self.said("try", id=head.get(b"x-request-id").decode("latin-1"), kind=asked.kind,
                          slice=slice_of(asked.cluster), server=server)
                exchange = Exchange(self, client, wire, head, asked)
                answer = await exchange.ask()
            good = answer.start < 500
            reusable = await exchange.pass_on(answer)
            return exchange.keep
        except TimeoutError:
            why = "the deadline passed" if self.clock.now() >= asked.deadline else "timed out"
            raise Attempt(Proof.NOT_SENT if wire is None else Proof.UNKNOWN, why) from None
        except ClientGone:
            good = True  # no fault of the server
            raise
        finally:
            now = self.clock.now()
            self.router.chooser.ended(now, server, good)
            self._count(asked).tried(zone, server, good, (now - start) / 1e6)
            if wire is not None:
                await self._release(server, wire, reusable)

    async def _connect(self, asked: Asked, server: str, zone: str) -> Upstream:
        """A connection to a server, or Attempt: nothing was sent."""
        freshest = self.limits.write_fresh if asked.effect == "non_idempotent" else self.limits.pool_time
        while True:
            now = self.clock.now()
            while (wire := self.pool.take(now, server, freshest)) is not None:
                if wire.idle():
                    return await self._checked(asked, server, wire)
                await self._release(server, wire, False)
            if (old := self.pool.spare(server)) is not None:
                await old.close()
            if self.pool.make(now, server):
                break
            turn = anyio.Event()
            if not self.pool.wait(server, turn):
                raise Attempt(Proof.NOT_SENT, "too many wait for this server")
            try:
                with anyio.move_on_after(0.05):  # the rate of new connections may allow one without a return
                    await turn.wait()
            finally:
                self.pool.leave(server, turn)
        return await self._checked(asked, server, await self._dial(server, zone))

    async def _dial(self, server: str, zone: str) -> Upstream:
        host, _, port = server.rpartition(":")
        try:
            with anyio.fail_after(self.clock.seconds(self.limits.connect_time)):
                if not self.reaches(zone):
                    await anyio.sleep_forever()
                return Upstream(await anyio.connect_tcp(host.strip("[]"), int(port)), self.limits.head)
        except (OSError, TimeoutError):
            await self._release(server, None, False)
            raise Attempt(Proof.NOT_SENT, "cannot connect") from None
        except BaseException:
            self._pass_turn(self.pool.give(self.clock.now(), server, None))
            raise

    async def _checked(self, asked: Asked, server: str, wire: Upstream) -> Upstream:
        """The table may have changed while a connection was made: then nothing is sent there."""
        if self.router.still(asked, server):
            return wire
        await self._release(server, wire, wire.idle())
        raise Attempt(Proof.NOT_SENT, "the table changed")

    async def _release(self, server: str, wire: Upstream | None, reusable: bool) -> None:
        """Give a connection back, or close it; `wire` None: it was counted and never came about."""
        keep = reusable and wire is not None and server not in self.router.barred
        self._pass_turn(self.pool.give(self.clock.now(), server, wire if keep else None))
        if wire is not None and not keep:
            with anyio.CancelScope(shield=True):
                await wire.close()

    def _pass_turn(self, turn: anyio.Event | None) -> None:
        if turn is not None:
            turn.set()


class Client:
    """A client's side of a connection: its requests read as events, its body kept for another try while small."""

    def __init__(self, stream: SocketStream, relay: Relay) -> None:
        self.stream, self.relay = stream, relay
        self.reader = http.Reader(True, relay.limits.head)
        self.queue: list[http.Head | http.Body | http.End] = []
        self.kept: list[http.Body | http.End] = []
        self.place = 0
        self.whole, self.ended, self.begun, self.size = True, True, False, 0
        peer = stream.extra(anyio.abc.SocketAttribute.remote_address, ("?", 0))
        self.address = str(peer[0]) if isinstance(peer, tuple) else "?"

    def pending(self) -> bool:
        return bool(self.queue or self.reader.raw)

    async def _fill(self, patience: int) -> bool:
        """More events; False at the end of the stream."""
        while not self.queue:
            with anyio.fail_after(self.relay.clock.seconds(patience)):
                try:
                    data = await self.stream.receive(READ)
                except anyio.EndOfStream:
                    return False
                except (anyio.BrokenResourceError, anyio.ClosedResourceError):
                    raise ClientGone from None
            self.queue.extend(self.reader.feed(data))
        return True

    async def head(self) -> http.Head | None:
        """The next request, or None at an orderly end."""
        while not self.ended:  # what is left of a body that nobody wanted
            await self.next()
        limits = self.relay.limits
        if not await self._fill(limits.head_time if self.reader.raw else limits.idle_time):
            return None
        head = self.queue.pop(0)
        self.kept, self.place, self.size = [], 0, 0
        self.whole, self.ended, self.begun = True, False, False
        if self.queue and isinstance(self.queue[0], http.End) and head.length == 0:
            self.kept.append(self.queue.pop(0))
            self.ended = True
        return head

    async def next(self) -> http.Body | http.End:
        """The next part of the body; what was kept is read again after `rewind`."""
        if self.place < len(self.kept):
            self.place += 1
            return self.kept[self.place - 1]
        try:
            if not await self._fill(self.relay.limits.stall_time):
                raise ClientGone
        except TimeoutError:
            raise http.BadMessage("the body stalled", 408) from None
        part = self.queue.pop(0)
        self._keep(part)
        return part

    def _keep(self, part: http.Body | http.End) -> None:
        if isinstance(part, http.Body):
            self.size += len(part.data)
            if self.size > self.relay.limits.body:
                raise http.BadMessage(f"the body is over {self.relay.limits.body} bytes", 413)
            if self.size > self.relay.limits.replay:
                self.whole, self.kept, self.place = False, [], 0
        else:
            self.ended = True
        if self.whole:
            self.kept.append(part)
            self.place = len(self.kept)

    def replayable(self) -> bool:
        return self.whole

    def rewind(self) -> None:
        self.place = 0

    async def send(self, data: bytes) -> None:
        """Bytes to the client, as fast as it takes them, but not for ever."""
        try:
            with anyio.fail_after(self.relay.clock.seconds(self.relay.limits.stall_time)):
                await self.stream.send(data)
        except (TimeoutError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ClientGone from None


class Exchange:
    """One request on one connection to a server."""

    def __init__(self, relay: Relay, client: Client, wire: Upstream, head: http.Head, asked: Asked) -> None:
        self.relay, self.client, self.wire, self.head, self.asked = relay, client, wire, head, asked
        self.events: list[http.Head | http.Body | http.End] = []
        self.keep = head.keep
        self.sent_all = False
        wire.reader.bodiless = head.start[0] == b"HEAD"
        wire.reader.begun = False

    async def ask(self) -> http.Head:
        """Send the request and read the head of its answer; the body goes out while the answer may already come."""
        method, target = self.head.start
        left = max(0, self.asked.deadline - self.relay.clock.now()) // 1_000_000
        headers = [p for p in http.forwardable(self.head) if p[0] != DEADLINE]
        headers.append((DEADLINE, str(left).encode()))
        start = http.request_bytes(method, target, headers, self.head.length)
        if self.client.ended and not self.client.size:
            await self._send(start if self.head.length == 0 else start + http.last_chunk([]))
            self.client.place = len(self.client.kept)
            self.sent_all = True
            answer = await self._head()
        else:
            answer = await self._both(start)
        if answer.start >= 500:
            await self._failed(answer)
        return answer

    async def _both(self, start: bytes) -> http.Head:
        """Body out and head in at the same time: a server may answer before it has read all."""
        found: list[http.Head] = []
        trouble: list[Exception] = []
        async with anyio.create_task_group() as group:

            async def out() -> None:
                try:
                    await self._send(start)
                    await self._body()
                except Attempt:
                    pass  # the server stopped reading; its answer, if any, tells why
                except (ClientGone, http.BadMessage) as error:
                    trouble.append(error)
                    group.cancel_scope.cancel()

            async def back() -> None:
                try:
                    found.append(await self._head())
                except Attempt as error:
                    trouble.append(error)
                group.cancel_scope.cancel()

            group.start_soon(out)
            group.start_soon(back)
        if trouble:
            raise trouble[0]
        return found[0]

    async def _body(self) -> None:
        chunked = self.head.length is None
        while True:
            part = await self.client.next()
            if isinstance(part, http.End):
                if chunked:
                    await self._send(http.last_chunk(part.trailers))
                self.sent_all = True
                return
            await self._send(http.chunk(part.data) if chunked else part.data)

    async def _send(self, data: bytes) -> None:
        try:
            with anyio.fail_after(self.relay.clock.seconds(self.relay.limits.stall_time)):
                await self.wire.stream.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise Attempt(Proof.UNKNOWN, "the server closed the connection") from None

    async def _next(self) -> http.Head | http.Body | http.End:
        while not self.events:
            try:
                data = await self.wire.stream.receive(READ)
            except GONE:
                raise Attempt(Proof.UNKNOWN, "the server closed the connection") from None
            try:
                self.events = self.wire.reader.feed(data)
            except http.BadMessage as error:
                raise Attempt(Proof.UNKNOWN, f"the server's answer is no HTTP: {error}") from None
        return self.events.pop(0)

    async def _head(self) -> http.Head:
        """The answer's head; a few 1xx before it are passed over, a flood of them is an end."""
        interim = 0
        while True:
            event = await self._next()
            if isinstance(event, http.Head) and event.start >= 200:
                return event
            if isinstance(event, http.Head):
                interim += 1
                if interim > self.relay.limits.interim:
                    raise Attempt(Proof.UNKNOWN, "the server sends nothing but 1xx")

    async def _failed(self, answer: http.Head) -> None:
        """A bad answer, kept whole while small so that it can be passed on if no other try follows."""
        proof = Proof.REFUSED if answer.start == 503 and answer.get(NOT_RUN) else Proof.RAN
        body, small = b"", answer.length is not None or answer.chunked
        while small:
            event = await self._next()
            if isinstance(event, http.End):
                break
            body += event.data
            if len(body) > self.relay.limits.replay:
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
        """The body, part by part, no faster than the client reads; the head goes with the first part."""
        while not bodiless:
            try:
                with anyio.fail_after(self.relay.clock.seconds(self.relay.limits.stall_time)):
                    event = await self._next()
            except TimeoutError:
                raise Attempt(Proof.UNKNOWN, "the answer stalled") from None
            except Attempt:
                if framed:
                    raise
                event = http.End([])  # an answer without a length ends with its connection
            if isinstance(event, http.End):
                out += http.last_chunk(event.trailers) if chunked else b""
                break
            out += http.chunk(event.data) if chunked else event.data
            self.client.begun = True
            await self.client.send(out)
            out = b""
        self.client.begun = True
        if out:
            await self.client.send(out)
