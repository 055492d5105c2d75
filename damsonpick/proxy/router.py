"""Makes all decisions for a request in the proxy. Sans I/O.

The router owns the received tables, the load balancer, admission and the retry budget. For each request it decides
whether to admit it, which server receives it and whether to retry. It prepares a changed table once for weighted draws,
so that a draw takes logarithmic time.
"""

from __future__ import annotations

import random
from collections.abc import Collection
from typing import NamedTuple

import xxhash

from damsonpick.protocols.xds.names import EDS, slice_of
from damsonpick.proxy.admission import Admission
from damsonpick.proxy.load_balancer import LoadBalancer, Policy, WeightedTable
from damsonpick.proxy.received_state import ReceivedState
from damsonpick.proxy.retry_policy import (
    NON_IDEMPOTENT,
    ON_ANY_FAILURE,
    Execution,
    PublishedRetries,
    RetryBudget,
    allows_retry,
)
from damsonpick.proxy.settings import ProxySettings

FLEET_CLUSTER = "fleet"  # cluster whose table entries are the withdrawn servers
POLICY_BY_XDS_NUMBER = {0: Policy.ROUND_ROBIN, 1: Policy.POWER_OF_TWO, 3: Policy.RANDOM}  # Cluster.LbPolicy
DEFAULT_XDS_POLICY = 1  # policy while no cluster is received
# Timeout of an attempt that a retry may follow, as a multiple of the latency objective, if no timeout is published.
ATTEMPT_TIMEOUT_OBJECTIVES = 1.2
EMPTY_TABLE = WeightedTable({})


class RoutedRequest(NamedTuple):
    """Properties of a request that determine its routing. Times are in ns."""

    request_class: str
    cluster: str
    client: str
    arrived: int
    deadline: int
    effect: str
    slice: int


