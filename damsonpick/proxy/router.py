"""Everything a request's way depends on, in one place. Sans I/O.

Holds tables, chooser, admission and retry budget, and says for a request: refused, which server, whether again.
Rows are made ready when a table changes, so the cost of a choice does not grow with the table.
"""

from __future__ import annotations

import random
from typing import NamedTuple

import xxhash

from damsonpick.protocols.xds.names import EDS, slice_of
from damsonpick.proxy.admission import Admission
from damsonpick.proxy.load_balancer import LOTTERY, PAIR, WHEEL, Chooser, Row
from damsonpick.proxy.received_state import Holdings
from damsonpick.proxy.retry_policy import Budget, Proof, may
from damsonpick.proxy.settings import ProxySettings

FLEET = "fleet"
PICKS = {0: WHEEL, 1: PAIR, 3: LOTTERY}  # Cluster.LbPolicy
NO_ROW = Row({})


class Asked(NamedTuple):
    """What a request is, to the router. Times in ns."""

    kind: str
    cluster: str
    client: str
    arrived: int
    deadline: int
    effect: str
    slice: int


class Router:
    """Args: settings: the proxy's; rng: draws; a proxy's own seed comes from it."""

    def __init__(self, settings: ProxySettings, rng: random.Random) -> None:
        self.settings, self.rng = settings, rng
        self.holdings = Holdings()
        self.chooser = Chooser(rng)
        self.admission = Admission(rng.getrandbits(63))
        self.budget = Budget()
        self.rows: dict[str, Row] = {}
        self.barred: frozenset[str] = frozenset()

    # -- tables

    def took(self, kind: str, names: list[str]) -> list[str]:
        """Holdings have changed; returns servers that are newly barred."""
        if kind != EDS:
            self._cluster_facts()
            return []
        for name in names:
            self.rows.pop(name, None)
        fleet = self.holdings.tables.get(FLEET)
        barred = frozenset(fleet.lines) if fleet else frozenset()
        fresh, self.barred = barred - self.barred, barred
        return sorted(fresh)

    def _cluster_facts(self) -> None:
        self.chooser.strikes = self.holdings.strikes
        policy = next(iter(self.holdings.picks.values()), 1)
        self.chooser.pick = PICKS.get(policy, PAIR)

    def _row(self, cluster: str) -> Row:
        row = self.rows.get(cluster)
        if row is None:
            table = self.holdings.tables.get(cluster)
            if table is None:
                return NO_ROW
            row = self.rows[cluster] = Row({n: w for n, (w, _) in table.lines.items()})
        return row

    def zone_of(self, cluster: str, server: str) -> str:
        table = self.holdings.tables.get(cluster)
        return table.lines.get(server, (0, ""))[1] if table else ""

    # -- a request

    def ask(self, now: int, kind: str, key: str, client: str, named: str, limit: int | None) -> Asked:
        """What a request is. An unknown class counts as the first; `limit` is what is left of a caller's deadline."""
        known = kind if kind in self.settings.classes else self.settings.usual()
        spec, slices = self.settings.classes[known], self.settings.proxy.slices
        if named:
            cluster = named
        elif slices:
            cluster = f"slice/{xxhash.xxh3_64_intdigest(key.encode()) % slices}"
        else:
            cluster = self.holdings.clusters.get((known, self.settings.proxy.zone), "")
        span = spec.deadline if limit is None else max(0, min(spec.deadline, limit))
        return Asked(known, cluster, client, now, now + span, spec.effect, slice_of(cluster))

    def admit(self, now: int, asked: Asked) -> bool:
        level = self.holdings.level(asked.cluster, asked.kind)
        let_in = self.admission.admit(now, level, asked.kind, asked.client)
        if let_in:
            self.budget.request()
        return let_in

    def choose(self, now: int, asked: Asked, tried: set[str]) -> str | None:
        """A server, or None: no line that may be picked."""
        if self.holdings.level(asked.cluster, asked.kind) <= 0:
            return None  # a level of nought also stops what is held
        return self.chooser.choose(now, self._row(asked.cluster), self.barred, tried)

    def still(self, asked: Asked, server: str) -> bool:
        """Whether a drawn server is still right: its table may have changed while a connection was made."""
        return server not in self.barred and server in self._row(asked.cluster).names

    def again(self, now: int, asked: Asked, proof: Proof, tries: int, *, replayable: bool) -> bool:
        """Whether to try once more, and pays for it."""
        conditions, most = self.holdings.retry(asked.cluster, asked.kind)
        return (
            may(proof, conditions, most, tries, asked.effect, replayable=replayable, left=asked.deadline - now)
            and self.budget.take()
        )

    def patience(self, asked: Asked, now: int) -> int:
        """ns that an attempt may take: less than the deadline where another try may follow."""
        conditions, most = self.holdings.retry(asked.cluster, asked.kind)
        left = asked.deadline - now
        aim = self.settings.classes[asked.kind].aim
        if most and "5xx" in conditions and aim and asked.effect != "non_idempotent":
            return min(left, int(1.2 * aim))
        return left
