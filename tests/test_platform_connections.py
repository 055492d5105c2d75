"""Tests of accepted connections and of the limit on their number."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from damsonpick.protocols.platform import framing, messages
from damsonpick.protocols.platform.connection import CollectorConnection, ConnectionRejectedError
from damsonpick.protocols.platform.connection_limiter import ConnectionLimiter
from tests import helpers

REPORTS = messages.ReportMapper(helpers.settings(), ("a", "b"))
JOIN = framing.encode_frame(b'{"@type":"telemetry","zone":"a"}')
REPORT = framing.encode_frame(
    b'{"@type":"upstream_stats","zone":"a","server":"p","tries":4,"failed":1,"mean_ms":2.5,"span_ms":1000.0}'
)


def test_input_before_the_reason_for_a_rejection_counts():
    connection = CollectorConnection(REPORTS)
    with pytest.raises(ConnectionRejectedError) as rejected:
        connection.feed(5, JOIN + REPORT + b"\0\0\0\0")
    assert [event.endpoint for event in rejected.value.received.events] == ["p"] and connection.zone == "a"


@given(st.integers(1, len(JOIN + REPORT) - 1))
def test_join_and_report_may_arrive_in_two_parts(cut):
    connection, data = CollectorConnection(REPORTS), JOIN + REPORT
    events = connection.feed(1, data[:cut]).events + connection.feed(2, data[cut:]).events
    assert len(events) == 1 and connection.zone == "a"


def test_limiter_closes_the_oldest_unjoined_connection_and_keeps_two_collectors_per_zone():
    limiter = ConnectionLimiter(132)
    connections = [CollectorConnection(REPORTS) for _ in range(limiter.max_connections + 1)]
    connections[0].feed(0, JOIN)
    closed = [limiter.add(connection) for connection in connections]
    assert closed[:-1] == [None] * limiter.max_connections and closed[-1] is connections[1]
    for now_ns, connection in enumerate(connections[2:4], 100):
        connection.feed(now_ns, JOIN)
        replaced = limiter.replaced_by(connection)
    assert replaced == [connections[0]]
