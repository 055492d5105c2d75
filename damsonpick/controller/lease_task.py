"""Renews the pilot's slice leases before they expire."""

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
        engine: Owns the leases.
        clock: Clock of the pilot.
        notify: Wakes the drive loop after each attempt, because slices may have been gained or lost.
        log: Logger for failed renewals.
    """

    engine: Engine
    clock: Clock
    notify: Callable[[], None]
    log: FilteringBoundLogger

    async def run(self) -> None:
        """Renew until cancelled.

        A failed renewal is logged and repeated in the next period, because a lease lasts for several periods.
        """
        while True:
            await anyio.sleep(self.clock.seconds(RENEWAL_PERIOD_NS))
            try:
                self.engine.renew(self.clock.now())
            except Exception as error:
                self._renewal_failed(error)
            self.notify()

    def _renewal_failed(self, error: Exception) -> None:
        self.log.error(
            "lease_renewal_failed", error=str(error), remedy="check free space and permissions of the state folder"
        )
