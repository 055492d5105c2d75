"""Answers `damsonpick list`: the list sources, the confidence in each endpoint, and the held endpoints.

An endpoint is held while it stays in use although the newest list omits it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from damsonpick import interface as api
from damsonpick.controller.control_requests import AcceptList, ListRequest
from damsonpick.controller.control_socket import Reply
from damsonpick.controller.list_updates import ListUpdater
from damsonpick.controller.list_watch import ListWatch
from damsonpick.runtime.clock import Clock
from damsonpick.time_units import NS_PER_SECOND


@dataclass(slots=True, eq=False)
class ListQuery:
    """Answers `list` requests.

    Args:
        watch: Provides the state of the list sources.
        updater: Provides the current list and the confidence in its entries.
        clock: Clock of the pilot.
    """

    watch: ListWatch
    updater: ListUpdater
    clock: Clock

    def answer(self, request: ListRequest) -> Reply:
        """Return the list, or confirm that missing endpoints are gone."""
        if isinstance(request, AcceptList):
            return {"accepted": self.updater.accept()}
        return self._show()

    def _show(self) -> Reply:
        now = self.clock.now()
        confidence, endpoint_list = self.updater.confidence, self.updater.endpoint_list
        levels = confidence.confidences(now) if confidence.is_settled(now) else {}
        entries = sorted(endpoint_list.entries.values())
        held_for_s = _seconds_since(now, endpoint_list.held_since) if endpoint_list.held else None
        return {
            "live": confidence.is_confirmed,
            "sources": self.watch.sources.view(now),
            "disputes": self.watch.disagreements,
            "servers": [self._row(now, entry, levels.get(entry.endpoint, 1.0)) for entry in entries],
            "held_for_s": held_for_s,
        }

    def _row(self, now: int, entry: api.EndpointEntry, level: float) -> dict[str, Any]:
        return {
            "endpoint": entry.endpoint,
            "zone": entry.zone,
            "state": entry.state,
            "weight": entry.weight,
            "started": entry.started,
            "trust": level,
            "held": entry.endpoint in self.updater.endpoint_list.held,
            "spoken_for_s": self._confirmed_s_ago(now, entry.endpoint),
        }

    def _confirmed_s_ago(self, now: int, endpoint: str) -> float | None:
        """Return the seconds since `ListConfidence.last_evidence_at` of an endpoint, or None if it is unknown."""
        latest = self.updater.confidence.last_evidence_at(endpoint)
        return _seconds_since(now, latest) if latest > 0 else None


def _seconds_since(now: int, then: int) -> float:
    return round((now - then) / NS_PER_SECOND, 1)
