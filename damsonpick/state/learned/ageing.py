"""Computes the age of a snapshot, and decays its values with age. Sans I/O.

Each value decays toward the value that a planner without learned state assumes. Half-lives differ, because a slow disk
stays slow for minutes, whereas the request rate has changed after one minute.
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
LEVELS_MAX_AGE_NS = 60 * NS_PER_SECOND  # older admission levels were set for a load that no longer exists
UNKNOWN_AGE_NS = 1800 * NS_PER_SECOND  # age assumed if it cannot be determined
CLOCK_TOLERANCE_NS = 5 * NS_PER_SECOND  # largest difference between two clocks of one host that is not reported
# All slices are dropped if at most this share of their rates remains, and the best throughput if at most this share of
# it remains. A warmth is dropped if its decayed value is at most this.
NEGLIGIBLE_SHARE = 0.02
# Throughput per capacity is kept unchanged while more than this share would remain, and is then dropped, because a
# decayed value would be too low and would throttle a healthy fleet.
MIN_THROUGHPUT_PER_CAPACITY_SHARE = 0.5


class Age(NamedTuple):
    """Age of a snapshot in ns, and a warning about the clocks, which is empty if they are consistent."""

    ns: int
    clock_warning: str


def age_of(taken_at: HostTime, now: HostTime) -> Age:
    """Return the age of a snapshot.

    Within one boot, the age is the difference of the host's uptime, so that setting the wall clock does not change it.
    Otherwise, it is the difference of the wall clock. If the snapshot is from the future by more than
    `CLOCK_TOLERANCE_NS`, its age is unknown.

    Args:
        taken_at: Time when the snapshot was taken.
        now: Present time of the same host.

    Returns:
        The age, never negative; `UNKNOWN_AGE_NS` if it is unknown.
    """
    wall_age_ns = now.wall_ns - taken_at.wall_ns
    same_boot = bool(taken_at.boot_id) and taken_at.boot_id == now.boot_id
    if same_boot and now.uptime_ns >= taken_at.uptime_ns:
        age_ns = now.uptime_ns - taken_at.uptime_ns
        clock_step_ns = wall_age_ns - age_ns
        if abs(clock_step_ns) > CLOCK_TOLERANCE_NS:
            return Age(age_ns, f"the wall clock was set by {clock_step_ns / NS_PER_SECOND:+.0f} s after the snapshot")
        return Age(age_ns, "")
    if wall_age_ns < -CLOCK_TOLERANCE_NS:
        seconds_ahead = -wall_age_ns / NS_PER_SECOND
        return Age(UNKNOWN_AGE_NS, f"it was taken {seconds_ahead:.0f} s in the future: its age is unknown")
    return Age(max(0, wall_age_ns), "")


def remaining_share(age_ns: int, half_life_ns: int) -> float:
    """Return the share of a value that remains at an age, 0 to 1."""
    return 0.5 ** (max(0, age_ns) / half_life_ns)


def decay(snapshot: Snapshot, age_ns: int) -> Snapshot:
    """Return the snapshot with each value decayed by an age in ns, without negligible values."""
    return msgspec.structs.replace(
        snapshot,
        endpoints=_decayed_endpoints(snapshot, age_ns),
        slices=_decayed_slices(snapshot, age_ns),
        fleet=_decayed_fleet(snapshot.fleet, age_ns),
    )


def _decayed_endpoints(snapshot: Snapshot, age_ns: int) -> tuple[LearnedEndpoint, ...]:
    """Decay capacity factors toward 1. Their logarithms are scaled, so that 0.5 and 2 stay reciprocal at any age."""
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
    # Throughput per capacity is kept unchanged or dropped: a decayed value would understate the fleet's capacity.
    capacity_share = remaining_share(age_ns, THROUGHPUT_PER_CAPACITY_HALF_LIFE_NS)
    is_recent = capacity_share > MIN_THROUGHPUT_PER_CAPACITY_SHARE
    return LearnedFleet(best_throughput, fleet.throughput_per_capacity if is_recent else 0.0)


def admission_levels_valid(downtime_ns: int | None) -> bool:
    """Return whether the admission levels of the previous incarnation are still valid.

    Args:
        downtime_ns: Time since the previous incarnation was last seen, or None if unknown.
    """
    return downtime_ns is not None and downtime_ns <= LEVELS_MAX_AGE_NS
