"""Tests of the log line with the state of planner and pilot."""

from __future__ import annotations

import json

import structlog

from damsonpick.protocols.platform.state_log import MAX_LOGGED_ENDPOINTS, PilotStatus, write_state
from tests import helpers

STATUS = PilotStatus(
    tables={0: {"p": 1.0, "q": 1.0}, 1: {"p": 1.0}},
    pending_orders=1,
    order_requests=2,
    unconfirmed_requests=3,
    connections=4,
    new_reports=5,
    new_steps=6,
    longest_step_ns=7_900_000,
)


def test_the_line_names_figures_with_units_and_the_busiest_endpoints():
    world = helpers.SimulatedFleet(seed=4, slices=24)
    world.run(6, rate=40)
    with structlog.testing.capture_logs() as entries:
        write_state(structlog.get_logger(), world.planner, STATUS)
    (entry,) = entries
    assert entry["event"] == "planner_state" and json.dumps(entry)
    assert entry["longest_step_ms"] == 7 and entry["steps"] == 6 and entry["reports"] == 5
    assert entry["admitted_rate_limit_rps"] is None and entry["reporting_endpoints"] == entry["endpoints"]
    states = entry["endpoint_states"]
    assert 0 < len(states) <= MAX_LOGGED_ENDPOINTS
    assert states["p"]["entries"] == 2 and states["q"]["entries"] == 1
    assert list(states) == sorted(states, key=lambda name: -states[name]["load"])
    assert states["p"].keys() == {
        "state",
        "load",
        "entries",
        "capacity_factor",
        "latency_ms",
        "success_ratio",
    }
