"""How old a snapshot is, and how its figures decay with age. Sans I/O.

Each figure decays toward what a planner without learned state assumes, with a half-life of its own: a slow disk stays
slow for minutes, the request rate has changed after one.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from damsonpick.state.learned.snapshot import HostTime, LearnedEndpoint, LearnedFleet, LearnedSlice, Snapshot
from damsonpick.time_units import NS_PER_SECOND

CAPACITY_FACTOR_HALF_LIFE_NS = 300 * NS_PER_SECOND
THROUGHPUT_PER_CAPACITY_HALF_LIFE_NS = 600 * NS_PER_SECOND
RATE_HALF_LIFE_NS = 60 * NS_PER_SECOND
BEST_THROUGHPUT_HALF_LIFE_NS = 60 * NS_PER_SECOND
WARMTH_HALF_LIFE_NS = 15 * NS_PER_SECOND
LEVELS_MAX_AGE_NS = 60 * NS_PER_SECOND  # older admission levels were set for a load that has passed
UNKNOWN_AGE_NS = 1800 * NS_PER_SECOND  # assumed where the age cannot be determined
CLOCK_TOLERANCE_NS = 5 * NS_PER_SECOND  # difference between two clocks of one host that is not reported
NEGLIGIBLE_SHARE = 0.02  # figures of which less is left are dropped
MIN_THROUGHPUT_PER_CAPACITY_SHARE = 0.5  # below it the figure is dropped: a smaller one would throttle a healthy fleet


class Age(NamedTuple):
    """Age in ns, and what was wrong with the clocks ('': nothing)."""

    ns: int
    clock_warning: str


def age_of(taken_at: HostTime, now: HostTime) -> Age:
    """How long ago a snapshot was taken.

    Within one boot the host's uptime decides, so that a wall clock that was set makes a snapshot neither younger nor
    older. Otherwise the wall clock decides; a snapshot from the future is of unknown age.

    Args:
        taken_at: when the snapshot was taken.
        now: the present time of the same host.

    Returns:
        The age, never negative; `UNKNOWN_AGE_NS` for a snapshot from the future.
    """
    wall_age_ns = now.wall_ns - taken_at.wall_ns
    same_boot = bool(taken_at.boot_id) and taken_at.boot_id == now.boot_id
    if same_boot and now.uptime_ns >= taken_at.uptime_ns:
        age_ns = now.uptime_ns - taken_at.uptime_ns
        clock_step_ns = wall_age_ns - age_ns
        if abs(clock_step_ns) > CLOCK_TOLERANCE_NS:
            return Age(age_ns, f"the wall clock was set by {clock_step_ns / NS_PER_SECOND:+.0f} s meanwhile")
        return Age(age_ns, "")
    if wall_age_ns < -CLOCK_TOLERANCE_NS:
        seconds_ahead = -wall_age_ns / NS_PER_SECOND
        return Age(UNKNOWN_AGE_NS, f"it was written {seconds_ahead:.0f} s in the future: its age is not known")
    return Age(max(0, wall_age_ns), "")


def remaining_share(age_ns: int, half_life_ns: int) -> float:
    """The share of a figure that is left at an age, 0 to 1."""
    return 0.5 ** (max(0, age_ns) / half_life_ns)


def decay(snapshot: Snapshot, age_ns: int) -> Snapshot:
    """What an age in ns leaves of a snapshot: each figure decayed, negligible ones dropped."""
    return msgspec.structs.replace(
        snapshot,
        endpoints=_decayed_endpoints(snapshot, age_ns),
        slices=_decayed_slices(snapshot, age_ns),
        fleet=_decayed_fleet(snapshot.fleet, age_ns),
    )


def _decayed_endpoints(snapshot: Snapshot, age_ns: int) -> tuple[LearnedEndpoint, ...]:
    """Capacity factors decay toward 1, in proportion: 0.5 and 2 come as far in the same time."""
    share = remaining_share(age_ns, CAPACITY_FACTOR_HALF_LIFE_NS)
    return tuple(
        LearnedEndpoint(learned.endpoint, learned.started, learned.capacity_factor**share, learned.last_success_at)
        for learned in snapshot.endpoints
    )


def _decayed_slices(snapshot: Snapshot, age_ns: int) -> tuple[LearnedSlice, ...]:
    rate_share = remaining_share(age_ns, RATE_HALF_LIFE_NS)
    warmth_share = remaining_share(age_ns, WARMTH_HALF_LIFE_NS)
    if rate_share <= NEGLIGIBLE_SHARE:
        return ()
    return tuple(_decayed_slice(learned, rate_share, warmth_share) for learned in snapshot.slices)


def _decayed_slice(learned: LearnedSlice, rate_share: float, warmth_share: float) -> LearnedSlice:
    rates = tuple(rate * rate_share for rate in learned.rates)
    decayed = [(endpoint, warmth * warmth_share) for endpoint, warmth in learned.warmth]
    return LearnedSlice(learned.number, rates, tuple(pair for pair in decayed if pair[1] > NEGLIGIBLE_SHARE))


def _decayed_fleet(fleet: LearnedFleet, age_ns: int) -> LearnedFleet:
    best_share = remaining_share(age_ns, BEST_THROUGHPUT_HALF_LIFE_NS)
    best_throughput = fleet.best_throughput * best_share if best_share > NEGLIGIBLE_SHARE else 0.0
    # throughput per capacity is kept whole or dropped: a decayed figure would understate what the fleet can do
    capacity_share = remaining_share(age_ns, THROUGHPUT_PER_CAPACITY_HALF_LIFE_NS)
    is_recent = capacity_share > MIN_THROUGHPUT_PER_CAPACITY_SHARE
    return LearnedFleet(best_throughput, fleet.throughput_per_capacity if is_recent else 0.0)


def admission_levels_valid(downtime_ns: int | None) -> bool:
    """Whether admission levels of the previous incarnation stay in force.

    Args:
        downtime_ns: since it was last seen; None: not known.
    """
    return downtime_ns is not None and downtime_ns <= LEVELS_MAX_AGE_NS
