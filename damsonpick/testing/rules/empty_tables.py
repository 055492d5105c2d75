"""Rule: no connected gateway has a slice without a usable server for longer than the limit.

When the endpoint list has a warm server again, the measurement of every empty slice starts anew. The empty time is
checked when the slice gets a usable server and at the end of the records. It counts as 0 if the list has no warm server
at that time.
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
    """Measures how long slices have no usable server, and records times above the limit as breaches."""

    def __init__(self, limits: Limits, fleet: ObservedFleet, listed: ListedServers) -> None:
        """Check the gateways of `fleet`; `listed` states whether the list has a warm server."""
        self.limits, self.fleet, self.listed = limits, fleet, listed
        self.result = RuleResult("nobody left without a server", limits.empty_table_ns / NS_PER_SECOND, "s")

    def on_stream(self, record: StreamChanged) -> None:
        """Check all slices of a gateway when its stream opens."""
        if record.is_open:
            self._check_slices(record.time_ns, record.gateway, range(self.limits.slice_count))

    def on_response(self, record: ResponseRead) -> None:
        """Check the slices that a response may have changed. If it contains the withdrawn servers, check all slices.

        A response counts only if it is an accepted endpoint response of a connected gateway.
        """
        if not record.is_endpoints or not self.fleet.gateway(record.gateway).connected_ns:
            return
        if record.withdrawn is not None:
            changed_slices: Iterable[int] = range(self.limits.slice_count)
        else:
            changed_slices = [*record.tables, *record.removed_slices]
        self._check_slices(record.time_ns, record.gateway, changed_slices)

    def on_warm_server(self, now: int) -> None:
        """Restart the time measurement of each empty slice, because the list has a warm server again."""
        for gateway in self.fleet.gateways.values():
            gateway.empty_since = dict.fromkeys(gateway.empty_since, now)

    def finish(self, now: int) -> None:
        """Check the slices that are still empty at the end of the records."""
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
            text = f"slice {slice_number} had no usable server for {empty_s:.2f} s"
            self.result.breaches.append(Breach(now, text, gateway=name, slice_number=slice_number))
