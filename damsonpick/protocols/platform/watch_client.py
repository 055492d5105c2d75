"""Keeps a watch open: an endless HTTP response whose lines contain the current state and then each change."""

from __future__ import annotations

import random
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from typing import Protocol

import anyio
from anyio.abc import TaskGroup

from damsonpick.protocols.platform import http_client
from damsonpick.protocols.platform.address import Address
from damsonpick.protocols.platform.collaborators import Logger
from damsonpick.protocols.platform.errors import TransportError
from damsonpick.protocols.platform.http_response import MAX_LINE_BYTES, ResponseReader, build_request
from damsonpick.runtime.backoff import Backoff

CONNECT_TIMEOUT_S = 0.5  # for opening the connection, and again for sending the request
FIRST_RETRY_DELAY_S = 0.04
MAX_RETRY_DELAY_S = 1.0
MAX_LINES_PER_TURN = 256  # lines of one read that are processed before other tasks run
NO_STATUS = 0  # `ResponseReader.status` before the headers are complete
STATUS_OK = 200
MAX_LOGGED_BODY_BYTES = 80


class WatchReader(Protocol):
    """Reads the lines of one watch."""

    def path(self) -> str:
        """Return the path and query to request."""

    def process(self, lines: list[bytes]) -> bool:
        """Process lines in order.

        Returns:
            Whether the watch has sent the current state.

        Raises:
            TransportError: The input is invalid, and the watch must be opened again.
        """


async def stream_lines(address: Address, path: str, silence_timeout_s: float) -> AsyncGenerator[list[bytes], None]:
    """Open a watch and yield its complete lines; lines that arrive together are yielded together.

    Args:
        address: Address of the server.
        path: Path of the watch.
        silence_timeout_s: Time without a complete line after which the watch is considered dead. Parts of a line do not
            reset it.

    Raises:
        TransportError: The watch could not be opened, has ended, is considered dead, or has sent invalid HTTP. The
            error text contains the reason.
    """
    stream = await http_client.dial(address, CONNECT_TIMEOUT_S)
    try:
        await http_client.send(stream, build_request("GET", path, address), CONNECT_TIMEOUT_S)
        reader = ResponseReader(MAX_LINE_BYTES)
        last_line_s = anyio.current_time()
        while not reader.complete:
            remaining_s = last_line_s + silence_timeout_s - anyio.current_time()
            reader.feed(await http_client.receive(stream, max(remaining_s, http_client.MIN_RECEIVE_TIMEOUT_S)))
            _check_status(reader)
            lines = reader.take_lines()
            if lines:
                last_line_s = anyio.current_time()
                yield lines
            elif anyio.current_time() - last_line_s > silence_timeout_s:
                raise TransportError("watch", f"no complete line for {silence_timeout_s:g} s")
        raise TransportError("watch", "the server ended the response")
    finally:
        await anyio.aclose_forcefully(stream)


def _check_status(reader: ResponseReader) -> None:
    if reader.status() not in (NO_STATUS, STATUS_OK):
        raise TransportError("status", f"{reader.status()}: {bytes(reader.body[:MAX_LOGGED_BODY_BYTES])!r}")


class WatchedAddress:
    """An address at which a watch is kept open.

    Attributes:
        address: The address.
        scope: Cancel scope of the task that keeps the watch open.
        superseded: Whether another address has replaced this one.
        synchronized: Whether the watch has sent the current state and has not been interrupted since then.
        last_received_s: Time at which lines were last received; 0 if none were received.
    """

    def __init__(self, address: Address) -> None:
        """Create the state of an address at which no watch is open yet."""
        self.address = address
        self.scope = anyio.CancelScope()
        self.superseded = False
        self.synchronized = False
        self.last_received_s = 0.0

    def supersede(self) -> None:
        """Close the watch at this address permanently."""
        self.superseded = True
        self.scope.cancel()


