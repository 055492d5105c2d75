"""The endpoint list: how its events change the fleet state, and polling for the list with exponential backoff."""

from __future__ import annotations

from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions import capacity
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.time_units import NS_PER_SECOND

BACKOFF_BASE_NS = NS_PER_SECOND // 4
MAX_BACKOFF_DOUBLINGS = 4
MIN_JITTER = 0.5  # smallest random factor on a backoff; the largest is 1
MIN_RESPONSE_TIMEOUT_NS = NS_PER_SECOND  # shortest time before a poll without a response is repeated


@dataclass(slots=True, eq=False)
class EndpointListTracker:
    """Applies the list's events to the fleet and polls for the list until it is received.

    Attributes:
        fleet: State that the events change.
        poll_at: Time of the next poll, ns. None if no poll is scheduled, because the list was received after the last
            failure or is sent without a poll.
        failures: Number of consecutive failed polls, at most `MAX_BACKOFF_DOUBLINGS`.
    """

    fleet: FleetState
    poll_at: int | None = field(init=False)
    failures: int = 0

    def __post_init__(self) -> None:
        """Schedule an immediate poll if the list is sent on request only."""
        self.poll_at = 0 if self.fleet.settings.list_on_request else None

    def apply_change(self, event: api.EndpointListChanged) -> None:
        """Apply a full list, an update, a restored list or a failure of the list service."""
        if event.kind == "unavailable":
            self._back_off()
            return
        if event.kind != "restored":
            self.fleet.list_received = True
            self.failures = 0
            self.poll_at = None
        if event.kind == "replace":
            self._terminate_missing(event.entries)
        for entry in event.entries:
            self._apply_entry(entry)
        self.fleet.assignments_stale = True

    def apply_confidence(self, event: api.EndpointConfidenceChanged) -> None:
        """Store the confidence in what the list states about an endpoint."""
        endpoint = self.fleet.endpoints.get(event.endpoint)
        if endpoint is not None:
            endpoint.list_confidence = event.confidence
            self.fleet.assignments_stale = True

    def poll_if_due(self, actions: list[api.Action]) -> None:
        """Poll for the list if a poll is due, and schedule another poll in case no response arrives."""
        now = self.fleet.now
        if self.poll_at is not None and now >= self.poll_at:
            actions.append(api.SubscribeEndpointList(True))
            self.poll_at = now + max(MIN_RESPONSE_TIMEOUT_NS, self.fleet.settings.poll_interval // 2)

    def _back_off(self) -> None:
        """Delay the next poll, since an immediate poll would add load to a service that has just failed."""
        self.failures = min(self.failures + 1, MAX_BACKOFF_DOUBLINGS)
        jitter = self.fleet.random.uniform(MIN_JITTER, 1.0)
        self.poll_at = self.fleet.now + int(BACKOFF_BASE_NS * 2**self.failures * jitter)

    def _terminate_missing(self, entries: tuple[api.EndpointEntry, ...]) -> None:
        """Mark previously listed endpoints as terminated if a full list no longer contains them."""
        named = {entry.endpoint: True for entry in entries}
        for endpoint in self.fleet.endpoints.values():
            if endpoint.state != "unlisted" and endpoint.name not in named:
                endpoint.set_state(self.fleet.now, "terminated")

    def _apply_entry(self, entry: api.EndpointEntry) -> None:
        endpoint = self.fleet.get_or_add_endpoint(entry.endpoint)
        if endpoint.state == "unlisted" and not endpoint.last_report_at:
            factor = capacity.initial_capacity_factor(self.fleet, entry.weight)
            endpoint.capacity_factor = endpoint.capacity_factor if factor is None else factor
        if entry.started != endpoint.started:
            endpoint.reset_outcomes()
            if endpoint.restored_share:  # the snapshot describes another process
                endpoint.capacity_factor = 1.0
        endpoint.started = entry.started
        endpoint.set_state(self.fleet.now, entry.state)
        endpoint.weight = entry.weight if entry.weight > 0 else 1.0
