"""Builds the proxy from its settings and runs it."""

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
from damsonpick.proxy.received_resources import ReceivedResource
from damsonpick.proxy.request_handler import RequestHandler, record_nothing
from damsonpick.proxy.router import Router
from damsonpick.proxy.settings import ProxySettings
from damsonpick.proxy.stream import Stream
from damsonpick.proxy.watch_client import WatchCallbacks, WatchClient
from damsonpick.runtime import port_files
from damsonpick.runtime.backoff import Backoff
from damsonpick.runtime.clock import Clock
from damsonpick.runtime.signal_receiver import received_signals
from damsonpick.runtime.supervision import keep_running

LISTEN_BACKLOG = 1024
SAVE_DELAY_S = 1.0  # time from a change of the tables to saving it; changes during this time are saved with it
DRAIN_CHECK_PERIOD_S = 0.02
# Upper bounds of the first delay and of every delay between connections to the control service.
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.1, 2.0


class Proxy:
    """One proxy with its router, request handler, watch client and table cache."""

    def __init__(
        self,
        settings: ProxySettings,
        log: Any,
        record: Callable[..., None] = record_nothing,
        seed: int | str | None = None,
        delta: bool = True,
    ) -> None:
        """Build the proxy. `running` opens its sockets.

        Args:
            settings: Validated settings.
            log: A structlog logger.
            record: Called with the name and fields of each observed event, for test scenarios.
            seed: Seed of all random draws. None uses a different seed each time.
            delta: Whether to use the delta variant of xDS.
        """
        self.settings, self.log = settings, log
        proxy_section, rng = settings.proxy, random.Random(seed)
        self.clock = Clock(settings.clock_rate)
        self.router = Router(settings, rng)
        self.requests = RequestHandler(settings, self.router, self.clock, record, log)
        callbacks = WatchCallbacks(self.pilot_addresses, self.apply_resources, self.requests.take_counts, record)
        backoff = Backoff(rng, FIRST_BACKOFF_S, MAX_BACKOFF_S)
        self.watch_client = WatchClient(
            proxy_section.name,
            proxy_section.zone,
            self.router.received_state,
            callbacks,
            self.clock,
            backoff,
            log,
            delta,
        )
        # Serialized resources in use, for the table cache: version and body by type and name.
        self.resources: dict[str, dict[str, tuple[str, bytes]]] = {CDS: {}, EDS: {}, RDS: {}}
        self.unsaved = anyio.Event()
        self.port = 0

    def pilot_addresses(self) -> list[str]:
        """Return the addresses of the control service to try now, in order."""
        proxy_section = self.settings.proxy
        if proxy_section.port_file is None:
            return list(proxy_section.pilots)
        address = port_files.address(proxy_section.port_file)
        return [address] if address else []

    def cache_path(self) -> Path | None:
        """Return the file of the table cache, or None if no folder is configured for it."""
        state = self.settings.proxy.state
        return state / f"{self.settings.proxy.name}.tables" if state else None

    def apply_resources(self, type_url: str, resources: list[ReceivedResource], removed: list[str]) -> None:
        """Put received resources into use and schedule saving them.

        Args:
            type_url: xDS type of all the resources.
            resources: New and changed resources.
            removed: Names of the removed resources.
        """
        for resource in resources:
            self.resources[type_url][resource.name] = (resource.version, resource.body)
        for name in removed:
            self.resources[type_url].pop(name, None)
        changed = [resource.name for resource in resources] + removed
        self.requests.apply_tables(type_url, changed)
        self.unsaved.set()

    @asynccontextmanager
    async def running(self) -> AsyncIterator[TaskGroup]:
        """Load the cached tables, then serve clients and watch the control service during the `async with` block."""
        self._restore()
        host, _, port = self.settings.proxy.listen.rpartition(":")
        async with anyio.create_task_group() as group:

            def connected(stream: Stream) -> None:
                group.start_soon(self.requests.serve, stream)

            listener = await asyncio.get_running_loop().create_server(
                lambda: Stream(connected), host.strip("[]"), int(port), backlog=LISTEN_BACKLOG
            )
            self.port = listener.sockets[0].getsockname()[1]
            self.log.info(
                "proxy_started",
                name=self.settings.proxy.name,
                port=self.port,
                tables=len(self.router.received_state.tables),
            )
            group.start_soon(keep_running, "watch", self.watch_client.run, self.log)
            group.start_soon(keep_running, "idle connections", self.requests.connector.close_expired, self.log)
            group.start_soon(keep_running, "table cache", self._save_changes, self.log)
            try:
                yield group
            finally:
                listener.close()
                group.cancel_scope.cancel()

    def _restore(self) -> None:
        """Load the cached tables, if there are any. If the cache is damaged, log it and start without tables."""
        path = self.cache_path()
        if path is None:
            return
        path.parent.mkdir(parents=True, exist_ok=True)
        try:
            restored = table_cache.load(path, self.router.received_state)
        except table_cache.TableCacheError as error:
            self.log.error("tables_damaged", why=str(error))
            return
        for type_url in (CDS, EDS):
            self.router.resources_changed(type_url, [])
        if restored:
            self.log.info("tables_restored", resources=restored)

    async def _save_changes(self) -> None:
        while True:
            await self.unsaved.wait()
            self.unsaved = anyio.Event()
            await anyio.sleep(SAVE_DELAY_S)
            self.save()

    def save(self) -> None:
        """Write the tables in use to the cache. A write error is logged and has no other effect."""
        path = self.cache_path()
        if path is None or not any(self.resources.values()):
            return
        try:
            table_cache.save(path, self.resources)
        except OSError as error:
            self.log.error(
                "tables_not_kept", error=str(error), remedy="check free space and permissions of the state folder"
            )

    async def drain(self) -> None:
        """Abort new connections, and wait up to the drain time until all requests received so far are served."""
        self.requests.drain()
        with anyio.move_on_after(self.clock.seconds(self.settings.limits.drain_time)):
            while self.requests.clients:
                await anyio.sleep(DRAIN_CHECK_PERIOD_S)


async def serve(settings: ProxySettings, log: Any, port_file: Path | None) -> None:
    """Run a proxy until SIGTERM or SIGINT, then drain it.

    Raises:
        PortFileError: The port file cannot be written.
        OSError: The listen address cannot be opened.
    """
    port_file_error: port_files.PortFileError | None = None
    proxy = Proxy(settings, log)
    with received_signals((signal.SIGTERM, signal.SIGINT)) as signals:
        async with proxy.running():
            try:
                port_files.write(port_file, proxy.port)
                async for _ in signals:
                    break
            except port_files.PortFileError as error:
                port_file_error = error
            log.info("proxy_drains", clients=proxy.requests.clients)
            await proxy.drain()
            proxy.save()
    if port_file_error is not None:
        raise port_file_error
