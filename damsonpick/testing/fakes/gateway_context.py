"""Objects that all gateways of a process share: clock, records, request classes, and the network between zones."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from damsonpick.runtime.clock import Clock
from damsonpick.testing.fakes.record import Recorder


class TrafficClass(NamedTuple):
    """A request class with the settings that clients and gateways use. Times are in ns."""

    name: str
    latency_objective: int
    deadline: int
    effect: str


@dataclass(slots=True)
class Network:
    """Connectivity between zones, and from gateways to the pilot.

    Attributes:
        pilot_zone: Zone of the pilot.
        isolated_zones: Zones without a connection to any other zone.
        isolated_gateways: Names of gateways that cannot reach the pilot.
    """

    pilot_zone: str = ""
    isolated_zones: set[str] = field(default_factory=set)
    isolated_gateways: set[str] = field(default_factory=set)

    def connects(self, zone: str, other: str) -> bool:
        """Return whether two zones can reach each other."""
        return zone == other or (zone not in self.isolated_zones and other not in self.isolated_zones)

    def reaches_pilot(self, gateway: str, zone: str) -> bool:
        """Return whether a gateway in a zone can reach the pilot."""
        return gateway not in self.isolated_gateways and self.connects(zone, self.pilot_zone)


@dataclass(frozen=True, slots=True)
class GatewayContext:
    """The objects that each gateway of a process receives.

    Attributes:
        clock: Clock of the scenario.
        record: Recorder of what the gateways observe.
        network: Connectivity. It may change at any time.
        classes: Request classes by name.
    """

    clock: Clock
    record: Recorder
    network: Network
    classes: dict[str, TrafficClass]
