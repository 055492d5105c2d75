"""Tests of the limits on what clients at the pilot's address may send."""

from __future__ import annotations

import random

import anyio
import pytest
import structlog
from structlog.testing import LogCapture

from damsonpick.protocols.platform import input_limits
from damsonpick.protocols.platform.connection import CollectorConnection
from damsonpick.protocols.platform.connection_handler import ConnectionHandler, OpenConnection
from damsonpick.protocols.platform.dropped_input_log import DroppedInputLog
from damsonpick.protocols.platform.framing import encode_frame
from damsonpick.protocols.platform.input_limits import ConnectionInput, InputLimiter, InputLimitError
from damsonpick.protocols.platform.messages import ReportMapper
from damsonpick.protocols.platform.readiness import Readiness
from tests.helpers import settings

JOIN = encode_frame(b'{"@type":"telemetry","zone":"a"}')
UNSOUND_REPORT = encode_frame(b'{"@type":"upstream_stats","zone":"a","server":5}')


class EndlessStream:
    """A connection on which a collector sends without a pause: it joins, and then repeats a message."""

    def __init__(self, message: bytes):
        self.first, self.data, self.read_bytes = JOIN, message * 10_000, 0

    async def receive(self, max_bytes: int) -> bytes:
        await anyio.lowlevel.checkpoint()
        data = (self.first + self.data)[:max_bytes]
        self.first, self.data = b"", self.data[max_bytes - len(self.first) :] + self.data[: max_bytes - len(self.first)]
        self.read_bytes += len(data)
        return data


def test_a_collector_that_never_pauses_takes_turns_and_is_rejected():
    """Regression (operators, picture b): a collector that sent unsound reports without a pause held up all others."""
    captured = LogCapture()
    log = structlog.wrap_logger(None, processors=[captured])
    stream = EndlessStream(UNSOUND_REPORT)
    longest_wait_s = 0.0

    async def measure() -> None:
        nonlocal longest_wait_s
        while True:
            began = anyio.current_time()
            await anyio.lowlevel.checkpoint()
            longest_wait_s = max(longest_wait_s, anyio.current_time() - began)

    async def run() -> None:
        connection = CollectorConnection(ReportMapper(settings(), ("a",)))
        handler = ConnectionHandler(Readiness(log), lambda *events: None, DroppedInputLog(log))
        opened = OpenConnection(connection, stream, anyio.CancelScope())
        async with anyio.create_task_group() as group:
            group.start_soon(measure)
            with anyio.fail_after(60.0):
                await handler.serve(opened, lambda joined: None)
            group.cancel_scope.cancel()

    anyio.run(run)
    most = input_limits.CONNECTION_BURST_MESSAGES + 2 * input_limits.MAX_THROTTLED_S * 1000
    assert stream.read_bytes < most * len(UNSOUND_REPORT) + 100_000
    rejections = [entry["reason"] for entry in captured.entries if entry.get("kind") == "connection"]
    assert len(rejections) == 1 and "messages a second" in rejections[0]
    assert sum(entry["event"] == "input_dropped" for entry in captured.entries) < 200
    assert longest_wait_s < 1.0


def test_messages_are_decoded_in_turns():
    connection = CollectorConnection(ReportMapper(settings(), ("a",)))
    received = connection.feed(1, JOIN + UNSOUND_REPORT * 9, max_messages=4)
    counts = [received.message_count]
    while counts[-1]:
        counts.append(connection.feed(1, b"", max_messages=4).message_count)
    assert counts == [4, 4, 2, 0]


def test_a_burst_after_a_pause_of_the_pilot_is_not_delayed():
    limiter, source = InputLimiter(), ConnectionInput()
    unread = (128 << 10) // len(UNSOUND_REPORT)  # a collector keeps 128 KiB for a pilot that does not read
    assert limiter.spend(source, 100.0, unread) == 0.0


def test_many_connections_share_the_rate_of_the_process_in_turns():
    limiter, now_s = InputLimiter(), 100.0
    sources = [ConnectionInput() for _ in range(40)]
    due = dict.fromkeys(range(40), now_s)
    handled = dict.fromkeys(range(40), 0)
    while now_s < 104.0:
        number = min(due, key=due.__getitem__)
        now_s = due[number]
        handled[number] += 64
        due[number] = now_s + max(1e-3, limiter.spend(sources[number], now_s, 64))
    total = sum(handled.values())
    assert total <= input_limits.PROCESS_BURST_MESSAGES + 5 * input_limits.PROCESS_MESSAGES_PER_S
    assert min(handled.values()) > total / 40 / 2


def test_bytes_that_all_connections_leave_unhandled_are_bounded():
    """Regression (operators, picture a): many connections that each stop within a large message share one limit."""
    limiter = InputLimiter()
    sources = [ConnectionInput() for _ in range(17)]
    for source in sources[:16]:
        limiter.record_buffered(source, 1 << 20)
    with pytest.raises(InputLimitError, match="all connections"):
        limiter.record_buffered(sources[16], 1 << 20)
    for source in random.Random(1).sample(sources, 17):
        limiter.remove(source)
    assert limiter.buffered_bytes == 0


def test_the_rate_leaves_a_margin_over_the_reports_that_the_settings_announce():
    limiter, source, now_s = InputLimiter(report_rate=5000.0), ConnectionInput(), 100.0
    for _ in range(20):
        assert limiter.spend(source, now_s, 5000) == 0.0
        now_s += 1.0
    with pytest.raises(InputLimitError, match="10000 messages a second"):
        for _ in range(1000):
            limiter.spend(source, now_s, 5000)
            now_s += 0.1
