"""Weights of a group's members from the published tables. Sans I/O.

A member's share of a set of slices is the part of their requests that the tables send to it: summed over the slices,
the slice's load times the weight of the member's entry among the routable entries. Shares become the 16-bit weights of
RFC 4678 without losing the difference between zero and non-zero, nor which of two is the larger. Endpoints that are
withdrawn weigh 0 and are quiesced.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from damsonpick.protocols.sasp.layout import MAX_WEIGHT, WeightFlag
from damsonpick.state.published_tables import PublishedTables

LARGEST_SHARE_WEIGHT = 60_000  # leaves room up to MAX_WEIGHT to separate shares that round to one number
EQUAL_SHARE_TOLERANCE = 1e-9  # of the largest share: shares closer than this get one weight
WEIGHT_NOISE = 0.05  # share by which a weight may change without being pushed


class Advice(NamedTuple):
    """What a load balancer is told of an endpoint.

    Attributes:
        weight: 0 to `MAX_WEIGHT`.
        flags: of the weight entry.
    """

    weight: int
    flags: WeightFlag


class MemberStatus(NamedTuple):
    """What is known of an endpoint, whatever the tables say.

    Attributes:
        listed: it is on the endpoint list.
        serving: it is listed as in service.
        has_recent_reports: load reports named it lately.
    """

    listed: bool
    serving: bool
    has_recent_reports: bool


@dataclass(frozen=True, slots=True)
class Exclusions:
    """Endpoints that get no new work, and those that registered themselves.

    Attributes:
        withdrawn: by this controller.
        quiesced: by members or load balancers.
        self_registered: the member itself asked for its registration.
    """

    withdrawn: Iterable[str] = ()
    quiesced: Iterable[str] = ()
    self_registered: Iterable[str] = ()


def traffic_shares(
    published: PublishedTables, slices: Iterable[int], load_of: Callable[[int], float]
) -> dict[str, float]:
    """The share of the requests for some slices that each endpoint gets by the tables.

    Args:
        published: the tables.
        slices: numbers of the slices.
        load_of: requests a second of a slice.

    Returns:
        By endpoint, adding up to 1; equal shares if no slice has any load; empty if none has a routable entry.
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
    """Shares in proportion to capacity, adding up to 1; empty if no endpoint is left."""
    excluded = set(withdrawn)
    usable = {name: capacity for name, capacity in capacities.items() if capacity > 0 and name not in excluded}
    total = sum(usable.values())
    if total <= 0:
        return {}
    return {name: capacity / total for name, capacity in usable.items()}


def whole_weights(shares: Mapping[str, float]) -> dict[str, int]:
    """Whole weights: 0 only for 0, larger for larger, equal for equal; as near to proportion as that allows."""
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
    """Endpoints with a share above 0, ascending; those within `tolerance` of the first of a rank stand together."""
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
    """Advice on a group's endpoints.

    Args:
        shares: by endpoint, over the slices that the group covers.
        endpoints: of the group's members.
        status_of: what is known of an endpoint.
        exclusions: endpoints that are to be quiesced.

    Returns:
        By endpoint, in the order of `endpoints`.
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
    """Whether a change is worth a push: other members, zero or not, quiesced or not, a weight by more than noise."""
    if before.keys() != after.keys():
        return True
    return any(_differs(before[name], new) for name, new in after.items())


def _differs(old: Advice, new: Advice) -> bool:
    if (old.weight == 0) != (new.weight == 0):
        return True
    if (old.flags ^ new.flags) & WeightFlag.QUIESCE:
        return True
    return abs(new.weight - old.weight) > WEIGHT_NOISE * max(old.weight, new.weight)


def has_newly_quiesced(before: Mapping[str, Advice], after: Mapping[str, Advice]) -> bool:
    """Whether a member has newly been quiesced: such a push is urgent."""
    for name, new in after.items():
        was_quiesced = name in before and before[name].flags & WeightFlag.QUIESCE
        if new.flags & WeightFlag.QUIESCE and not was_quiesced:
            return True
    return False
