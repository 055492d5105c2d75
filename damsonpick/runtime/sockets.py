"""Checks the state of a socket without reading from it."""

from __future__ import annotations

import select

import anyio
from anyio.abc import SocketAttribute, SocketStream


def is_reusable(stream: SocketStream) -> bool:
    """Return whether a connection can be reused for a request.

    A connection with data or an end of stream to read is not reusable. Usually its server has closed it, and a request
    sent on it would be lost. A stream that is closed on this side is not reusable either.
    """
    poller = select.poll()
    try:
        poller.register(stream.extra(SocketAttribute.raw_socket), select.POLLIN)
    except (anyio.TypedAttributeLookupError, ValueError, OSError):
        return False
    return not poller.poll(0)


def is_hung_up(stream: SocketStream) -> bool:
    """Return whether the peer has closed both directions of a connection, or the connection has failed.

    A TCP peer that closes its socket is seen only when it resets the connection, as it may still read until then.
    """
    poller = select.poll()
    try:
        poller.register(stream.extra(SocketAttribute.raw_socket), 0)
    except (anyio.TypedAttributeLookupError, ValueError, OSError):
        return True
    return bool(poller.poll(0))
