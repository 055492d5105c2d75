"""Tests of requests over a persistent connection: the timeout of a response."""

from __future__ import annotations

import contextlib
import socket
import threading
import time

import anyio
import pytest

from damsonpick.protocols.platform import http_client
from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.errors import TransportError
from damsonpick.testing.fakes.faulty_http import response_bytes


def test_a_response_that_comes_byte_by_byte_has_no_more_time_than_another():
    """Guards against a timeout that applies to each read, not to the response: an endless response delayed a drain."""

    async def send_bytewise(stream) -> None:
        async with stream:
            await stream.receive()
            for byte in response_bytes(b'{"taken":1}'):
                await anyio.sleep(0.02)
                await stream.send(bytes([byte]))

    async def run_scenario() -> None:
        async with (
            await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
            anyio.create_task_group() as group,
        ):
            group.start_soon(listener.serve, send_bytewise)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            connection = http_client.HttpConnection(Address("127.0.0.1", port), 3.0)
            await connection.connect(1.0)
            started_at = anyio.current_time()
            with pytest.raises(TransportError, match="no complete response"):
                await connection.request("POST", "/txn", b"{}", 0.2)
            assert anyio.current_time() - started_at < 0.6
            group.cancel_scope.cancel()

    anyio.run(run_scenario)


class AnsweringThread:
    """A server in its own threads, so that it responds immediately even if the event loop is blocked."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.port = self._listener.getsockname()[1]
        self.requests = 0
        threading.Thread(target=self._serve, daemon=True).start()

    def _serve(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._answer, args=(client,), daemon=True).start()

    def _answer(self, client: socket.socket) -> None:
        with client, contextlib.suppress(OSError):
            while client.recv(65_536):
                self.requests += 1
                client.sendall(response_bytes(b'{"taken":1}'))

    def close(self) -> None:
        self._listener.close()


@pytest.mark.parametrize("use_uvloop", [False, True])
def test_a_request_is_confirmed_though_each_turn_of_the_loop_takes_longer_than_its_timeout(use_uvloop):
    """Guards against timeouts of answered requests on a late event loop: resending the orders delayed it further."""
    server = AnsweringThread()

    async def block_event_loop() -> None:
        while True:
            time.sleep(0.05)
            await anyio.sleep(0)

    async def run_scenario() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(block_event_loop)
            connection = http_client.HttpConnection(Address("127.0.0.1", server.port), 30.0)
            for _ in range(3):
                await connection.connect(0.02)
                response = await connection.request("POST", "/txn", b"{}", 0.02)
                assert response.body == b'{"taken":1}'
            group.cancel_scope.cancel()

    try:
        anyio.run(run_scenario, backend="asyncio", backend_options={"use_uvloop": use_uvloop})
    finally:
        server.close()
    assert server.requests == 3
