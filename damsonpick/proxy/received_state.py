"""What a gateway holds: tables, withdrawals, levels and retry modes as its xDS stream brought them. Sans I/O."""

from __future__ import annotations

from typing import NamedTuple

import xxhash
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2

from damsonpick.protocols.xds.names import CDS, EDS, RDS
from damsonpick.state.history import root_statement
from damsonpick.state.history.digest import Digest, names_in_ranges, range_of

DENOMINATORS = (100, 10_000, 1_000_000)


class Table(NamedTuple):
    """One assignment: weight and zone by endpoint, share let in by class."""

    lines: dict[str, tuple[int, str]]
    levels: dict[str, float]


class Bad(Exception):
    """A resource that this gateway will not take."""


def read_table(body: bytes) -> Table:
    assignment = endpoint_pb2.ClusterLoadAssignment.FromString(body)
    lines = {}
    for place in assignment.endpoints:
        for line in place.lb_endpoints:
            at = line.endpoint.address.socket_address
            lines[f"{at.address}:{at.port_value}"] = (line.load_balancing_weight.value, place.locality.zone)
    levels = {
        d.category: 1 - d.drop_percentage.numerator / DENOMINATORS[d.drop_percentage.denominator]
        for d in assignment.policy.drop_overloads
    }
    return Table(lines, levels)


def read_routes(body: bytes) -> tuple[dict[tuple[str, str], tuple[str, int]], dict[tuple[str, str], str]]:
    """(class, cluster or '') to (conditions, further tries); (class, zone) to a cluster where there are no slices."""
    result, clusters = {}, {}
    for host in route_pb2.RouteConfiguration.FromString(body).virtual_hosts:
        for route in host.routes:
            asked = {h.name: h.string_match.exact for h in route.match.headers}
            policy = route.route.retry_policy
            kind, cluster = asked.get("x-damson-class", ""), asked.get("x-damson-cluster", "") or route.route.cluster
            result[kind, cluster] = (policy.retry_on, policy.num_retries.value)
            if "x-damson-zone" in asked:
                clusters[kind, asked["x-damson-zone"]] = cluster
    return result, clusters


class Holdings:
    """Everything held, with the version of each resource by type."""

    def __init__(self) -> None:
        self.versions: dict[str, dict[str, str]] = {CDS: {}, EDS: {}, RDS: {}}
        self.digests: dict[str, Digest] = {CDS: Digest(), EDS: Digest(), RDS: Digest()}
        self.tables: dict[str, Table] = {}
        self.retries: dict[tuple[str, str], tuple[str, int]] = {}
        self.clusters: dict[tuple[str, str], str] = {}
        self.picks: dict[str, int] = {}
        self.strikes = 0
        self.refuse: set[str] = set()  # names that it is told not to take

    def take(
        self,
        kind: str,
        resources: list[tuple[str, str, bytes]],
        removed: list[str],
        said: root_statement.RootStatement | None = None,
    ) -> list[str]:
        """Apply a response as a whole; returns names that went because their range was replaced.

        Raises:
            Bad: a resource or the stated root is not right; then nothing of the response is taken.
        """
        for name, _, _ in resources:
            if name in self.refuse:
                raise Bad(f"{name}: this gateway was told to refuse it")
        lost: list[str] = []
        if said is not None:
            came = {name for name, *_ in resources}
            lost = [n for n in names_in_ranges(self.versions[kind], said.replaces) if n not in came]
            self._check(kind, resources, removed, said)
        for name, version, body in resources:
            self._hold(kind, name, version)
            if kind == EDS:
                self.tables[name] = read_table(body)
            elif kind == RDS:
                self.retries, self.clusters = read_routes(body)
            else:
                cluster = cluster_pb2.Cluster.FromString(body)
                self.picks[name] = cluster.lb_policy
                self.strikes = cluster.outlier_detection.consecutive_5xx.value
        for name in [*removed, *lost]:
            self._hold(kind, name, "")
            if kind == EDS:
                self.tables.pop(name, None)
        return lost

    def begin(self) -> None:
        """A stream of the state-of-the-world variant begins: roots are over what comes on it. Tables stay in force."""
        for kind in self.versions:
            self.versions[kind], self.digests[kind] = {}, Digest()

    def _hold(self, kind: str, name: str, version: str) -> None:
        self.digests[kind].change(name, self.versions[kind].get(name, ""), version)
        if version:
            self.versions[kind][name] = version
        else:
            self.versions[kind].pop(name, None)

    def _check(
        self, kind: str, resources: list[tuple[str, str, bytes]], removed: list[str], said: root_statement.RootStatement
    ) -> None:
        """Whether a delta starts from what is here and ends where it says, and each body is what its version says."""
        for name, version, body in resources:
            if (found := xxhash.xxh3_64_hexdigest(body)) != version:
                raise Bad(f"{name}: the body's hash is {found}, its version says {version}")
        own = self.digests[kind]
        if not said.replaces and own.root() != said.start:
            raise Bad(root_statement.mismatch_text(own.root(), said.start, own.range_sums()))
        have, after = self.versions[kind], own.copy()
        for place in said.replaces:
            after.sums[place] = 0
        replaced = set(said.replaces)
        for name, version in [*((n, v) for n, v, _ in resources), *((n, "") for n in removed)]:
            after.change(name, "" if range_of(name) in replaced else have.get(name, ""), version)
        if after.root() != said.end:
            raise Bad(root_statement.mismatch_text(after.root(), said.end, own.range_sums()))

    def open_lines(self, cluster: str) -> dict[str, tuple[int, str]]:
        """What may be picked for a cluster now."""
        table, fleet = self.tables.get(cluster), self.tables.get("fleet")
        if table is None:
            return {}
        return {n: v for n, v in table.lines.items() if fleet is None or n not in fleet.lines}

    def level(self, cluster: str, kind: str) -> float:
        """Share of a class that is let in, 0 to 1."""
        level = 1.0
        for name in (cluster, "fleet"):
            table = self.tables.get(name)
            if table is not None and kind in table.levels:
                level = min(level, table.levels[kind])
        return level

    def retry(self, cluster: str, kind: str) -> tuple[str, int]:
        return self.retries.get((kind, cluster)) or self.retries.get((kind, ""), ("", 0))


