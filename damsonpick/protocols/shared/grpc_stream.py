"""Reads and writes of a client's gRPC stream that end in one kind of error.

grpc.aio raises `asyncio.CancelledError` in a reader when the *peer* ended the call with CANCELLED, as a killed process
may, and `InvalidStateError` in a writer whose call is over. The first would cancel the reader's whole task group
silently. Here both are `StreamEndedError`; a true cancellation of the task stays what it is.
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
    """The stream is over; the text says how."""


async def read(call: grpc.aio.StreamStreamCall) -> Message:
    """The next message.

    Raises:
        StreamEndedError: there is none.
    """
    message = await guarded(call.read())
    if message is grpc.aio.EOF:
        raise StreamEndedError(ENDED_BY_PEER)
    return message


async def write(call: grpc.aio.StreamStreamCall, message: Message) -> None:
    """Send a message.

    Raises:
        StreamEndedError: the call is over.
    """
    await guarded(call.write(message))


async def guarded(awaitable: Awaitable[Result]) -> Result:
    """Await one operation of a call, or a whole session: a call cut off on this side may end with a cancellation too.

    Raises:
        StreamEndedError: the call is over.
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
