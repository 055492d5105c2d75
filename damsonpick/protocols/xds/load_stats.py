"""LRS messages to and from the pilot's own sums. Sans I/O.

LRS counts tries and outcomes by cluster, locality and endpoint. It has no latency and no request class, so
both travel as `load_metric_stats`, which the specification leaves to the parties: `latency_ms` by endpoint,
`requests.CLASS` and `failures.CLASS` by locality (zone of the server) within a slice's cluster.
"""

from __future__ import annotations

from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from damsonpick.protocols.xds.names import slice_of
from damsonpick.state.load_reports import ClientReport, EndpointStats, SliceStats

LATENCY, REQUESTS, FAILURES = "latency_ms", "requests.", "failures."
MOST_CLUSTERS = 70_000  # in one report: more than there can be slices
ASKED = "asked"  # locality of what came for a slice, whatever server it went to


def ask_for(every: int) -> lrs_pb2.LoadStatsResponse:
    """What the pilot wants: all clusters, by endpoint, every so many ns."""
    reply = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
    reply.load_reporting_interval.FromNanoseconds(every)
    return reply


def read(gateway: int, zone: str, report: lrs_pb2.LoadStatsRequest) -> ClientReport | None:
    """One report as sums; None if it reports nothing. The longest interval stands for the report."""
    ends: dict[str, list[int]] = {}
    slices: list[SliceStats] = []
    period = 0
    for cluster in report.cluster_stats[:MOST_CLUSTERS]:
        period = max(period, cluster.load_report_interval.ToNanoseconds())
        _endpoints(cluster, ends)
        slices += _slices(cluster)
    if not report.cluster_stats:
        return None
    return ClientReport(gateway, zone, period, tuple(EndpointStats(n, *v) for n, v in ends.items()), tuple(slices))


def _endpoints(cluster: load_report_pb2.ClusterStats, ends: dict[str, list[int]]) -> None:
    for place in cluster.upstream_locality_stats:
        for end in place.upstream_endpoint_stats:
            at = end.address.socket_address
            host = f"[{at.address}]" if ":" in at.address else at.address
            good, bad = end.total_successful_requests, end.total_error_requests
            have = ends.setdefault(f"{host}:{at.port_value}", [0, 0, 0, 0])
            have[0] += good + bad
            have[1] += bad
            for metric in end.load_metric_stats:
                if metric.metric_name == LATENCY and 0 <= metric.total_metric_value < 1e15:
                    have[2] += metric.num_requests_finished_with_metric
                    have[3] += int(metric.total_metric_value * 1e6)


def _slices(cluster: load_report_pb2.ClusterStats) -> list[SliceStats]:
    number = slice_of(cluster.cluster_name)
    if number < 0:
        return []
    came: dict[str, list[int]] = {}
    for place in cluster.upstream_locality_stats:
        for metric in place.load_metric_stats:
            for k, head in enumerate((REQUESTS, FAILURES)):
                if metric.metric_name.startswith(head) and 0 <= metric.total_metric_value < 1e12:
                    have = came.setdefault(metric.metric_name.removeprefix(head), [0, 0])
                    have[k] += int(metric.total_metric_value)
    for drop in cluster.dropped_requests:
        came.setdefault(drop.category, [0, 0])[0] += drop.dropped_count
    return [SliceStats(number, name, *counts) for name, counts in came.items()]


def write(period: int, slices: dict[int, SliceCounts]) -> lrs_pb2.LoadStatsRequest:
    """A gateway's report; the other half of `read`, for stand-ins and the project's own proxy."""
    report = lrs_pb2.LoadStatsRequest()
    for number, counts in sorted(slices.items()):
        cluster = report.cluster_stats.add(cluster_name=f"slice/{number}")
        cluster.load_report_interval.FromNanoseconds(period)
        counts.fill(cluster)
    if not slices:  # nothing came: say that too, as it accounts for the time
        report.cluster_stats.add(cluster_name="fleet").load_report_interval.FromNanoseconds(period)
    return report


class SliceCounts:
    """What one gateway met and was asked for in one slice."""

    def __init__(self) -> None:
        self.ends: dict[tuple[str, str], list[float]] = {}  # (zone, endpoint): good, bad, ms of the good
        self.asked: dict[str, list[int]] = {}  # class: let in, failed
        self.dropped: dict[str, int] = {}

    def tried(self, zone: str, endpoint: str, good: bool, ms: float) -> None:
        have = self.ends.setdefault((zone, endpoint), [0, 0, 0.0])
        have[0 if good else 1] += 1
        have[2] += ms if good else 0.0

    def came(self, kind: str, failed: bool = False) -> None:
        have = self.asked.setdefault(kind, [0, 0])
        have[1 if failed else 0] += 1

    def refused(self, kind: str) -> None:
        self.dropped[kind] = self.dropped.get(kind, 0) + 1

    def fill(self, cluster: load_report_pb2.ClusterStats) -> None:
        for (zone, endpoint), (good, bad, ms) in sorted(self.ends.items()):
            place = cluster.upstream_locality_stats.add(
                total_successful_requests=int(good),
                total_error_requests=int(bad),
                total_issued_requests=int(good + bad),
            )
            place.locality.zone = zone
            end = place.upstream_endpoint_stats.add(
                total_successful_requests=int(good),
                total_error_requests=int(bad),
                total_issued_requests=int(good + bad),
            )
            host, _, port = endpoint.rpartition(":")
            end.address.socket_address.address = host.strip("[]")
            end.address.socket_address.port_value = int(port)
            end.load_metric_stats.add(
                metric_name=LATENCY, num_requests_finished_with_metric=int(good), total_metric_value=ms
            )
        place = cluster.upstream_locality_stats.add()
        place.locality.sub_zone = ASKED
        for kind, (let_in, failed) in sorted(self.asked.items()):
            place.load_metric_stats.add(
                metric_name=REQUESTS + kind, num_requests_finished_with_metric=let_in, total_metric_value=let_in
            )
            place.load_metric_stats.add(
                metric_name=FAILURES + kind, num_requests_finished_with_metric=let_in, total_metric_value=failed
            )
        for kind, count in sorted(self.dropped.items()):
            cluster.dropped_requests.add(category=kind, dropped_count=count)
        cluster.total_dropped_requests = sum(self.dropped.values())
