"""Settings that the planner cannot serve are rejected when they are read; the planner serves all other settings."""

from __future__ import annotations

import copy
import json
import os
import subprocess
import sys

import pytest

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.platform.config import parse_config
from damsonpick.protocols.platform.errors import ConfigError
from damsonpick.protocols.shared.instance_settings import (
    INTEGER_LIMIT,
    MAX_PROXIES,
    MAX_TABLES,
    NUMBER_LIMIT,
    SettingError,
    SettingsReader,
)
from tests.helpers import SECOND, START, entry
from tests.platform_world import ROOT, SETTINGS, config, free_port

REJECTED = [
    ("grades.0.aimNs", 0),
    ("grades.0.aimNs", -1),
    ("grades.1.deadlineNs", 0),
    ("grades.0.effect", "bogus"),
    ("grades.0.worth", -1.0),
    ("grades.0.keyScope", "bogus"),
    ("domain.egressPerS", -5),
    ("domain.egressPerS", 0),
    ("domain.mostWaiting", 0),
    ("domain.overhead", -1),
    ("domain.shards", -1),
    ("domain.shards", 10**18),
    ("domain.agents", 10**18),
    ("domain.reportEveryNs", -1),
    ("domain.reportEveryNs", 0),
    ("domain.admission", "bogus"),
    ("domain.pick", "bogus"),
    ("discovery", "bogus"),
    ("rules.coldShare", 1e300),
    ("rules.coldShare", 0),
    ("rules.stopSendingWithinNs", -1),
    ("domain.pushesAllowed", -1),
    ("peersTotal", 0),
    ("grades", []),
]
GREATEST_NS = INTEGER_LIMIT - 1
ACCEPTED = [
    ("grades.0.aimNs", 1),
    ("grades.0.aimNs", GREATEST_NS),
    ("grades.0.worth", 0.0),
    ("grades.0.worth", NUMBER_LIMIT),
    ("grades.0.deadlineNs", 1),
    ("domain.egressPerS", 1e-9),
    ("domain.egressPerS", NUMBER_LIMIT),
    ("domain.mostWaiting", 1e-9),
    ("domain.mostWaiting", NUMBER_LIMIT),
    ("domain.overhead", 0.0),
    ("domain.overhead", NUMBER_LIMIT),
    ("domain.shards", 0),
    ("domain.shards", MAX_TABLES),
    ("domain.agents", 0),
    ("domain.agents", MAX_PROXIES),
    ("domain.reportEveryNs", 1),
    ("domain.reportEveryNs", GREATEST_NS),
    ("domain.transitMaxNs", 0),
    ("domain.transitMaxNs", GREATEST_NS),
    ("domain.admission", "rps"),
    ("domain.admission", "none"),
    ("domain.pick", "wheel"),
    ("domain.pushesAllowed", 1),
    ("domain.updateWindowNs", GREATEST_NS),
    ("discovery", "automatic"),
    ("rules.coldShare", 1e-9),
    ("rules.coldShare", 1.0),
    ("rules.coldNs", 0),
    ("rules.coldNs", GREATEST_NS),
    ("rules.stopSendingWithinNs", 0),
    ("rules.askEveryNs", 0),
]


def with_setting(path: str, value) -> dict:
    """Return the settings with one of them replaced."""
    settings = copy.deepcopy(SETTINGS)
    *parents, last = path.split(".")
    inner = settings
    for key in parents:
        inner = inner[int(key) if key.isdigit() else key]
    inner[last] = value
    return settings


def read(path: str, value) -> api.Settings:
    return parse_config(json.dumps(config(settings=with_setting(path, value))).encode()).settings


@pytest.mark.parametrize(("path", "value"), REJECTED)
def test_a_setting_that_cannot_be_served_is_rejected_with_its_path(path, value):
    """Regression: a latency objective of 0 was accepted, and the planner then raised an exception in every review."""
    with pytest.raises(ConfigError, match=f"settings: (missing setting ')?{path}"):
        read(path, value)


@pytest.mark.parametrize(("path", "value"), ACCEPTED)
def test_the_planner_serves_every_setting_that_is_accepted(path, value):
    settings = read(path, value)
    planner = Planner(settings, 7)
    entries = (entry("p"), entry("q", zone="b"), entry("r", started=START - SECOND))
    slices = range(min(settings.slices, 6))
    events: list[api.Event] = [api.EndpointListChanged("replace", entries)]
    events += [api.SliceOwnershipChanged(number, True) for number in slices]
    events += [api.ProxyJoined(number, "a", 0.0, True) for number in range(2)]
    now = START
    for _ in range(40):
        for action in planner.handle(now, events):
            if isinstance(action, api.SetTimer) and action.delay <= 2 * SECOND:
                events.append(api.TimerFired(action.token))
        now += SECOND // 2
        events = [api.TimerFired(event.token) for event in events if isinstance(event, api.TimerFired)]
        events += [api.EndpointReport("a", name, 40, 4, SECOND // 4, SECOND, ()) for name in "pqr"]
        events += [api.SliceDemand(number, "look", 9, 1, SECOND) for number in slices]
        events += [api.EndpointListChanged("update", (entry("q", "terminating", zone="b"),))]


@pytest.mark.parametrize(("path", "value"), [("grades.0.aimNs", 0), ("domain.shards", 10**18)])
def test_a_pilot_on_such_settings_ends_with_one_line(path, value, tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(config(free_port(), settings=with_setting(path, value))))
    done = subprocess.run(
        [sys.executable, "-m", "damsonpick.edge"],
        cwd=ROOT,
        env=os.environ | {"EDGE_CONFIG": str(file)},
        capture_output=True,
        text=True,
        timeout=20,
        check=False,
    )
    (line,) = (done.stdout + done.stderr).splitlines()
    logged = json.loads(line)
    assert done.returncode == 2 and logged["event"] == "pilot_start_failed"
    assert f"{path}: not between" in logged["reason"] and str(value) in logged["reason"]


@pytest.mark.parametrize(
    "value, expected",
    [
        ("false,true", (False, True)),
        ([False, True], (False, True)),
        ([False], (False, True)),
        ("-", (True, True)),
        ("maybe", None),
        (7, None),
    ],
)
def test_flags_are_read_as_list_or_text_and_default_to_true(value, expected):
    reader = SettingsReader({"path": value})
    if expected is None:
        with pytest.raises(SettingError):
            reader.flags("path", 2)
    else:
        assert reader.flags("path", 2) == expected