class Asker:
    """The client half of one ADS stream, either variant: what to say at the start and to each response."""

    def __init__(self, holdings: Holdings, node: str, zone: str, delta: bool) -> None:
        self.holdings, self.delta = holdings, delta
        self.node = base_pb2.Node(id=node, user_agent_name="damsonpick stand-in gateway")
        self.node.locality.zone = zone
        self.node.client_features.append(root_statement.CLIENT_FEATURE)
        self.asked: dict[str, list[str]] = {}
        self.accepted: dict[str, str] = {}
        self.nonces: dict[str, str] = {}  # of the last response of a type

    def opening(self, kind: str, names: list[str], version: str = "") -> object:
        """The first request of a type on this stream."""
        self.asked[kind] = names
        if self.delta:
            return discovery_pb2.DeltaDiscoveryRequest(
                node=self.node,
                type_url=kind,
                resource_names_subscribe=names or ["*"],
                initial_resource_versions=self.holdings.versions[kind],
            )
        return discovery_pb2.DiscoveryRequest(node=self.node, type_url=kind, resource_names=names, version_info=version)

    def also(self, kind: str, names: list[str]) -> object:
        """More names of a type that was asked for before."""
        self.asked[kind] = sorted({*self.asked.get(kind, []), *names})
        if self.delta:
            return discovery_pb2.DeltaDiscoveryRequest(type_url=kind, resource_names_subscribe=names)
        return discovery_pb2.DiscoveryRequest(
            type_url=kind,
            resource_names=self.asked[kind],
            response_nonce=self.nonces.get(kind, ""),
            version_info=self.accepted.get(kind, ""),
        )

    def read(self, response: object) -> tuple[str, list[tuple[str, str, bytes]], list[str]]:
        """Type, (name, version, body) of what came, names removed."""
        if self.delta:
            return (
                response.type_url,
                [(r.name, r.version, r.resource.value) for r in response.resources],
                list(response.removed_resources),
            )
        found = []
        for body in response.resources:
            name = {CDS: cluster_pb2.Cluster, RDS: route_pb2.RouteConfiguration}.get(response.type_url)
            named = (
                endpoint_pb2.ClusterLoadAssignment.FromString(body.value).cluster_name
                if name is None
                else name.FromString(body.value).name
            )
            found.append((named, xxhash.xxh3_64_hexdigest(body.value), body.value))
        return response.type_url, found, []

    def stated(self, response: object) -> root_statement.RootStatement | None:
        """What a response says of its roots."""
        return root_statement.parse(response.control_plane.identifier)

    def verdict(self, response: object, bad: str) -> object:
        """ACK, or NACK with what was wrong."""
        kind = response.type_url
        self.nonces[kind] = response.nonce
        if self.delta:
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=kind, response_nonce=response.nonce)
        else:
            if not bad:
                self.accepted[kind] = response.version_info
            request = discovery_pb2.DiscoveryRequest(
                type_url=kind,
                response_nonce=response.nonce,
                resource_names=self.asked.get(kind, []),
                version_info=self.accepted.get(kind, ""),
            )
        if bad:
            request.error_detail.code, request.error_detail.message = 3, bad
        return request
