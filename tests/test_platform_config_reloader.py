"""A reload logs the settings whose change needs a restart."""

from __future__ import annotations

import json

import pytest
import structlog
from structlog.testing import LogCapture

from damsonpick.protocols.platform.config import parse_config
from damsonpick.protocols.platform.config_reloader import ConfigReloader
from tests.platform_world import SETTINGS, config


@pytest.mark.parametrize(
    ("change", "key"),
    [
        ({"seed": "9"}, "seed"),
        ({"limits": {"sockets": 300}}, "limits.sockets"),
        ({"settings": SETTINGS | {"zones": ["a", "b", "c"]}}, "settings.zones"),
        ({"name": "n9"}, "name"),
    ],
)
def test_a_reload_says_what_needs_a_restart_and_keeps_the_former(change, key, monkeypatch):
    captured = LogCapture()
    former = parse_config(json.dumps(config()).encode())
    changed = parse_config(json.dumps(config() | change).encode())
    monkeypatch.setattr("damsonpick.protocols.platform.config_reloader.read_config", lambda: changed)
    log = structlog.wrap_logger(None, processors=[captured])
    reloader = ConfigReloader(former, lambda address: None, lambda address: None, log)
    reloader.reload()
    (warning,) = [entry for entry in captured.entries if entry["event"] == "configuration_needs_restart"]
    assert warning["reason"].startswith(f"{key}: changed") and reloader.config == former
