"""The published state as xDS resources, each serialized once for all clients.

A resource's version is the hash of its content (XXH3, 64 bits, over protobuf's deterministic form), so a client that
rejoins, even after a restart of the control service, is sent only what differs. A resource is kept as a serialized
field of a response: a response is a concatenation of such fields (protobuf parses joined messages as their merge), so
its cost grows with what is sent, not with the whole state.
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


def type_of(unit: str) -> str:
    """The type of the resource that carries a unit."""
    return RDS if unit == ROUTES else EDS


class Resource(NamedTuple):
    """One version of a resource.

    Attributes:
        version: the hash of its content, 16 hex digits.
        delta: a serialized DeltaDiscoveryResponse with this resource alone.
        sotw: a serialized DiscoveryResponse with this resource alone.
    """

    version: str
    delta: bytes
    sotw: bytes


class Catalogue:
    """All resources, kept in step with the published state.

    Attributes:
        by_type: resources by type URL and name.
        stopped: by resource, a version whose rollout was stopped as too many clients rejected it.
    """

    def __init__(self, published: PublishedTables, settings: PilotSettings, zone_of: Callable[[str], str]) -> None:
        """Build the resources of the whole state.

        Args:
            published: the state.
            settings: of the control service.
            zone_of: the zone of an endpoint, '' if unknown.
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
        """Build the resources of units that may have changed."""
        for unit in units:
            self._put(type_of(unit), unit, self._build(unit))

    def versions(self, units: Iterable[str]) -> dict[str, str]:
        """Version by unit."""
        return {unit: self.by_type[type_of(unit)][unit].version for unit in units}

    def get(self, type_url: str, name: str) -> Resource | None:
        """A resource, if there is one."""
        return self.by_type[type_url].get(name)

    def _build(self, unit: str) -> Message:
        if unit == ROUTES:
            return self._routes.build()
        if unit == FLEET:
            return self._assignments.build_fleet()
        return self._assignments.build_slice(slice_of(unit))

    def _put(self, type_url: str, name: str, message: Message) -> None:
        """Store a resource, unless its content is the same as before."""
        body = message.SerializeToString(deterministic=True)
        version = xxhash.xxh3_64_hexdigest(body)
        former = self.by_type[type_url].get(name)
        if former is not None and former.version == version:
            return
        packed = any_pb2.Any(type_url=type_url, value=body)
        named = discovery_pb2.Resource(name=name, version=version, resource=packed)
        self.by_type[type_url][name] = Resource(
            version=version,
            delta=discovery_pb2.DeltaDiscoveryResponse(resources=[named]).SerializeToString(),
            sotw=discovery_pb2.DiscoveryResponse(resources=[packed]).SerializeToString(),
        )
