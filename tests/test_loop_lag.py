"""The lag of an event loop is measured, and logged once per period."""

from __future__ import annotations

import json
import time

import anyio
import pytest
import structlog
from structlog.testing import LogCapture

from damsonpick.runtime import loop_lag
from damsonpick.runtime.loop_lag import LoopLagMonitor
from damsonpick.testing.scenarios.outcome import ProcessLoad, _pilot_load


@pytest.mark.parametrize("blocked_s", [0.0, 0.4])
def test_a_late_loop_is_measured_and_logged_once_a_period(blocked_s, monkeypatch):
    monkeypatch.setattr(loop_lag, "LOG_PERIOD_S", 0.6)
    captured = LogCapture()
    monitor = LoopLagMonitor(structlog.wrap_logger(None, processors=[captured]))

    async def run_test() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(monitor.run)
            await anyio.sleep(0.1)
            time.sleep(blocked_s)
            time.sleep(blocked_s / 2)
            await anyio.sleep(0.8)
            group.cancel_scope.cancel()

    anyio.run(run_test)
    assert [entry["event"] for entry in captured.entries] == ["loop_lagged"] * bool(blocked_s)
    assert monitor.load().longest_lag_s >= blocked_s
    assert monitor.load().wall_s > 0.8 > monitor.load().cpu_s


def test_a_scenario_reports_the_lag_and_cpu_time_of_its_pilot_over_all_incarnations(tmp_path):
    """A killed incarnation reports nothing at its end, but its lags are in the log."""
    entries = [
        {"event": "loop_lagged", "longest_lag_ms": 700, "cpu_s": 1.0, "wall_s": 10.0},
        {"event": "pilot_ended", "longest_lag_ms": 30, "cpu_s": 2.0, "wall_s": 14.0},
    ]
    lines = ["Traceback (most recent call last):", *map(json.dumps, entries), '{"cut']
    (tmp_path / "pilot.log").write_text("\n".join(lines))
    assert _pilot_load(tmp_path) == [ProcessLoad("pilot", 0.7, 2.0, 14.0)]
    assert _pilot_load(tmp_path / "elsewhere") == []
