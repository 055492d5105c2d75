"""Life cycle of one pilot: opens its sockets, runs its tasks and shuts them down in order."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import anyio
import grpc
from anyio.abc import TaskGroup
from structlog.typing import FilteringBoundLogger

from damsonpick.controller import control_socket
from damsonpick.controller.components import AdvisorFactory, Components, PlannerFactory
from damsonpick.controller.queries import Ports
from damsonpick.controller.snapshot_task import NOTHING_LEARNED
from damsonpick.decisions.planner import Planner
from damsonpick.runtime.loop_lag import LoopLagMonitor
from damsonpick.runtime.supervision import keep_running
from damsonpick.settings.model import PilotSettings
from damsonpick.solver import work
from damsonpick.solver.advice import Advisor

XDS_STOP_GRACE_S = 0.2  # wall time that open streams have to finish at shutdown


class XdsListenError(Exception):
    """The xDS server cannot listen on its address."""

    def __init__(self, address: str, cause: Exception) -> None:
        """Build the message from the address and the cause."""
        super().__init__(
            f"[listen] xds = {address}: cannot be opened ({cause}); free the port or choose another address"
        )
        self.address = address


class Pilot:
    """One pilot with its components, sockets and tasks.

    Args:
        settings: Validated settings.
        log: Logger of the program.
        planner_factory: Creates a planner from its settings and a seed. Tests pass planners that fail.
        advisor_factory: Creates the advisor of the solver. Benchmarks pass an advisor with hand-made weights.
        solve: Function that the solver's worker process runs. Tests pass slow and failing functions.

    Raises:
        LockError: Another process uses the state folder.
        StoreError: The store cannot be used.
    """

    def __init__(
        self,
        settings: PilotSettings,
        log: FilteringBoundLogger,
        planner_factory: PlannerFactory = Planner,
        advisor_factory: AdvisorFactory = Advisor,
        solve: Callable = work.solve,
    ) -> None:
        """Create the components. `running` opens the sockets."""
        self.settings = settings
        self.log = log
        self.components = Components(settings, log, planner_factory, advisor_factory, solve)
        self.loop_lag = LoopLagMonitor(log)

    @property
    def ports(self) -> Ports:
        """Ports on which the pilot listens."""
        return self.components.ports

    @asynccontextmanager
    async def running(self) -> AsyncIterator[TaskGroup]:
        """Serve while the `async with` block runs, then shut down in order.

        Raises:
            ListenError: The SASP server cannot listen on its address.
            XdsListenError: The xDS server cannot listen on its address.
            ControlListenError: The control socket cannot be opened.
        """
        components = self.components
        self._restore()
        if components.sasp is not None:
            await components.sasp.open()
            self.ports.sasp = components.sasp.port
        xds_server = await self._open_xds()
        self.log.info(
            "pilot_started",
            name=self.settings.pilot.name,
            port=self.ports.xds,
            epoch=components.epoch,
            slices=len(components.engine.owned),
            endpoints=len(components.endpoint_list.entries),
        )
        try:
            control = await control_socket.listen(self.settings.control_path())
            async with anyio.create_task_group() as group:
                group.start_soon(
                    control_socket.serve, control, self.settings.control_path(), components.queries.answer, self.log
                )
                self._start_tasks(group)
                yield group
                group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await xds_server.stop(XDS_STOP_GRACE_S)
                if self.settings.learned_state.enabled:
                    await components.snapshot_task.write()
            components.close()
            self.log.info("pilot_ended", name=self.settings.pilot.name, **self.loop_lag.load().log_fields())

    def _restore(self) -> None:
        """Start the engine and the list updater from the stored and learned state of the previous incarnation."""
        components = self.components
        learned = components.snapshot_task.read() if self.settings.learned_state.enabled else NOTHING_LEARNED
        components.engine.start(components.clock.now(), learned.snapshot, learned.away)
        components.list_updater.start(learned.snapshot, learned.away)

    def _start_tasks(self, group: TaskGroup) -> None:
        """Start the tasks of the daemon.

        If a task raises an exception, `keep_running` logs it and restarts only that task. The SASP server is started
        directly, because it supervises its own tasks.
        """
        components = self.components
        tasks: dict[str, Callable[[], Awaitable[None]]] = {
            "list watch": components.list_watch.run,
            "load reports": components.load_report_task.run,
            "leases": components.lease_task.run,
            "drive loop": components.drive_loop.run,
            "loop lag": self.loop_lag.run,
        }
        if self.settings.learned_state.enabled:
            tasks["snapshots"] = components.snapshot_task.run
        if self.settings.needs_solver:
            tasks["solver"] = components.solver_task.run
        for name, run in tasks.items():
            group.start_soon(keep_running, name, run, self.log)
        if components.sasp is not None:
            group.start_soon(components.sasp.run)

    async def _open_xds(self) -> grpc.aio.Server:
        listen = self.settings.listen
        try:
            xds_server, self.ports.xds = await self.components.xds.start(listen.xds, listen.largest_request)
        except (RuntimeError, OSError) as error:  # gRPC raises RuntimeError if the address is in use
            raise XdsListenError(listen.xds, error) from None
        return xds_server
