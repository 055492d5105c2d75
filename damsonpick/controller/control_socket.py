"""Unix socket through which the command line queries a running pilot. Each request and reply is one line of JSON."""

from __future__ import annotations

import contextlib
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import SocketListener, SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream
from structlog.typing import FilteringBoundLogger

from damsonpick.runtime.connection_slots import ConnectionSlots, NoSlotError, Slot
from damsonpick.runtime.sockets import is_hung_up
from damsonpick.runtime.supervision import ConnectionServer

Request = dict[str, Any]  # the key `ask` names the query; the other keys are its operation (`do`) and parameters
Reply = dict[str, Any]  # the result, or a single key `error`

MAX_REQUEST_BYTES = 65_536
MAX_REPLY_BYTES = 64_000_000
MAX_CONNECTIONS = 32  # open connections of the process; each may hold a request or a reply
REQUEST_TIMEOUT_S = 10.0  # longest time without a complete request
SEND_TIMEOUT_S = 10.0  # longest time in which a client must have read a reply
TOO_MANY_CONNECTIONS = {"error": f"{MAX_CONNECTIONS} connections are being served; ask again later"}
REPLY_TIMEOUT_S = 5.0
OWNER_ONLY = 0o600
CLIENT_DISCONNECTED = (
    anyio.EndOfStream,
    anyio.IncompleteRead,
    anyio.DelimiterNotFound,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class ControlError(Exception):
    """Base class of the errors of the control socket. The message gives the reason and a remedy."""

    def __init__(self, path: Path, reason: str) -> None:
        """Build the message from the socket path and the reason."""
        super().__init__(f"{path}: {reason}")
        self.path = path


class ControlListenError(ControlError):
    """The control socket cannot be opened."""

    def __init__(self, path: Path, cause: OSError) -> None:
        """Build the message from the socket path and the error of the operating system."""
        super().__init__(path, f"the control socket cannot be opened ({cause}); set another folder in [pilot] state")


class NoPilotError(ControlError):
    """No process listens on the socket."""

    def __init__(self, path: Path, cause: OSError) -> None:
        """Build the message from the socket path and the error of the operating system."""
        super().__init__(path, f"no pilot answers ({cause}); start it with `damsonpick run`")


class NotPermittedError(ControlError):
    """This user has no permission to use the socket. A pilot may be running nevertheless."""

    def __init__(self, path: Path) -> None:
        """Build the message from the socket path."""
        super().__init__(path, "the control socket belongs to another user; ask as the user that runs the pilot")


class NoReplyError(ControlError):
    """The pilot sent no reply in time, or closed the connection before it replied."""

    def __init__(self, path: Path, timeout_s: float) -> None:
        """Build the message from the socket path and the timeout."""
        super().__init__(path, f"the pilot sent no answer in {timeout_s:g} s; see its log")
        self.timeout_s = timeout_s


class RequestError(ValueError):
    """A request is not a JSON object, or is nested too deeply to be decoded."""

    def __init__(self) -> None:
        """Build the message, which does not depend on the request."""
        super().__init__("a request must be a JSON object")


async def listen(path: Path) -> SocketListener:
    """Open the control socket, and replace a socket file that a killed pilot left behind.

    Raises:
        ControlListenError: The socket cannot be opened at this path.
    """
    try:
        path.unlink(missing_ok=True)
        return await anyio.create_unix_listener(path, mode=OWNER_ONLY)
    except OSError as error:
        raise ControlListenError(path, error) from None


async def serve(
    listener: SocketListener, path: Path, answer: Callable[[Request], Reply], log: FilteringBoundLogger
) -> None:
    """Answer requests until cancelled, then remove the socket file.

    Args:
        listener: Listener that `listen` returned.
        path: Path of the socket.
        answer: Returns the reply to one request. A ValueError or KeyError becomes an `error` reply.
        log: Logger for failed accepts and unexpected exceptions. An exception ends only the connection of the client
            that triggered it.
    """

    slots = ConnectionSlots(MAX_CONNECTIONS)

    async def serve_client(stream: SocketStream) -> None:
        async with stream:
            try:
                with slots.occupy() as slot:
                    await _serve_requests(stream, slot, answer)
            except NoSlotError:
                with contextlib.suppress(TimeoutError, *CLIENT_DISCONNECTED):
                    await _send_reply(stream, TOO_MANY_CONNECTIONS)
            except (TimeoutError, *CLIENT_DISCONNECTED):
                return

    try:
        async with listener, anyio.create_task_group() as group:
            await ConnectionServer("control socket", serve_client, log).serve(listener, group)
    finally:
        path.unlink(missing_ok=True)


async def _serve_requests(stream: SocketStream, slot: Slot, answer: Callable[[Request], Reply]) -> None:
    """Answer the requests of one client, except those that arrive after it has closed the connection.

    Raises:
        TimeoutError: The client did not send a complete request, or did not read a reply, in time.
    """
    requests = BufferedByteReceiveStream(stream)
    while True:
        slot.idle = True
        with anyio.fail_after(REQUEST_TIMEOUT_S):
            text = await requests.receive_until(b"\n", MAX_REQUEST_BYTES)
        if is_hung_up(stream):
            return
        slot.idle = False
        await _send_reply(stream, _answer_text(answer, text))


async def _send_reply(stream: SocketStream, reply: Reply) -> None:
    with anyio.fail_after(SEND_TIMEOUT_S):
        await stream.send(json.dumps(reply).encode() + b"\n")


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
    """Send one request to the pilot that listens on `path` and return its reply.

    Raises:
        NoPilotError: No process listens on the socket.
        NotPermittedError: This user has no permission to use the socket.
        NoReplyError: No reply arrived within `timeout_s` seconds, or the connection ended before the reply.
        anyio.DelimiterNotFound: The reply exceeds `MAX_REPLY_BYTES`.
    """
    try:
        with anyio.fail_after(timeout_s):
            async with await anyio.connect_unix(path) as stream:
                await stream.send(json.dumps(request).encode() + b"\n")
                text = await BufferedByteReceiveStream(stream).receive_until(b"\n", MAX_REPLY_BYTES)
    except (TimeoutError, anyio.EndOfStream, anyio.IncompleteRead, anyio.BrokenResourceError):
        # TimeoutError is an OSError, so this clause must precede `except OSError`, which reports that no pilot runs.
        # A pilot that hangs is running.
        raise NoReplyError(path, timeout_s) from None
    except PermissionError:
        raise NotPermittedError(path) from None
    except OSError as error:
        raise NoPilotError(path, error) from None
    return json.loads(text)
