"""Small HTTP/1.1 server parts and helpers for loopback sockets."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
from typing import Any, NamedTuple

HOST = "127.0.0.1"
READ_BYTES = 65_536


class Request(NamedTuple):
    """One HTTP request."""

    method: str
    target: str
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request, or return None if the peer closed the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    length = 0
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    return Request(method, target, await reader.readexactly(length) if length else b"")


def response(body: Any, status: str = "200 OK") -> bytes:
    """Return a complete JSON response."""
    data = json.dumps(body).encode()
    return b"HTTP/1.1 %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" % (
        status.encode(),
        len(data),
        data,
    )


WATCH_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    """Return data as one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def line(value: Any) -> bytes:
    """Return a JSON object as one line of a watch."""
    return json.dumps(value, separators=(",", ":")).encode() + b"\n"


def free_port() -> int:
    """Return a free port below the range of outgoing connections."""
    for _ in range(200):
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port
    raise OSError("no free port")


def close(writer: asyncio.StreamWriter) -> None:
    """Reset a connection at once."""
    with contextlib.suppress(Exception):
        writer.transport.abort()
