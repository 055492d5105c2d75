"""Derives the weights of a group's members from the published tables or from capacities. Sans I/O.

With the tables, the share of a member is the fraction of the requests for a set of slices that the tables send to the
member. It is a mean over the slices with routable entries, weighted by load: each slice contributes the weight of the
member's entry divided by the total weight of the slice's routable entries. With capacities, the share is the member's
fraction of the total capacity. Shares are converted to the 16-bit weights of RFC 4678. The conversion preserves the
order of shares and the difference between zero and non-zero. An endpoint that is withdrawn, not in service or quiesced
on request has weight 0 and the flag QUIESCE.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from damsonpick.protocols.sasp.layout import MAX_WEIGHT, WeightFlag
from damsonpick.state.published_tables import PublishedTables

# Weight of the largest share. The range from it to MAX_WEIGHT is reserved to separate shares that round to the same
# number; the largest share gets a weight from this range if many smaller shares must be separated.
LARGEST_SHARE_WEIGHT = 60_000
EQUAL_SHARE_TOLERANCE = 1e-9  # largest difference between shares of equal weight, as a fraction of the largest share
WEIGHT_CHANGE_TOLERANCE = 0.05  # relative change of a weight up to which it is not pushed


class Advice(NamedTuple):
    """Advice to a load balancer on one endpoint.

    Attributes:
        weight: Weight from 0 to `MAX_WEIGHT`.
        flags: Flags of the weight entry.
    """

    weight: int
    flags: WeightFlag


class MemberStatus(NamedTuple):
    """Status of an endpoint, independent of the tables.

    Attributes:
        listed: Whether the endpoint is on the endpoint list.
        serving: Whether the endpoint is on the list with the state `in_service`.
        has_recent_reports: Whether recent load reports include the endpoint.
    """

    listed: bool
    serving: bool
    has_recent_reports: bool


@dataclass(frozen=True, slots=True)
class Exclusions:
    """Endpoints that must not get new work, and endpoints that registered themselves.

    Attributes:
        withdrawn: Endpoints that this controller has withdrawn.
        quiesced: Endpoints that members or load balancers have quiesced.
        self_registered: Endpoints that registered themselves.
    """

    withdrawn: Iterable[str] = ()
    quiesced: Iterable[str] = ()
    self_registered: Iterable[str] = ()


def traffic_shares(
    published: PublishedTables, slices: Iterable[int], load_of: Callable[[int], float]
) -> dict[str, float]:
    """Return the fraction of the requests for some slices that the tables send to each endpoint.

    Args:
        published: The published tables.
        slices: Numbers of the slices.
        load_of: Returns the requests per second of a slice.

    Returns:
        Shares by endpoint, which add up to 1. All shares are equal if no slice with a routable entry has load. Empty
        if no slice has a routable entry.
    """
    rates: dict[str, float] = {}
    for number in slices:
        table = published.tables[number]
        entries = {name: table[name] for name in published.routable_endpoints(number)}
        total_weight = sum(entries.values())
        load = max(0.0, load_of(number))
        for name, weight in entries.items():
            rates[name] = rates.get(name, 0.0) + load * weight / total_weight
    total_rate = sum(rates.values())
    if total_rate > 0:
        return {name: rate / total_rate for name, rate in rates.items()}
    return dict.fromkeys(rates, 1 / (len(rates) or 1))


def capacity_shares(capacities: Mapping[str, float], withdrawn: Iterable[str]) -> dict[str, float]:
    """Return shares in proportion to capacity, which add up to 1; empty if no endpoint can be used."""
    excluded = set(withdrawn)
    usable = {name: capacity for name, capacity in capacities.items() if capacity > 0 and name not in excluded}
    total = sum(usable.values())
    if total <= 0:
        return {}
    return {name: capacity / total for name, capacity in usable.items()}


def whole_weights(shares: Mapping[str, float]) -> dict[str, int]:
    """Convert shares to integer weights.

    Only a share of 0 gets weight 0, a larger share gets a larger weight, and shares that are equal within
    `EQUAL_SHARE_TOLERANCE` get equal weights. Apart from these constraints and rounding, weights are proportional
    to shares.
    """
    largest = max(shares.values(), default=0.0)
    weights = dict.fromkeys(shares, 0)
    if largest <= 0:
        return weights
    ranks = _ranks(shares, EQUAL_SHARE_TOLERANCE * largest)
    previous = 0
    for index, names in enumerate(ranks):
        proportional = round(LARGEST_SHARE_WEIGHT * shares[names[0]] / largest)
        ranks_above = len(ranks) - 1 - index
        weight = min(max(previous + 1, proportional), MAX_WEIGHT - ranks_above)
        weights.update(dict.fromkeys(names, weight))
        previous = weight
    return weights


def _ranks(shares: Mapping[str, float], tolerance: float) -> list[list[str]]:
    """Rank the endpoints with a share above 0 in ascending order.

    Endpoints whose share is within `tolerance` of the first share of a rank belong to this rank.
    """
    positive = [name for name, share in shares.items() if share > 0]
    ranks: list[list[str]] = []
    rank_share = 0.0
    for name in sorted(positive, key=lambda name: (shares[name], name)):
        if ranks and shares[name] - rank_share <= tolerance:
            ranks[-1].append(name)
        else:
            ranks.append([name])
            rank_share = shares[name]
    return ranks


def advise(
    shares: Mapping[str, float],
    endpoints: Iterable[str],
    status_of: Callable[[str], MemberStatus],
    exclusions: Exclusions,
) -> dict[str, Advice]:
    """Return the advice on the endpoints of a group.

    Args:
        shares: Shares by endpoint, as `traffic_shares` returns them for the slices that the group covers, or as
            `capacity_shares` returns them. An endpoint without a share has share 0.
        endpoints: Endpoints of the group's members.
        status_of: Returns the status of an endpoint.
        exclusions: Endpoints to quiesce (`withdrawn` and `quiesced`), and endpoints that registered themselves.
            Endpoints that are not in service are quiesced too.

    Returns:
        Advice by endpoint, in the order of `endpoints`.
    """
    withdrawn = set(exclusions.withdrawn)
    asked = set(exclusions.quiesced)
    self_registered = set(exclusions.self_registered)
    names = list(endpoints)
    statuses = {name: status_of(name) for name in names}
    quiesced = {name for name in names if name in withdrawn or name in asked or not statuses[name].serving}
    weights = whole_weights({name: 0.0 if name in quiesced else shares.get(name, 0.0) for name in names})
    advice = {}
    for name in names:
        flags = _flags(statuses[name], is_quiesced=name in quiesced, is_self_registered=name in self_registered)
        advice[name] = Advice(weights[name], flags)
    return advice


def _flags(status: MemberStatus, *, is_quiesced: bool, is_self_registered: bool) -> WeightFlag:
    flags = WeightFlag(0)
    if status.listed and status.serving:
        flags |= WeightFlag.CONTACT
    if is_quiesced:
        flags |= WeightFlag.QUIESCE
    if is_self_registered:
        flags |= WeightFlag.REGISTERED
    if status.has_recent_reports:
        flags |= WeightFlag.CONFIDENT
    return flags


def is_significant(before: Mapping[str, Advice], after: Mapping[str, Advice]) -> bool:
    """Return whether a change of advice must be pushed.

    This is the case if the set of members changes, a weight becomes zero or non-zero, a member becomes quiesced or is
    no longer quiesced, or a weight changes by more than `WEIGHT_CHANGE_TOLERANCE`.
    """
    if before.keys() != after.keys():
        return True
    return any(_differs_significantly(before[name], new) for name, new in after.items())


def _differs_significantly(old: Advice, new: Advice) -> bool:
    if (old.weight == 0) != (new.weight == 0):
        return True
    if (old.flags ^ new.flags) & WeightFlag.QUIESCE:
        return True
    return abs(new.weight - old.weight) > WEIGHT_CHANGE_TOLERANCE * max(old.weight, new.weight)


def has_newly_quiesced(before: Mapping[str, Advice], after: Mapping[str, Advice]) -> bool:
    """Return whether a member has newly been quiesced, which makes a push urgent."""
    for name, new in after.items():
        was_quiesced = name in before and before[name].flags & WeightFlag.QUIESCE
        if new.flags & WeightFlag.QUIESCE and not was_quiesced:
            return True
    return False
