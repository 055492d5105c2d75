"""The published state as xDS resources, each serialized once for all gateways.

A resource's version is the hash of its content (XXH3, 64 bits, over protobuf's deterministic form), so a
gateway that rejoins, even after a restart of the pilot, is sent only what differs. Chunks are ready-made
fields of a response: a response to any gateway is a concatenation of chunks (protobuf's rule that the
parse of joined messages is their merge), so cost grows with what is sent, not with the table.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

import xxhash
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import health_check_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.type.v3 import percent_pb2
from google.protobuf import any_pb2

from damsonpick.protocols.xds.names import CDS, CLASS_HEADER, CLUSTER_HEADER, EDS, RDS, ZONE_HEADER, slice_of
from damsonpick.settings.model import PilotSettings
from damsonpick.state.published_tables import FLEET, ROUTES, PublishedTables

WEIGHT = 1000  # xDS weights are whole numbers: one line of weight 1 is this many
MILLION = 1_000_000
POLICIES = {
    "pair": cluster_pb2.Cluster.LEAST_REQUEST,
    "wheel": cluster_pb2.Cluster.ROUND_ROBIN,
    "lottery": cluster_pb2.Cluster.RANDOM,
}
# Retry modes as route policy: proof that nothing ran is a refused connection or a refused stream.
NEVER_RAN = "connect-failure,refused-stream"
ANY_FAILURE = NEVER_RAN + ",5xx,reset"
RETRIES = {0: ("", 0), 1: (NEVER_RAN, 1), 2: (ANY_FAILURE, 1), 3: (ANY_FAILURE, 2)}


def kind_of(unit: str) -> str:
    """The type of the resource that carries a unit."""
    return RDS if unit == ROUTES else EDS


class Resource(NamedTuple):
    version: str
    delta: bytes  # a DeltaDiscoveryResponse with nothing but this resource
    sotw: bytes  # a DiscoveryResponse with nothing but this resource


class Catalogue:
    """Every resource by type and name, kept in step with the published state.

    Args:
        published: the state.
        settings: classes, strikes, pick.
        zone_of: the zone of an endpoint, '' if unknown.
    """

    def __init__(self, published: PublishedTables, settings: PilotSettings, zone_of: Callable[[str], str]) -> None:
        self.published, self.settings, self.zone_of = published, settings, zone_of
        self.by: dict[str, dict[str, Resource]] = {CDS: {}, EDS: {}, RDS: {}}
        self.stopped: dict[str, str] = {}  # resource: a version that too many gateways refused
        for unit in published.units():
            if unit != ROUTES:
                self._put(CDS, unit, self._cluster(unit))
        self.refresh(published.units())

    def refresh(self, units: Iterable[str]) -> list[tuple[str, str]]:
        """Build anew what these units are; returns (type, name) of those whose content did change."""
        return [place for place in map(self._build, units) if place]

    def _build(self, unit: str) -> tuple[str, str] | None:
        kind = kind_of(unit)
        return (kind, unit) if self._put(kind, unit, self._content(unit)) else None

    def _content(self, unit: str) -> object:
        if unit == ROUTES:
            return self._routes()
        return self._fleet() if unit == FLEET else self._slice(slice_of(unit))

    def _put(self, kind: str, name: str, message: object) -> bool:
        body = message.SerializeToString(deterministic=True)
        version = xxhash.xxh3_64_hexdigest(body)
        had = self.by[kind].get(name)
        if had is not None and had.version == version:
            return False
        packed = any_pb2.Any(type_url=kind, value=body)
        one = discovery_pb2.Resource(name=name, version=version, resource=packed)
        self.by[kind][name] = Resource(
            version,
            discovery_pb2.DeltaDiscoveryResponse(resources=[one]).SerializeToString(),
            discovery_pb2.DiscoveryResponse(resources=[packed]).SerializeToString(),
        )
        return True

    def versions(self, units: Iterable[str]) -> dict[str, str]:
        """Version by unit."""
        return {unit: self.by[kind_of(unit)][unit].version for unit in units}

    def get(self, kind: str, name: str) -> Resource | None:
        return self.by[kind].get(name)

    # -- the messages

    def _cluster(self, name: str) -> cluster_pb2.Cluster:
        tables = self.settings.tables
        cluster = cluster_pb2.Cluster(
            name=name, type=cluster_pb2.Cluster.EDS, lb_policy=POLICIES[tables.balancing_policy]
        )
        cluster.eds_cluster_config.service_name = name
        cluster.eds_cluster_config.eds_config.ads.SetInParent()
        cluster.lrs_server.self.SetInParent()
        if tables.balancing_policy == "pair":
            cluster.least_request_lb_config.choice_count.value = 2
        if tables.ejection_failures:
            cluster.outlier_detection.consecutive_5xx.value = tables.ejection_failures
        return cluster

    def _drops(self, assignment: endpoint_pb2.ClusterLoadAssignment, table: int | None) -> None:
        for k, name in enumerate(self.published.classes):
            level = self.published.levels.get((table, k), 1.0)
            if level < 1:
                drop = assignment.policy.drop_overloads.add(category=name)
                drop.drop_percentage.numerator = round((1 - max(0.0, level)) * MILLION)
                drop.drop_percentage.denominator = percent_pb2.FractionalPercent.MILLION

    def _localities(self, assignment: endpoint_pb2.ClusterLoadAssignment, lines: dict[str, float], health: int) -> None:
        zones: dict[str, list[str]] = {}
        for name in sorted(lines):
            zones.setdefault(self.zone_of(name), []).append(name)
        for zone, names in sorted(zones.items()):
            place = assignment.endpoints.add()
            place.locality.zone = zone
            for name in names:
                host, _, port = name.rpartition(":")
                line = place.lb_endpoints.add(health_status=health)
                line.endpoint.address.socket_address.address = host.strip("[]")
                line.endpoint.address.socket_address.port_value = int(port)
                line.load_balancing_weight.value = max(1, round(lines[name] * WEIGHT))
            place.load_balancing_weight.value = sum(e.load_balancing_weight.value for e in place.lb_endpoints)

    def _slice(self, number: int) -> endpoint_pb2.ClusterLoadAssignment:
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=f"slice/{number}")
        self._localities(assignment, self.published.tables[number], health_check_pb2.UNKNOWN)
        self._drops(assignment, number)
        return assignment

    def _fleet(self) -> endpoint_pb2.ClusterLoadAssignment:
        """Withdrawals and fleet-wide levels: one shared resource, one line an endpoint."""
        assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=FLEET)
        self._localities(assignment, dict.fromkeys(self.published.withdrawn, 1.0), health_check_pb2.DRAINING)
        self._drops(assignment, None)
        return assignment

    def _routes(self) -> route_pb2.RouteConfiguration:
        config = route_pb2.RouteConfiguration(name=ROUTES)
        host = config.virtual_hosts.add(name="all", domains=["*"])
        order = sorted(self.published.retries.items(), key=lambda i: (i[0][0] is None, i[0]))
        said = {place[1] for place in self.published.retries if place[0] is None}
        order += [((None, k), 0) for k in range(len(self.published.classes)) if k not in said]
        for (table, k), mode in order:
            if self.settings.tables.slices:
                host.routes.append(self._route(table, k, mode))
                continue
            for place, zone in enumerate(self.settings.pilot.zones):  # no slices: zone and class name the table
                number = place * len(self.published.classes) + k
                if table in (None, number):
                    route = self._route(None, k, mode)
                    route.name += f"/{zone}"
                    route.match.headers.add(name=ZONE_HEADER).string_match.exact = zone
                    route.route.cluster = f"slice/{number}"
                    host.routes.append(route)
        return config

    def _route(self, table: int | None, k: int, mode: int) -> route_components_pb2.Route:
        name = self.published.classes[k]
        route = route_components_pb2.Route(name=f"{name}" if table is None else f"{name}/{table}")
        route.match.prefix = "/"
        match = route.match.headers.add(name=CLASS_HEADER)
        match.string_match.exact = name
        if table is not None:
            own = route.match.headers.add(name=CLUSTER_HEADER)
            own.string_match.exact = f"slice/{table}"
        route.route.cluster_header = CLUSTER_HEADER
        kind = self.settings.classes[name]
        route.route.timeout.FromNanoseconds(kind.deadline)
        conditions, times = RETRIES.get(mode, RETRIES[0])
        policy = route.route.retry_policy
        policy.retry_on = conditions
        policy.num_retries.value = times
        if mode >= 2:
            attempt_timeout = self.settings.tables.attempt_timeout_objectives * kind.latency_objective
            policy.per_try_timeout.FromNanoseconds(int(attempt_timeout))
        return route
