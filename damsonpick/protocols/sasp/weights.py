"""Weights of a group's members from the planned tables. Sans I/O.

A member's share of a set of slices is what gateways would bring it by the tables: over the slices, heat times the part
of its line among the lines that may be picked. Shares become whole numbers without losing zero from non-zero, nor which
of two is the larger. What the xDS front has withdrawn weighs 0 and is quiesced here.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from damsonpick.protocols.sasp.layout import MOST_WEIGHT, WeightFlag
from damsonpick.state.published_tables import PublishedTables

TOP = 60_000  # of the largest share: room above for keeping apart what rounds alike
SAME = 1e-9  # shares closer than this are one
NOISE = 0.05  # of its former weight by which one may change without being worth a push


class Advice(NamedTuple):
    """What a balancer is told of an endpoint."""

    weight: int
    flags: WeightFlag


class Known(NamedTuple):
    """What the pilot knows of an endpoint, whatever the tables say."""

    listed: bool
    serving: bool  # listed as in service
    load_reports: bool  # answers have been seen lately


def shares(published: PublishedTables, slices: Iterable[int], heat: Callable[[int], float]) -> dict[str, float]:
    """Share of each endpoint, adding up to 1 (or nothing, if no slice has an open line)."""
    found: dict[str, float] = {}
    for number in slices:
        lines = {n: published.tables[number][n] for n in published.routable_endpoints(number)}
        whole, warm = sum(lines.values()), max(0.0, heat(number))
        for name, weight in lines.items():
            found[name] = found.get(name, 0.0) + warm * weight / whole
    whole = sum(found.values())
    return {n: s / whole for n, s in found.items()} if whole > 0 else dict.fromkeys(found, 1 / (len(found) or 1))


def by_capacity(capacities: Mapping[str, float], withdrawn: Iterable[str]) -> dict[str, float]:
    """Shares by capacity alone, for a pilot that hears of no request."""
    out = set(withdrawn)
    found = {n: c for n, c in capacities.items() if c > 0 and n not in out}
    whole = sum(found.values())
    return {n: c / whole for n, c in found.items()} if whole > 0 else {}


def scale(found: Mapping[str, float]) -> dict[str, int]:
    """Whole weights: 0 only for 0, larger for larger, equal for equal; as near to proportion as that allows."""
    most = max(found.values(), default=0.0)
    if most <= 0:
        return dict.fromkeys(found, 0)
    ranks: list[list[str]] = []  # equal shares together, ascending
    last = 0.0
    for name in sorted((n for n, s in found.items() if s > 0), key=lambda n: (found[n], n)):
        if ranks and found[name] - last <= SAME * most:
            ranks[-1].append(name)
        else:
            ranks.append([name])
            last = found[name]
    result = dict.fromkeys(found, 0)
    former = 0
    for k, names in enumerate(ranks):
        above = len(ranks) - 1 - k
        weight = min(max(former + 1, round(TOP * found[names[0]] / most)), MOST_WEIGHT - above)
        result.update(dict.fromkeys(names, weight))
        former = weight
    return result


def advise(
    share: Mapping[str, float],
    endpoints: Iterable[str],
    known: Callable[[str], Known],
    withdrawn: Iterable[str],
    quiesced: Iterable[str],
    registered: Iterable[str],
) -> dict[str, Advice]:
    """Advice on a group's endpoints.

    Args:
        share: by endpoint, over the slices that the group covers.
        withdrawn: endpoints shut out by the pilot; quiesced: by members or balancers; registered: by themselves.
    """
    out, asked, own = set(withdrawn), set(quiesced), set(registered)
    chosen = list(endpoints)
    barred = {n for n in chosen if n in out or n in asked or not known(n).serving}
    weights = scale({n: 0.0 if n in barred else share.get(n, 0.0) for n in chosen})
    found = {}
    for name in chosen:
        about = known(name)
        flags = WeightFlag(0)
        if about.listed and about.serving:
            flags |= WeightFlag.CONTACT
        if name in barred:
            flags |= WeightFlag.QUIESCE
        if name in own:
            flags |= WeightFlag.REGISTERED
        if about.load_reports:
            flags |= WeightFlag.CONFIDENT
        found[name] = Advice(weights[name], flags)
    return found


def matters(before: Mapping[str, Advice], after: Mapping[str, Advice]) -> bool:
    """Whether a change is worth a push: members, zero, quiesce, or a weight by more than noise."""
    if before.keys() != after.keys():
        return True
    for name, new in after.items():
        old = before[name]
        if (old.weight == 0) != (new.weight == 0) or (old.flags ^ new.flags) & WeightFlag.QUIESCE:
            return True
        if abs(new.weight - old.weight) > NOISE * max(old.weight, new.weight):
            return True
    return False


def urgent(before: Mapping[str, Advice], after: Mapping[str, Advice]) -> bool:
    """Whether a member has newly been quiesced: such a push waits for nothing."""
    return any(
        new.flags & WeightFlag.QUIESCE and not (name in before and before[name].flags & WeightFlag.QUIESCE)
        for name, new in after.items()
    )
