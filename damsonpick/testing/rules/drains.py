"""Rule: a connected gateway sends nothing to a server that the pilot has known as draining or gone for the grace."""

from __future__ import annotations

from damsonpick.testing.rules.limits import Limits
from damsonpick.testing.rules.listed_servers import ListedServers
from damsonpick.testing.rules.observed import ObservedFleet
from damsonpick.testing.rules.records import RequestSent, StreamChanged
from damsonpick.testing.rules.result import Breach, RuleResult
from damsonpick.time_units import NS_PER_SECOND


class DrainsRule:
    """Measures how long requests go on after a drain or a departure is known."""

    def __init__(self, limits: Limits, fleet: ObservedFleet, listed: ListedServers) -> None:
        """Check requests of `fleet` against the departures in `listed`."""
        self.limits, self.fleet, self.listed = limits, fleet, listed
        self.result = RuleResult("drains kept", limits.drain_grace_ns / NS_PER_SECOND, "s")

    def on_leaving(self, servers: list[str]) -> None:
        """Each connected gateway must learn of each server that has begun to leave."""
        self.result.tested += len(servers) * self.fleet.connected_gateways()

    def on_stream(self, record: StreamChanged) -> None:
        """A gateway that connects must learn of all servers that are leaving or gone."""
        if record.is_open:
            self.result.tested += len(self.listed.leaving_since)

    def on_request_sent(self, record: RequestSent) -> None:
        """Measure how late a request to a leaving server is."""
        leaving_since = self.listed.leaving_since.get(record.server)
        connected_ns = self.fleet.gateway(record.gateway).connected_ns
        if leaving_since is None or not connected_ns:
            return
        late_s = (record.time_ns - max(leaving_since, connected_ns)) / NS_PER_SECOND
        self.result.observe(max(0.0, late_s))
        if late_s > self.limits.drain_grace_ns / NS_PER_SECOND:
            text = f"sent {late_s:.2f} s after the pilot knew that it drains or is gone"
            breach = Breach(record.time_ns, text, record.gateway, record.slice_number, record.server)
            self.result.breaches.append(breach)
