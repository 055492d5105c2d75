"""Explores the states of the version protocol, and shows that the exploration detects a broken implementation."""

from __future__ import annotations

import pytest

from damsonpick.protocols.xds.rejections import RejectionHandler
from damsonpick.proxy.received_state import ReceivedState
from tests.versions_model import explore


def test_no_delta_meets_a_wrong_base_and_all_come_to_rest_with_what_is_published():
    states, steps = explore(7)
    assert states > 900 and steps > states, (states, steps)


def test_a_gateway_that_does_not_check_is_found_out(monkeypatch):
    monkeypatch.setattr(ReceivedState, "_verify", lambda *a: None)
    with pytest.raises(AssertionError, match=r"wrong base|does not hold|acknowledged"):
        explore(6)


def test_a_pilot_that_repairs_nothing_is_found_out(monkeypatch):
    monkeypatch.setattr(RejectionHandler, "_repair_mismatch", lambda self, watch, range_sums, reason: None)
    with pytest.raises(AssertionError):
        explore(6)
