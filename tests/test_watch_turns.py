"""Tests of a watch whose server sends very much at once."""

from __future__ import annotations

import random

import anyio
import pytest
import structlog

from damsonpick.protocols.platform import watch_client
from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.http_response import ResponseReader
from damsonpick.protocols.platform.watch_client import MAX_LINES_PER_TURN, WatchClient

LINES = 4000


class RecordingReader:
    """Records how many lines each call has processed, and how often another task ran in between."""

    def __init__(self):
        self.counts, self.other_runs = [], 0

    def path(self):
        return "/watch"

    def process(self, lines):
        self.counts.append(len(lines))
        return True


@pytest.mark.parametrize("count", [1, MAX_LINES_PER_TURN, LINES])
def test_other_tasks_run_while_a_watch_sends_very_many_lines(monkeypatch, count):
    """Regression (operators, picture b): thousands of lines of one read held up the answers to all clients."""
    reader = RecordingReader()

    async def stream_lines(address, path, silence_timeout_s):
        yield [b"{}"] * count
        await anyio.sleep_forever()

    async def run_other_task():
        while True:
            reader.other_runs += 1
            await anyio.lowlevel.checkpoint()

    async def run() -> None:
        monkeypatch.setattr(watch_client, "stream_lines", stream_lines)
        log = structlog.wrap_logger(None, processors=[structlog.testing.LogCapture()])
        client = WatchClient("registry", 2.4, lambda: reader, random.Random(1), log)
        async with anyio.create_task_group() as group:
            group.start_soon(run_other_task)
            client.follow(group, Address("127.0.0.1", 1))
            with anyio.fail_after(10.0):
                while sum(reader.counts) < count:
                    await anyio.sleep(0.01)
            group.cancel_scope.cancel()

    anyio.run(run)
    assert max(reader.counts) <= MAX_LINES_PER_TURN and sum(reader.counts) == count
    assert reader.other_runs >= len(reader.counts)


def test_a_long_line_is_not_copied_with_each_of_its_parts():
    reader = ResponseReader(1 << 23)
    reader.feed(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
    for _ in range(50):
        reader.feed(b"3e8\r\n" + b"x" * 1000 + b"\r\n")
        body = reader.body
        assert reader.take_lines() == [] and reader.body is body
    reader.feed(b'9\r\n\n{}\r\n\n{"a\r\n')
    assert reader.take_lines() == [b"x" * 50_000, b"{}", b""] and reader.body == b'{"a'
