"""The server list over a published protocol: an EDS subscription (state of the world, ADS) upstream.

One ClusterLoadAssignment lists the fleet: locality zone, weight, health (HEALTHY or UNKNOWN: in service,
DRAINING: terminating, else terminated) and, in the endpoint's filter metadata under `damsonpick`, the
field `started`: wall-clock nanoseconds of the last start, as text (a protobuf Struct has no 64-bit number).
"""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Callable

import anyio
import grpc
from envoy.config.core.v3 import base_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

from damsonpick import interface as api
from damsonpick.protocols.shared import grpc_stream
from damsonpick.protocols.xds.names import EDS
from damsonpick.runtime.backoff import Backoff
from damsonpick.state.endpoint_list.sources import Budget, ListError

METADATA, STARTED = "damsonpick", "started"
STATES = {
    health_check_pb2.UNKNOWN: "in_service",
    health_check_pb2.HEALTHY: "in_service",
    health_check_pb2.DRAINING: "terminating",
}


def read(assignment: endpoint_pb2.ClusterLoadAssignment) -> list[api.EndpointEntry]:
    """Entries of an assignment.

    Raises:
        ListError: an endpoint without a socket address or with a start that is no number.
    """
    return [_entry(place.locality.zone, line) for place in assignment.endpoints for line in place.lb_endpoints]


def _entry(zone: str, line: endpoint_components_pb2.LbEndpoint) -> api.EndpointEntry:
    at = line.endpoint.address.socket_address
    host = f"[{at.address}]" if ":" in at.address else at.address
    name = f"{host}:{at.port_value}"
    if not at.address or not at.port_value:
        raise ListError(f"upstream list: endpoint {name!r} has no socket address and port; give both")
    weight = line.load_balancing_weight.value if line.HasField("load_balancing_weight") else 1
    fields = line.metadata.filter_metadata[METADATA].fields if METADATA in line.metadata.filter_metadata else {}
    text = fields[STARTED].string_value if STARTED in fields else "0"
    if not text.lstrip("-").isdigit():
        raise ListError(f"upstream list: endpoint {name} started = {text!r}: write nanoseconds as text")
    return api.EndpointEntry(name, zone, STATES.get(line.health_status, "terminated"), float(weight), int(text))


def write(cluster: str, entries: list[api.EndpointEntry]) -> endpoint_pb2.ClusterLoadAssignment:
    """The other half of `read`, for a list server that stands in."""
    health = {"in_service": health_check_pb2.HEALTHY, "terminating": health_check_pb2.DRAINING}
    assignment = endpoint_pb2.ClusterLoadAssignment(cluster_name=cluster)
    zones: dict[str, list[api.EndpointEntry]] = {}
    for entry in entries:
        zones.setdefault(entry.zone, []).append(entry)
    for zone, inside in sorted(zones.items()):
        place = assignment.endpoints.add()
        place.locality.zone = zone
        for entry in inside:
            host, _, port = entry.endpoint.rpartition(":")
            line = place.lb_endpoints.add(health_status=health.get(entry.state, health_check_pb2.UNHEALTHY))
            line.endpoint.address.socket_address.address = host.strip("[]")
            line.endpoint.address.socket_address.port_value = int(port)
            line.load_balancing_weight.value = max(1, round(entry.weight))
            line.metadata.filter_metadata[METADATA].update({STARTED: str(entry.started)})
    return assignment


class UpstreamSource:
    """Yields whole lists as the upstream sends them; a broken stream is a ListError and is dialled again."""

    def __init__(
        self,
        address: str,
        cluster: str,
        node: str,
        backoff: Backoff,
        budget: Budget | None = None,
        clock: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.address, self.cluster, self.node, self.backoff = address, cluster, node, backoff
        self.budget, self.clock = budget or Budget(), clock

    async def lists(self) -> AsyncIterator[list[api.EndpointEntry] | ListError]:
        while True:
            await anyio.sleep(self.budget.wait(self.clock()) / 1e9)
            self.budget.spend(self.clock())
            try:
                async for said in self._stream():
                    yield said
            except grpc_stream.StreamEnded as error:
                why = str(error)
            yield ListError(f"upstream list at {self.address}: {why}; it is dialled again")
            await anyio.sleep(self.backoff.failed())

    async def _stream(self) -> AsyncIterator[list[api.EndpointEntry] | ListError]:
        options = [("grpc.keepalive_time_ms", 5000), ("grpc.keepalive_timeout_ms", 3000)]
        async with grpc.aio.insecure_channel(self.address, options) as channel:
            call = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel).StreamAggregatedResources()
            await grpc_stream.write(call, self._request())
            version = ""
            while True:
                response = await grpc_stream.read(call)
                self.backoff.succeeded()
                try:
                    found = [self._unpack(body) for body in response.resources]
                    for assignment in found:
                        if assignment.cluster_name == self.cluster:
                            yield read(assignment)
                    version = response.version_info
                    await grpc_stream.write(call, self._request(version, response.nonce))
                except ListError as error:
                    yield error
                    await grpc_stream.write(call, self._request(version, response.nonce, str(error)))

    def _unpack(self, body: object) -> endpoint_pb2.ClusterLoadAssignment:
        assignment = endpoint_pb2.ClusterLoadAssignment()
        if not body.Unpack(assignment):
            raise ListError(f"upstream list: a resource is {body.type_url}, not a ClusterLoadAssignment")
        return assignment

    def _request(self, version: str = "", nonce: str = "", bad: str = "") -> discovery_pb2.DiscoveryRequest:
        request = discovery_pb2.DiscoveryRequest(
            node=base_pb2.Node(id=self.node),
            type_url=EDS,
            resource_names=[self.cluster],
            version_info=version,
            response_nonce=nonce,
        )
        if bad:
            request.error_detail.code, request.error_detail.message = 3, bad
        return request
