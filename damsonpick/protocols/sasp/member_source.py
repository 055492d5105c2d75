"""A source of the endpoint list: the members that load balancers have registered."""

from __future__ import annotations

from collections.abc import Callable

from damsonpick import interface as api
from damsonpick.protocols.sasp.fleet import Controller
from damsonpick.protocols.sasp.registry import Registry

DEFAULT_WEIGHT = 1.0  # weight of an endpoint that is not on the endpoint list


class MemberSource:
    """Passes the members of load balancers with access level STATE to the endpoint list whenever they change.

    Args:
        registry: All registrations.
        controller: Controller whose endpoint list supplies zone, weight and start time of the endpoints on it.
        default_zone: Zone of endpoints whose zone the endpoint list does not know.
        receive: Callback for the members as list entries. A quiesced member has the state `terminating`.
    """

    def __init__(
        self,
        registry: Registry,
        controller: Controller,
        default_zone: str,
        receive: Callable[[list[api.EndpointEntry]], None],
    ) -> None:
        """Create a source that has not passed on any members yet."""
        self.registry = registry
        self.controller = controller
        self.default_zone = default_zone
        self.receive = receive
        self._revision = 0  # revision of the registry when it was last read
        self._quiesced: dict[str, bool] = {}  # whether an endpoint is quiesced, as last passed to `receive`

    def update(self) -> None:
        """Pass the members to `receive` if they have changed since the last call."""
        if self.registry.revision == self._revision:
            return
        self._revision = self.registry.revision
        quiesced = self.registry.endpoints()
        if quiesced == self._quiesced:
            return
        self._quiesced = quiesced
        self.receive([self._entry(endpoint, is_quiesced) for endpoint, is_quiesced in quiesced.items()])

    def _entry(self, endpoint: str, is_quiesced: bool) -> api.EndpointEntry:
        endpoint_list = self.controller.endpoint_list
        zone = endpoint_list.known_zones.get(endpoint, self.default_zone)
        state: api.EndpointStatus = "terminating" if is_quiesced else "in_service"
        known = endpoint_list.entries.get(endpoint)
        if known is None:
            return api.EndpointEntry(endpoint, zone, state, DEFAULT_WEIGHT, 0)
        return api.EndpointEntry(endpoint, zone, state, known.weight, known.started)
