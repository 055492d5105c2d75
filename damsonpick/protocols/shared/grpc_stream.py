"""Reads and writes on the gRPC stream of a client, with one error type for every end of the stream.

grpc.aio raises `asyncio.CancelledError` in a reader when the *peer* ended the call with CANCELLED, as a killed process
may do. It raises `InvalidStateError` in a writer whose call is over. The `CancelledError` would silently cancel the
whole task group of the reader. The functions of this module raise `StreamEndedError` instead of both errors. A real
cancellation of the task is raised unchanged.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from typing import TypeVar

import grpc
from google.protobuf.message import Message

Result = TypeVar("Result")


ENDED_BY_PEER = "the peer ended the stream"
CANCELLED_BY_PEER = "the peer cancelled the call"
CALL_OVER = "the call is over"


class StreamEndedError(Exception):
    """Raised when a stream has ended. The message states how it ended."""


async def read(call: grpc.aio.StreamStreamCall) -> Message:
    """Return the next message.

    Raises:
        StreamEndedError: The stream has ended.
    """
    message = await guarded(call.read())
    if message is grpc.aio.EOF:
        raise StreamEndedError(ENDED_BY_PEER)
    return message


async def write(call: grpc.aio.StreamStreamCall, message: Message) -> None:
    """Send a message.

    Raises:
        StreamEndedError: The call is over.
    """
    await guarded(call.write(message))


async def guarded(awaitable: Awaitable[Result]) -> Result:
    """Await one operation of a call, or a whole session.

    A call that this side has aborted may also end with a `CancelledError`, which becomes a `StreamEndedError`.

    Raises:
        StreamEndedError: The call is over.
    """
    try:
        return await awaitable
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if task is not None and task.cancelling():
            raise
        raise StreamEndedError(CANCELLED_BY_PEER) from None
    except asyncio.InvalidStateError:
        raise StreamEndedError(CALL_OVER) from None
    except grpc.aio.AioRpcError as error:
        status = f"{error.code().name}: {error.details()}"
        raise StreamEndedError(status) from None
