"""An exception ends only the client, connection or task that raised it."""

from __future__ import annotations

import os
import resource
import socket

import anyio
import pytest
import structlog
from structlog.testing import LogCapture

from damsonpick.runtime import supervision
from damsonpick.runtime.supervision import ConnectionServer, keep_running


@pytest.fixture
def captured():
    return LogCapture()


@pytest.fixture
def log(captured):
    return structlog.wrap_logger(None, processors=[captured])


def test_a_task_that_raises_is_logged_and_started_again(captured, log, monkeypatch):
    monkeypatch.setattr(supervision, "MIN_RESTART_DELAY_S", 0.001)
    starts = []

    async def run() -> None:
        starts.append(None)
        if len(starts) < 4:
            raise LookupError("no such thing")

    anyio.run(keep_running, "sample", run, log)
    assert len(starts) == 4
    events = [(entry["event"], entry["task"], entry["error"]) for entry in captured.entries]
    assert events == [("task_failed", "sample", "LookupError('no such thing')")] * 3


def test_a_task_that_fails_again_and_again_waits_a_second_at_most(captured, log):
    """A drive loop that paused for longer would delay a drain beyond its grace period."""
    delays_s = []

    async def run_test() -> None:
        async def skip(delay_s: float) -> None:
            delays_s.append(delay_s)
            if len(delays_s) == 20:
                group.cancel_scope.cancel()
            await anyio.lowlevel.checkpoint()

        async def fail() -> None:
            raise LookupError("no such thing")

        async with anyio.create_task_group() as group:
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(supervision.anyio, "sleep", skip)
                await keep_running("sample", fail, log)

    anyio.run(run_test)
    assert len(delays_s) == 20 and max(delays_s) <= 1.0


def test_a_task_that_is_cancelled_ends(log):
    async def run_test() -> None:
        with anyio.move_on_after(0.05) as scope:
            await keep_running("sample", anyio.sleep_forever, log)
        assert scope.cancelled_caught

    anyio.run(run_test)


async def echo(stream) -> None:
    text = await stream.receive()
    if text == b"raise":
        raise LookupError("no such thing")
    await stream.send(text)


async def exchange(port: int, text: bytes) -> bytes:
    with anyio.fail_after(5):
        async with await anyio.connect_tcp("127.0.0.1", port) as stream:
            await stream.send(text)
            try:
                return await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return b""


def run_with_echo_server(run_test, log) -> None:
    """Run a test against a server that echoes."""

    async def run() -> None:
        async with (
            await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
            anyio.create_task_group() as group,
        ):
            server = ConnectionServer("sample", echo, log)
            group.start_soon(server.serve, listener.listeners[0], group)
            await run_test(listener.extra(anyio.abc.SocketAttribute.local_port))
            group.cancel_scope.cancel()

    anyio.run(run)


def test_a_fault_in_one_connection_ends_it_alone(captured, log):
    async def run_test(port: int) -> None:
        assert await exchange(port, b"raise") == b""
        assert await exchange(port, b"hello") == b"hello"

    run_with_echo_server(run_test, log)
    assert [(entry["event"], entry["server"]) for entry in captured.entries] == [("connection_failed", "sample")]


def test_running_out_of_descriptors_does_not_end_the_server(captured, log):
    """Regression: an accept that failed because no file descriptor was free ended the program."""

    async def run_test(port: int) -> None:
        client = socket.create_connection(("127.0.0.1", port))  # opens its descriptor before the last ones are used up
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        highest = max(int(name) for name in os.listdir("/proc/self/fd"))
        resource.setrlimit(resource.RLIMIT_NOFILE, (highest, hard))
        taken = []
        try:
            with pytest.raises(OSError):
                while True:
                    taken.append(os.dup(0))
            await anyio.sleep(0.2)  # meanwhile the accept fails more than once
        finally:
            for number in taken:
                os.close(number)
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        with client:
            client.sendall(b"hello")
            assert await anyio.to_thread.run_sync(client.recv, 16) == b"hello"

    run_with_echo_server(run_test, log)
    assert [entry["event"] for entry in captured.entries] == ["accept_failed"]
