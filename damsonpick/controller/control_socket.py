"""The local socket by which the command line asks a running pilot. One JSON object a line, each way."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

Request = dict[str, Any]  # `ask` names the query, the rest are its parameters
Reply = dict[str, Any]  # the answer, or `error` alone

MAX_REQUEST_BYTES = 65_536
MAX_REPLY_BYTES = 64_000_000
REPLY_TIMEOUT_S = 5.0
OWNER_ONLY = 0o600
CLIENT_GONE = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.DelimiterNotFound,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class ControlError(Exception):
    """The pilot cannot be asked; the text says why and what to do."""


async def serve(path: Path, answer: Callable[[Request], Reply], ready: Callable[[], None]) -> None:
    """Answer requests until cancelled. A socket left by a killed pilot is replaced.

    Args:
        path: where to listen.
        answer: gives the reply to one request; ValueError and KeyError become an `error` reply.
        ready: called once the socket listens.
    """
    path.unlink(missing_ok=True)
    listener = await anyio.create_unix_listener(path, mode=OWNER_ONLY)

    async def serve_client(stream: SocketStream) -> None:
        async with stream:
            requests = BufferedByteReceiveStream(stream)
            try:
                while True:
                    text = await requests.receive_until(b"\n", MAX_REQUEST_BYTES)
                    reply = _answer_text(answer, text)
                    await stream.send(json.dumps(reply).encode() + b"\n")
            except CLIENT_GONE:
                return

    ready()
    try:
        await listener.serve(serve_client)
    finally:
        path.unlink(missing_ok=True)


def _answer_text(answer: Callable[[Request], Reply], text: bytes) -> Reply:
    try:
        return answer(_parse_request(text))
    except (ValueError, KeyError) as error:
        return {"error": f"bad request: {error}"}


def _parse_request(text: bytes) -> Request:
    request = json.loads(text)
    if not isinstance(request, dict):
        raise ValueError("a request is a JSON object")
    return request


async def ask(path: Path, request: Request, timeout_s: float = REPLY_TIMEOUT_S) -> Reply:
    """One reply from the pilot that listens on `path`.

    Raises:
        ControlError: nobody listens, or no reply within `timeout_s` seconds.
    """
    try:
        with anyio.fail_after(timeout_s):
            async with await anyio.connect_unix(path) as stream:
                await stream.send(json.dumps(request).encode() + b"\n")
                text = await BufferedByteReceiveStream(stream).receive_until(b"\n", MAX_REPLY_BYTES)
    except OSError as error:
        raise ControlError(f"{path}: no pilot answers ({error}); start it with `damsonpick run`") from None
    except (TimeoutError, anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError):
        raise ControlError(f"{path}: the pilot gave no answer in {timeout_s:g} s; see its log") from None
    return json.loads(text)
