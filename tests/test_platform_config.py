"""The platform's configuration file."""

from __future__ import annotations

import json

from damsonpick.protocols.platform.config import parse_config
from tests.platform_world import config as config_file


def test_the_configuration_is_read_whole():
    known = {
        "version": 4,
        "full": True,
        "servers": [{"id": "p", "zone": "a", "state": "Ready", "weight": 1.0, "started_ms": 0}],
    }
    made = parse_config(json.dumps(config_file(known=known)).encode())
    assert made.known.version == 4 and made.zones == ("a", "b") and made.settings.classes[1].priority_weight == 3.0
    assert made.seed == 0x8C1F30D27A5BE964 and made.settings.load_fields == ("busy_reqs",)