class Router:
    """Makes the decisions for each request of one proxy."""

    def __init__(self, settings: ProxySettings, rng: random.Random) -> None:
        """Create a router that has no tables.

        Args:
            settings: Settings of the proxy.
            rng: Generator of all random draws and of the admission seed.
        """
        self.settings = settings
        self.rng = rng
        self.received_state = ReceivedState()
        self.load_balancer = LoadBalancer(rng)
        self.admission = Admission(rng.getrandbits(63))
        self.retry_budget = RetryBudget()
        self.withdrawn: frozenset[str] = frozenset()
        self._prepared: dict[str, WeightedTable] = {}  # prepared tables by cluster

    # -- tables

    def resources_changed(self, type_url: str, names: list[str]) -> list[str]:
        """Apply changed resources of one xDS type. Return the newly withdrawn servers."""
        if type_url != EDS:
            self._apply_cluster_settings()
            return []
        for name in names:
            self._prepared.pop(name, None)
        fleet = self.received_state.tables.get(FLEET_CLUSTER)
        withdrawn = frozenset(fleet.entries) if fleet else frozenset()
        newly_withdrawn = withdrawn - self.withdrawn
        self.withdrawn = withdrawn
        return sorted(newly_withdrawn)

    def _apply_cluster_settings(self) -> None:
        self.load_balancer.ejection_failures = self.received_state.ejection_failures
        number = next(iter(self.received_state.balancing_policies.values()), DEFAULT_XDS_POLICY)
        self.load_balancer.policy = POLICY_BY_XDS_NUMBER.get(number, Policy.POWER_OF_TWO)

    def _table(self, cluster: str) -> WeightedTable:
        prepared = self._prepared.get(cluster)
        if prepared is not None:
            return prepared
        table = self.received_state.tables.get(cluster)
        if table is None:
            return EMPTY_TABLE
        prepared = WeightedTable({name: entry.weight for name, entry in table.entries.items()})
        self._prepared[cluster] = prepared
        return prepared

    def zone_of(self, cluster: str, server: str) -> str:
        """Return the zone of a server in a table, or '' if the table does not contain the server."""
        table = self.received_state.tables.get(cluster)
        entry = table.entries.get(server) if table else None
        return entry.zone if entry else ""

    # -- requests

    def classify(
        self, now: int, request_class: str, key: str, client: str, named_cluster: str, left_ns: int | None
    ) -> RoutedRequest:
        """Determine the class, cluster and deadline of a request.

        Args:
            now: Time in ns.
            request_class: Class that the client names. An unknown class is replaced by the first class.
            key: Key of the request, which is hashed to a slice.
            client: Identity of the client.
            named_cluster: Cluster that the client names, or ''.
            left_ns: Time in ns until the caller's deadline. None if the caller states no deadline.
        """
        known_class = request_class if request_class in self.settings.classes else self.settings.default_class()
        spec = self.settings.classes[known_class]
        duration = spec.deadline
        if left_ns is not None:
            duration = max(0, min(duration, left_ns))
        cluster = named_cluster or self._cluster_of(known_class, key)
        return RoutedRequest(known_class, cluster, client, now, now + duration, spec.effect, slice_of(cluster))

    def _cluster_of(self, request_class: str, key: str) -> str:
        slices = self.settings.proxy.slices
        if slices:
            return f"slice/{xxhash.xxh3_64_intdigest(key.encode()) % slices}"
        return self.received_state.clusters.get((request_class, self.settings.proxy.zone), "")

    def admit(self, now: int, request: RoutedRequest) -> bool:
        """Return whether a request is admitted at the published level. An admitted request adds to the retry budget."""
        level = self.received_state.admission_level(request.cluster, request.request_class)
        admitted = self.admission.admit(now, level, request.request_class, request.client)
        if admitted:
            self.retry_budget.earn()
        return admitted

    def pick(self, now: int, request: RoutedRequest, attempted: Collection[str]) -> str | None:
        """Pick a server.

        Return None if there is no table, if every server in it is withdrawn or attempted, or if the admission level
        is 0.
        """
        if self.received_state.admission_level(request.cluster, request.request_class) <= 0:
            return None  # a level of 0 also rejects requests that wait for a table
        return self.load_balancer.pick(now, self._table(request.cluster), self.withdrawn, attempted)

    def is_routable(self, request: RoutedRequest, server: str) -> bool:
        """Return whether a picked server may still be used. The table may change while a connection is opened."""
        return server not in self.withdrawn and server in self._table(request.cluster).names

    def spend_retry(
        self, now: int, request: RoutedRequest, execution: Execution, attempts: int, *, replayable: bool
    ) -> bool:
        """Return whether to retry. If so, the retry is taken from the budget.

        Args:
            now: Time in ns.
            request: The request.
            execution: What the last attempt proved about its execution.
            attempts: Number of attempts made so far.
            replayable: Whether the complete body can be sent again.
        """
        published = self._published_retries(request)
        left_ns = request.deadline - now
        allowed = allows_retry(execution, published, attempts, request.effect, replayable=replayable, left_ns=left_ns)
        return allowed and self.retry_budget.spend()

    def _published_retries(self, request: RoutedRequest) -> PublishedRetries:
        return self.received_state.retries_of(request.cluster, request.request_class)

    def attempt_timeout(self, request: RoutedRequest, now: int) -> int:
        """Return the timeout of an attempt in ns.

        The timeout never exceeds the time until the deadline. If a retry may follow, it also does not exceed the
        published attempt timeout. If none is published, `ATTEMPT_TIMEOUT_OBJECTIVES` times the latency objective is
        the bound, unless the class has no latency objective.
        """
        left_ns = request.deadline - now
        published = self._published_retries(request)
        objective_ns = self.settings.classes[request.request_class].aim
        retryable = published.limit and ON_ANY_FAILURE in published.conditions and request.effect != NON_IDEMPOTENT
        if not retryable:
            return left_ns
        default_timeout_ns = int(ATTEMPT_TIMEOUT_OBJECTIVES * objective_ns)
        published_ns = self.received_state.attempt_timeout_of(request.cluster, request.request_class)
        return min(left_ns, published_ns or default_timeout_ns or left_ns)
