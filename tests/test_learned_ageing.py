"""The age of a snapshot by two clocks, and the decay of its values."""

from __future__ import annotations

import pytest

from damsonpick.state.learned import ageing
from damsonpick.state.learned.snapshot import HostTime, LearnedFleet
from tests.helpers import SECOND
from tests.learned_state import snapshot

NOW = HostTime(10**18, "boot", 10**13)
HOUR = 3600 * SECOND


@pytest.mark.parametrize(
    ("taken_at", "ns", "warning"),
    [
        (HostTime(10**18 - HOUR, "boot", 10**13 - HOUR), HOUR, ""),
        (HostTime(10**18 + 5 * HOUR, "boot", 10**13 - SECOND), SECOND, "wall clock was set by -18001 s"),
        (HostTime(10**18 - 9 * HOUR, "boot", 10**13 - SECOND), SECOND, "wall clock was set by +32399 s"),
        (HostTime(10**18 - HOUR, "other", 10**13), HOUR, ""),
        (HostTime(10**18 + HOUR, "other", 5), ageing.UNKNOWN_AGE_NS, "in the future"),
        (HostTime(10**18 + SECOND, "other", 5), 0, ""),
        (HostTime(10**18 - HOUR, "", 0), HOUR, ""),
    ],
)
def test_age_is_right_after_a_clock_step_and_after_a_reboot(taken_at, ns, warning):
    age = ageing.age_of(taken_at, NOW)
    assert age.ns == ns and warning in age.clock_warning and bool(warning) == bool(age.clock_warning)


def test_each_value_decays_with_its_own_half_life():
    original = snapshot()
    assert ageing.decay(original, 0) == original
    after_a_minute = ageing.decay(original, 60 * SECOND)
    assert after_a_minute.slices[0].rates == (1.5, 2.25) and after_a_minute.fleet.best_throughput == 60.0
    assert (
        0.5 < after_a_minute.endpoints[0].capacity_factor < 0.6
        and 1.1 < after_a_minute.endpoints[1].capacity_factor < 1.25
    )
    assert after_a_minute.slices[0].warmth == (("p", 0.5**4),)
    after_a_day = ageing.decay(original, 24 * HOUR)
    assert (
        not after_a_day.slices
        and after_a_day.fleet == LearnedFleet(0.0, 0.0)
        and all(abs(learned.capacity_factor - 1) < 1e-9 for learned in after_a_day.endpoints)
    )
    assert (
        ageing.admission_levels_valid(SECOND)
        and not ageing.admission_levels_valid(HOUR)
        and not ageing.admission_levels_valid(None)
    )
