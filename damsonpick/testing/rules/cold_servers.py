"""Rule: no cold server is offered more work than makes it fall over, by gateways that can know that it is cold."""

from __future__ import annotations

from damsonpick.testing.rules.limits import Limits
from damsonpick.testing.rules.listed_servers import ListedServers
from damsonpick.testing.rules.observed import ObservedFleet, ObservedServer, ReceivedWork
from damsonpick.testing.rules.records import RequestReceived, RequestSent
from damsonpick.testing.rules.result import Breach, RuleResult
from damsonpick.time_units import NS_PER_MS, NS_PER_SECOND

CHANCE_WORK_MS = 1500.0  # work that may come above the limit by chance: a few requests at once


class ColdServersRule:
    """Sums the work that cold servers receive."""

    def __init__(self, limits: Limits, fleet: ObservedFleet, listed: ListedServers) -> None:
        """Check the servers of `fleet`; `listed` tells when a start became known."""
        self.limits, self.fleet, self.listed = limits, fleet, listed
        self.result = RuleResult("no cold server pushed over", 1.0, "of the limit")
        self._sender: dict[str, str] = {}  # request: gateway that sent it last

    def on_request_sent(self, record: RequestSent) -> None:
        """Remember which gateway sent a request."""
        self._sender[record.request_id] = record.gateway

    def on_request_received(self, record: RequestReceived) -> None:
        """Check the work of the last overload window, if most of it came from informed gateways."""
        server = self.fleet.servers.get(record.server)
        if server is None or server.warm_share(record.time_ns) >= 1:
            return
        self._add_work(record, server)
        work_ms = sum(work.work_ms for work in server.recent_work)
        informed_ms = sum(work.work_ms for work in server.recent_work if work.informed)
        limit_ms = self._limit_ms(server, record.time_ns)
        if 3 * informed_ms < 2 * work_ms:
            return
        self.result.observe(work_ms / limit_ms)
        if work_ms > limit_ms:
            window_s = self.limits.overload_window_ns / NS_PER_SECOND
            text = f"{work_ms:.0f} ms of work within {window_s:g} s, it stands {limit_ms:.0f}"
            breach = Breach(record.time_ns, text, slice_number=record.slice_number, server=record.server)
            self.result.breaches.append(breach)

    def _add_work(self, record: RequestReceived, server: ObservedServer) -> None:
        server.recent_work.append(ReceivedWork(record.time_ns, record.work_ms, self._informed(record, server)))
        while server.recent_work[0].time_ns < record.time_ns - self.limits.overload_window_ns:
            server.recent_work.popleft()

    def _limit_ms(self, server: ObservedServer, now: int) -> float:
        """Work within the overload window that a server stands, ms."""
        rate = self.limits.overload_multiple * server.start.capacity * server.warm_share(now)
        return rate * self.limits.overload_window_ns / NS_PER_MS + CHANCE_WORK_MS

    def _informed(self, record: RequestReceived, server: ObservedServer) -> bool:
        """Whether the sender acted on a response sent with knowledge of the start, or the grace had passed."""
        known_since = self.listed.start_known_since.get((record.server, server.start.started_ns))
        sender = self._sender.get(record.request_id)
        if known_since is None or sender is None:
            return False
        if self.fleet.gateway(sender).last_response_ns >= known_since:
            return True
        return record.time_ns >= known_since + self.limits.drain_grace_ns
