"""The endpoint list: what its events change, and polling for it again with exponential backoff."""

from __future__ import annotations

from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions import capacity
from damsonpick.decisions.endpoint_state import EndpointState
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.time_units import NS_PER_SECOND

BACKOFF_BASE_NS = NS_PER_SECOND // 4
MAX_BACKOFF_DOUBLINGS = 4
MIN_JITTER = 0.5  # least part of a backoff that is waited; the most is 1
MIN_ANSWER_TIMEOUT_NS = NS_PER_SECOND  # least time before a poll without an answer is repeated


@dataclass(slots=True, eq=False)
class EndpointListTracker:
    """Applies the list's events to the fleet and asks for the list until it comes.

    Attributes:
        fleet: state that the events change.
        poll_at: when to ask for the list, ns; None: it is being followed, or comes without being asked for.
        failures: failed polls in a row, at most `MAX_BACKOFF_DOUBLINGS`.
    """

    fleet: FleetState
    poll_at: int | None = field(init=False)
    failures: int = 0

    def __post_init__(self) -> None:
        """Ask at once where the list must be asked for."""
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
        """Take over how far the list is believed in naming an endpoint."""
        endpoint = self.fleet.endpoints.get(event.endpoint)
        if endpoint is not None:
            endpoint.list_confidence = event.confidence
            self.fleet.assignments_stale = True

    def poll_if_due(self, actions: list[api.Action]) -> None:
        """Ask for the list when it is time, and again if no answer comes."""
        now = self.fleet.now
        if self.poll_at is not None and now >= self.poll_at:
            actions.append(api.SubscribeEndpointList(True))
            self.poll_at = now + max(MIN_ANSWER_TIMEOUT_NS, self.fleet.settings.poll_interval // 2)

    def _back_off(self) -> None:
        """Wait before the next poll: an immediate one would add load to a service that has just failed."""
        self.failures = min(self.failures + 1, MAX_BACKOFF_DOUBLINGS)
        jitter = self.fleet.random.uniform(MIN_JITTER, 1.0)
        self.poll_at = self.fleet.now + int(BACKOFF_BASE_NS * 2**self.failures * jitter)

    def _terminate_missing(self, entries: tuple[api.EndpointEntry, ...]) -> None:
        """Mark listed endpoints terminated that a full list no longer names."""
        named = {entry.endpoint: True for entry in entries}
        for endpoint in self.fleet.endpoints.values():
            if endpoint.state != "unlisted" and endpoint.name not in named:
                endpoint.state = "terminated"

    def _apply_entry(self, entry: api.EndpointEntry) -> None:
        endpoint = self.fleet.endpoints.setdefault(entry.endpoint, EndpointState(entry.endpoint))
        if endpoint.state == "unlisted" and not endpoint.last_report_at:
            factor = capacity.initial_capacity_factor(self.fleet, entry.weight)
            endpoint.capacity_factor = endpoint.capacity_factor if factor is None else factor
        if entry.started != endpoint.started:
            endpoint.reset_outcomes()
            if endpoint.restored_share:  # the snapshot was of another process
                endpoint.capacity_factor = 1.0
        endpoint.started = entry.started
        endpoint.state = entry.state
        endpoint.weight = entry.weight if entry.weight > 0 else 1.0
