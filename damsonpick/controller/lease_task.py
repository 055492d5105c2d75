"""Renews the pilot's leases on its slices before they run out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from structlog.typing import FilteringBoundLogger

from damsonpick.controller.engine import Engine
from damsonpick.runtime.clock import Clock

RENEWAL_PERIOD_NS = 2_000_000_000


@dataclass(slots=True, eq=False)
class LeaseTask:
    """Renews leases periodically.

    Args:
        engine: holds the leases.
        clock: the pilot's clock.
        notify: wakes the drive loop: slices may have been won or lost.
        log: says why a renewal failed.
    """

    engine: Engine
    clock: Clock
    notify: Callable[[], None]
    log: FilteringBoundLogger

    async def run(self) -> None:
        """Renew until cancelled. A failed renewal is logged and tried again: the lease outlives several periods."""
        while True:
            await anyio.sleep(self.clock.seconds(RENEWAL_PERIOD_NS))
            try:
                self.engine.renew(self.clock.now())
            except Exception as error:
                self._renewal_failed(error)
            self.notify()

    def _renewal_failed(self, error: Exception) -> None:
        self.log.error("lease_renewal_failed", error=str(error), remedy="see space and rights of the state folder")
