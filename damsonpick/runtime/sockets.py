"""What the state of a TCP socket tells without reading from it."""

from __future__ import annotations

import select

import anyio
from anyio.abc import SocketAttribute, SocketStream


def idle(stream: SocketStream) -> bool:
    """Whether a connection may be used again for a request.

    A connection with something to read is not idle: most often its server has closed it, and a request sent on it
    would be lost.

    Returns:
        False also for a stream that is closed on this side.
    """
    poller = select.poll()
    try:
        poller.register(stream.extra(SocketAttribute.raw_socket), select.POLLIN)
    except (anyio.TypedAttributeLookupError, ValueError, OSError):
        return False
    return not poller.poll(0)
