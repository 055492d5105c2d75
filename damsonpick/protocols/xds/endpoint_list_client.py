"""A client that receives the endpoint list over a public protocol: an EDS subscription (state of the world, ADS).

One ClusterLoadAssignment of the upstream server lists the fleet. Each endpoint has a locality zone, a weight and a
health status: HEALTHY or UNKNOWN for in service, DRAINING for terminating, and any other for terminated. Its filter
metadata under `damsonpick` has the field `started`: the wall-clock time of the last start in nanoseconds. The field is
text, because a protobuf Struct has no 64-bit integer.
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable

import anyio
import grpc
from envoy.config.core.v3 import base_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from google.protobuf import any_pb2
from google.protobuf.message import DecodeError

from damsonpick import interface as api
from damsonpick.protocols.shared import grpc_stream
from damsonpick.protocols.xds.names import EDS
from damsonpick.runtime.backoff import Backoff
from damsonpick.state.endpoint_list.sources import CallBudget, ListError

METADATA_KEY, STARTED_FIELD = "damsonpick", "started"
STATE_BY_HEALTH: dict[int, api.EndpointStatus] = {
    health_check_pb2.UNKNOWN: "in_service",
    health_check_pb2.HEALTHY: "in_service",
    health_check_pb2.DRAINING: "terminating",
}
HEALTH_BY_STATE = {"in_service": health_check_pb2.HEALTHY, "terminating": health_check_pb2.DRAINING}
MAX_LOGGED_VALUE = 60  # characters of an invalid start time that an error message quotes
KEEPALIVE = [("grpc.keepalive_time_ms", 5000), ("grpc.keepalive_timeout_ms", 3000)]


class UpstreamEntryError(ListError):
    """An endpoint in an upstream list is invalid.

    Attributes:
        endpoint: Name of the endpoint.
        problem: What is wrong with the endpoint, and the remedy.
    """

    def __init__(self, endpoint: str, problem: str) -> None:
        """Build the message from the endpoint and the problem."""
        super().__init__(f"upstream list: endpoint {endpoint} {problem}")
        self.endpoint = endpoint
        self.problem = problem


class UpstreamTypeError(ListError):
    """An upstream response contains a resource of another type than ClusterLoadAssignment.

    Attributes:
        type_url: Type URL of the resource.
    """

    def __init__(self, type_url: str) -> None:
        """Build the message with the received and the expected type."""
        super().__init__(f"upstream list: a resource is {type_url}, not a ClusterLoadAssignment")
        self.type_url = type_url


class UpstreamFormatError(ListError):
    """A resource states the expected type, but its content cannot be decoded."""

    def __init__(self) -> None:
        """Build the message, which is the same for every resource."""
        super().__init__("upstream list: a resource is no ClusterLoadAssignment, though it says so")


def read_entries(assignment: endpoint_pb2.ClusterLoadAssignment) -> list[api.EndpointEntry]:
    """Convert an assignment to endpoint list entries.

    Raises:
        UpstreamEntryError: An endpoint has no socket address or port, or its start time is not an integer.
    """
    return [
        _read_entry(locality.locality.zone, endpoint)
        for locality in assignment.endpoints
        for endpoint in locality.lb_endpoints
    ]


def _read_entry(zone: str, lb_endpoint: endpoint_components_pb2.LbEndpoint) -> api.EndpointEntry:
    address = lb_endpoint.endpoint.address.socket_address
    host = f"[{address.address}]" if ":" in address.address else address.address
    name = f"{host}:{address.port_value}"
    if not address.address or not address.port_value:
        raise UpstreamEntryError(repr(name), "has no socket address and port; give both")
    weight = lb_endpoint.load_balancing_weight.value if lb_endpoint.HasField("load_balancing_weight") else 1
    state = STATE_BY_HEALTH.get(lb_endpoint.health_status, "terminated")
    return api.EndpointEntry(name, zone, state, float(weight), _read_started(name, lb_endpoint))


def _read_started(name: str, lb_endpoint: endpoint_components_pb2.LbEndpoint) -> int:
    """Return the start time of an endpoint, ns since 1970; 0 if it is absent, which means long ago."""
    metadata = lb_endpoint.metadata.filter_metadata
    if METADATA_KEY not in metadata or STARTED_FIELD not in metadata[METADATA_KEY].fields:
        return 0
    text = metadata[METADATA_KEY].fields[STARTED_FIELD].string_value
    try:
        return int(text)
    except ValueError:  # also raised for text with more digits than int() accepts
        quoted = repr(text[:MAX_LOGGED_VALUE])
        raise UpstreamEntryError(name, f"started = {quoted}: write nanoseconds as text") from None


def write_entries(cluster: str, entries: list[api.EndpointEntry]) -> endpoint_pb2.ClusterLoadAssignment:
    """Build an assignment from entries, for fake list servers.

    `read_entries` converts it back to these entries, sorted by zone and with weights rounded to integers of at least 1.
    """
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=cluster)
    by_zone: dict[str, list[api.EndpointEntry]] = {}
    for entry in entries:
        by_zone.setdefault(entry.zone, []).append(entry)
    for zone, zone_entries in sorted(by_zone.items()):
        locality = assignment.endpoints.add()
        locality.locality.zone = zone
        for entry in zone_entries:
            _write_entry(locality.lb_endpoints.add(), entry)
    return assignment


def _write_entry(lb_endpoint: endpoint_components_pb2.LbEndpoint, entry: api.EndpointEntry) -> None:
    host, _, port = entry.endpoint.rpartition(":")
    address = lb_endpoint.endpoint.address.socket_address
    address.address = host.strip("[]")
    address.port_value = int(port)
    lb_endpoint.health_status = HEALTH_BY_STATE.get(entry.state, health_check_pb2.UNHEALTHY)
    lb_endpoint.load_balancing_weight.value = max(1, round(entry.weight))
    lb_endpoint.metadata.filter_metadata[METADATA_KEY].update({STARTED_FIELD: str(entry.started)})


class UpstreamSource:
    """Yields each complete list that the upstream server sends.

    It yields a ListError for each invalid response, and when the stream ends. After the end it connects again.
    """

    def __init__(
        self,
        address: str,
        cluster: str,
        node: str,
        backoff: Backoff,
        budget: CallBudget | None = None,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        """Create a source; it connects once `lists` is iterated."""
        self.address = address
        self.cluster = cluster
        self.node = node
        self.backoff = backoff
        self.budget = budget or CallBudget()
        self.clock = clock

    async def lists(self) -> AsyncIterator[list[api.EndpointEntry] | ListError]:
        """Yield lists without end; after each failure, yield the error instead of a list."""
        while True:
            await anyio.sleep(self.budget.wait(self.clock()) / 1e9)
            self.budget.record_call(self.clock())
            try:
                async for content in self._stream():
                    yield content
            except grpc_stream.StreamEndedError as error:
                why = str(error)
            yield ListError(f"upstream list at {self.address}: {why}; reconnecting")
            await anyio.sleep(self.backoff.next_delay_s())

    async def _stream(self) -> AsyncIterator[list[api.EndpointEntry] | ListError]:
        """Yield the lists and errors from one stream.

        Raises:
            StreamEndedError: The stream has ended. The iteration always ends with this error.
        """
        async with grpc.aio.insecure_channel(self.address, KEEPALIVE) as channel:
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()
            await grpc_stream.write(call, self._request())
            accepted_version = ""
            while True:
                response = await grpc_stream.read(call)
                self.backoff.reset()
                try:
                    for assignment in _unpack_all(response):
                        if assignment.cluster_name == self.cluster:
                            yield read_entries(assignment)
                    accepted_version = response.version_info
                    await grpc_stream.write(call, self._request(accepted_version, response.nonce))
                except ListError as error:
                    yield error
                    await grpc_stream.write(call, self._request(accepted_version, response.nonce, str(error)))

    def _request(self, version: str = "", nonce: str = "", rejection: str = "") -> discovery_pb2.DiscoveryRequest:
        """Build a subscription request.

        Args:
            version: Version of the last accepted response; empty if none was accepted.
            nonce: Nonce of the response that the request answers; empty in the first request.
            rejection: Reason for which that response is rejected; empty if it is accepted.
        """
        request = discovery_pb2.DiscoveryRequest(
            node=base_pb2.Node(id=self.node),
            type_url=EDS,
            resource_names=[self.cluster],
            version_info=version,
            response_nonce=nonce,
        )
        if rejection:
            request.error_detail.code = grpc.StatusCode.INVALID_ARGUMENT.value[0]
            request.error_detail.message = rejection
        return request


def _unpack_all(response: discovery_pb2.DiscoveryResponse) -> list[endpoint_pb2.ClusterLoadAssignment]:
    """Unpack all assignments in a response. If one resource is invalid, nothing of the response is used.

    Raises:
        UpstreamTypeError: A resource has another type.
        UpstreamFormatError: A resource cannot be decoded.
    """
    return [_unpack(body) for body in response.resources]


def _unpack(body: any_pb2.Any) -> endpoint_pb2.ClusterLoadAssignment:
    assignment = endpoint_pb2.ClusterLoadAssignment()
    try:
        is_assignment = body.Unpack(assignment)
    except DecodeError:
        raise UpstreamFormatError from None
    if not is_assignment:
        raise UpstreamTypeError(body.type_url)
    return assignment
