"""Type URLs and resource names of the xDS front."""

from __future__ import annotations

CDS = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
EDS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
RDS = "type.googleapis.com/envoy.config.route.v3.RouteConfiguration"
ORDER = (CDS, EDS, RDS)  # clusters are made before their endpoints, endpoints before the routes to them
SHORT = {CDS: "CDS", EDS: "EDS", RDS: "RDS"}
ADS_SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
LRS_SERVICE = "envoy.service.load_stats.v3.LoadReportingService"
CLASS_HEADER, CLUSTER_HEADER, ZONE_HEADER = "x-damson-class", "x-damson-cluster", "x-damson-zone"


def slice_of(cluster: str) -> int:
    """The number of 'slice/17', or -1."""
    head, _, number = cluster.partition("/")
    return int(number) if head == "slice" and number.isdigit() and len(number) < 7 else -1
