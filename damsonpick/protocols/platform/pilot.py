"""Creates the components of a pilot that uses the platform's protocol, and runs their tasks.

Only the planner decides on table entries, withdrawals and admission levels. The other components read, validate, merge
and compare data, send and resend orders, and close connections.
"""

from __future__ import annotations

import random
import signal
from collections.abc import AsyncIterator, Callable, Iterable

import anyio
from anyio.abc import TaskGroup

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.platform import endpoint_list_watch, messages, registry_watch
from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.collaborators import Logger
from damsonpick.protocols.platform.config import Config
from damsonpick.protocols.platform.config_reloader import ConfigReloader
from damsonpick.protocols.platform.connection_handler import ConnectionHandler
from damsonpick.protocols.platform.connection_limiter import ConnectionLimiter
from damsonpick.protocols.platform.connection_listener import ConnectionListener, Listener, open_listener
from damsonpick.protocols.platform.dropped_input_log import DroppedInputLog
from damsonpick.protocols.platform.endpoint_list import EndpointList
from damsonpick.protocols.platform.endpoint_list_watch import EndpointListWatchReader
from damsonpick.protocols.platform.order_client import OrderClient, RetryDelays
from damsonpick.protocols.platform.order_codec import SYNC_TOKEN_RANGE
from damsonpick.protocols.platform.pending_orders import PendingOrders
from damsonpick.protocols.platform.planner_driver import PlannerDriver, PlannerStart
from damsonpick.protocols.platform.readiness import Readiness
from damsonpick.protocols.platform.registry import Registry
from damsonpick.protocols.platform.registry_watch import RegistrySynchronizer, RegistryWatchReader
from damsonpick.protocols.platform.state_log import INTERVAL_S, PilotStatus, write_state
from damsonpick.protocols.platform.stored_state import tables_digest
from damsonpick.protocols.platform.watch_client import WatchClient
from damsonpick.runtime.clock import Clock
from damsonpick.runtime.signal_receiver import received_signals

SIGNALS = signal.SIGTERM, signal.SIGHUP
PLANNER_SEED_BITS = 48

PlannerFactory = Callable[[api.Settings, int], Planner]


