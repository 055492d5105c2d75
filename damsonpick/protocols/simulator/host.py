"""Runs many independent planners on one stream of batches."""

from __future__ import annotations

import sys
import traceback

from damsonpick import interface as api
from damsonpick.decisions.planner import Planner
from damsonpick.protocols.simulator import codec


class Host:
    """Starts planners, passes them events and stops them, as the batches require. The planners share no state."""

    def __init__(self) -> None:
        self._planners: dict[str, Planner] = {}

    def reply(self, batch: codec.Batch) -> list[str]:
        """Start and stop planners, pass each planner its events of the batch in one call, and return the reply lines.

        The events are passed in order. Events of a planner that is stopped or started again later in the batch are
        dropped.

        Raises:
            codec.WireError: A stop or an event is for an instance that is not running.
        """
        pending: dict[str, list[api.Event]] = {}
        lines: list[str] = []
        for item in batch.items:
            if isinstance(item, codec.Start):
                self._planners[item.instance] = Planner(item.settings, item.seed)
                pending[item.instance] = []
            elif isinstance(item, codec.Stop):
                self._require_started(item.instance)
                del self._planners[item.instance]
                pending.pop(item.instance, None)
            else:
                self._require_started(item.instance)
                pending.setdefault(item.instance, []).append(item.event)
        for instance, events in pending.items():
            lines.extend(self._run(instance, batch.now, events))
        return lines

    def _require_started(self, instance: str) -> None:
        if instance not in self._planners:
            raise codec.WireError(f"stop or event for {instance}, which was never started or has exited")

    def _run(self, instance: str, now: int, events: list[api.Event]) -> list[str]:
        try:
            actions = self._planners[instance].handle(now, events)
            return [codec.write_action(instance, action) for action in actions]
        except Exception as error:  # the simulator ends the run; the traceback on standard error shows the cause
            traceback.print_exc(file=sys.stderr)
            return [codec.write_fault(instance, error)]