class WatchClient:
    """Keeps a watch open. When the address changes, the new watch is opened before the previous one is closed.

    Attributes:
        interruptions: Number of times that a watch was interrupted or could not be opened.
    """

    def __init__(
        self,
        name: str,
        silence_timeout_s: float,
        make_reader: Callable[[], WatchReader],
        rng: random.Random,
        log: Logger,
    ) -> None:
        """Create a client without an address.

        Args:
            name: Name of the watch in the log.
            silence_timeout_s: Time without a complete line after which a watch is considered dead.
            make_reader: Creates the reader for a new watch.
            rng: Draws the jitter of the retry delays.
            log: Receives interruptions of the watch.
        """
        self.interruptions = 0
        self._name = name
        self._silence_timeout_s = silence_timeout_s
        self._make_reader = make_reader
        self._rng = rng
        self._log = log
        self._newest: WatchedAddress | None = None
        self._active: WatchedAddress | None = None  # the last address whose watch has sent the current state

    def is_current(self) -> bool:
        """Return whether an open watch has sent the current state and no heartbeat of it is overdue.

        If so, no event can have been missed.
        """
        if self._active is None or not self._active.synchronized:
            return False
        overdue_s = self._silence_timeout_s / 2  # after this time without lines, an event may have been missed
        return anyio.current_time() - self._active.last_received_s < overdue_s

    def follow(self, group: TaskGroup, address: Address) -> None:
        """Switch the watch to an address.

        The last watch that has sent the current state stays open until the new watch has sent the current state. A
        previous watch that has not sent the current state yet is closed, because it could otherwise send the state
        later and replace the newest watch.
        """
        if self._newest is not None and self._newest is not self._active:
            self._newest.supersede()
        self._newest = WatchedAddress(address)
        group.start_soon(self._run, self._newest)

    async def _run(self, watched: WatchedAddress) -> None:
        backoff = Backoff(self._rng, FIRST_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
        with watched.scope:
            while watched is self._newest:
                try:
                    await self._watch(watched, backoff)
                except TransportError as error:
                    self._interrupted(watched)
                    self._log.warning("watch_interrupted", watch=self._name, reason=str(error))
                except Exception as error:  # an error in one watch must not stop the pilot
                    self._interrupted(watched)
                    self._log.exception("watch_failed", watch=self._name, error=repr(error))
                if not watched.superseded:
                    await anyio.sleep(backoff.next_delay_s())

    def _interrupted(self, watched: WatchedAddress) -> None:
        watched.synchronized = False
        self.interruptions += 1

    async def _watch(self, watched: WatchedAddress, backoff: Backoff) -> None:
        reader = self._make_reader()
        opened_s = anyio.current_time()
        async with aclosing(stream_lines(watched.address, reader.path(), self._silence_timeout_s)) as watch:
            async for lines in watch:
                if watched.superseded:
                    return
                now_s = anyio.current_time()
                watched.last_received_s = now_s
                if await self._process_in_turns(watched, reader, lines):
                    # A watch that ends soon after it has sent the state must not be reopened without a pause, so the
                    # backoff is reset only after some time.
                    if now_s - opened_s > MAX_RETRY_DELAY_S:
                        backoff.reset()
                    self._activate(watched)
                elif now_s - opened_s > self._silence_timeout_s:
                    raise TransportError("watch", f"current state not received within {self._silence_timeout_s:g} s")

    async def _process_in_turns(self, watched: WatchedAddress, reader: WatchReader, lines: list[bytes]) -> bool:
        """Process lines, and let other tasks run in between. Return whether the watch has sent the current state."""
        is_current = False
        for start in range(0, len(lines), MAX_LINES_PER_TURN):
            if start:
                await anyio.lowlevel.checkpoint()
            if watched.superseded:
                return False
            is_current = reader.process(lines[start : start + MAX_LINES_PER_TURN])
        return is_current

    def _activate(self, watched: WatchedAddress) -> None:
        former = self._active
        self._active = watched
        watched.synchronized = True
        if former is not None and former is not watched:
            former.supersede()
