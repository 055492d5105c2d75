"""Type URLs, resource names and header names of the xDS protocol."""

from __future__ import annotations

CDS = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
RDS = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
SEND_ORDER = (CDS, EDS, RDS)  # a client needs a cluster before its endpoints, and endpoints before the routes to them
SHORT_NAMES = {CDS: "CDS", EDS: "EDS", RDS: "RDS"}
ADS_SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
LRS_SERVICE = "envoy.service.load_stats.v3.LoadReportingService"
CLASS_HEADER = "x-damson-class"
CLUSTER_HEADER = "x-damson-cluster"
ZONE_HEADER = "x-damson-zone"
SLICE_PREFIX = "slice"
MAX_SLICE_DIGITS = 6  # a cluster name with more digits is not the name of a slice


def slice_of(cluster: str) -> int:
    """Return the slice number of a cluster name such as 'slice/17', or -1 if the cluster does not represent a slice."""
    prefix, _, number = cluster.partition("/")
    if prefix != SLICE_PREFIX or not number.isdecimal() or len(number) > MAX_SLICE_DIGITS:
        return -1
    return int(number)
