"""Rule: a connected gateway stops sending requests to a draining or departed server within the drain grace.

The grace starts when the pilot learns that the server is draining or gone. If the gateway connects later, the grace
starts when the gateway connects.
"""

from __future__ import annotations

from damsonpick.testing.rules.limits import Limits
from damsonpick.testing.rules.listed_servers import ListedServers
from damsonpick.testing.rules.observed import ObservedFleet
from damsonpick.testing.rules.records import RequestSent, StreamChanged
from damsonpick.testing.rules.result import Breach, RuleResult
from damsonpick.time_units import NS_PER_SECOND


class DrainsRule:
    """Measures how long gateways keep sending requests to a draining or departed server, and records breaches."""

    def __init__(self, limits: Limits, fleet: ObservedFleet, listed: ListedServers) -> None:
        """Check the requests of the gateways in `fleet`; `listed` states which servers are draining or gone."""
        self.limits, self.fleet, self.listed = limits, fleet, listed
        self.result = RuleResult("drains kept", limits.drain_grace_ns / NS_PER_SECOND, "s")

    def on_leaving(self, servers: list[str]) -> None:
        """Count one test per connected gateway and server, as each gateway must learn of each server."""
        self.result.tested += len(servers) * self.fleet.connected_gateways()

    def on_stream(self, record: StreamChanged) -> None:
        """When a stream opens, count one test per draining or departed server, as the gateway must learn of each."""
        if record.is_open:
            self.result.tested += len(self.listed.leaving_since)

    def on_request_sent(self, record: RequestSent) -> None:
        """Measure how long after the start of the grace a gateway sent a request to a draining or departed server.

        A request sent after the end of the grace is a breach.
        """
        leaving_since = self.listed.leaving_since.get(record.server)
        connected_ns = self.fleet.gateway(record.gateway).connected_ns
        if leaving_since is None or not connected_ns:
            return
        late_s = (record.time_ns - max(leaving_since, connected_ns)) / NS_PER_SECOND
        self.result.observe(max(0.0, late_s))
        if late_s > self.limits.drain_grace_ns / NS_PER_SECOND:
            text = f"sent {late_s:.2f} s after the pilot learned that the server is draining or gone"
            breach = Breach(record.time_ns, text, record.gateway, record.slice_number, record.server)
            self.result.breaches.append(breach)
