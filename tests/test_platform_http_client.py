"""Requests over a connection: how long a response may take."""

from __future__ import annotations

import anyio
import pytest

from damsonpick.protocols.platform import http_client
from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.errors import TransportError
from damsonpick.testing.fakes.faulty_http import answer_bytes


def test_a_response_that_comes_byte_by_byte_has_no_more_time_than_another():
    """Each wait for bytes had the whole timeout: a drain could wait for a request that never ended."""

    async def dribble(stream) -> None:
        async with stream:
            await stream.receive()
            for byte in answer_bytes(b'{"taken":1}'):
                await anyio.sleep(0.02)
                await stream.send(bytes([byte]))

    async def scene() -> None:
        async with (
            await anyio.create_tcp_listener(local_host="127.0.0.1") as listener,
            anyio.create_task_group() as group,
        ):
            group.start_soon(listener.serve, dribble)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            connection = http_client.HttpConnection(Address("127.0.0.1", port), 3.0)
            await connection.connect(1.0)
            began = anyio.current_time()
            with pytest.raises(TransportError, match="no whole response"):
                await connection.request("POST", "/txn", b"{}", 0.2)
            assert anyio.current_time() - began < 0.6
            group.cancel_scope.cancel()

    anyio.run(scene)
