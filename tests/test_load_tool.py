"""Tests of the load tool: the seed determines the arrivals, every request is counted once, reports are compared."""

from __future__ import annotations

import json
from itertools import pairwise

import anyio
import pytest

from damsonpick.load_tool import results
from damsonpick.load_tool.experiment import Arrival, arrivals, read
from damsonpick.load_tool.player import LoadGenerator
from damsonpick.settings.load import SettingsError

EXPERIMENT = """
[load]
target = 127.0.0.1:{port}
rate = 200
length = 1 s
warm_up = {warm_up}
keys = 50
skew = 1.1
seed = 9

[class page]
share = 3

[class write]
share = 1
method = POST
body = 5
timeout = 300 ms
"""


def experiment(tmp_path, port=1, warm_up="200 ms"):
    path = tmp_path / "experiment.ini"
    path.write_text(EXPERIMENT.format(port=port, warm_up=warm_up))
    return read(path)


def test_arrivals_follow_from_the_seed(tmp_path):
    generated = list(arrivals(experiment(tmp_path)))
    assert len(generated) == 174
    assert generated[0] == Arrival(3_108_854, "page", 1, 0) and generated[-1] == Arrival(997_481_014, "page", 7, 173)


def test_an_experiment_that_counts_nothing_is_refused(tmp_path):
    with pytest.raises(SettingsError, match="nothing would be counted"):
        experiment(tmp_path, warm_up="1 s")


@pytest.mark.anyio
async def test_every_request_after_the_warm_up_is_counted_once(tmp_path):
    """The server responds to pages and closes the connection of writes. Both are counted as outcomes."""

    async def serve(stream):
        async with stream:
            head = b""
            while not head.endswith((b"\r\n\r\n", b"xxxxx")):
                head += await stream.receive()
            if head.startswith(b"GET"):
                await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok")

    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        loaded = experiment(tmp_path, listener.extra(anyio.abc.SocketAttribute.local_port))
        report = await LoadGenerator(loaded).run()
        group.cancel_scope.cancel()
    counted = [arrival.request_class for arrival in arrivals(loaded) if arrival.due_ns >= loaded.load.warm_up]
    assert report["classes"]["page"]["ends"] == {"200": counted.count("page")}
    assert report["classes"]["write"]["ends"] == {"cut": counted.count("write")}
    earlier = tmp_path / "earlier.json"
    earlier.write_text(json.dumps(report))
    assert all(row[-1] == "1.00" for row in results.compare(report, earlier) if row[2])
    earlier.write_text("{}")
    with pytest.raises(ValueError, match="cannot be read as a results file"):
        results.compare(report, earlier)


@pytest.mark.anyio
async def test_a_response_to_head_ends_with_its_head_and_closed_connections_are_not_used_again(tmp_path):
    """Guards against two faults.

    A HEAD request waited for a body until its timeout, and a reused connection that the target had closed was counted
    as cut.
    """

    async def serve(stream):
        async with stream:
            head = b""
            while not head.endswith(b"\r\n\r\n"):
                head += await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\ncontent-length: 900\r\n\r\n")
            # the connection closes without notice, long before the next request

    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener, anyio.create_task_group() as group:
        group.start_soon(listener.serve, serve)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        path = tmp_path / "experiment.ini"
        text = EXPERIMENT.format(port=port, warm_up="100 ms").replace("rate = 200", "rate = 12")
        path.write_text(text.replace("share = 3\n", "share = 3\nmethod = HEAD\n").partition("[class write]")[0])
        due_ns = [arrival.due_ns for arrival in arrivals(read(path))]
        assert min(after - before for before, after in pairwise(due_ns)) > 5_000_000
        figures = (await LoadGenerator(read(path)).run())["classes"]["page"]
        group.cancel_scope.cancel()
    assert figures["ends"].keys() == {"200"}