class Pilot:
    """Creates the components of one pilot from its configuration and runs them."""

    def __init__(self, config: Config, log: Logger, planner_factory: PlannerFactory = Planner) -> None:
        """Create the components without opening any socket.

        Args:
            config: The validated configuration.
            log: Logger of all components.
            planner_factory: Creates a planner from settings and a seed.
        """
        self._config = config
        self._log = log
        self._planner_factory = planner_factory
        self._rng = random.Random(config.seed)
        settings = config.settings
        class_names = tuple(request_class.name for request_class in settings.classes)
        pending = PendingOrders(class_names, token_offset=self._rng.randrange(SYNC_TOKEN_RANGE))
        dropped_input_log = DroppedInputLog(log)
        self.readiness = Readiness(log)
        self.registry = Registry(pending, settings.proxies, settings.slices)
        self.endpoint_list = EndpointList(config.known, settings.poll_interval)
        self.driver = PlannerDriver(Clock(), self._start_planner, self._publish, log)
        self._order_client = self._compose_order_client()
        self._registry_watch = self._compose_registry_watch(dropped_input_log)
        self._discovery_watch = self._compose_discovery_watch(dropped_input_log)
        self.limiter = ConnectionLimiter(config.max_descriptors)
        self.handler = ConnectionHandler(self.readiness, self.driver.enqueue, dropped_input_log, settings.report_rate)
        reports = messages.ReportMapper(settings, config.zones)
        self.listener = ConnectionListener(reports, self.limiter, self.handler, dropped_input_log, log)

    async def run(self) -> None:
        """Serve until SIGTERM.

        Raises:
            ConfigError: The listening socket cannot be opened.
        """
        with received_signals(SIGNALS) as signals:
            # The signals were blocked until now, so that none is lost during the start.
            signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
            self.driver.start()
            listener = await open_listener(self._config.listen)
            async with anyio.create_task_group() as group:
                self._start_tasks(group, listener)
                self._log_start()
                await self._handle_signals(signals, group)
                group.cancel_scope.cancel()
        self._log.info(
            "pilot_ended",
            name=self._config.name,
            slices=len(self.registry.tables),
            pending_orders=self.registry.pending.key_count(),
            tables_digest=tables_digest(self.registry.tables),
        )

    # -- creation of the components

    def _compose_order_client(self) -> OrderClient:
        delays = RetryDelays(self._rng, self._transmission_time_s)

        def is_registry_current() -> bool:
            return self._registry_watch.is_current()

        return OrderClient(
            self._config.registry, self.registry, is_registry_current, self.driver.enqueue, delays, self._log
        )

    def _compose_registry_watch(self, dropped_input_log: DroppedInputLog) -> WatchClient:
        synchronizer = RegistrySynchronizer(
            self.registry,
            self.driver.enqueue,
            self._order_client.wake,
            self.readiness,
            self._log,
        )

        def has_gap() -> bool:
            return not self._registry_watch.is_current()

        def make_reader() -> RegistryWatchReader:
            return RegistryWatchReader(synchronizer, has_gap, dropped_input_log)

        return WatchClient("registry", registry_watch.SILENCE_TIMEOUT_S, make_reader, self._rng, self._log)

    def _compose_discovery_watch(self, dropped_input_log: DroppedInputLog) -> WatchClient:
        def make_reader() -> EndpointListWatchReader:
            return EndpointListWatchReader(
                self.endpoint_list,
                self.driver.clock.now,
                self.driver.enqueue,
                self.readiness,
                dropped_input_log,
            )

        return WatchClient("discovery", endpoint_list_watch.SILENCE_TIMEOUT_S, make_reader, self._rng, self._log)

    # -- callbacks of the components

    def _start_planner(self) -> PlannerStart:
        """Create a planner and its first events: the endpoint list and the known state of the registry.

        The known state of the registry is empty when the first planner starts, but not when a planner replaces a failed
        planner.
        """
        events = [*self.endpoint_list.initial_events(), *self.registry.initial_events()]
        seed = self._rng.getrandbits(PLANNER_SEED_BITS)
        return PlannerStart(self._planner_factory(self._config.settings, seed), events)

    def _publish(self, orders: Iterable[api.TableOrder]) -> None:
        self._order_client.push(orders)

    def _transmission_time_s(self, order_count: int) -> float:
        """Return the seconds that the channel needs to send a request with `order_count` orders to all proxies."""
        settings = self._config.settings
        entries = (order_count + settings.message_overhead) * len(self.registry.proxies)
        return entries / max(1.0, settings.channel_rate)

    # -- tasks

    def _start_tasks(self, group: TaskGroup, listener: Listener) -> None:
        group.start_soon(self.listener.run, listener, group)
        self._registry_watch.follow(group, self._config.registry)
        self._discovery_watch.follow(group, self._config.discovery)
        group.start_soon(self._order_client.run)
        group.start_soon(self.driver.run)
        group.start_soon(self._log_state)
        group.start_soon(self.readiness.enforce_timeout)

    async def _handle_signals(self, signals: AsyncIterator[signal.Signals], group: TaskGroup) -> None:
        """Reload the configuration on SIGHUP. Return on SIGTERM."""

        def move_registry(address: Address) -> None:
            self._order_client.move_to(address)
            self._registry_watch.follow(group, address)

        def move_discovery(address: Address) -> None:
            self._discovery_watch.follow(group, address)

        reloader = ConfigReloader(self._config, move_registry, move_discovery, self._log)
        async for number in signals:
            if number == signal.SIGTERM:
                return
            try:
                reloader.reload()
            except Exception as error:  # an error in a reload must not stop the pilot
                self._log.exception("reload_failed", error=repr(error))

    async def _log_state(self) -> None:
        while True:
            await anyio.sleep(INTERVAL_S)
            planner = self.driver.loop.planner
            if planner is None:
                continue
            try:
                write_state(self._log, planner, self._status())
            except Exception as error:  # an error in logging must not stop the pilot
                self._log.exception("planner_state_failed", error=repr(error))

    def _status(self) -> PilotStatus:
        steps = self.driver.take_statistics()
        return PilotStatus(
            tables=self.registry.tables,
            pending_orders=self.registry.pending.key_count(),
            order_requests=self._order_client.request_count,
            unconfirmed_requests=self._order_client.unconfirmed_count,
            connections=len(self.limiter.connections),
            new_reports=self.handler.take_report_count(),
            new_steps=steps.step_count,
            longest_step_ns=steps.longest_step_ns,
        )

    def _log_start(self) -> None:
        config = self._config
        self._log.info(
            "pilot_started",
            name=config.name,
            known_endpoints=len(config.known.entries),
            endpoint_list_version=config.known.version,
            max_descriptors=config.max_descriptors,
            settings=config.settings._asdict(),
        )
        if config.settings.admission == "rps":
            self._log.warning(
                "load_shedding_off",
                reason="domain.admission is rps: it sets levels in requests per second, which are not supported yet",
                remedy="set domain.admission to ratio; until then no load is shed under overload",
            )
