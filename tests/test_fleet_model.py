"""Random days of the model with sole owners, and the sensitivity of its checks."""

from __future__ import annotations

import pytest

from damsonpick.decisions.flow_control import FlowControl
from damsonpick.decisions.handover_tracker import HandoverTracker
from damsonpick.decisions.write_leases import WriteLeases
from damsonpick.testing.fleet_model.__main__ import DEFAULT_RULES
from damsonpick.testing.fleet_model.plan import FAILURES, play
from damsonpick.testing.fleet_model.rules import SHORT_TIMES
from tests.helpers import SECOND

SEEDS = range(1, 31)
SHORT_SEEDS = range(101, 121)
SENSITIVITY_SEEDS = range(1, 5)


@pytest.mark.parametrize("seed", SEEDS)
def test_no_rule_is_broken_while_endpoints_proxies_and_pilots_fail(seed):
    """Regression (review, case 3): writes of one slice at two endpoints, also through restarts and takeovers."""
    outcome = play(seed)
    assert not [rule for rule in DEFAULT_RULES if outcome.breaches[rule]], outcome


@pytest.mark.parametrize("seed", SHORT_SEEDS)
def test_no_proxy_lacks_an_entry_for_too_long_while_owners_change(seed):
    """Regression (review, case 3): a handover left tables empty while proxies without a lease joined."""
    outcome = play(seed, **SHORT_TIMES)
    assert not outcome.breaches, outcome


def test_the_model_notices_a_pilot_that_does_not_wait_for_acknowledgements(monkeypatch):
    monkeypatch.setattr(FlowControl, "acknowledged_by_all", lambda self: self.message_number)
    assert any(play(seed, ("deploy",), **SHORT_TIMES).breaches["owner"] for seed in SENSITIVITY_SEEDS)


def test_the_model_notices_a_pilot_that_does_not_wait_for_leases(monkeypatch):
    monkeypatch.setattr(WriteLeases, "have_ended", lambda *_: True)
    kinds, linger = ("deploy", "break_streams"), SHORT_TIMES["write_linger"]
    assert any(play(seed, kinds, write_linger=linger).breaches["owner"] for seed in SENSITIVITY_SEEDS)


def test_the_model_notices_a_pilot_that_ignores_writes_in_progress(monkeypatch):
    monkeypatch.setattr(HandoverTracker, "writes_have_ended", lambda *_: True)
    assert any(play(seed, ("deploy",), write_linger=3 * SECOND).breaches["owner"] for seed in SENSITIVITY_SEEDS)


def test_the_model_plays_each_kind_of_failure():
    played = {failure for seed in SENSITIVITY_SEEDS for failure in play(seed).failures}
    assert played == set(FAILURES)
