"""Determines when the pilot starts to answer heartbeat requests: with the state of all sources, or after a timeout."""

from __future__ import annotations

from enum import StrEnum

import anyio

from damsonpick.protocols.platform.collaborators import Logger

READY_TIMEOUT_S = 1.0


class Source(StrEnum):
    """Services from which the pilot receives the current state."""

    REGISTRY = "registry"
    DISCOVERY = "discovery"


class Readiness:
    """Becomes ready when all sources have sent their state, or after a timeout."""

    def __init__(self, log: Logger) -> None:
        """Create an instance that waits for all sources."""
        self._log = log
        self._missing = set(Source)
        self._ready = anyio.Event()

    def is_ready(self) -> bool:
        """Return whether heartbeat requests are answered."""
        return self._ready.is_set()

    async def wait(self) -> None:
        """Wait until the pilot is ready."""
        await self._ready.wait()

    def confirm(self, source: Source) -> None:
        """Record that a source has sent its state, and become ready if all sources have."""
        self._missing.discard(source)
        if not self._missing and not self.is_ready():
            self._log.info("pilot_ready")
            self.become_ready()

    def become_ready(self) -> None:
        """Answer heartbeat requests from now on."""
        self._ready.set()

    async def enforce_timeout(self) -> None:
        """Become ready after the timeout, because an unavailable source must not keep the pilot out of service."""
        await anyio.sleep(READY_TIMEOUT_S)
        if not self.is_ready():
            self._log.warning("readiness_timed_out", missing_sources=sorted(self._missing))
            self.become_ready()
