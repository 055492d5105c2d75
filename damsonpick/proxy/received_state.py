"""State that a proxy received over xDS: tables, withdrawals, admission levels and retry rules. Sans I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import xxhash
from envoy.config.cluster.v3 import cluster_pb2

from damsonpick.protocols.xds.names import CDS, EDS, RDS
from damsonpick.proxy.received_resources import (
    ReceivedEntry,
    ReceivedResource,
    ReceivedTable,
    parse_routes,
    parse_table,
)
from damsonpick.proxy.response_errors import RootMismatchError, UnwantedResourceError, VersionMismatchError
from damsonpick.proxy.retry_policy import PublishedRetries
from damsonpick.state.history.digest import Digest, names_in_ranges, range_of
from damsonpick.state.history.root_statement import RootStatement
from damsonpick.state.published_tables import FLEET

NO_RETRIES = PublishedRetries("", 0)


class ReceivedState:
    """All received resources.

    Attributes:
        versions: Resource versions by type URL and name.
        digests: Digest of the versions by type URL.
        tables: Received tables by cluster.
        retries: Published retries by class and cluster. The cluster '' stands for all clusters.
        clusters: Cluster by class and zone, for a deployment without slices.
        attempt_timeouts: Attempt timeouts in ns by class and cluster, as in `retries`.
        balancing_policies: Cluster.LbPolicy by cluster.
        ejection_failures: Consecutive failures after which an endpoint is ejected. 0 disables ejection.
        rejected_names: Names of resources to reject, for test scenarios.
    """

    def __init__(self) -> None:
        """Create a state without any resources."""
        self.versions: dict[str, dict[str, str]] = {CDS: {}, EDS: {}, RDS: {}}
        self.digests: dict[str, Digest] = {CDS: Digest(), EDS: Digest(), RDS: Digest()}
        self.tables: dict[str, ReceivedTable] = {}
        self.retries: dict[tuple[str, str], PublishedRetries] = {}
        self.clusters: dict[tuple[str, str], str] = {}
        self.attempt_timeouts: dict[tuple[str, str], int] = {}
        self.balancing_policies: dict[str, int] = {}
        self.ejection_failures = 0
        self.rejected_names: set[str] = set()

    # -- responses

    def apply(
        self,
        type_url: str,
        resources: Sequence[ReceivedResource],
        removed: Sequence[str],
        statement: RootStatement | None = None,
    ) -> list[str]:
        """Apply a response. Nothing of a rejected response is applied.

        Args:
            type_url: Type of all resources in the response.
            resources: New and changed resources.
            removed: Names of removed resources.
            statement: Roots that the response states, if any.

        Returns:
            Names of further resources that were removed because the response replaces their range.

        Raises:
            ResponseRejectedError: A resource or the stated root is wrong. Nothing of the response is applied.
            DecodeError: The body of a resource cannot be parsed. The resources before it are already applied.
        """
        for resource in resources:
            if resource.name in self.rejected_names:
                raise UnwantedResourceError(resource.name)
        replaced: list[str] = []
        if statement is not None:
            received = {resource.name for resource in resources}
            in_ranges = names_in_ranges(self.versions[type_url], statement.replaces)
            replaced = [name for name in in_ranges if name not in received]
            self._verify(type_url, resources, removed, statement)
        for resource in resources:
            self._put(type_url, resource)
        for name in [*removed, *replaced]:
            self._remove(type_url, name)
        return replaced

    def start_sotw_stream(self) -> None:
        """Reset versions and digests for a new stream of the state-of-the-world variant.

        Roots cover only the resources received on this stream. Tables that were received earlier stay in use.
        """
        for type_url in self.versions:
            self.versions[type_url] = {}
            self.digests[type_url] = Digest()

    def _put(self, type_url: str, resource: ReceivedResource) -> None:
        name = resource.name
        self._set_version(type_url, name, resource.version)
        if type_url == EDS:
            self.tables[name] = parse_table(resource.body)
        elif type_url == RDS:
            self.retries, self.clusters, self.attempt_timeouts = parse_routes(resource.body)
        else:
            cluster = cluster_pb2.Cluster.FromString(resource.body)
            self.balancing_policies[name] = cluster.lb_policy
            self.ejection_failures = cluster.outlier_detection.consecutive_5xx.value

    def _remove(self, type_url: str, name: str) -> None:
        self._set_version(type_url, name, "")
        if type_url == EDS:
            self.tables.pop(name, None)

    def _set_version(self, type_url: str, name: str, version: str) -> None:
        """Set the version of a resource, or remove the version if it is ''."""
        versions = self.versions[type_url]
        self.digests[type_url].change(name, versions.get(name, ""), version)
        if version:
            versions[name] = version
        else:
            versions.pop(name, None)

    def _verify(
        self, type_url: str, resources: Iterable[ReceivedResource], removed: Iterable[str], statement: RootStatement
    ) -> None:
        """Check a response against the roots that it states.

        Raises:
            VersionMismatchError: A version is not the hash of its body.
            RootMismatchError: The response starts from a state other than this one, or leads to a root other than the
                stated one.
        """
        for resource in resources:
            body_hash = xxhash.xxh3_64_hexdigest(resource.body)
            if body_hash != resource.version:
                raise VersionMismatchError(resource.name, body_hash, resource.version)
        held = self.digests[type_url]
        if not statement.replaces and held.root() != statement.start:
            raise RootMismatchError(held.root(), statement.start, held)
        changes = [(resource.name, resource.version) for resource in resources]
        changes += [(name, "") for name in removed]
        end_root = self._digest_after(type_url, changes, statement.replaces).root()
        if end_root != statement.end:
            raise RootMismatchError(end_root, statement.end, held)

    def _digest_after(
        self, type_url: str, changes: Iterable[tuple[str, str]], replaced_ranges: Iterable[int]
    ) -> Digest:
        """Compute the digest that results from emptying ranges and then changing versions by name."""
        versions = self.versions[type_url]
        digest = self.digests[type_url].copy()
        emptied_ranges = set(replaced_ranges)
        for index in emptied_ranges:
            digest.sums[index] = 0
        for name, version in changes:
            former = "" if range_of(name) in emptied_ranges else versions.get(name, "")
            digest.change(name, former, version)
        return digest

    # -- queries

    def available_entries(self, cluster: str) -> dict[str, ReceivedEntry]:
        """Return the entries of a cluster's table whose endpoints are not withdrawn."""
        table = self.tables.get(cluster)
        if table is None:
            return {}
        fleet = self.tables.get(FLEET)
        if fleet is None:
            return dict(table.entries)
        return {name: entry for name, entry in table.entries.items() if name not in fleet.entries}

    def admission_level(self, cluster: str, request_class: str) -> float:
        """Return the admission level of a class, from 0 to 1. The lower of cluster and fleet level applies."""
        level = 1.0
        for name in (cluster, FLEET):
            table = self.tables.get(name)
            if table is not None:
                level = min(level, table.levels.get(request_class, 1.0))
        return level

    def attempt_timeout_of(self, cluster: str, request_class: str) -> int:
        """Return the published timeout in ns of an attempt that a retry may follow, or 0 if none is published.

        The timeout comes from the same route as the retries.
        """
        has_own = (request_class, cluster) in self.retries
        return self.attempt_timeouts.get((request_class, cluster if has_own else ""), 0)

    def retries_of(self, cluster: str, request_class: str) -> PublishedRetries:
        """Return the published retries of a class in a cluster.

        If none are published for the cluster, the retries that are published for all clusters apply.
        """
        own = self.retries.get((request_class, cluster))
        if own is not None:
            return own
        return self.retries.get((request_class, ""), NO_RETRIES)
