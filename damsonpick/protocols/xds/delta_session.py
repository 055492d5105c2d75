"""Sessions of the incremental variant of ADS (DeltaDiscoveryRequest and DeltaDiscoveryResponse). Sans I/O."""

from __future__ import annotations

from envoy.service.discovery.v3 import discovery_pb2

from damsonpick.protocols.xds.resource_watch import ResourceWatch
from damsonpick.protocols.xds.session import Session

WILDCARD = "*"


class DeltaSession(Session):
    """The session of a stream on which requests add names to, and remove names from, the subscription to a type."""

    variant = "delta"

    def _subscribe(self, now: int, watch: ResourceWatch, request: discovery_pb2.DeltaDiscoveryRequest) -> None:
        names = list(request.resource_names_subscribe)
        if not watch.started:
            self._start(watch, request)
            names = names or [WILDCARD]  # a first request without names is the older form of a wildcard
        if WILDCARD in names and not watch.wildcard:
            watch.wildcard = True
            watch.request(now, [*self.catalogue.by_type[watch.type_url], *list(watch.expected)])
        for name in dict.fromkeys(names):
            if name != WILDCARD:
                _subscribe_to(now, watch, name)
        for name in request.resource_names_unsubscribe:
            _unsubscribe_from(watch, name)

    def _start(self, watch: ResourceWatch, request: discovery_pb2.DeltaDiscoveryRequest) -> None:
        """Initialize the watch with the resource versions that the client reports from earlier streams.

        A client that reports any version is not fresh.
        """
        watch.started = True
        versions = dict(request.initial_resource_versions)
        watch.reset(versions)
        if versions:
            self.fresh = False

    def _serialize(self, type_url: str, nonce: str, versions: dict[str, str], statement: str) -> bytes:
        resources = self.catalogue.by_type[type_url]
        chunks = [resources[name].delta for name, version in versions.items() if version]
        head = discovery_pb2.DeltaDiscoveryResponse(
            system_version_info=self._version_info(),
            type_url=type_url,
            nonce=nonce,
            removed_resources=[name for name, version in versions.items() if not version],
        )
        if statement:
            head.control_plane.identifier = statement
        return b"".join([*chunks, head.SerializeToString()])


def _subscribe_to(now: int, watch: ResourceWatch, name: str) -> None:
    """Subscribe to a name.

    If the client was already subscribed to the name, or if no such resource exists, a response is sent even if the
    client is expected to know the current state of the resource.
    """
    repeated = name in watch.names
    watch.names.add(name)
    missing = not watch.published_version(name)
    watch.request(now, [name], resend=repeated or missing)


def _unsubscribe_from(watch: ResourceWatch, name: str) -> None:
    """End the subscription to a name.

    For the wildcard, this ends the subscription to all resources that the client does not also subscribe to by name.
    For a resource, the subscription continues as long as a wildcard includes the resource.
    """
    if name == WILDCARD:
        watch.wildcard = False
        for other in [held for held in watch.expected if held not in watch.names]:
            watch.expect(other, "")
        return
    watch.names.discard(name)
    if not watch.wildcard:
        watch.drop(name)
