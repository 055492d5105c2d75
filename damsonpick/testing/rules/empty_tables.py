"""Rule: no connected gateway has a slice without a usable server for longer than the limit.

Time during which no warm server is listed does not count.
"""

from __future__ import annotations

from collections.abc import Iterable

from damsonpick.testing.rules.limits import Limits
from damsonpick.testing.rules.listed_servers import ListedServers
from damsonpick.testing.rules.observed import ObservedFleet, ObservedGateway
from damsonpick.testing.rules.records import ResponseRead, StreamChanged
from damsonpick.testing.rules.result import Breach, RuleResult
from damsonpick.time_units import NS_PER_SECOND


class EmptyTablesRule:
    """Measures how long slices are without a server."""

    def __init__(self, limits: Limits, fleet: ObservedFleet, listed: ListedServers) -> None:
        """Check `fleet`; `listed` tells whether a warm server exists."""
        self.limits, self.fleet, self.listed = limits, fleet, listed
        self.result = RuleResult("nobody left without a server", limits.empty_table_ns / NS_PER_SECOND, "s")

    def on_stream(self, record: StreamChanged) -> None:
        """From its stream's opening on, a gateway is owed a server for each slice."""
        if record.is_open:
            self._check_slices(record.time_ns, record.gateway, range(self.limits.slice_count))

    def on_response(self, record: ResponseRead) -> None:
        """Check the slices that a response touched."""
        if not record.is_endpoints or not self.fleet.gateway(record.gateway).connected_ns:
            return
        if record.withdrawn is not None:
            touched: Iterable[int] = range(self.limits.slice_count)
        else:
            touched = [*record.tables, *record.removed_slices]
        self._check_slices(record.time_ns, record.gateway, touched)

    def on_warm_server(self, now: int) -> None:
        """A warm server is listed again: time starts anew for each empty slice."""
        for gateway in self.fleet.gateways.values():
            gateway.empty_since = dict.fromkeys(gateway.empty_since, now)

    def finish(self, now: int) -> None:
        """Count what is still empty at the end of the records."""
        for name, gateway in self.fleet.gateways.items():
            for slice_number in list(gateway.empty_since):
                self._check_duration(now, name, gateway, slice_number)

    def _check_slices(self, now: int, name: str, slice_numbers: Iterable[int]) -> None:
        gateway = self.fleet.gateway(name)
        for slice_number in slice_numbers:
            if gateway.has_no_server(slice_number):
                gateway.empty_since.setdefault(slice_number, now)
            elif slice_number in gateway.empty_since:
                self._check_duration(now, name, gateway, slice_number)
                del gateway.empty_since[slice_number]
            else:
                self.result.tested += 1

    def _check_duration(self, now: int, name: str, gateway: ObservedGateway, slice_number: int) -> None:
        empty_ns = now - gateway.empty_since[slice_number] if self.listed.has_warm_server else 0
        empty_s = empty_ns / NS_PER_SECOND
        self.result.observe(empty_s)
        if empty_ns > self.limits.empty_table_ns:
            text = f"slice {slice_number} had no line for {empty_s:.2f} s"
            self.result.breaches.append(Breach(now, text, gateway=name, slice_number=slice_number))
