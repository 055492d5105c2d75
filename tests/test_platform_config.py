"""Tests of reading the platform's configuration file."""

from __future__ import annotations

import contextlib
import json

import pytest

from damsonpick.protocols.platform.config import parse_config
from damsonpick.protocols.platform.discovery import decode_update
from damsonpick.protocols.platform.errors import ConfigError, EndpointListError
from damsonpick.protocols.platform.json_values import describe_value
from tests.platform_world import config as config_file


def test_the_configuration_is_read_whole():
    known = {
        "version": 4,
        "full": True,
        "servers": [{"id": "p", "zone": "a", "state": "Ready", "weight": 1.0, "started_ms": 0}],
    }
    parsed = parse_config(json.dumps(config_file(known=known)).encode())
    assert (
        parsed.known.version == 4 and parsed.zones == ("a", "b") and parsed.settings.classes[1].priority_weight == 3.0
    )
    assert parsed.seed == 0x8C1F30D27A5BE964 and parsed.settings.load_fields == ("busy_reqs",)


ODD_VALUES = (None, True, -1, 0, 1.5, 10**18, 1e300, "", "x", [], ["Ready"], {}, {"Ready": 1}, [[]])
SERVER = {
    "id": "p",
    "addr": "a:1",
    "zone": "a",
    "kind": "m",
    "cell": 3,
    "state": "Ready",
    "weight": 1.0,
    "started_ms": 0,
}
KNOWN = {"version": 4, "full": True, "servers": [SERVER, SERVER | {"id": "q"}]}


def with_odd_values(value):
    """Yield copies of a JSON value in which one part is replaced by a value of another type."""
    yield from ODD_VALUES
    if isinstance(value, dict):
        for key, inner in value.items():
            yield from (value | {key: odd} for odd in with_odd_values(inner))
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from ([*value[:index], odd, *value[index + 1 :]] for odd in with_odd_values(inner))


def test_a_configuration_with_any_part_of_another_type_is_read_or_rejected():
    """Regression: a `state` that was a list or an object ended the pilot with a traceback at each start."""
    accepted = 0
    for tree in with_odd_values(config_file(known=KNOWN)):
        try:
            parse_config(json.dumps(tree).encode())
        except ConfigError:
            continue
        accepted += 1
    assert accepted


@pytest.mark.parametrize("state", [["Ready"], {"Ready": 1}])
def test_an_entry_of_the_kept_list_whose_state_is_not_text_is_left_out_alone(state):
    known = {"version": 4, "full": True, "servers": [SERVER | {"id": "q", "state": state}, SERVER]}
    parsed = parse_config(json.dumps(config_file(known=known)).encode())
    assert [entry.endpoint for entry in parsed.known.entries] == ["p"]
    assert parsed.known.problems == (f"q: state: {describe_value(state)} is none of Ready, Terminating, Gone",)


def test_an_update_with_any_part_of_another_type_is_read_or_rejected():
    for tree in with_odd_values(KNOWN):
        with contextlib.suppress(EndpointListError):
            decode_update(json.dumps(tree).encode())
