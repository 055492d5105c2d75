"""Builds the xDS routes: the cluster, deadline and retry policy of each request class. Sans I/O."""

from __future__ import annotations

from typing import NamedTuple

from envoy.config.route.v3 import route_components_pb2, route_pb2

from damsonpick.protocols.xds.names import CLASS_HEADER, CLUSTER_HEADER, ZONE_HEADER
from damsonpick.settings.model import PilotSettings
from damsonpick.state.published_tables import NO_RETRIES, ROUTES, PublishedTables, slice_unit

# Failures after which the server is known not to have started to process the request.
RETRY_ON_UNPROCESSED = "connect-failure,refused-stream"
RETRY_ON_FAILURE = RETRY_ON_UNPROCESSED + ",5xx,reset"
FIRST_MODE_WITH_ATTEMPT_TIMEOUT = 2  # this retry mode and higher ones limit the time of each attempt


class RetryRule(NamedTuple):
    """The xDS form of a retry mode: the `retry_on` conditions and the maximum number of retries."""

    conditions: str
    retries: int


RETRY_RULES = {  # by retry mode
    0: RetryRule("", 0),
    1: RetryRule(RETRY_ON_UNPROCESSED, 1),
    2: RetryRule(RETRY_ON_FAILURE, 1),
    3: RetryRule(RETRY_ON_FAILURE, 2),
}


class RouteBuilder:
    """Builds the RouteConfiguration from the published state."""

    def __init__(self, published: PublishedTables, settings: PilotSettings) -> None:
        """Create a builder for a published state, with the settings of request classes, zones and slices."""
        self._published = published
        self._settings = settings

    def build(self) -> route_pb2.RouteConfiguration:
        """Build all routes.

        Routes for one table precede routes for all tables, because a proxy uses the first route that matches.
        """
        config = route_pb2.RouteConfiguration(name=ROUTES)
        host = config.virtual_hosts.add(name="all", domains=["*"])
        retries = self._published.retries
        modes = sorted(retries.items(), key=lambda item: (item[0][0] is None, item[0]))
        ordered_classes = {class_number for table, class_number in retries if table is None}
        for class_number in range(len(self._published.classes)):
            if class_number not in ordered_classes:
                modes.append(((None, class_number), NO_RETRIES))
        for (table, class_number), mode in modes:
            if self._settings.tables.slices:
                host.routes.append(self._route(table, class_number, mode))
            else:
                host.routes.extend(self._zone_routes(table, class_number, mode))
        return config

    def _zone_routes(self, table: int | None, class_number: int, mode: int) -> list[route_components_pb2.Route]:
        """Build the routes of a class for a deployment without slices, with one route for each zone.

        In such a deployment, the zone and the class of a request determine its table. If `table` is not None, only the
        route for this table is built.
        """
        routes = []
        for zone_number, zone in enumerate(self._settings.pilot.zones):
            number = zone_number * len(self._published.classes) + class_number
            if table not in (None, number):
                continue
            route = self._route(None, class_number, mode)
            route.name += f"/{zone}"
            route.match.headers.add(name=ZONE_HEADER).string_match.exact = zone
            route.route.cluster = slice_unit(number)
            routes.append(route)
        return routes

    def _route(self, table: int | None, class_number: int, mode: int) -> route_components_pb2.Route:
        """Build the route of a class, for one table or, if `table` is None, for all tables."""
        class_name = self._published.classes[class_number]
        route = route_components_pb2.Route(name=class_name if table is None else f"{class_name}/{table}")
        route.match.prefix = "/"
        route.match.headers.add(name=CLASS_HEADER).string_match.exact = class_name
        if table is not None:
            route.match.headers.add(name=CLUSTER_HEADER).string_match.exact = slice_unit(table)
        route.route.cluster_header = CLUSTER_HEADER
        route.route.timeout.FromNanoseconds(self._settings.classes[class_name].deadline)
        self._set_retry_policy(route, class_name, mode)
        return route

    def _set_retry_policy(self, route: route_components_pb2.Route, class_name: str, mode: int) -> None:
        rule = RETRY_RULES.get(mode, RETRY_RULES[NO_RETRIES])
        policy = route.route.retry_policy
        policy.retry_on = rule.conditions
        policy.num_retries.value = rule.retries
        if mode >= FIRST_MODE_WITH_ATTEMPT_TIMEOUT:
            latency_objective = self._settings.classes[class_name].latency_objective
            attempt_timeout = self._settings.tables.attempt_timeout_objectives * latency_objective
            policy.per_try_timeout.FromNanoseconds(int(attempt_timeout))
