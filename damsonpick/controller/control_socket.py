"""The local socket by which the command line asks a running pilot. One JSON object a line, each way."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import SocketListener, SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream
from structlog.typing import FilteringBoundLogger

from damsonpick.runtime.supervision import ConnectionServer

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

    def __init__(self, path: Path, reason: str) -> None:
        """Name the socket and why there is no reply."""
        super().__init__(f"{path}: {reason}")
        self.path = path


class ControlListenError(ControlError):
    """The control socket cannot be opened."""

    def __init__(self, path: Path, cause: OSError) -> None:
        """Name the socket and what the operating system says."""
        super().__init__(path, f"the control socket cannot be opened ({cause}); name another folder in [pilot] state")


class NoPilotError(ControlError):
    """Nobody listens on the socket."""

    def __init__(self, path: Path, cause: OSError) -> None:
        """Name the socket and what the operating system says."""
        super().__init__(path, f"no pilot answers ({cause}); start it with `damsonpick run`")


class NotPermittedError(ControlError):
    """The socket may not be used by this user: a pilot may well be running."""

    def __init__(self, path: Path) -> None:
        """Name the socket and the remedy."""
        super().__init__(path, "the control socket is another user's; ask as the user that runs the pilot")


class NoReplyError(ControlError):
    """The pilot took the request and did not reply."""

    def __init__(self, path: Path, timeout_s: float) -> None:
        """Name the socket and for how long was waited."""
        super().__init__(path, f"the pilot gave no answer in {timeout_s:g} s; see its log")
        self.timeout_s = timeout_s


class RequestError(ValueError):
    """A request that is no JSON object."""

    def __init__(self) -> None:
        """The text is the same for every request."""
        super().__init__("a request is a JSON object")


async def listen(path: Path) -> SocketListener:
    """Open the control socket. One left by a killed pilot is replaced.

    Raises:
        ControlListenError: it cannot be opened there.
    """
    try:
        path.unlink(missing_ok=True)
        return await anyio.create_unix_listener(path, mode=OWNER_ONLY)
    except OSError as error:
        raise ControlListenError(path, error) from None


async def serve(
    listener: SocketListener, path: Path, answer: Callable[[Request], Reply], log: FilteringBoundLogger
) -> None:
    """Answer requests until cancelled, and remove the socket.

    Args:
        listener: as `listen` has opened it.
        path: of the socket.
        answer: gives the reply to one request; ValueError and KeyError become an `error` reply.
        log: for a client that ends with a fault of the program; the others and the program go on.
    """

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

    try:
        async with listener, anyio.create_task_group() as group:
            await ConnectionServer("control socket", serve_client, log).serve(listener, group)
    finally:
        path.unlink(missing_ok=True)


def _answer_text(answer: Callable[[Request], Reply], text: bytes) -> Reply:
    try:
        return answer(_parse_request(text))
    except (ValueError, KeyError) as error:
        return {"error": f"bad request: {error}"}


def _parse_request(text: bytes) -> Request:
    try:
        request = msgspec.json.decode(text)
    except RecursionError:
        raise RequestError from None
    if not isinstance(request, dict):
        raise RequestError
    return request


async def ask(path: Path, request: Request, timeout_s: float = REPLY_TIMEOUT_S) -> Reply:
    """One reply from the pilot that listens on `path`.

    Raises:
        NoPilotError: nobody listens.
        NotPermittedError: this user may not ask.
        NoReplyError: no reply within `timeout_s` seconds, or the connection ended before it.
    """
    try:
        with anyio.fail_after(timeout_s):
            async with await anyio.connect_unix(path) as stream:
                await stream.send(json.dumps(request).encode() + b"\n")
                text = await BufferedByteReceiveStream(stream).receive_until(b"\n", MAX_REPLY_BYTES)
    except (TimeoutError, anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError):
        # Before OSError, which TimeoutError is one of: a pilot that hangs is there.
        raise NoReplyError(path, timeout_s) from None
    except PermissionError:
        raise NotPermittedError(path) from None
    except OSError as error:
        raise NoPilotError(path, error) from None
    return json.loads(text)
