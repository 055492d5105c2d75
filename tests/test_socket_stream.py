"""Tests of accepted connections that read nothing ahead."""

from __future__ import annotations

import socket
import threading
import time

import anyio
import pytest

from damsonpick.runtime.socket_stream import PulledSocketListener

pytestmark = pytest.mark.anyio
SEND_S = 0.5
KERNEL_BYTES = 32 << 20  # more than the socket buffers of both sides hold


@pytest.fixture
def anyio_backend():
    return "asyncio", {"use_uvloop": True}


class Sender(threading.Thread):
    """Sends as much as it can, from the moment at which it is connected."""

    def __init__(self, port: int):
        super().__init__(daemon=True)
        self.port, self.sent_bytes = port, 0

    def run(self) -> None:
        with socket.create_connection(("127.0.0.1", self.port)) as connection:
            connection.settimeout(0.05)
            until = time.monotonic() + SEND_S
            while time.monotonic() < until:
                try:
                    self.sent_bytes += connection.send(bytes(1 << 20))
                except TimeoutError:
                    continue


async def test_a_peer_that_sends_before_it_is_read_has_to_wait():
    """Regression (operators, picture b): a connection that had sent before its first read was read without end."""
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        accepting = PulledSocketListener(listener.listeners[0])
        sender = Sender(listener.extra(anyio.abc.SocketAttribute.local_port))
        sender.start()
        async with await accepting.accept() as stream:
            await anyio.sleep(SEND_S / 5)
            received_bytes = 0
            while sender.is_alive():
                received_bytes += len(await stream.receive(1000))
                await anyio.sleep(0.001)
            assert received_bytes > 0 and sender.sent_bytes - received_bytes < KERNEL_BYTES


async def test_a_pulled_stream_transfers_data_and_ends():
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        accepting = PulledSocketListener(listener.listeners[0])
        client = await anyio.connect_tcp("127.0.0.1", listener.extra(anyio.abc.SocketAttribute.local_port))
        async with client, await accepting.accept() as stream:
            assert stream.peer_host() == "127.0.0.1" and not stream.is_reset()
            text = bytes(range(256)) * 50_000
            async with anyio.create_task_group() as group:
                group.start_soon(stream.send, text)
                received = b""
                while len(received) < len(text):
                    received += await client.receive()
            assert received == text
            await client.send(b"x")
            assert await stream.receive() == b"x"
            await client.send_eof()
            with pytest.raises(anyio.EndOfStream):
                await stream.receive()
            assert not stream.is_reset()
        with pytest.raises(anyio.ClosedResourceError):
            await stream.receive()


async def test_a_reset_of_the_peer_is_seen_without_reading():
    async with await anyio.create_tcp_listener(local_host="127.0.0.1") as listener:
        accepting = PulledSocketListener(listener.listeners[0])
        client = socket.create_connection(("127.0.0.1", listener.extra(anyio.abc.SocketAttribute.local_port)))
        async with await accepting.accept() as stream:
            client.sendall(b"unread")
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            client.close()
            with anyio.fail_after(5.0):
                while not stream.is_reset():
                    await anyio.sleep(0.01)
