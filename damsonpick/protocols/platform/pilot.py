"""The pilot on the platform's protocol: sockets, signals and timers round the loop that drives the module.

Every decision is the module's; what is read, checked, merged or compared is done by the sans-I/O parts beside this.
"""

from __future__ import annotations

import errno
import random
import signal
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import SocketStream, TaskGroup

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.platform import config as cfg
from damsonpick.protocols.platform import connection_limiter, discovery, http_client, messages
from damsonpick.protocols.platform.order_client import Calls
from damsonpick.protocols.platform.pending_orders import MARKS, Orders
from damsonpick.protocols.platform.registry import Registry, Standing
from damsonpick.protocols.platform.state_log import Beliefs
from damsonpick.protocols.platform.watch_client import Follower
from damsonpick.runtime.clock import Clock
from damsonpick.runtime.decision_loop import DecisionLoop, Step

GATHER = 0.004  # s: what happens within it is handed over in one step
NEWS_SILENCE = 2.4  # s; a sign of life is due every second
LIST_SILENCE = 3.2  # s; one is due every two
READY_WITHIN = 1.0  # s after which signs of life are given although the relay or discovery has not spoken
WRITE_WITHIN = 1.0  # s that an answer may wait for its reader
READ = 65_536
SIGNALS = signal.SIGTERM, signal.SIGHUP
NO_ROOM = errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM  # accepting fails until something is let go


class NewsReader:
    """One watch of the relay's news. What stands comes first and ends with the first sign of life."""

    def __init__(self, pilot: Pilot) -> None:
        self.pilot = pilot
        self.first: Standing | None = Standing()

    def path(self) -> str:
        return "/watch"

    def take(self, lines: list[bytes]) -> bool:
        for line in filter(None, lines):
            try:
                news = messages.decode_news(line)
            except messages.Spoilt as error:
                self.pilot.doubts.add("news", str(error))
                continue
            except messages.Unreadable as error:
                raise http_client.Broken(f"news: {error}") from None
            self._one(news)
        return self.first is None

    def _one(self, news: messages.News) -> None:
        registry = self.pilot.registry
        if self.first is None:
            self.pilot.tell(*registry.news(news))
            if self.pilot.orders.waiting:
                self.pilot.calls.bell.set()
        elif isinstance(news, messages.Beat):
            standing, self.first = self.first, None
            gap = not self.pilot.news.reading()
            self.pilot.log.info("relay_stands", proxies=len(standing.members), slices=len(standing.tables), gap=gap)
            self.pilot.tell(*registry.reconcile(standing, gap))
            self.pilot.spoke("relay")
        else:
            self.first.take(news)


class ListReader:
    """One watch of discovery's list, from the version that is known."""

    def __init__(self, pilot: Pilot) -> None:
        self.pilot = pilot
        self.at: int | None = None  # version that this watch has told

    def path(self) -> str:
        return f"/catalog/members?watch=1&from={self.pilot.endpoint_list.since()}"

    def take(self, lines: list[bytes]) -> bool:
        for line in filter(None, lines):
            try:
                self._one(discovery.decode(line))
            except discovery.ListingError as error:
                self.pilot.endpoint_list.whole = True  # a change may be lost in this line
                raise http_client.Broken(f"list: {error}") from None
        if self.at is None:  # signs of life alone do not tell what stands
            return False
        self.pilot.spoke("discovery")
        return True

    def _one(self, listing: discovery.Listing) -> None:
        if self.at is not None and listing.version < self.at:
            raise discovery.ListingError(f"version {listing.version} after {self.at}")
        self.at = listing.version
        for doubt in listing.doubts:
            self.pilot.doubts.add("list", doubt)
        event = self.pilot.endpoint_list.take(listing, self.pilot.clock.now())
        if event is None:
            self.pilot.doubts.add("list", f"version {listing.version}: {self.pilot.endpoint_list.version} is known")
        else:
            self.pilot.tell(event)
        if listing.spoilt and not listing.full:
            raise discovery.ListingError("a change that cannot be read")


