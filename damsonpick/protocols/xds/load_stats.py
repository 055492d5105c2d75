"""Load reports of clients as LRS messages. Sans I/O.

LRS counts attempts and outcomes by cluster, locality and endpoint. It has no fields for latency and request class, so
reports transfer both as `load_metric_stats`, whose meaning the specification leaves to client and server. `latency_ms`
is reported by endpoint. `requests.CLASS` and `failures.CLASS` are reported in one locality of a slice's cluster, with
sub-zone `asked` and no zone, regardless of the server that received the requests.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from envoy.config.endpoint.v3 import load_report_pb2
from envoy.service.load_stats.v3 import lrs_pb2

from damsonpick.protocols.xds.names import slice_of
from damsonpick.state.load_reports import ClientReport, EndpointStats, SliceStats
from damsonpick.state.published_tables import FLEET, slice_unit
from damsonpick.time_units import NS_PER_MS

LATENCY_METRIC = "latency_ms"
REQUESTS_PREFIX = "requests."
FAILURES_PREFIX = "failures."
CLASS_COUNTS_SUB_ZONE = "asked"  # sub-zone of the locality that contains the counts by class for all servers
MAX_CLUSTERS = 70_000  # most clusters that are read from one report; greater than the largest possible number of slices
MAX_LATENCY_SUM_MS = 1e15  # sums of this size or larger are ignored
MAX_COUNT = 1e12  # counts of this size or larger are ignored


def report_request(report_period: int) -> lrs_pb2.LoadStatsResponse:
    """Build the message that asks a client to report all clusters, by endpoint.

    Args:
        report_period: Time between two reports, ns.
    """
    response = lrs_pb2.LoadStatsResponse(send_all_clusters=True, report_endpoint_granularity=True)
    response.load_reporting_interval.FromNanoseconds(report_period)
    return response


# -- reading


@dataclass(slots=True)
class _EndpointCounts:
    """Attempts at one endpoint, summed over all clusters of a report."""

    attempts: int = 0
    failures: int = 0
    timed_successes: int = 0
    total_latency: int = 0  # ns

    def add(self, stats: load_report_pb2.UpstreamEndpointStats) -> None:
        """Add the endpoint's statistics from one cluster."""
        self.attempts += stats.total_successful_requests + stats.total_error_requests
        self.failures += stats.total_error_requests
        for metric in stats.load_metric_stats:
            if metric.metric_name == LATENCY_METRIC and 0 <= metric.total_metric_value < MAX_LATENCY_SUM_MS:
                self.timed_successes += metric.num_requests_finished_with_metric
                self.total_latency += int(metric.total_metric_value * NS_PER_MS)


@dataclass(slots=True)
class _ClassCounts:
    """Number of requests of one class in one slice, including dropped requests, and how many of them failed."""

    requests: int = 0
    failures: int = 0


def read(client: int, zone: str, request: lrs_pb2.LoadStatsRequest) -> ClientReport | None:
    """Convert a message to a report; return None if the message contains no statistics.

    Args:
        client: Number of the client.
        zone: Zone of the client.
        request: The message. The longest interval of its clusters counts as the interval of the whole report.
    """
    if not request.cluster_stats:
        return None
    endpoints: dict[str, _EndpointCounts] = {}
    slices: list[SliceStats] = []
    period = 0
    for cluster in request.cluster_stats[:MAX_CLUSTERS]:
        period = max(period, cluster.load_report_interval.ToNanoseconds())
        _add_endpoints(cluster, endpoints)
        slices.extend(_slice_stats(cluster))
    endpoint_stats = tuple(
        EndpointStats(name, counts.attempts, counts.failures, counts.timed_successes, counts.total_latency)
        for name, counts in endpoints.items()
    )
    return ClientReport(client, zone, period, endpoint_stats, tuple(slices))


def _add_endpoints(cluster: load_report_pb2.ClusterStats, endpoints: dict[str, _EndpointCounts]) -> None:
    for locality in cluster.upstream_locality_stats:
        for stats in locality.upstream_endpoint_stats:
            address = stats.address.socket_address
            host = f"[{address.address}]" if ":" in address.address else address.address
            endpoints.setdefault(f"{host}:{address.port_value}", _EndpointCounts()).add(stats)


def _slice_stats(cluster: load_report_pb2.ClusterStats) -> Iterator[SliceStats]:
    """Yield the counts of each class if the cluster represents a slice; yield nothing for other clusters."""
    number = slice_of(cluster.cluster_name)
    if number < 0:
        return
    by_class: dict[str, _ClassCounts] = {}
    for locality in cluster.upstream_locality_stats:
        for metric in locality.load_metric_stats:
            _add_class_metric(metric, by_class)
    for drop in cluster.dropped_requests:
        by_class.setdefault(drop.category, _ClassCounts()).requests += drop.dropped_count
    for request_class, counts in by_class.items():
        yield SliceStats(number, request_class, counts.requests, counts.failures)


def _add_class_metric(metric: load_report_pb2.EndpointLoadMetricStats, by_class: dict[str, _ClassCounts]) -> None:
    if not 0 <= metric.total_metric_value < MAX_COUNT:
        return
    count = int(metric.total_metric_value)
    name = metric.metric_name
    if name.startswith(REQUESTS_PREFIX):
        by_class.setdefault(name.removeprefix(REQUESTS_PREFIX), _ClassCounts()).requests += count
    elif name.startswith(FAILURES_PREFIX):
        by_class.setdefault(name.removeprefix(FAILURES_PREFIX), _ClassCounts()).failures += count


