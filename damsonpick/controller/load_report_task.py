"""Receives load reports from gateways and passes their sums to the engine once per report period."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from structlog.typing import FilteringBoundLogger

from damsonpick.controller.engine import Engine
from damsonpick.runtime.clock import Clock
from damsonpick.state.learned.list_confidence import ListConfidence
from damsonpick.state.load_reports import ClientReport, LoadReports

MAX_LOGGED_PROBLEMS = 3  # problems of one load report that are logged


@dataclass(slots=True, eq=False)
class LoadReportTask:
    """Sums load reports and passes the sums to the engine periodically.

    Args:
        load_reports: Validates and sums the load reports of gateways.
        confidence: Uses the same sums to determine which listed endpoints respond.
        engine: Receives the sums as events.
        clock: Clock of the pilot.
        period: Report period in ns, the time after which the sums are passed on.
        notify: Wakes the drive loop.
        log: Logger for invalid load reports, with the gateway and the reason.
    """

    load_reports: LoadReports
    confidence: ListConfidence
    engine: Engine
    clock: Clock
    period: int
    notify: Callable[[], None]
    log: FilteringBoundLogger

    def receive(self, report: ClientReport) -> None:
        """Register the gateway, add its load report, and log the first `MAX_LOGGED_PROBLEMS` faults of the report."""
        now = self.clock.now()
        self.load_reports.add_client(now, report.client)
        problems = self.load_reports.add(now, report)
        for problem in problems[:MAX_LOGGED_PROBLEMS]:
            self.log.info("load_report_invalid", gateway=report.client, reason=problem)

    async def run(self) -> None:
        """Pass the sums to the engine once per period until cancelled."""
        while True:
            await anyio.sleep(self.clock.seconds(self.period))
            self._flush()

    def _flush(self) -> None:
        events = self.load_reports.flush()
        self.confidence.apply_reports(self.clock.now(), events)
        if events:
            self.engine.enqueue(*events)
            self.notify()