class Pilot:
    """One pilot, from its configuration to open sockets.

    Args:
        config: checked.
        log: a structlog logger.
        make: how a planner is made; tests hand in ones that fail.
    """

    def __init__(self, config: cfg.Config, log: Any, make: Callable[[api.Settings, int], Planner] = Planner) -> None:
        self.config, self.log, self.make = config, log, make
        self.clock = Clock()
        self.rng = random.Random(config.seed)
        self.loop = DecisionLoop(log)
        self.doubts = Doubts(log)
        self.endpoint_list = discovery.EndpointList(config.known, config.settings.poll_interval)
        names = tuple(c.name for c in config.settings.classes)
        self.orders = Orders(names, self.rng.randrange(MARKS))
        self.registry = Registry(self.orders, config.settings.proxies, config.settings.slices)
        self.reports = messages.Reports(config.settings, config.zones)
        self.door = connection_limiter.Door(config.sockets)
        self.scopes: dict[connection_limiter.Caller, anyio.CancelScope] = {}
        self.calls = Calls(config.registry, self.orders, self.registry, self.tell, self._takes, self.rng, log)
        self.news = Follower("news", NEWS_SILENCE, lambda: NewsReader(self), self.rng, log)
        self.list = Follower("list", LIST_SILENCE, lambda: ListReader(self), self.rng, log)
        self.beliefs = Beliefs(log)
        self.bell = anyio.Event()
        self.unheard = {"relay", "discovery"}
        self.ready = anyio.Event()

    def _takes(self, orders: int) -> float:
        """Seconds in which the channel sends a call of so many orders to all who are joined."""
        s = self.config.settings
        return (orders + s.message_overhead) * len(self.registry.members) / max(1.0, s.channel_rate)

    # -- what happens

    def tell(self, *events: api.Event) -> None:
        """Events for the next step."""
        if events:
            self.loop.tell(*events)
            self.bell.set()

    def spoke(self, who: str) -> None:
        """The relay or discovery has told what stands; with both, the pilot can serve."""
        self.unheard.discard(who)
        if not self.unheard and not self.ready.is_set():
            self.log.info("ready")
            self.ready.set()

    # -- life

    async def run(self) -> None:
        """Serve until SIGTERM."""
        with anyio.open_signal_receiver(*SIGNALS) as signals:
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # those that came during the start are received now
            self._begin()
            listener = await self._open()
            async with anyio.create_task_group() as group:
                group.start_soon(self._listen, listener, group)
                self.news.point(group, self.config.registry)
                self.list.point(group, self.config.discovery)
                group.start_soon(self.calls.run)
                group.start_soon(self._drive)
                group.start_soon(self._believe)
                group.start_soon(self._late)
                self.log.info(
                    "pilot_started",
                    name=self.config.name,
                    known=len(self.config.known.entries),
                    version=self.config.known.version,
                    sockets=self.config.sockets,
                    settings=self.config.settings._asdict(),
                )
                async for number in signals:
                    if number == signal.SIGTERM:
                        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
                        break
                    try:
                        self._reload(group)
                    except Exception as error:  # a reload must not end the pilot
                        self.log.error("reload_failed", error=repr(error), exc_info=error)
                group.cancel_scope.cancel()
        for number in SIGNALS:  # without their receiver, a second one would end it by the signal
            signal.signal(number, signal.SIG_IGN)
        self.log.info("pilot_ended", name=self.config.name)

    def _begin(self) -> None:
        """A planner, told the list and, in place of one that failed, what stands."""
        events = [*self.endpoint_list.begin(), *self.registry.begin()]
        self.loop.begin_with(self.make(self.config.settings, self.rng.getrandbits(48)), events)

    def _reload(self, group: TaskGroup) -> None:
        """SIGHUP: read the file again. One that can't be used is refused whole, and what was read before holds."""
        try:
            new = cfg.read()
        except cfg.ConfigError as error:
            self.log.error("configuration_refused", why=str(error), remedy="mend the file and send SIGHUP again")
            return
        old, self.config = self.config, new
        self.log.info(
            "configuration_read",
            registry=f"{new.registry.host}:{new.registry.port}",
            discovery=f"{new.discovery.host}:{new.discovery.port}",
        )
        if new.registry != old.registry:
            self.calls.point(new.registry)
            self.news.point(group, new.registry)
        if new.discovery != old.discovery:
            self.list.point(group, new.discovery)
        if new.settings != old.settings or (new.name, new.listen) != (old.name, old.listen):
            self.config = new._replace(settings=old.settings, zones=old.zones, name=old.name, listen=old.listen)
            self.log.warning("configuration_needs_restart", why="settings, name or listen differ; the former hold")

    async def _late(self) -> None:
        """A relay or a discovery that is away must not keep the pilot from being put to use."""
        await anyio.sleep(READY_WITHIN)
        if not self.ready.is_set():
            self.log.warning("ready_without", unheard=sorted(self.unheard))
            self.ready.set()

    # -- the loop

    async def _drive(self) -> None:
        while True:
            self.bell = anyio.Event()
            now = self.clock.now()
            try:
                self._step(now)
            except Exception as error:  # beside the module, which the loop guards: its orders may be lost with it
                self.loop.give_up(now, error)
            self.beliefs.stepped(now, self.clock.now())
            await anyio.sleep(GATHER)
            if self.loop.planner is not None and self.loop.inbox:
                continue
            due = self.loop.next_step()
            pause = None if due is None else max(0.001, self.clock.seconds(due - self.clock.now()))
            with anyio.move_on_after(pause):
                await self.bell.wait()

    def _step(self, now: int) -> None:
        if self.loop.planner is None and now >= self.loop.restart_at:
            self._begin()
        if self.loop.planner is not None and (step := self.loop.advance(now)) is not None:
            self._carry_out(step)

    def _carry_out(self, step: Step) -> None:
        """Orders go to the relay. A list that is wanted is on its way: it is watched at all times."""
        orders = [a for a in step.actions if isinstance(a, api.TableOrder)]
        if orders:
            self.calls.push(orders)

    async def _believe(self) -> None:
        while True:
            await anyio.sleep(1.0)
            try:
                if self.loop.planner is not None:
                    self.beliefs.say(self.loop.planner, self)
            except Exception as error:  # words must not end the pilot
                self.log.error("beliefs_failed", error=repr(error))

    # -- the address

    async def _open(self) -> Any:
        host, port = self.config.listen
        try:
            made = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=1024)
        except OSError as error:
            raise cfg.ConfigError(
                f"listen: {host}:{port}: {error.strerror or error}: another program has it, or it is not this machine's"
            ) from None
        return made.listeners[0]

    async def _listen(self, listener: Any, group: TaskGroup) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                self.doubts.add("accept", str(error))
                if error.errno in NO_ROOM:
                    self._turn_out(next((c for c in self.door.callers if not c.zone), None))
                    await anyio.sleep(0.05)  # running out must neither spin nor stop accepting for good
                else:  # that connection alone was reset before it was taken: nobody else has to go
                    await anyio.sleep(0)
                continue
            caller = connection_limiter.Caller(self.reports)
            self.scopes[caller] = anyio.CancelScope(deadline=anyio.current_time() + connection_limiter.JOIN_WITHIN)
            self._turn_out(self.door.enter(self.clock.now(), caller))
            group.start_soon(self._attend, caller, stream)

    def _turn_out(self, caller: connection_limiter.Caller | None) -> None:
        if caller in self.scopes:
            self.scopes[caller].cancel()

    async def _attend(self, caller: connection_limiter.Caller, stream: SocketStream) -> None:
        try:
            with self.scopes[caller]:
                await self._serve(caller, stream)
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError, OSError, http_client.Broken):
            pass  # gone
        except Exception as error:  # one connection must not end the pilot
            self.log.error("connection_failed", error=repr(error), exc_info=error)
        finally:
            self.scopes.pop(caller, None)
            self.door.leave(caller)
            await anyio.aclose_forcefully(stream)

    async def _serve(self, caller: connection_limiter.Caller, stream: SocketStream) -> None:
        """Take in what a connection says until it goes or has to."""
        try:
            while True:
                await self._hear(caller, stream, await stream.receive(READ))
        except connection_limiter.Turned as error:
            self.doubts.add("turned away", f"{caller.zone or 'stranger'}: {error}")
            await self._heed(caller, stream, error.heard)  # what it said before counts

    async def _hear(self, caller: connection_limiter.Caller, stream: SocketStream, data: bytes) -> None:
        new = not caller.zone
        heard = caller.feed(self.clock.now(), data)
        if new and caller.zone:
            self.scopes[caller].deadline = float("inf")
            for former in self.door.joined(caller):
                self._turn_out(former)
        await self._heed(caller, stream, heard)

    async def _heed(
        self, caller: connection_limiter.Caller, stream: SocketStream, heard: connection_limiter.Heard
    ) -> None:
        """Act on what a connection said: reports are told, and each sign of life that was asked for is given."""
        for why in heard.spoilt:
            self.doubts.add("report", why)
        self.beliefs.reports += len(heard.events)
        self.tell(*heard.events)
        if not heard.beats:
            return
        if not self.ready.is_set():
            scope = self.scopes[caller]
            left, scope.deadline = scope.deadline - anyio.current_time(), float("inf")
            await self.ready.wait()  # of the time to join, the wait for us is not the caller's
            scope.deadline = anyio.current_time() + left
        await http_client.send(stream, connection_limiter.ALIVE * heard.beats, WRITE_WITHIN)


class Doubts:
    """Says what was dropped and why, a bounded number of times a kind; the rest is counted."""

    MOST = 30

    def __init__(self, log: Any) -> None:
        self.log = log
        self.counts: dict[str, int] = {}

    def add(self, kind: str, why: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if self.counts[kind] <= self.MOST or self.counts[kind] % 100 == 0:
            self.log.warning("dropped", kind=kind, why=why[:200], so_far=self.counts[kind])