# -- writing


def identification_request(node_id: str, zone: str) -> lrs_pb2.LoadStatsRequest:
    """Build the first message of a client's stream, which identifies the client."""
    request = lrs_pb2.LoadStatsRequest()
    request.node.id = node_id
    request.node.locality.zone = zone
    return request


def write(period: int, slices: Mapping[int, SliceCounts]) -> lrs_pb2.LoadStatsRequest:
    """Build the message for a client's report; the inverse of `read`.

    Args:
        period: Time that the report covers, ns.
        slices: Counts by slice number. A report without slices still states the time that it covers.
    """
    request = lrs_pb2.LoadStatsRequest()
    for number, counts in sorted(slices.items()):
        cluster = request.cluster_stats.add(cluster_name=slice_unit(number))
        cluster.load_report_interval.FromNanoseconds(period)
        counts.write_to(cluster)
    if not slices:
        request.cluster_stats.add(cluster_name=FLEET).load_report_interval.FromNanoseconds(period)
    return request


@dataclass(slots=True)
class _AttemptCounts:
    """Outcomes and latency of the attempts at one endpoint in one zone."""

    successes: int = 0
    failures: int = 0
    timed_successes: int = 0  # successful attempts whose latency is known
    latency_ms: float = 0.0  # sum over these attempts


@dataclass(slots=True)
class _RequestCounts:
    """Number of admitted requests of one class, and how many of them failed."""

    admitted: int = 0
    failed: int = 0


@dataclass(slots=True)
class SliceCounts:
    """Statistics of one client for one slice since the client's last report.

    Attributes:
        attempts: Counts of attempts by (zone of the server, endpoint).
        requests: Counts of admitted requests by class.
        dropped: Number of requests that were not admitted, by class.
    """

    attempts: dict[tuple[str, str], _AttemptCounts] = field(default_factory=dict)
    requests: dict[str, _RequestCounts] = field(default_factory=dict)
    dropped: dict[str, int] = field(default_factory=dict)

    def count_attempt(self, zone: str, endpoint: str, succeeded: bool, latency_ms: float | None) -> None:
        """Count an attempt at an endpoint. The latency counts only if it is known and the attempt succeeded."""
        key = (zone, endpoint)
        counts = self.attempts.get(key)
        if counts is None:
            counts = self.attempts[key] = _AttemptCounts()
        if succeeded:
            counts.successes += 1
            if latency_ms is not None:
                counts.timed_successes += 1
                counts.latency_ms += latency_ms
        else:
            counts.failures += 1

    def count_admitted(self, request_class: str) -> None:
        """Count an admitted request."""
        self._requests_of(request_class).admitted += 1

    def count_failed(self, request_class: str) -> None:
        """Count an admitted request that failed."""
        self._requests_of(request_class).failed += 1

    def count_dropped(self, request_class: str) -> None:
        """Count a request that was not admitted."""
        self.dropped[request_class] = self.dropped.get(request_class, 0) + 1

    def _requests_of(self, request_class: str) -> _RequestCounts:
        counts = self.requests.get(request_class)
        if counts is None:
            counts = self.requests[request_class] = _RequestCounts()
        return counts

    def write_to(self, cluster: load_report_pb2.ClusterStats) -> None:
        """Write all counts into the cluster of the slice in a message."""
        for zone, endpoint in sorted(self.attempts):
            attempts = self.attempts[zone, endpoint]
            _write_attempts(cluster.upstream_locality_stats.add(), zone, endpoint, attempts)
        locality = cluster.upstream_locality_stats.add()
        locality.locality.sub_zone = CLASS_COUNTS_SUB_ZONE
        for request_class in sorted(self.requests):
            _write_requests(locality, request_class, self.requests[request_class])
        for request_class, count in sorted(self.dropped.items()):
            cluster.dropped_requests.add(category=request_class, dropped_count=count)
        cluster.total_dropped_requests = sum(self.dropped.values())


def _write_attempts(
    locality: load_report_pb2.UpstreamLocalityStats, zone: str, endpoint: str, counts: _AttemptCounts
) -> None:
    locality.locality.zone = zone
    stats = locality.upstream_endpoint_stats.add()
    for target in (locality, stats):
        target.total_successful_requests = counts.successes
        target.total_error_requests = counts.failures
        target.total_issued_requests = counts.successes + counts.failures
    host, _, port = endpoint.rpartition(":")
    stats.address.socket_address.address = host.strip("[]")
    stats.address.socket_address.port_value = int(port)
    stats.load_metric_stats.add(
        metric_name=LATENCY_METRIC,
        num_requests_finished_with_metric=counts.timed_successes,
        total_metric_value=counts.latency_ms,
    )


def _write_requests(
    locality: load_report_pb2.UpstreamLocalityStats, request_class: str, counts: _RequestCounts
) -> None:
    for prefix, count in ((REQUESTS_PREFIX, counts.admitted), (FAILURES_PREFIX, counts.failed)):
        locality.load_metric_stats.add(
            metric_name=prefix + request_class,
            num_requests_finished_with_metric=counts.admitted,
            total_metric_value=count,
        )
