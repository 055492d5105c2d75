"""What all gateways of a process share: clock, records, request classes, and the network between zones."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from damsonpick.runtime.clock import Clock
from damsonpick.testing.fakes.record import Recorder


class TrafficClass(NamedTuple):
    """A request class as clients and gateways know it; times in ns."""

    name: str
    latency_objective: int
    deadline: int
    effect: str


@dataclass(slots=True)
class Network:
    """Which zones reach which, and which gateways reach the pilot.

    Attributes:
        pilot_zone: where the pilot is.
        isolated_zones: zones cut off from all others.
        isolated_gateways: gateways that do not reach the pilot.
    """

    pilot_zone: str = ""
    isolated_zones: set[str] = field(default_factory=set)
    isolated_gateways: set[str] = field(default_factory=set)

    def connects(self, zone: str, other: str) -> bool:
        """Whether two zones reach each other."""
        return zone == other or (zone not in self.isolated_zones and other not in self.isolated_zones)

    def reaches_pilot(self, gateway: str, zone: str) -> bool:
        """Whether a gateway in a zone reaches the pilot."""
        return gateway not in self.isolated_gateways and self.connects(zone, self.pilot_zone)


@dataclass(frozen=True, slots=True)
class GatewayContext:
    """What each gateway of a process is given.

    Attributes:
        clock: the scenario's clock.
        record: where records go.
        network: may change at any time.
        classes: request classes by name.
    """

    clock: Clock
    record: Recorder
    network: Network
    classes: dict[str, TrafficClass]
