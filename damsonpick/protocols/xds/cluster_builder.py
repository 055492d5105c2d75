"""Builds the xDS clusters, which define how clients balance load within a table. Pure functions."""

from __future__ import annotations

from envoy.config.cluster.v3 import cluster_pb2

from damsonpick.settings.model import Tables

XDS_POLICIES = {  # by the value of the balancing_policy setting
    "pair": cluster_pb2.Cluster.LEAST_REQUEST,
    "wheel": cluster_pb2.Cluster.ROUND_ROBIN,
    "lottery": cluster_pb2.Cluster.RANDOM,
}
LEAST_REQUEST_SETTING = "pair"
LEAST_REQUEST_CHOICES = 2  # endpoints that a client compares for each request


def build_cluster(name: str, tables: Tables) -> cluster_pb2.Cluster:
    """Build the cluster of a unit.

    Args:
        name: Name of the unit and of its resources.
        tables: Settings for load balancing and outlier ejection.
    """
    policy = XDS_POLICIES[tables.balancing_policy]
    cluster = cluster_pb2.Cluster(name=name, type=cluster_pb2.Cluster.EDS, lb_policy=policy)
    cluster.eds_cluster_config.service_name = name
    cluster.eds_cluster_config.eds_config.ads.SetInParent()
    cluster.lrs_server.self.SetInParent()
    if tables.balancing_policy == LEAST_REQUEST_SETTING:
        cluster.least_request_lb_config.choice_count.value = LEAST_REQUEST_CHOICES
    if tables.ejection_failures:
        cluster.outlier_detection.consecutive_5xx.value = tables.ejection_failures
    return cluster
