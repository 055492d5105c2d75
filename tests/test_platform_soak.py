"""A short soak of fixed seeds: the platform's pilot as a process among fakes; see `damsonpick.testing.soak`."""

from __future__ import annotations

import anyio
import pytest

from damsonpick.testing.soak.plan import Ending, draw_plan
from damsonpick.testing.soak.player import play

SEEDS = (1, 3, 6, 7, 8)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_pilot_among_faults_keeps_its_promises(seed, tmp_path):
    """To play it again: `python -m damsonpick.testing.soak SEED 1`."""
    assert anyio.run(play, seed, tmp_path).failures == []


def test_a_plan_is_drawn_from_its_seed_alone():
    assert draw_plan(5) == draw_plan(5) != draw_plan(6)


def test_the_fixed_seeds_have_a_crowd_and_every_way_to_end():
    plans = [draw_plan(seed) for seed in SEEDS]
    assert any(plan.strangers > 100 for plan in plans) and any(plan.odd_kept_list for plan in plans)
    assert {life.ending for plan in plans for life in plan.lives} == set(Ending)
