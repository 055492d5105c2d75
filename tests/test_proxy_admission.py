"""Tests that the admission decision is stable for a client and that the admitted share matches the level."""

from __future__ import annotations

from damsonpick.proxy.admission import DECISION_PERIOD_NS, Admission

SECOND = 1_000_000_000


def test_a_rejected_client_is_rejected_again_and_shares_are_kept():
    admission = Admission(12345)
    clients = [f"c{k}" for k in range(20_000)]
    first = [admission.admit(0, 0.3, "page", c) for c in clients]
    assert abs(sum(first) / len(first) - 0.3) < 0.02
    assert first == [admission.admit(SECOND // 2, 0.3, "page", c) for c in clients]
    assert all(admission.admit(0, 0.5, "page", c) for c, was in zip(clients, first, strict=True) if was)
    later = [admission.admit(3 * DECISION_PERIOD_NS, 0.3, "page", c) for c in clients]
    assert later != first and abs(sum(later) / len(later) - 0.3) < 0.02
    assert 1 <= admission.retry_after(0) <= 10
    assert admission.admit(0, 1.0, "page", "x") and not admission.admit(0, 0.0, "page", "x")
