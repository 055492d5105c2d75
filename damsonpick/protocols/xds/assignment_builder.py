"""Builds the xDS load assignments: table entries, withdrawals and admission levels. Sans I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.type.v3 import percent_pb2

from damsonpick.state.persistent_actions import FULL_LEVEL
from damsonpick.state.published_tables import FLEET, PublishedTables, slice_unit

XDS_WEIGHT_SCALE = 1000  # xDS weight of a table entry with weight 1; xDS weights are integers
MILLION = 1_000_000
WITHDRAWN_WEIGHT = 1.0  # weight of every entry that marks a withdrawal


class AssignmentBuilder:
    """Builds ClusterLoadAssignments from the published state."""

    def __init__(self, published: PublishedTables, zone_of: Callable[[str], str]) -> None:
        """Create a builder for a published state.

        Args:
            published: The published state.
            zone_of: Returns the zone of an endpoint, or '' if the zone is unknown.
        """
        self._published = published
        self._zone_of = zone_of

    def build_slice(self, number: int) -> endpoint_pb2.ClusterLoadAssignment:
        """Build the assignment with the entries and admission levels of a slice."""
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=slice_unit(number))
        self._add_entries(assignment, self._published.tables[number], health_check_pb2.UNKNOWN)
        self._add_drops(assignment, number)
        return assignment

    def build_fleet(self) -> endpoint_pb2.ClusterLoadAssignment:
        """Build the assignment that all clients share: entries of withdrawn endpoints, and fleet-wide admission levels.

        Each withdrawn endpoint has one entry.
        """
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=FLEET)
        withdrawn = dict.fromkeys(self._published.withdrawn, WITHDRAWN_WEIGHT)
        self._add_entries(assignment, withdrawn, health_check_pb2.DRAINING)
        self._add_drops(assignment, None)
        return assignment

    def _add_entries(
        self, assignment: endpoint_pb2.ClusterLoadAssignment, weights: Mapping[str, float], health: int
    ) -> None:
        """Add entries sorted by zone and endpoint name, so that equal content is serialized to equal bytes."""
        endpoints_by_zone: dict[str, list[str]] = {}
        for endpoint in sorted(weights):
            endpoints_by_zone.setdefault(self._zone_of(endpoint), []).append(endpoint)
        for zone, endpoints in sorted(endpoints_by_zone.items()):
            locality = assignment.endpoints.add()
            locality.locality.zone = zone
            for endpoint in endpoints:
                _add_entry(locality, endpoint, weights[endpoint], health)
            total = sum(entry.load_balancing_weight.value for entry in locality.lb_endpoints)
            locality.load_balancing_weight.value = total

    def _add_drops(self, assignment: endpoint_pb2.ClusterLoadAssignment, table: int | None) -> None:
        """Add the share of requests that clients must drop, for each class that is not fully admitted.

        Args:
            assignment: Assignment to which the drop shares are added.
            table: Number of the slice, or None for the whole fleet.
        """
        for class_number, class_name in enumerate(self._published.classes):
            level = self._published.levels.get((table, class_number), FULL_LEVEL)
            if level < FULL_LEVEL:
                drop = assignment.policy.drop_overloads.add(category=class_name)
                drop.drop_percentage.numerator = round((1 - max(0.0, level)) * MILLION)
                drop.drop_percentage.denominator = percent_pb2.FractionalPercent.MILLION


def _add_entry(locality: endpoint_pb2.LocalityLbEndpoints, endpoint: str, weight: float, health: int) -> None:
    host, _, port = endpoint.rpartition(":")
    entry = locality.lb_endpoints.add(health_status=health)
    address = entry.endpoint.address.socket_address
    address.address = host.strip("[]")
    address.port_value = int(port)
    entry.load_balancing_weight.value = max(1, round(weight * XDS_WEIGHT_SCALE))
