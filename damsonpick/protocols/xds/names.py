"""Type URLs, resource names and header names of the xDS protocol."""

from __future__ import annotations

CDS = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
RDS = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
SEND_ORDER = (CDS, EDS, RDS)  # clusters are made before their endpoints, endpoints before the routes to them
SHORT_NAMES = {CDS: "CDS", EDS: "EDS", RDS: "RDS"}
ADS_SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
LRS_SERVICE = "envoy.service.load_stats.v3.LoadReportingService"
CLASS_HEADER = "x-damson-class"
CLUSTER_HEADER = "x-damson-cluster"
ZONE_HEADER = "x-damson-zone"
SLICE_PREFIX = "slice"
MAX_SLICE_DIGITS = 6


def slice_of(cluster: str) -> int:
    """The slice of a cluster such as 'slice/17'; -1 if the cluster is no slice's."""
    prefix, _, number = cluster.partition("/")
    if prefix != SLICE_PREFIX or not number.isdecimal() or len(number) > MAX_SLICE_DIGITS:
        return -1
    return int(number)
