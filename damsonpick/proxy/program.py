"""The proxy put together: settings to open sockets."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import TaskGroup

from damsonpick.protocols.xds.names import CDS, EDS, RDS
from damsonpick.proxy import table_cache
from damsonpick.proxy.relay import Relay, nothing
from damsonpick.proxy.router import Router
from damsonpick.proxy.settings import ProxySettings
from damsonpick.proxy.stream import Stream
from damsonpick.proxy.watch_client import Follower
from damsonpick.runtime import port_files
from damsonpick.runtime.backoff import Backoff
from damsonpick.runtime.clock import Clock

BACKLOG = 1024
SAVE_AFTER = 1.0  # s of quiet after which changed tables are kept


class Proxy:
    """One proxy.

    Args:
        settings: checked settings.
        log: a structlog logger.
        said: hears what passes on the sockets.
        seed: draws.
    """

    def __init__(
        self,
        settings: ProxySettings,
        log: Any,
        said: Callable[..., None] = nothing,
        seed: int | str | None = None,
        delta: bool = True,
    ) -> None:
        self.settings, self.log = settings, log
        own, rng = settings.proxy, random.Random(seed)
        self.clock = Clock(settings.clock_rate)
        self.router = Router(settings, rng)
        self.relay = Relay(settings, self.router, self.clock, said, log)
        self.follower = Follower(
            own.name,
            own.zone,
            self.pilots,
            self.router.holdings,
            self.clock,
            Backoff(rng, 0.1, 2.0),
            self._took,
            self.relay.sums,
            said,
            log,
            delta,
        )
        self.bodies: dict[str, dict[str, tuple[str, bytes]]] = {CDS: {}, EDS: {}, RDS: {}}
        self.dirty = anyio.Event()
        self.port = 0

    def pilots(self) -> list[str]:
        own = self.settings.proxy
        if own.port_file is None:
            return list(own.pilots)
        return [address] if (address := port_files.address(own.port_file)) else []

    def kept(self) -> Path | None:
        state = self.settings.proxy.state
        return state / f"{self.settings.proxy.name}.tables" if state else None

    def _took(self, kind: str, resources: list[tuple[str, str, bytes]], removed: list[str]) -> None:
        for name, version, body in resources:
            self.bodies[kind][name] = (version, body)
        for name in removed:
            self.bodies[kind].pop(name, None)
        self.relay.took(kind, resources, removed)
        self.dirty.set()

    @asynccontextmanager
    async def running(self) -> AsyncIterator[TaskGroup]:
        """Serves while the block runs."""
        self._restore()
        host, _, port = self.settings.proxy.listen.rpartition(":")
        async with anyio.create_task_group() as group:

            def made(stream: Stream) -> None:
                group.start_soon(self.relay.serve, stream)

            listener = await asyncio.get_running_loop().create_server(
                lambda: Stream(made), host.strip("[]"), int(port), backlog=BACKLOG
            )
            self.port = listener.sockets[0].getsockname()[1]
            self.log.info(
                "proxy_started", name=self.settings.proxy.name, port=self.port, tables=len(self.router.holdings.tables)
            )
            group.start_soon(self.follower.run)
            group.start_soon(self.relay.sweep)
            group.start_soon(self._save)
            try:
                yield group
            finally:
                listener.close()
                group.cancel_scope.cancel()

    def _restore(self) -> None:
        path = self.kept()
        if path is None:
            return
        path.parent.mkdir(parents=True, exist_ok=True)
        try:
            found = table_cache.load(path, self.router.holdings)
        except table_cache.Damaged as error:
            self.log.error("tables_damaged", why=str(error))
            return
        for kind in (CDS, EDS):
            self.router.resources_changed(kind, [])
        if found:
            self.log.info("tables_restored", resources=found)

    async def _save(self) -> None:
        while True:
            await self.dirty.wait()
            self.dirty = anyio.Event()
            await anyio.sleep(SAVE_AFTER)
            self.save()

    def save(self) -> None:
        path = self.kept()
        if path is None or not any(self.bodies.values()):
            return
        try:
            table_cache.save(path, self.bodies)
        except OSError as error:
            self.log.error("tables_not_kept", error=str(error), remedy="free space or rights on the state folder")

    async def drain(self) -> None:
        """No new connections and requests; those under way may end, for a while."""
        self.relay.drain()
        with anyio.move_on_after(self.clock.seconds(self.settings.limits.drain_time)):
            while self.relay.clients:
                await anyio.sleep(0.02)


async def serve(settings: ProxySettings, log: Any, port_file: Path | None) -> None:
    """Run until SIGTERM or SIGINT, then drain."""
    proxy = Proxy(settings, log)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with proxy.running():
            port_files.write(port_file, proxy.port)
            async for _ in signals:
                break
            log.info("proxy_drains", clients=proxy.relay.clients)
            await proxy.drain()
            proxy.save()
