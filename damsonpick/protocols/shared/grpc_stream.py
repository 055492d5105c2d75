"""Reads and writes of a client's gRPC stream that end in one kind of error.

grpc.aio raises `asyncio.CancelledError` in a reader when the *peer* ended the call with CANCELLED, as a killed
process may, and `InvalidStateError` in a writer whose call is over. The first would cancel the reader's whole task
group without a word. Here both are `StreamEnded`; a true cancellation of the task stays what it is.
"""

from __future__ import annotations

import asyncio
from typing import Any

import grpc


class StreamEnded(Exception):
    """The stream is over; the text says how."""


async def read(call: Any) -> Any:
    """The next message.

    Raises:
        StreamEnded: there is none.
    """
    got = await guarded(call.read())
    if got is grpc.aio.EOF:
        raise StreamEnded("the peer ended the stream")
    return got


async def write(call: Any, message: Any) -> None:
    """Send a message.

    Raises:
        StreamEnded: the call is over.
    """
    await guarded(call.write(message))


async def guarded(awaitable: Any) -> Any:
    """What it brings. Also for a whole session: a call cut off on this side may end with a cancellation of its own.

    Raises:
        StreamEnded: the call is over.
    """
    try:
        return await awaitable
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
        raise StreamEnded("the peer cancelled the call") from None
    except asyncio.InvalidStateError:
        raise StreamEnded("the call is over") from None
    except grpc.aio.AioRpcError as error:
        raise StreamEnded(f"{error.code().name}: {error.details()}") from None
