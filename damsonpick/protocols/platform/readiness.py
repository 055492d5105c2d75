"""When the pilot starts to answer heartbeats: with the state of registry and discovery, or after a timeout."""

from __future__ import annotations

from enum import StrEnum

import anyio

from damsonpick.protocols.platform.collaborators import Logger

READY_TIMEOUT_S = 1.0


class Source(StrEnum):
    """What sends the pilot the current state."""

    REGISTRY = "registry"
    DISCOVERY = "discovery"


class Readiness:
    """Becomes ready once all sources have sent their state."""

    def __init__(self, log: Logger) -> None:
        """Start with all sources missing."""
        self._log = log
        self._missing = set(Source)
        self._ready = anyio.Event()

    def is_ready(self) -> bool:
        """Whether heartbeats are answered."""
        return self._ready.is_set()

    async def wait(self) -> None:
        """Return when the pilot is ready."""
        await self._ready.wait()

    def confirm(self, source: Source) -> None:
        """Note that a source has sent its state."""
        self._missing.discard(source)
        if not self._missing and not self.is_ready():
            self._log.info("pilot_ready")
            self.become_ready()

    def become_ready(self) -> None:
        """Answer heartbeats from now on."""
        self._ready.set()

    async def enforce_timeout(self) -> None:
        """Become ready after the timeout: a source that is down must not keep the pilot from service."""
        await anyio.sleep(READY_TIMEOUT_S)
        if not self.is_ready():
            self._log.warning("readiness_timed_out", missing_sources=sorted(self._missing))
            self.become_ready()
