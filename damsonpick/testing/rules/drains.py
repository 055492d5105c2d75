"""Rule: a connected gateway sends no request to a server once the drain grace has passed.

The grace starts when the pilot learns that the server is draining or gone, or when the gateway connects if that is
later.
"""

from __future__ import annotations

from damsonpick.testing.rules.limits import Limits
from damsonpick.testing.rules.listed_servers import ListedServers
from damsonpick.testing.rules.observed import ObservedFleet
from damsonpick.testing.rules.records import RequestSent, StreamChanged
from damsonpick.testing.rules.result import Breach, RuleResult
from damsonpick.time_units import NS_PER_SECOND


class DrainsRule:
    """Measures how long gateways keep sending requests after the pilot learned that a server drains or has left."""

    def __init__(self, limits: Limits, fleet: ObservedFleet, listed: ListedServers) -> None:
        """Check the requests of `fleet` against the leaving servers in `listed`."""
        self.limits, self.fleet, self.listed = limits, fleet, listed
        self.result = RuleResult("drains kept", limits.drain_grace_ns / NS_PER_SECOND, "s")

    def on_leaving(self, servers: list[str]) -> None:
        """Count one test per connected gateway and server, as each gateway must learn that the server is leaving."""
        self.result.tested += len(servers) * self.fleet.connected_gateways()

    def on_stream(self, record: StreamChanged) -> None:
        """Count one test per leaving or departed server, as a gateway that connects must learn of all of them."""
        if record.is_open:
            self.result.tested += len(self.listed.leaving_since)

    def on_request_sent(self, record: RequestSent) -> None:
        """Measure the time between a request and the later of the server's leaving and the gateway's connection."""
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
