"""Decoding of control socket requests. A malformed request must fail without affecting other requests."""

from __future__ import annotations

import json
import socket

import pytest

from damsonpick.controller import control_requests
from damsonpick.controller.control_requests import InvalidRequestError, Query, decode_request

DEEPLY_NESTED = "[" * 20_000
MALFORMED = [
    {"ask": "tables", "slices": 5},
    {"ask": "tables", "slices": [[]]},
    {"ask": "tables", "slices": ["0"]},
    {"ask": "tables", "slices": [10**30]},
    {"ask": "versions", "do": []},
    {"ask": "versions", "do": {}},
    {"ask": "versions", "do": "list", "most": []},
    {"ask": "versions", "do": "list", "most": 1e300},
    {"ask": "versions", "do": "show"},
    {"ask": "versions", "do": "show", "version": {}},
    {"ask": "versions", "do": "pin", "pin_ns": 10**30},
    {"ask": "versions", "do": "pin", "pin_ns": -1},
    {"ask": "versions", "do": "rollback", "version": 1, "stages": 5},
    {"ask": "versions", "do": "rollback", "version": 1, "stages": [[]], "hold_ns": 1},
    {"ask": "versions", "do": "release", "expected": {}},
    {"ask": "list", "do": []},
]


@pytest.mark.parametrize("request_", MALFORMED, ids=json.dumps)
def test_a_malformed_request_names_its_field(request_):
    with pytest.raises(InvalidRequestError) as caught:
        decode_request(Query(request_["ask"]), request_)
    assert caught.value.field or "unknown order" in str(caught.value) or "version" in str(caught.value)


def test_what_the_command_line_sends_is_read():
    rollback = {"ask": "versions", "do": "rollback", "version": "7", "dry": True, "pin_ns": None, "expected": 3}
    rollback |= {"stages": ["a"], "hold_ns": 5, "levels": False}
    decoded = decode_request(Query.VERSIONS, rollback)
    assert decoded == control_requests.Rollback("7", None, 3, True, ["a"], 5, False)
    assert decode_request(Query.TABLES, {"ask": "tables", "slices": None}).slices is None
    assert isinstance(decode_request(Query.LIST, {"ask": "list"}), control_requests.ShowList)


def test_malformed_requests_end_neither_the_daemon_nor_its_control_socket(pilot):
    """Regression: eight of fifteen such requests ended the daemon or its control socket."""
    texts = [json.dumps(request) for request in MALFORMED] + [
        DEEPLY_NESTED,
        '{"ask":' + DEEPLY_NESTED,
        "\x00",
        "{}",
        "null",
        "1e999",
    ]
    for text in texts:
        with socket.socket(socket.AF_UNIX) as client:
            client.settimeout(10)
            client.connect(str(pilot.file.parent / "state" / "control.sock"))
            client.sendall(text.encode() + b"\n")
            assert "error" in json.loads(client.makefile().readline()), text
    assert pilot.process.poll() is None
    assert pilot.ask("status")["pilot"]
