"""Tests of the limits on what clients of the xDS server may send, with a pilot process."""

from __future__ import annotations

import time

import grpc
import pytest
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from damsonpick.protocols.xds.request_rate import LOAD_REPORT_BURST, LOAD_REPORTS_PER_S, load_report_limit
from tests.pilots import CDS

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
LRS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
FLOOD_S = 20.0


def failure_of(pilot, method, messages):
    """Send messages on one stream and return the error with which the pilot ends it."""
    with grpc.insecure_channel(f"127.0.0.1:{pilot.port}") as channel, pytest.raises(grpc.RpcError) as caught:
        for _ in channel.stream_stream(method)(messages, timeout=FLOOD_S + 10):
            pass
    return caught.value


def load_report(node):
    request = lrs_pb2.LoadStatsRequest()
    request.node.id = node
    return request


def test_a_client_that_sends_load_reports_without_a_pause_is_refused(pilot):
    """Regression (operators, picture b): load reports were taken at any rate, and requests of others waited."""
    sent = 0

    def reports():
        nonlocal sent
        until = time.monotonic() + FLOOD_S
        while time.monotonic() < until:
            sent += 1
            yield load_report("flood").SerializeToString()

    began = time.monotonic()
    error = failure_of(pilot, LRS, reports())
    assert error.code() == grpc.StatusCode.RESOURCE_EXHAUSTED and f"{LOAD_REPORTS_PER_S:g} requests" in error.details()
    assert time.monotonic() - began < FLOOD_S and sent > LOAD_REPORT_BURST
    assert len(pilot.log("stream_rejected")) == 1


@pytest.mark.parametrize(
    ("method", "request_type"), [(ADS, discovery_pb2.DiscoveryRequest), (LRS, lrs_pb2.LoadStatsRequest)]
)
@pytest.mark.parametrize("node", ["", "n" * 257])
def test_a_node_id_that_is_missing_or_too_long_is_refused(pilot, method, request_type, node):
    request = request_type()
    request.node.id = node
    if method == ADS:
        request.type_url = CDS
    error = failure_of(pilot, method, iter([request.SerializeToString()]))
    assert error.code() == grpc.StatusCode.INVALID_ARGUMENT and "node.id" in error.details()


def test_the_limit_on_load_reports_leaves_a_margin_over_a_short_period():
    limit = load_report_limit(10_000_000)
    for number in range(5000):
        limit.count_request(number * 5_000_000)
