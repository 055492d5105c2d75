"""Sessions of the state-of-the-world variant of ADS (DiscoveryRequest and DiscoveryResponse). Sans I/O."""

from __future__ import annotations

from envoy.service.discovery.v3 import discovery_pb2

from damsonpick.protocols.xds.names import CDS
from damsonpick.protocols.xds.resource_watch import ResourceWatch
from damsonpick.protocols.xds.session import Session

WILDCARD = "*"


class SotwSession(Session):
    """The session of a stream on which each request repeats the complete subscription to a type."""

    variant = "sotw"

    def _subscribe(self, now: int, watch: ResourceWatch, request: discovery_pb2.DiscoveryRequest) -> None:
        first = not watch.started
        if not first and request.response_nonce and request.response_nonce != watch.last_nonce:
            return  # the request answers an older response; the answer to the newest response repeats the subscription
        if first and request.version_info:
            self.fresh = False
        watch.started = True
        names = set(request.resource_names)
        wildcard = WILDCARD in names or _is_implicit_wildcard(watch, names, first)
        names.discard(WILDCARD)
        known = set(self.catalogue.by_type[watch.type_url])
        requested = known if wildcard else names & known
        previous = known if watch.wildcard else watch.names & known
        if not wildcard:
            for name in watch.names - names:
                watch.drop(name)
        watch.names = names
        watch.wildcard = wildcard
        # The version_info of a first request does not state the versions of single resources, so every newly requested
        # resource is sent.
        watch.request(now, sorted(requested - previous))

    def _required_names(self, watch: ResourceWatch, names: list[str]) -> list[str]:
        """Return all subscribed clusters instead of a subset, because these clients delete omitted clusters."""
        if watch.type_url != CDS or not names:
            return names
        return [name for name in self.catalogue.by_type[CDS] if watch.wants(name)]

    def _serialize(self, type_url: str, nonce: str, versions: dict[str, str], statement: str) -> bytes:
        resources = self.catalogue.by_type[type_url]
        chunks = [resources[name].sotw for name in versions if name in resources]
        head = discovery_pb2.DiscoveryResponse(version_info=self._version_info(), type_url=type_url, nonce=nonce)
        if statement:
            head.control_plane.identifier = statement
        return b"".join([*chunks, head.SerializeToString()])


def _is_implicit_wildcard(watch: ResourceWatch, names: set[str], first: bool) -> bool:
    """Return whether a request subscribes to all clusters because it has no names (the older form of a wildcard)."""
    return watch.type_url == CDS and not names and (first or watch.wildcard)
