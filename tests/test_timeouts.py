"""Tests of timeouts on an event loop that is late."""

from __future__ import annotations

import socket
import time

import anyio
import pytest

from damsonpick.protocols.platform import http_client
from damsonpick.protocols.platform.address import Address
from damsonpick.runtime.timeouts import complete_within
from damsonpick.testing.fakes.http import ClientConnection

ITERATION_S = 0.05  # duration of each iteration of the event loop
TIMEOUT_S = 0.02  # shorter than an iteration


class Resource:
    def __init__(self) -> None:
        self.closed = False

    async def close(self) -> None:
        self.closed = True


async def block_the_loop() -> None:
    while True:
        time.sleep(ITERATION_S)
        await anyio.sleep(0)


async def dial_platform(port: int) -> None:
    await anyio.aclose_forcefully(await http_client.dial(Address("127.0.0.1", port), TIMEOUT_S))


async def dial_fake(port: int) -> None:
    await (await ClientConnection.connect(f"127.0.0.1:{port}", TIMEOUT_S)).close()


@pytest.mark.parametrize("dial", [dial_platform, dial_fake])
def test_a_connection_opens_though_each_iteration_of_the_loop_takes_longer_than_the_timeout(dial):
    """Regression: each connect of a busy process timed out.

    The process then opened a new connection for each request and became busier.
    """

    async def run_test() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(block_the_loop)
            for _ in range(5):
                await dial(port)
            group.cancel_scope.cancel()

    with socket.create_server(("127.0.0.1", 0)) as server:
        port = server.getsockname()[1]
        anyio.run(run_test)


def test_an_operation_that_does_not_end_is_cancelled_in_time():
    async def run_test() -> None:
        with pytest.raises(TimeoutError):
            await complete_within(TIMEOUT_S, anyio.sleep_forever, Resource.close)

    began = time.monotonic()
    anyio.run(run_test)
    assert time.monotonic() - began < 2


def test_what_an_operation_raises_is_raised():
    async def fail() -> Resource:
        raise ConnectionRefusedError("nobody listens")

    async def run_test() -> None:
        with pytest.raises(ConnectionRefusedError):
            await complete_within(1.0, fail, Resource.close)

    anyio.run(run_test)


def test_a_result_that_nobody_takes_is_closed():
    result = Resource()

    async def run_test() -> None:
        async def operation() -> Resource:
            scope.cancel()  # cancels the caller in the iteration in which the result arrives
            return result

        with anyio.CancelScope() as scope:
            await complete_within(1.0, operation, Resource.close)

    anyio.run(run_test)
    assert result.closed
