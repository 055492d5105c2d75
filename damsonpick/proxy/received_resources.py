"""Parses xDS resources into the tables and routes that the proxy uses. Pure functions."""

from __future__ import annotations

from typing import NamedTuple

from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2

from damsonpick.protocols.xds.names import CLASS_HEADER, CLUSTER_HEADER, ZONE_HEADER
from damsonpick.proxy.retry_policy import PublishedRetries

PERCENTAGE_DENOMINATORS = (100, 10_000, 1_000_000)  # indexed by FractionalPercent.DenominatorType


class ReceivedResource(NamedTuple):
    """One resource of a response, with its serialized body."""

    name: str
    version: str
    body: bytes


class ReceivedEntry(NamedTuple):
    """Weight and zone of one endpoint in a table."""

    weight: int
    zone: str


class ReceivedTable(NamedTuple):
    """The table of one cluster, parsed from a load assignment.

    Attributes:
        entries: Table entries by endpoint.
        levels: Admission level by class, from 0 to 1. A missing class has level 1.
    """

    entries: dict[str, ReceivedEntry]
    levels: dict[str, float]


class ReceivedRoutes(NamedTuple):
    """The parsed route configuration.

    Attributes:
        retries: Published retries by class and cluster. The cluster '' stands for all clusters.
        clusters: Cluster by class and zone, for a deployment without slices.
        attempt_timeouts: Timeout in ns of an attempt that a retry may follow, by class and cluster as in `retries`.
            Only published timeouts are included.
    """

    retries: dict[tuple[str, str], PublishedRetries]
    clusters: dict[tuple[str, str], str]
    attempt_timeouts: dict[tuple[str, str], int]


def parse_table(body: bytes) -> ReceivedTable:
    """Parse a serialized ClusterLoadAssignment.

    Raises:
        DecodeError: The body is not a ClusterLoadAssignment.
    """
    assignment = endpoint_pb2.ClusterLoadAssignment.FromString(body)
    entries = {}
    for locality in assignment.endpoints:
        zone = locality.locality.zone
        by_weight: dict[int, ReceivedEntry] = {}  # equal entries share one object, because tables are large
        for entry in locality.lb_endpoints:
            address = entry.endpoint.address.socket_address
            weight = entry.load_balancing_weight.value
            if weight not in by_weight:
                by_weight[weight] = ReceivedEntry(weight, zone)
            entries[f"{address.address}:{address.port_value}"] = by_weight[weight]
    levels = {}
    for drop in assignment.policy.drop_overloads:
        denominator = PERCENTAGE_DENOMINATORS[drop.drop_percentage.denominator]
        levels[drop.category] = 1 - drop.drop_percentage.numerator / denominator
    return ReceivedTable(entries, levels)


def parse_routes(body: bytes) -> ReceivedRoutes:
    """Parse a serialized RouteConfiguration.

    Raises:
        DecodeError: The body is not a RouteConfiguration.
    """
    routes = ReceivedRoutes({}, {}, {})
    for host in route_pb2.RouteConfiguration.FromString(body).virtual_hosts:
        for route in host.routes:
            _add_route(route, routes)
    return routes


def _add_route(route: route_components_pb2.Route, routes: ReceivedRoutes) -> None:
    headers = {header.name: header.string_match.exact for header in route.match.headers}
    request_class = headers.get(CLASS_HEADER, "")
    cluster = headers.get(CLUSTER_HEADER, "") or route.route.cluster
    policy = route.route.retry_policy
    routes.retries[request_class, cluster] = PublishedRetries(policy.retry_on, policy.num_retries.value)
    attempt_timeout = policy.per_try_timeout.ToNanoseconds()
    if attempt_timeout > 0:
        routes.attempt_timeouts[request_class, cluster] = attempt_timeout
    if ZONE_HEADER in headers:
        routes.clusters[request_class, headers[ZONE_HEADER]] = cluster
