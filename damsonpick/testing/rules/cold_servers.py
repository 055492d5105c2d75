"""Rule: gateways that can know that a server is cold do not send it so much work that it crashes."""

from __future__ import annotations

from damsonpick.testing.rules.limits import Limits
from damsonpick.testing.rules.listed_servers import ListedServers
from damsonpick.testing.rules.observed import ObservedFleet, ObservedServer, ReceivedWork
from damsonpick.testing.rules.records import RequestReceived, RequestSent
from damsonpick.testing.rules.result import Breach, RuleResult
from damsonpick.time_units import NS_PER_MS, NS_PER_SECOND

BURST_ALLOWANCE_MS = 1500.0  # work added to the limit, because a few requests can arrive at once by chance


class ColdServersRule:
    """Compares the work that a cold server receives within the overload window with the work at which it crashes."""

    def __init__(self, limits: Limits, fleet: ObservedFleet, listed: ListedServers) -> None:
        """Check the servers of `fleet`; `listed` provides the time at which the pilot learned of each server start."""
        self.limits, self.fleet, self.listed = limits, fleet, listed
        self.result = RuleResult("no cold server pushed over", 1.0, "of the limit")
        self._last_sender: dict[str, str] = {}  # gateway that sent the request last, by request ID

    def on_request_sent(self, record: RequestSent) -> None:
        """Store which gateway sent the request."""
        self._last_sender[record.request_id] = record.gateway

    def on_request_received(self, record: RequestReceived) -> None:
        """Check the work that a cold server received within the overload window that ends now.

        The check applies only if informed gateways sent at least two thirds of this work. A gateway is informed if it
        could know of the server's start.
        """
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
            text = f"{work_ms:.0f} ms of work within {window_s:g} s, the limit is {limit_ms:.0f} ms"
            breach = Breach(record.time_ns, text, slice_number=record.slice_number, server=record.server)
            self.result.breaches.append(breach)

    def _add_work(self, record: RequestReceived, server: ObservedServer) -> None:
        server.recent_work.append(ReceivedWork(record.time_ns, record.work_ms, self._sender_informed(record, server)))
        while server.recent_work[0].time_ns < record.time_ns - self.limits.overload_window_ns:
            server.recent_work.popleft()

    def _limit_ms(self, server: ObservedServer, now: int) -> float:
        """Return the work in ms that a server can receive within the overload window without crashing."""
        rate = self.limits.overload_multiple * server.start.capacity * server.warm_share(now)
        return rate * self.limits.overload_window_ns / NS_PER_MS + BURST_ALLOWANCE_MS

    def _sender_informed(self, record: RequestReceived, server: ObservedServer) -> bool:
        """Return whether the gateway that sent the request could know of the server's start.

        It could if it has read a response since the pilot learned of the start, or if the drain grace has passed since
        the pilot learned of it. The result is False if the pilot has not learned of the start or the sender is unknown.
        """
        known_since = self.listed.start_known_since.get((record.server, server.start.started_ns))
        sender = self._last_sender.get(record.request_id)
        if known_since is None or sender is None:
            return False
        if self.fleet.gateway(sender).last_response_ns >= known_since:
            return True
        return record.time_ns >= known_since + self.limits.drain_grace_ns
