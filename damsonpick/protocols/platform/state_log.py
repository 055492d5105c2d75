"""One bounded line a second of what the pilot believes, to lay beside what crossed the sockets."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING, Any

from damsonpick.decisions.planner import Planner

if TYPE_CHECKING:
    from damsonpick.protocols.platform.pilot import Pilot

MOST = 40  # servers named in a line


class Beliefs:
    """Args: log: a structlog logger."""

    def __init__(self, log: Any) -> None:
        self.log = log
        self.reports = self.steps = 0
        self.longest = 0  # ns of one step since the last line

    def stepped(self, began: int, ended: int) -> None:
        self.steps += 1
        self.longest = max(self.longest, ended - began)

    def say(self, planner: Planner, pilot: Pilot) -> None:
        """Say it, and begin anew."""
        load = planner.endpoint_loads(planner.endpoints)
        lines: dict[str, int] = {}
        for table in pilot.registry.tables.values():
            for name in table:
                lines[name] = lines.get(name, 0) + 1
        named = sorted(load, key=load.__getitem__, reverse=True)[:MOST]
        servers = {
            n: f"{e.state[:2]} heat={load[n]:.1f} lines={lines.get(n, 0)} speed={e.capacity_factor:.2f} "
            f"ms={e.latency / 1e6:.0f} ok={e.success_ratio:.2f}"
            for n, e in ((n, planner.endpoints[n]) for n in named)
        }
        now = planner.now
        heard = [
            e
            for e in planner.endpoints.values()
            if e.last_report_at and now - e.last_report_at <= 2 * planner.report_span
        ]
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.log.info(
            "beliefs",
            proxies=len(planner.flow_control.proxies),
            slices=len(planner.slices),
            levels=planner.published_levels,
            allow=None if planner.admitted_rate_limit == float("inf") else round(planner.admitted_rate_limit, 1),
            best=round(planner.best_throughput, 1),
            demand=round(sum(p.load for p in planner.slices.values()), 1),
            answered=round(sum(e.answer_rate for e in heard), 1),
            heard=len(heard),
            span_s=round(planner.report_span / 1e9, 1),
            flights=len(planner.flow_control.in_flight),
            waiting=len(pilot.orders.waiting),
            dirty=len(planner.unpublished),
            reports=self.reports,
            steps=self.steps,
            longest_ms=self.longest // 1_000_000,
            calls=pilot.calls.made,
            unknown=pilot.calls.unknown,
            callers=len(pilot.door.callers),
            endpoints=len(planner.endpoints),
            cpu_s=round(usage.ru_utime + usage.ru_stime, 2),
            peak_mb=usage.ru_maxrss // 1024,
            servers=servers,
        )
        self.reports = self.steps = self.longest = 0
