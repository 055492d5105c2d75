"""Takes load reports of gateways in and hands their sums to the engine once a report period."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from structlog.typing import FilteringBoundLogger

from damsonpick.controller.engine import Engine
from damsonpick.runtime.clock import Clock
from damsonpick.state.learned.list_confidence import ListConfidence
from damsonpick.state.load_reports import ClientReport, LoadReports

MOST_LOGGED_PROBLEMS = 3  # of one load report


@dataclass(slots=True, eq=False)
class LoadReportTask:
    """Collects load reports and flushes them periodically.

    Args:
        load_reports: checks and sums what gateways report.
        confidence: learns from the same sums which listed endpoints answer.
        engine: receives the sums as events.
        clock: the pilot's clock.
        period: ns between two flushes.
        notify: wakes the drive loop.
        log: names the gateway of a report that cannot be true, and the reason.
    """

    load_reports: LoadReports
    confidence: ListConfidence
    engine: Engine
    clock: Clock
    period: int
    notify: Callable[[], None]
    log: FilteringBoundLogger

    def receive(self, report: ClientReport) -> None:
        """Take one load report of one gateway in."""
        now = self.clock.now()
        self.load_reports.join(now, report.client)
        problems = self.load_reports.add(now, report)
        for problem in problems[:MOST_LOGGED_PROBLEMS]:
            self.log.info("load_report_invalid", gateway=report.client, reason=problem)

    async def run(self) -> None:
        """Flush once a period until cancelled."""
        while True:
            await anyio.sleep(self.clock.seconds(self.period))
            self._flush()

    def _flush(self) -> None:
        events = self.load_reports.flush()
        self.confidence.apply_reports(self.clock.now(), events)
        if events:
            self.engine.enqueue(*events)
            self.notify()
