"""Client side of one ADS stream, in either xDS variant: builds requests and parses responses. Sans I/O."""

from __future__ import annotations

from typing import NamedTuple, TypeAlias

import xxhash
from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.core.v3 import base_pb2
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.config.route.v3 import route_pb2
from envoy.service.discovery.v3 import discovery_pb2

from damsonpick.protocols.xds.names import CDS, RDS
from damsonpick.proxy.received_resources import ReceivedResource
from damsonpick.proxy.received_state import ReceivedState
from damsonpick.state.history import root_statement

USER_AGENT = "damsonpick proxy"
WILDCARD = "*"
INVALID_ARGUMENT_CODE = 3  # gRPC status code that a NACK carries

Request: TypeAlias = discovery_pb2.DiscoveryRequest | discovery_pb2.DeltaDiscoveryRequest
Response: TypeAlias = discovery_pb2.DiscoveryResponse | discovery_pb2.DeltaDiscoveryResponse


class ParsedResponse(NamedTuple):
    """A parsed response of either variant.

    Attributes:
        type_url: Type of all resources in the response.
        resources: New and changed resources.
        removed: Names of removed resources.
        statement: Roots that the response states. None if it states none.
    """

    type_url: str
    resources: list[ReceivedResource]
    removed: list[str]
    statement: root_statement.RootStatement | None


class AdsClient:
    """Builds the subscriptions and acknowledgements that the client sends on one stream, and parses the responses.

    Attributes:
        node: Identifies the client to the control service.
        subscribed: Names subscribed to on this stream, by type URL.
    """

    def __init__(self, received_state: ReceivedState, node_id: str, zone: str, delta: bool) -> None:
        """Create the client for a new stream.

        Args:
            received_state: Resources that were received on earlier streams.
            node_id: Node id of the client.
            zone: Zone of the client.
            delta: Whether the stream uses the delta (incremental) variant of xDS.
        """
        self.received_state = received_state
        self.delta = delta
        self.node = base_pb2.Node(id=node_id, user_agent_name=USER_AGENT)
        self.node.locality.zone = zone
        self.node.client_features.append(root_statement.CLIENT_FEATURE)
        self.subscribed: dict[str, list[str]] = {}
        self._accepted_versions: dict[str, str] = {}  # version_info by type URL
        self._last_nonces: dict[str, str] = {}  # nonce of the last response by type URL

    def subscribe(self, type_url: str, names: list[str], version_info: str = "") -> Request:
        """Build the first request for a type on this stream.

        Args:
            type_url: Type to subscribe to.
            names: Resources to subscribe to. An empty list subscribes to all.
            version_info: Version of the last accepted response on an earlier stream. Only sent in the
                state-of-the-world variant.
        """
        self.subscribed[type_url] = names
        if self.delta:
            return discovery_pb2.DeltaDiscoveryRequest(
                node=self.node,
                type_url=type_url,
                resource_names_subscribe=names or [WILDCARD],
                initial_resource_versions=self.received_state.versions[type_url],
            )
        return discovery_pb2.DiscoveryRequest(
            node=self.node, type_url=type_url, resource_names=names, version_info=version_info
        )

    def extend_subscription(self, type_url: str, names: list[str]) -> Request:
        """Build a request that adds names to the subscription of a type."""
        self.subscribed[type_url] = sorted({*self.subscribed.get(type_url, []), *names})
        if self.delta:
            return discovery_pb2.DeltaDiscoveryRequest(type_url=type_url, resource_names_subscribe=names)
        return self._sotw_request(type_url)

    def parse(self, response: Response) -> ParsedResponse:
        """Parse a response into resources, removed names and stated roots."""
        type_url = response.type_url
        if self.delta:
            resources = [ReceivedResource(r.name, r.version, r.resource.value) for r in response.resources]
            removed = list(response.removed_resources)
        else:
            resources = [_sotw_resource(type_url, packed.value) for packed in response.resources]
            removed = []
        statement = root_statement.parse(response.control_plane.identifier)
        return ParsedResponse(type_url, resources, removed, statement)

    def acknowledge(self, response: Response, error_text: str = "") -> Request:
        """Build the acknowledgement of a response: an ACK, or a NACK if `error_text` is not empty."""
        type_url = response.type_url
        self._last_nonces[type_url] = response.nonce
        request: Request
        if self.delta:
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=type_url, response_nonce=response.nonce)
        else:
            if not error_text:
                self._accepted_versions[type_url] = response.version_info
            request = self._sotw_request(type_url)
        if error_text:
            request.error_detail.code = INVALID_ARGUMENT_CODE
            request.error_detail.message = error_text
        return request

    def _sotw_request(self, type_url: str) -> discovery_pb2.DiscoveryRequest:
        """Build a later request of the state-of-the-world variant, which repeats the complete subscription."""
        return discovery_pb2.DiscoveryRequest(
            type_url=type_url,
            resource_names=self.subscribed.get(type_url, []),
            response_nonce=self._last_nonces.get(type_url, ""),
            version_info=self._accepted_versions.get(type_url, ""),
        )


def _sotw_resource(type_url: str, body: bytes) -> ReceivedResource:
    """Build a resource of the state-of-the-world variant, which does not send names and versions of resources.

    The name is read from the body, and the hash of the body serves as the version.
    """
    if type_url == CDS:
        name = cluster_pb2.Cluster.FromString(body).name
    elif type_url == RDS:
        name = route_pb2.RouteConfiguration.FromString(body).name
    else:
        name = endpoint_pb2.ClusterLoadAssignment.FromString(body).cluster_name
    return ReceivedResource(name, xxhash.xxh3_64_hexdigest(body), body)
