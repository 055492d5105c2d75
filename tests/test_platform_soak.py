"""A short soak with fixed seeds: the platform's pilot as a process against fakes; see `damsonpick.testing.soak`."""

from __future__ import annotations

import random

import anyio
import pytest

from damsonpick.testing.soak.plan import Action, Ending, Step, draw_plan
from damsonpick.testing.soak.platform import ODD_SERVERS, SoakPlatform
from damsonpick.testing.soak.player import play

SEEDS = (1, 3, 6, 7, 8)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_pilot_passes_all_soak_checks_despite_faults(seed, tmp_path):
    """Run one seed again with `python -m damsonpick.testing.soak SEED 1`."""
    assert anyio.run(play, seed, tmp_path).failures == []


def test_a_plan_is_drawn_from_its_seed_alone():
    assert draw_plan(5) == draw_plan(5) != draw_plan(6)


def test_the_fixed_seeds_cover_many_unjoined_clients_and_every_ending():
    plans = [draw_plan(seed) for seed in SEEDS]
    assert any(plan.unjoined_clients > 100 for plan in plans) and any(plan.malformed_cached_list for plan in plans)
    assert {incarnation.ending for plan in plans for incarnation in plan.incarnations} == set(Ending)


def test_servers_that_only_odd_entries_named_are_reported_gone_at_the_end():
    """Regression (seed 60): an entry without a zone is valid, so the pilot continued to place slices on its server."""

    async def end_after_an_odd_entry():
        platform = SoakPlatform(draw_plan(1), random.Random(1), lambda valid: None)
        async with anyio.create_task_group() as group:
            await platform.act(Step(0.0, Action.ODD_ENTRY, 1), group)
            await platform.end_faults()
        return platform.discovery

    discovery = anyio.run(end_after_an_odd_entry)
    gone = [change.entry["id"] for change in discovery.history if change.entry["state"] == "Gone"]
    assert gone == list(ODD_SERVERS) and not set(ODD_SERVERS) & set(discovery.servers)
