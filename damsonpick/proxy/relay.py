"""Clients in, servers out. Every choice is the router's, every bound the pool's.

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
from damsonpick.proxy import stream as streams
from damsonpick.proxy.client import Client, ClientGone, Spans
from damsonpick.proxy.pool import Pool
from damsonpick.proxy.retry_policy import Execution
from damsonpick.proxy.router import RoutedRequest, Router
from damsonpick.proxy.settings import ProxySettings
from damsonpick.proxy.stream import Stream
from damsonpick.proxy.upstream_request import DEADLINE, TIMED_OUT, Attempt, Exchange, Upstream
from damsonpick.runtime.clock import Clock

TABLE_GONE, PASSED = "no server", "the deadline passed"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def nothing(event: str, **details: Any) -> None:
    """Nobody records."""


class Relay:
    """Args: settings, router, clock; said: hears what passes, for records; log: a structlog logger."""

    def __init__(
        self, settings: ProxySettings, router: Router, clock: Clock, said: Callable[..., None], log: Any
    ) -> None:
        self.settings, self.router, self.clock, self.said, self.log = settings, router, clock, said, log
        own, limits = settings.proxy, settings.limits
        self.limits = limits
        self.spans = Spans(
            *(clock.seconds(ns) for ns in (limits.head_time, limits.idle_time, limits.stall_time, limits.connect_time))
        )
        self.key, self.kind = own.key_header.lower().encode(), own.class_header.lower().encode()
        self.client, self.named = own.client_header.lower().encode(), own.slice_header.lower().encode()
        self.pool: Pool[Upstream, asyncio.Event] = Pool(
            limits.per_server, limits.waiting, limits.churn, limits.pool_time
        )
        self.counts: dict[int, SliceCounts] = {}
        self.changed = asyncio.Event()
        self.clients = 0
        self.quiet: set[Stream] = set()  # of clients that have no request under way
        self.draining = False
        self.records = said is not nothing
        self.reaches: Callable[[str], bool] = lambda zone: True  # a cut link, in rehearsals
        self.stand_still: Callable[[], float] | None = None  # s for which it does nothing, in rehearsals

    # -- tables

    def took(self, kind: str, resources: list[tuple[str, str, bytes]], removed: list[str]) -> None:
        """New tables are in force; idle connections to servers that are now barred are closed."""
        fresh = self.router.resources_changed(kind, [n for n, *_ in resources] + removed)
        self.changed.set()
        self.changed = asyncio.Event()
        for server in fresh:
            for wire in self.pool.drop(server):
                wire.close()

    def sums(self) -> dict[int, SliceCounts]:
        found, self.counts = self.counts, {}
        return found

    def _count(self, asked: RoutedRequest) -> SliceCounts:
        number = asked.slice
        found = self.counts.get(number)
        if found is None:
            found = self.counts[number] = SliceCounts()
        return found

    async def sweep(self) -> None:
        """Close idle connections past their time, for ever."""
        while True:
            await anyio.sleep(1.0)
            for wire in self.pool.expired(self.clock.now()):
                wire.close()

    def drain(self) -> None:
        """No new connections; clients without a request under way are let go."""
        self.draining = True
        for stream in list(self.quiet):
            stream.close()

    # -- a client's connection

    async def serve(self, stream: Stream) -> None:
        """All requests of one client connection."""
        if self.clients >= self.limits.connections or self.draining:
            stream.abort()
            return
        self.clients += 1
        client = Client(stream, self.limits, self.spans)
        try:
            if await self._requests(client):
                stream.close()
            else:
                stream.abort()
        except ClientGone:
            stream.abort()
        except Exception as error:  # a fault of this program ends one connection, never the proxy
            self.log.error("connection_failed", error=repr(error), exc_info=True, remedy="report this as a defect")
        finally:
            self.clients -= 1
            self.quiet.discard(stream)
            if not stream.lost and not stream.transport.is_closing():
                stream.abort()

    async def _requests(self, client: Client) -> bool:
        """Returns whether the connection may be closed in order; otherwise it is cut."""
        while not self.draining or client.pending():
            self.quiet.add(client.stream)
            try:
                head = await client.head()
            except http.BadMessage as error:
                self.said("bad", why=str(error))
                await client.send(http.plain(error.status, str(error), close=True))
                await client.stream.linger()
                return True
            except TimeoutError:
                if client.reader.raw:
                    await client.send(http.plain(408, "the head took too long", close=True))
                return True
            finally:
                self.quiet.discard(client.stream)
            if head is None:
                return True
            keep = await self._request(client, head)
            if not keep:
                if not client.ended and not client.begun:
                    await client.stream.linger()
                return client.ended or not client.begun
        return True

    async def _request(self, client: Client, head: http.Head) -> bool:
        """One request to its end; returns whether the connection may go on."""
        now = self.clock.now()
        asked = self._asked(client, head, now)
        if head.length is not None and head.length > self.limits.body:
            await client.send(http.plain(413, f"the body is over {self.limits.body} bytes", close=True))
            return False
        if self.stand_still is not None and (wait := self.stand_still()) > 0:
            await anyio.sleep(wait)
        count = self._count(asked)
        if not self.router.admit(now, asked):
            count.refused(asked.request_class)
            after = str(self.router.admission.retry_after(now)).encode()
            return await self._refuse(client, head, 503, "not let in now, come again later", [(b"retry-after", after)])
        count.came(asked.request_class)
        try:
            if head.expects:
                await client.send(CONTINUE)
            return await self._tries(client, head, asked)
        except Attempt as failed:
            self._count(asked).came(asked.request_class, failed=True)
            return await self._give_up(client, head, failed)
        except http.BadMessage as error:  # of the client's body
            self._count(asked).came(asked.request_class, failed=True)
            await client.send(http.plain(error.status, str(error), close=True))
            return False

    def _asked(self, client: Client, head: http.Head, now: int) -> RoutedRequest:
        named = head.named
        kind = named.get(self.kind, b"").decode("latin-1")
        key = (named.get(self.key) or head.start[1]).decode("latin-1")
        cluster = named.get(self.named, b"").decode("latin-1") if self.named else ""
        text = named.get(DEADLINE, b"")
        limit = int(text) * 1_000_000 if text.isdigit() and len(text) < 12 else None
        who = named.get(self.client)
        return self.router.classify(now, kind, key, who.decode("latin-1") if who else client.address, cluster, limit)

    async def _refuse(
        self, client: Client, head: http.Head, status: int, text: str, headers: list[tuple[bytes, bytes]] | None = None
    ) -> bool:
        """Refuse at once; a body on its way is not waited for."""
        close = not head.keep or not client.ended or self.draining
        await client.send(http.plain(status, text, headers, close=close))
        return not close

    async def _give_up(self, client: Client, head: http.Head, failed: Attempt) -> bool:
        if client.begun:  # an answer was under way: the only honest end is a cut
            client.ended = False
            return False
        if failed.answer is not None:
            answer, body = failed.answer
            close = not head.keep or not client.ended or self.draining
            await client.send(http.answer_bytes(answer.start, http.forwardable(answer), len(body), close) + body)
            return not close
        status = 504 if failed.why in (TIMED_OUT, PASSED) else 503 if failed.why == TABLE_GONE else 502
        return await self._refuse(client, head, status, failed.why)

    # -- attempts

    async def _tries(self, client: Client, head: http.Head, asked: RoutedRequest) -> bool:
        tried: set[str] = set()
        now = asked.arrived
        while True:
            server = self.router.pick(now, asked, tried)
            if server is None:
                server = await self._server(asked, tried)
                now = self.clock.now()
            if server is None:
                raise Attempt(Execution.NOT_SENT, TABLE_GONE)
            tried.add(server)
            try:
                return await self._try(client, head, asked, server, now)
            except Attempt as failed:
                now = self.clock.now()
                replayable = client.replayable() and not client.begun
                if not self.router.spend_retry(now, asked, failed.execution, len(tried), replayable=replayable):
                    raise
                if self.router.pick(now, asked, tried) is None:
                    raise  # no other line
                client.rewind()

    async def _server(self, asked: RoutedRequest, tried: set[str]) -> str | None:
        """A server; the first time a request waits a little for a table with a line, then it is given up."""
        until = min(asked.deadline, asked.arrived + self.limits.hold) if not tried else 0
        while True:
            server = self.router.pick(self.clock.now(), asked, tried)
            left = until - self.clock.now()
            if server is not None or left <= 0:
                return server
            with anyio.move_on_after(self.clock.seconds(left)):
                await self.changed.wait()

    async def _try(self, client: Client, head: http.Head, asked: RoutedRequest, server: str, start: int) -> bool:
        """One attempt; its end is told to chooser and sums whatever happens."""
        zone = self.router.zone_of(asked.cluster, server)
        until = client.stream.time() + self.clock.seconds(self.router.attempt_timeout(asked, start))
        self.router.load_balancer.request_started(server)
        good = reusable = False
        wire: Upstream | None = None
        try:
            wire = self._pooled(asked, server, start)
            if wire is None:
                wire = await self._connect(asked, server, zone, until)
            if self.records:
                self.said(
                    "try",
                    id=head.get(b"x-request-id").decode("latin-1"),
                    kind=asked.request_class,
                    slice=asked.slice,
                    server=server,
                )
            left = max(0, asked.deadline - start) // 1_000_000
            exchange = Exchange(self.limits, client, wire, head, left, self.draining)
            answer = await exchange.ask(until)
            good = answer.start < 500
            reusable = await exchange.pass_on(answer)
            return exchange.keep
        except TimeoutError:
            why = PASSED if self.clock.now() >= asked.deadline else TIMED_OUT
            raise Attempt(Execution.NOT_SENT if wire is None else Execution.UNKNOWN, why) from None
        except ClientGone:
            good = True  # no fault of the server
            raise
        finally:
            now = self.clock.now()
            self.router.load_balancer.request_ended(now, server, good)
            self._count(asked).tried(zone, server, good, (now - start) / 1e6)
            if wire is not None:
                self._release(server, wire, reusable, now)

    def _pooled(self, asked: RoutedRequest, server: str, now: int) -> Upstream | None:
        """An idle connection that still lives."""
        freshest = self.limits.write_fresh if asked.effect == "non_idempotent" else self.limits.pool_time
        while (wire := self.pool.take(now, server, freshest)) is not None:
            if wire.idle():
                return wire
            self._release(server, wire, False, now)
        return None

    async def _connect(self, asked: RoutedRequest, server: str, zone: str, until: float) -> Upstream:
        """A connection that has to be made or waited for, or Attempt: nothing was sent."""
        loop = asyncio.get_running_loop()
        with anyio.fail_after(max(0.0, until - loop.time())):
            while True:
                now = self.clock.now()
                if (old := self.pool.spare(server)) is not None:
                    old.close()
                if self.pool.make(now, server):
                    wire = await self._dial(server, zone)
                    break
                await self._turn(server)
                found = self._pooled(asked, server, self.clock.now())
                if found is not None:
                    wire = found
                    break
        if self.router.is_routable(asked, server):
            return wire
        # the table has changed while the connection was made: nothing is sent there
        self._release(server, wire, wire.idle(), self.clock.now())
        raise Attempt(Execution.NOT_SENT, "the table changed")

    async def _turn(self, server: str) -> None:
        """Until a connection may be free."""
        turn = asyncio.Event()
        if not self.pool.wait(server, turn):
            raise Attempt(Execution.NOT_SENT, "too many wait for this server")
        try:
            with anyio.move_on_after(0.05):  # the rate of new connections may allow one without a return
                await turn.wait()
        finally:
            self.pool.leave(server, turn)

    async def _dial(self, server: str, zone: str) -> Upstream:
        host, _, port = server.rpartition(":")
        try:
            with anyio.fail_after(self.spans.connect):
                if not self.reaches(zone):
                    await anyio.sleep_forever()
                return Upstream(await streams.dial(host.strip("[]"), int(port)), self.limits.head)
        except (OSError, TimeoutError):
            self._release(server, None, False, self.clock.now())
            raise Attempt(Execution.NOT_SENT, "cannot connect") from None
        except BaseException:
            self._pass_turn(self.pool.give(self.clock.now(), server, None))
            raise

    def _release(self, server: str, wire: Upstream | None, reusable: bool, now: int) -> None:
        """Give a connection back, or close it; `wire` None: it was counted and never came about."""
        keep = reusable and wire is not None and server not in self.router.withdrawn
        self._pass_turn(self.pool.give(now, server, wire if keep else None))
        if wire is not None and not keep:
            wire.close()

    def _pass_turn(self, turn: asyncio.Event | None) -> None:
        if turn is not None:
            turn.set()
