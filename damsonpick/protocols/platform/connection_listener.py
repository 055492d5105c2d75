"""Accepts connections at the pilot's listening address."""

from __future__ import annotations

import errno
from typing import Protocol

import anyio
from anyio.abc import ByteStream, TaskGroup

from damsonpick.protocols.platform import messages
from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.collaborators import Logger
from damsonpick.protocols.platform.connection import CollectorConnection
from damsonpick.protocols.platform.connection_handler import ConnectionHandler, OpenConnection
from damsonpick.protocols.platform.connection_limiter import ConnectionLimiter
from damsonpick.protocols.platform.dropped_input_log import DroppedInput, DroppedInputLog
from damsonpick.protocols.platform.errors import ConfigError, TransportError
from damsonpick.runtime.socket_stream import PulledSocketListener

JOIN_TIMEOUT_S = 1.0
ACCEPT_RETRY_DELAY_S = 0.05
BACKLOG = 1024
RESOURCE_EXHAUSTED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
PEER_CLOSED_ERRORS = (
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    OSError,
    TransportError,
)


class Listener(Protocol):
    """A listening socket."""

    async def accept(self) -> ByteStream:
        """Accept and return the next connection.

        Raises:
            OSError: The connection could not be accepted.
        """


async def open_listener(address: Address) -> Listener:
    """Open the listening socket.

    Raises:
        ConfigError: The socket cannot be opened at this address.
    """
    host, port = address
    try:
        opened = await anyio.create_tcp_listener(local_host=host, local_port=port, backlog=BACKLOG)
    except OSError as error:
        reason = f"{host}:{port}: {error.strerror or error}: listen needs a free port and an address of this host"
        raise ConfigError("listen", reason) from None
    return PulledSocketListener(opened.listeners[0])


class ConnectionListener:
    """Accepts connections and closes some of them when there are too many."""

    def __init__(
        self,
        reports: messages.ReportMapper,
        limiter: ConnectionLimiter,
        handler: ConnectionHandler,
        dropped_input_log: DroppedInputLog,
        log: Logger,
    ) -> None:
        """Create a listener without connections.

        Args:
            reports: Maps reports to events.
            limiter: Selects the connections to close.
            handler: Serves each connection.
            dropped_input_log: Records connections that could not be accepted.
            log: Receives unexpected errors.
        """
        self._reports = reports
        self._limiter = limiter
        self._handler = handler
        self._dropped_input_log = dropped_input_log
        self._log = log
        self._scopes: dict[CollectorConnection, anyio.CancelScope] = {}

    async def run(self, listener: Listener, group: TaskGroup) -> None:
        """Accept connections until cancelled, and serve each one in a separate task."""
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                await self._handle_accept_error(error)
            else:
                self._open(stream, group)

    async def _handle_accept_error(self, error: OSError) -> None:
        self._dropped_input_log.record(DroppedInput.ACCEPT, str(error))
        if error.errno in RESOURCE_EXHAUSTED:
            # Without the pause, the loop would retry continuously until the resource is available again.
            self._close(self._limiter.oldest_unjoined())
            await anyio.sleep(ACCEPT_RETRY_DELAY_S)
        else:
            # For example, the peer reset the connection before it was accepted. No other connection needs to be closed.
            await anyio.sleep(0)

    def _open(self, stream: ByteStream, group: TaskGroup) -> None:
        connection = CollectorConnection(self._reports)
        scope = anyio.CancelScope(deadline=anyio.current_time() + JOIN_TIMEOUT_S)
        self._scopes[connection] = scope
        self._close(self._limiter.add(connection))
        group.start_soon(self._serve, OpenConnection(connection, stream, scope))

    def _close(self, connection: CollectorConnection | None) -> None:
        """Cancel the task that serves a connection; the task closes the socket."""
        if connection in self._scopes:
            self._scopes[connection].cancel()

    def _close_replaced(self, joined: CollectorConnection) -> None:
        for replaced in self._limiter.replaced_by(joined):
            self._close(replaced)

    async def _serve(self, opened: OpenConnection) -> None:
        try:
            with opened.scope:
                await self._handler.serve(opened, self._close_replaced)
        except PEER_CLOSED_ERRORS:
            pass
        except Exception as error:  # an error in one connection must not stop the pilot
            self._log.exception("connection_failed", error=repr(error))
        finally:
            self._scopes.pop(opened.connection, None)
            self._limiter.remove(opened.connection)
            await anyio.aclose_forcefully(opened.stream)
