"""What a plain socket tells without reading from it."""

from __future__ import annotations

import select

import anyio
from anyio.abc import SocketStream


def idle(stream: SocketStream) -> bool:
    """Whether nothing came meanwhile: a server that closed an idle connection must not eat a request."""
    watch = select.poll()
    try:
        watch.register(stream.extra(anyio.abc.SocketAttribute.raw_socket), select.POLLIN)
    except (anyio.TypedAttributeLookupError, ValueError, OSError):
        return False
    return not watch.poll(0)
