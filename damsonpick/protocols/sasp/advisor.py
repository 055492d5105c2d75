"""Computes and encodes the advice on registered groups. Caches are shared by all sessions. Sans I/O."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from damsonpick.protocols.sasp import codec, weights
from damsonpick.protocols.sasp.layout import Member, Weight
from damsonpick.protocols.sasp.pacing import PollPacer
from damsonpick.protocols.sasp.registry import MemberSnapshot, RegisteredGroup, Registry
from damsonpick.protocols.sasp.weights import Advice, Exclusions, MemberStatus
from damsonpick.settings.units import slice_numbers
from damsonpick.state.published_tables import FLEET, PublishedTables, slice_unit
from damsonpick.time_units import NS_PER_SECOND

SHARES_PERIOD_NS = 2 * NS_PER_SECOND  # maximum age of shares over several slices, even if no table has changed
FLEET_COVERAGE = "fleet"  # coverage of groups that cover all slices
MAX_CACHED_ADVICE = 20_000  # number of items, one per coverage and member snapshot, above which the cache is cleared
MAX_CACHED_ENTRIES = 100_000  # number of encoded weight entries above which the cache is cleared


# Coverage and `id` of the member snapshot. Groups with the same coverage and the same members get the same advice.
AdviceKey = tuple[str, int]


class SharesVersion(NamedTuple):
    """Version of the inputs that shares are computed from. Shares are valid as long as the version is unchanged.

    Attributes:
        fleet_seq: Sequence number of the last change of withdrawals or fleet-wide admission levels.
        tables_seq: Sequence number of the last change of a covered table.
        period: Number of the period in which the load was read; 0 if the shares do not depend on load.
    """

    fleet_seq: int
    tables_seq: int
    period: int


class CachedShares(NamedTuple):
    """Shares by endpoint and the version of their inputs. The object is reused as long as the version is unchanged."""

    version: SharesVersion
    shares: dict[str, float]


class CachedAdvice(NamedTuple):
    """Advice by endpoint, its encoded weight entries, and the inputs it was computed from."""

    snapshot: tuple[MemberSnapshot, ...]
    shares: CachedShares
    status_revision: int
    advice: dict[str, Advice]
    entries: bytes


class GroupAdvice(NamedTuple):
    """Advice on a group.

    Attributes:
        advice: Advice by endpoint. The same object is returned as long as the advice is unchanged.
        encoded: The group with its weights as sent on the wire.
    """

    advice: dict[str, Advice]
    encoded: bytes


class EncodedMembers(NamedTuple):
    """An encoded group with weights and the number of members in it."""

    size: int
    encoded: bytes


def _no_capacities() -> dict[str, float]:
    return {}


@dataclass(slots=True, eq=False)
class WeightAdvisor:
    """Computes the advice that load balancers receive on their groups.

    Args:
        published: The published tables.
        registry: All registrations.
        pacer: Chooses the interval between polls.
        load_of: Returns the requests per second of a slice.
        status_of: Returns the status of an endpoint.
        queue_fill: Returns the queued entries as a share of the send queue's limit.
        fallback_capacities: Returns capacities by endpoint while no load reports arrive, else an empty dictionary.
            Without reports the tables do not change, and an endpoint that returns would get no entry.
    """

    published: PublishedTables
    registry: Registry
    pacer: PollPacer
    load_of: Callable[[int], float]
    status_of: Callable[[str], MemberStatus]
    queue_fill: Callable[[], float]
    fallback_capacities: Callable[[], dict[str, float]] = _no_capacities
    _shares: dict[str, CachedShares] = field(default_factory=dict, init=False)  # by coverage
    _advice: dict[AdviceKey, CachedAdvice] = field(default_factory=dict, init=False)
    # encoded weight entries by member, its opaque state, and advice (weight and flags)
    _entries: dict[tuple[Member, int, Advice], bytes] = field(default_factory=dict, init=False)
    _units: dict[str, dict[str, None]] = field(default_factory=dict, init=False)  # by coverage
    _status_revision: int = field(default=0, init=False)
    _last_seq: int = field(default=0, init=False)  # sequence number of the published state when it was last checked

    def clear_caches(self) -> None:
        """Clear the cached shares, advice and encodings. The next advice is computed from the current state."""
        self._shares.clear()
        self._advice.clear()
        self._entries.clear()

    def note_status_change(self) -> None:
        """Record that the results of `status_of` have changed, which invalidates the cached advice."""
        self._status_revision += 1

    def poll_interval(self, now: int) -> int:
        """Return the seconds after which a load balancer should poll again."""
        return self.pacer.next_interval(now, self.registry.session_count(), self.queue_fill())

    def covered_units(self, coverage: str) -> Mapping[str, None]:
        """Return the units of the tables that a group with this coverage covers, in the order of the tables."""
        if coverage not in self._units:
            self._units[coverage] = dict.fromkeys(slice_unit(number) for number in self._covered_slices(coverage))
        return self._units[coverage]

    def _covered_slices(self, coverage: str) -> list[int]:
        kind, _, rest = coverage.partition(" ")
        if kind == "slices":
            return slice_numbers(coverage)
        if kind == "class":
            classes = self.published.classes
            return list(range(classes.index(rest), self.published.slices, len(classes)))
        return list(range(self.published.slices))

    def _current_shares(self, now: int, coverage: str) -> CachedShares:
        """Return the shares over the covered slices. They are recomputed only if their version has changed.

        The first call after a change of the published state also notifies the pacer of the change.
        """
        if self.published.seq != self._last_seq:
            self._last_seq = self.published.seq
            self.pacer.note_change(now)
        version = self._shares_version(now, coverage)
        cached = self._shares.get(coverage)
        if cached is None or cached.version != version:
            cached = CachedShares(version, self._compute_shares(coverage))
            self._shares[coverage] = cached
        return cached

    def _shares_version(self, now: int, coverage: str) -> SharesVersion:
        changed = self.published.changed
        units = self.covered_units(coverage)
        tables_seq = max((changed[unit] for unit in units), default=0)
        # The load determines how much each slice counts relative to the others, so it has no effect on the shares of a
        # single slice.
        period = now // SHARES_PERIOD_NS if len(units) > 1 else 0
        return SharesVersion(changed[FLEET], tables_seq, period)

    def _compute_shares(self, coverage: str) -> dict[str, float]:
        if coverage == FLEET_COVERAGE:  # shares over other sets of slices always follow the tables
            shares = weights.capacity_shares(self.fallback_capacities(), self.published.withdrawn)
            if shares:
                return shares
        return weights.traffic_shares(self.published, self._covered_slices(coverage), self.load_of)

    def advise(self, now: int, group: RegisteredGroup) -> GroupAdvice:
        """Return the advice on a group at `now` (ns)."""
        shares = self._current_shares(now, group.coverage)
        key = (group.coverage, id(group.snapshot))
        cached = self._advice.get(key)
        if cached is not None and cached.snapshot is not group.snapshot:
            cached = None  # the `id` of a deleted snapshot was reused for another object
        is_current = cached is not None and cached.shares is shares and cached.status_revision == self._status_revision
        if cached is None or not is_current:
            cached = self._compute_advice(group, shares, cached)
            if len(self._advice) > MAX_CACHED_ADVICE:
                self._advice.clear()
            self._advice[key] = cached
        return GroupAdvice(cached.advice, codec.write_weights_of(group.key, len(group.snapshot), cached.entries))

    def _compute_advice(
        self, group: RegisteredGroup, shares: CachedShares, former: CachedAdvice | None
    ) -> CachedAdvice:
        snapshot = group.snapshot
        exclusions = Exclusions(
            withdrawn=self.published.withdrawn,
            quiesced=[row.member.endpoint for row in snapshot if row.quiesced],
            self_registered=[row.member.endpoint for row in snapshot if row.self_registered],
        )
        endpoints = dict.fromkeys(row.member.endpoint for row in snapshot)
        advice = weights.advise(shares.shares, endpoints, self.status_of, exclusions)
        if former is not None and former.advice == advice:
            return CachedAdvice(snapshot, shares, self._status_revision, former.advice, former.entries)
        entries = b"".join(self._encode(row.member, row.state, advice[row.member.endpoint]) for row in snapshot)
        return CachedAdvice(snapshot, shares, self._status_revision, advice, entries)

    def encode_changed(
        self, group: RegisteredGroup, before: Mapping[str, Advice], after: Mapping[str, Advice]
    ) -> EncodedMembers:
        """Encode the members of a group whose advice differs between `before` and `after`."""
        entries = []
        for row in group.snapshot:
            new = after[row.member.endpoint]
            if before.get(row.member.endpoint) != new:
                entries.append(self._encode(row.member, row.state, new))
        return EncodedMembers(len(entries), codec.write_weights_of(group.key, len(entries), b"".join(entries)))

    def _encode(self, member: Member, state: int, advice: Advice) -> bytes:
        key = (member, state, advice)
        if key not in self._entries:
            if len(self._entries) > MAX_CACHED_ENTRIES:
                self._entries.clear()
            self._entries[key] = codec.write_weight(Weight(member, state, advice.flags, advice.weight))
        return self._entries[key]
