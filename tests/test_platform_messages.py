"""Tests of decoding collector messages and other JSON input."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damsonpick import interface as api
from damsonpick.protocols.platform import messages
from damsonpick.protocols.platform.config import parse_config
from damsonpick.protocols.platform.discovery import decode_update
from damsonpick.protocols.platform.errors import (
    ConfigError,
    EndpointListError,
    InvalidMessageError,
    MalformedMessageError,
)
from damsonpick.protocols.platform.registry_events import decode_event
from tests import helpers

REPORTS = messages.ReportMapper(helpers.settings(), ("a", "b"))


@given(st.binary(max_size=200))
def test_no_bytes_raise_anything_but_the_documented_errors(body):
    for read in (messages.decode_message, decode_event, decode_update, parse_config):
        with contextlib.suppress(InvalidMessageError, MalformedMessageError, EndpointListError, ConfigError):
            read(body)


@pytest.mark.parametrize("body", [b'{"a":' * 5000, b"[" * 5000, b"1" * 5000])
def test_deeply_nested_and_huge_json_is_rejected(body):
    with pytest.raises((InvalidMessageError, MalformedMessageError)):
        messages.decode_message(body)


def test_more_failures_than_requests_are_valid_for_a_slice_and_invalid_for_an_endpoint():
    report = messages.decode_message(
        b'{"@type":"range_stats","slice":1,"class":"cheap","tries":0,"failed":2,"span_ms":1}'
    )
    assert REPORTS.to_event(report) == api.SliceDemand(1, "cheap", 0, 2, 1_000_000)
    report = messages.decode_message(
        b'{"@type":"upstream_stats","zone":"a","server":"p","tries":0,"failed":2,"span_ms":1}'
    )
    with pytest.raises(InvalidMessageError, match="failed"):
        REPORTS.to_event(report)


@pytest.mark.parametrize(
    "body, field",
    [
        (b'{"@type":"range_stats","slice":-1,"class":"cheap","tries":0,"failed":2,"span_ms":1}', "slice"),
        (b'{"@type":"range_stats","slice":1,"class":"cheap","tries":true,"failed":2,"span_ms":1}', "tries"),
        (b'{"@type":"upstream_stats","zone":"","server":"p","tries":0,"failed":0,"span_ms":1}', "zone"),
        (b'{"@type":"none"}', "@type"),
    ],
)
def test_an_invalid_message_names_the_field_as_it_is_on_the_wire(body, field):
    with pytest.raises(InvalidMessageError) as caught:
        messages.decode_message(body)
    assert caught.value.field == field
