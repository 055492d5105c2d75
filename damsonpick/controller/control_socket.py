"""The local socket by which the command line asks a running pilot. One JSON object a line, each way."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

LONGEST = 65_536  # bytes of a request


class ControlError(Exception):
    """The pilot cannot be asked; the text says why and what to do."""


async def serve(path: Path, answer: Callable[[dict[str, Any]], dict[str, Any]], ready: Callable[[], None]) -> None:
    """Answer requests until cancelled. A socket left by a killed pilot is taken over."""
    path.unlink(missing_ok=True)
    listener = await anyio.create_unix_listener(path, mode=0o600)

    async def handle(stream: SocketStream) -> None:
        async with stream:
            lines = BufferedByteReceiveStream(stream)
            try:
                while True:
                    text = await lines.receive_until(b"\n", LONGEST)
                    await stream.send(json.dumps(_safe(answer, text)).encode() + b"\n")
            except (
                anyio.EndOfStream,
                anyio.IncompleteRead,
                anyio.DelimiterNotFound,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
            ):
                return

    ready()
    try:
        await listener.serve(handle)
    finally:
        path.unlink(missing_ok=True)


def _safe(answer: Callable[[dict[str, Any]], dict[str, Any]], text: bytes) -> dict[str, Any]:
    try:
        request = json.loads(text)
        if not isinstance(request, dict):
            raise ValueError("a request is a JSON object")
        return answer(request)
    except (ValueError, KeyError) as error:
        return {"error": f"bad request: {error}"}


async def ask(path: Path, request: dict[str, Any], patience: float = 5.0) -> dict[str, Any]:
    """One answer from the pilot that listens on `path`.

    Raises:
        ControlError: nobody listens, or no answer within `patience` seconds.
    """
    try:
        with anyio.fail_after(patience):
            async with await anyio.connect_unix(path) as stream:
                await stream.send(json.dumps(request).encode() + b"\n")
                text = await BufferedByteReceiveStream(stream).receive_until(b"\n", 64_000_000)
    except OSError as error:
        raise ControlError(f"{path}: no pilot answers ({error}); start it with `damsonpick run`") from None
    except (TimeoutError, anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError):
        raise ControlError(f"{path}: the pilot gave no answer in {patience:g} s; see its log") from None
    return json.loads(text)
