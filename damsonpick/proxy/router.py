"""Every decision on a request's way through the proxy, in one place. Sans I/O.

Holds the received tables, load balancer, admission and retry budget, and says for a request: rejected or admitted,
which server, whether to retry. Tables are prepared for drawing when they change, so that the cost of a pick does not
grow with the table.
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

FLEET_CLUSTER = "fleet"  # its entries are the withdrawn servers
POLICY_BY_XDS_NUMBER = {0: Policy.ROUND_ROBIN, 1: Policy.POWER_OF_TWO, 3: Policy.RANDOM}  # Cluster.LbPolicy
DEFAULT_XDS_POLICY = 1
# Latency objectives that an attempt may take where a retry may follow and the control service publishes no time.
ATTEMPT_TIMEOUT_OBJECTIVES = 1.2
EMPTY_TABLE = WeightedTable({})


class RoutedRequest(NamedTuple):
    """What a request is, to the router. Times in ns."""

    request_class: str
    cluster: str
    client: str
    arrived: int
    deadline: int
    effect: str
    slice: int


class Router:
    """Decides for each request of one proxy."""

    def __init__(self, settings: ProxySettings, rng: random.Random) -> None:
        """Begin without tables.

        Args:
            settings: the proxy's.
            rng: random draws; the admission seed comes from it as well.
        """
        self.settings = settings
        self.rng = rng
        self.received_state = ReceivedState()
        self.load_balancer = LoadBalancer(rng)
        self.admission = Admission(rng.getrandbits(63))
        self.retry_budget = RetryBudget()
        self.withdrawn: frozenset[str] = frozenset()
        self._prepared: dict[str, WeightedTable] = {}  # by cluster

    # -- tables

    def resources_changed(self, type_url: str, names: list[str]) -> list[str]:
        """Take over changed resources of one xDS type; returns the servers that are newly withdrawn."""
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
        """The zone in which a table places a server; '' if it is not in the table."""
        table = self.received_state.tables.get(cluster)
        entry = table.entries.get(server) if table else None
        return entry.zone if entry else ""

    # -- a request

    def classify(
        self, now: int, request_class: str, key: str, client: str, named_cluster: str, left_ns: int | None
    ) -> RoutedRequest:
        """What a request is, to the router.

        Args:
            now: ns.
            request_class: as the client names it; an unknown class counts as the first.
            key: hashed to a slice.
            client: identity of the client.
            named_cluster: the cluster that the client names itself, or ''.
            left_ns: what is left of the caller's deadline; None: it states none.
        """
        known = request_class if request_class in self.settings.classes else self.settings.usual()
        spec = self.settings.classes[known]
        duration = spec.deadline
        if left_ns is not None:
            duration = max(0, min(duration, left_ns))
        cluster = named_cluster or self._cluster_of(known, key)
        return RoutedRequest(known, cluster, client, now, now + duration, spec.effect, slice_of(cluster))

    def _cluster_of(self, request_class: str, key: str) -> str:
        slices = self.settings.proxy.slices
        if slices:
            return f"slice/{xxhash.xxh3_64_intdigest(key.encode()) % slices}"
        return self.received_state.clusters.get((request_class, self.settings.proxy.zone), "")

    def admit(self, now: int, request: RoutedRequest) -> bool:
        """Whether a request is admitted at the published level; an admitted one earns retries."""
        level = self.received_state.admission_level(request.cluster, request.request_class)
        admitted = self.admission.admit(now, level, request.request_class, request.client)
        if admitted:
            self.retry_budget.earn()
        return admitted

    def pick(self, now: int, request: RoutedRequest, attempted: Collection[str]) -> str | None:
        """A server, or None: the table has no routable one that was not attempted."""
        if self.received_state.admission_level(request.cluster, request.request_class) <= 0:
            return None  # a level of zero also stops requests that are held
        return self.load_balancer.pick(now, self._table(request.cluster), self.withdrawn, attempted)

    def is_routable(self, request: RoutedRequest, server: str) -> bool:
        """Whether a picked server may still be used: its table may have changed while a connection was opened."""
        return server not in self.withdrawn and server in self._table(request.cluster).names

    def spend_retry(
        self, now: int, request: RoutedRequest, execution: Execution, attempts: int, *, replayable: bool
    ) -> bool:
        """Whether to retry; if so, the retry is taken from the budget.

        Args:
            now: ns.
            request: the request.
            execution: what the last attempt proved.
            attempts: attempts made so far.
            replayable: whether the complete body can be sent again.
        """
        published = self._published_retries(request)
        left_ns = request.deadline - now
        allowed = allows_retry(execution, published, attempts, request.effect, replayable=replayable, left_ns=left_ns)
        return allowed and self.retry_budget.spend()

    def _published_retries(self, request: RoutedRequest) -> PublishedRetries:
        return self.received_state.retries_of(request.cluster, request.request_class)

    def attempt_timeout(self, request: RoutedRequest, now: int) -> int:
        """ns that an attempt may take: less than what is left of the deadline where a retry may follow."""
        left_ns = request.deadline - now
        published = self._published_retries(request)
        objective_ns = self.settings.classes[request.request_class].aim
        retryable = published.limit and ON_ANY_FAILURE in published.conditions and request.effect != NON_IDEMPOTENT
        if not retryable:
            return left_ns
        own_timeout_ns = int(ATTEMPT_TIMEOUT_OBJECTIVES * objective_ns)
        published_ns = self.received_state.attempt_timeout_of(request.cluster, request.request_class)
        return min(left_ns, published_ns or own_timeout_ns or left_ns)
