"""The published state as xDS resources, each serialized once for all clients.

The version of a resource is the hash of its content (64-bit XXH3 over protobuf's deterministic serialization). A client
of the delta variant that rejoins, even after a restart of the control service, therefore receives only the resources
that differ. Each resource is stored as a serialized field of a response. A response is a concatenation of such fields,
because protobuf parses concatenated messages as their merge. The cost of a response therefore grows with the data that
is sent, not with the size of the whole state.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

import xxhash
from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2
from google.protobuf.message import Message

from damsonpick.protocols.xds.assignment_builder import AssignmentBuilder
from damsonpick.protocols.xds.cluster_builder import build_cluster
from damsonpick.protocols.xds.names import CDS, EDS, RDS, slice_of
from damsonpick.protocols.xds.route_builder import RouteBuilder
from damsonpick.settings.model import PilotSettings
from damsonpick.state.published_tables import FLEET, ROUTES, PublishedTables


def type_url_of(unit: str) -> str:
    """Return the type URL of the resource that represents a unit."""
    return RDS if unit == ROUTES else EDS


class Resource(NamedTuple):
    """One version of a resource.

    Attributes:
        version: Hash of the content, 16 hex digits.
        delta: Serialized DeltaDiscoveryResponse that contains only this resource.
        sotw: Serialized DiscoveryResponse that contains only this resource.
    """

    version: str
    delta: bytes
    sotw: bytes


class Catalogue:
    """All resources, kept consistent with the published state.

    Attributes:
        by_type: Resources by type URL and name.
        stopped: By resource name, the version whose rollout was stopped because too many clients rejected it.
    """

    def __init__(self, published: PublishedTables, settings: PilotSettings, zone_of: Callable[[str], str]) -> None:
        """Build the resources of the complete published state.

        Args:
            published: The published state.
            settings: Settings of the control service.
            zone_of: Returns the zone of an endpoint, or '' if the zone is unknown.
        """
        self.published = published
        self._assignments = AssignmentBuilder(published, zone_of)
        self._routes = RouteBuilder(published, settings)
        self.by_type: dict[str, dict[str, Resource]] = {CDS: {}, EDS: {}, RDS: {}}
        self.stopped: dict[str, str] = {}
        for unit in published.units():
            if unit != ROUTES:
                self._put(CDS, unit, build_cluster(unit, settings.tables))
        self.refresh(published.units())

    def refresh(self, units: Iterable[str]) -> None:
        """Rebuild the resources of units that may have changed."""
        for unit in units:
            self._put(type_url_of(unit), unit, self._build(unit))

    def versions(self, units: Iterable[str]) -> dict[str, str]:
        """Return the current version of each unit's resource, by unit."""
        return {unit: self.by_type[type_url_of(unit)][unit].version for unit in units}

    def get(self, type_url: str, name: str) -> Resource | None:
        """Return the resource with a type and name, or None if it does not exist."""
        return self.by_type[type_url].get(name)

    def _build(self, unit: str) -> Message:
        if unit == ROUTES:
            return self._routes.build()
        if unit == FLEET:
            return self._assignments.build_fleet()
        return self._assignments.build_slice(slice_of(unit))

    def _put(self, type_url: str, name: str, message: Message) -> None:
        """Serialize and store a resource, unless its content is unchanged."""
        body = message.SerializeToString(deterministic=True)
        version = xxhash.xxh3_64_hexdigest(body)
        stored = self.by_type[type_url].get(name)
        if stored is not None and stored.version == version:
            return
        packed = any_pb2.Any(type_url=type_url, value=body)
        resource_message = discovery_pb2.Resource(name=name, version=version, resource=packed)
        self.by_type[type_url][name] = Resource(
            version=version,
            delta=discovery_pb2.DeltaDiscoveryResponse(resources=[resource_message]).SerializeToString(),
            sotw=discovery_pb2.DiscoveryResponse(resources=[packed]).SerializeToString(),
        )
