"""The log of dropped input has a limited number of lines of limited length."""

from __future__ import annotations

import structlog

from damsonpick.protocols.platform.dropped_input_log import MAX_UNSAMPLED_LINES, DroppedInput, DroppedInputLog


def test_the_first_cases_of_a_kind_are_logged_and_then_one_in_a_hundred():
    with structlog.testing.capture_logs() as entries:
        dropped_input_log = DroppedInputLog(structlog.get_logger())
        for _ in range(250):
            dropped_input_log.record(DroppedInput.REPORT, "x" * 1000)
        dropped_input_log.record(DroppedInput.ACCEPT, "reset")
    counts = [entry["count"] for entry in entries if entry["kind"] == "report"]
    assert counts == [*range(1, MAX_UNSAMPLED_LINES + 1), 100, 200]
    assert entries[-1]["kind"] == "accept" and entries[-1]["count"] == 1
    assert all(len(entry["reason"]) <= 200 for entry in entries)
