"""Balancing rounds: when one starts, and how its search goes on in parts between other events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from damsonpick import interface as api
from damsonpick.decisions import hot_slices, placement
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.publisher import Publisher
from damsonpick.decisions.search import Search
from damsonpick.decisions.time_units import NS_PER_SECOND

ROUND_PERIOD_NS = 2 * NS_PER_SECOND
SEARCH_PART_INTERVAL_NS = NS_PER_SECOND // 200  # pause between parts, in which list changes and reports are handled
ACKNOWLEDGEMENT_TIMEOUT_NS = 2 * NS_PER_SECOND  # beside the channel's transit: after it a round waits no longer


@dataclass(slots=True, eq=False)
class BalancingRounds:
    """Starts rounds and carries on the search of the present one.

    Attributes:
        fleet: state that rounds change.
        publisher: tells whether earlier moves are published and acknowledged.
        search: the search under way; None between searches.
        next_round_at: earliest start of the next round, ns.
        next_part_at: when the search under way goes on, ns.
    """

    fleet: FleetState
    publisher: Publisher
    search: Iterator[None] | None = None
    next_round_at: int = 0
    next_part_at: int = 0

    def start_if_due(self) -> None:
        """Start a round if its time has come, reports have come, and earlier moves are in force."""
        if not self._is_due() or not self._earlier_moves_in_force():
            return
        self.next_round_at = self.fleet.now + ROUND_PERIOD_NS
        hot_slices.replicate_hot_slices(self.fleet, self.publisher.flow_control)
        search = Search(self.fleet)
        if search.is_needed():
            self.search = search.run()
        placement.repair_assignments(self.fleet)

    def continue_search(self, actions: list[api.Action]) -> None:
        """Run the next part of the search under way, if it is time for it."""
        if self.search is None or self.fleet.now < self.next_part_at:
            return
        self.next_part_at = self.fleet.now + SEARCH_PART_INTERVAL_NS
        actions.append(api.SetTimer(SEARCH_PART_INTERVAL_NS, 0))
        try:
            next(self.search)
        except StopIteration:
            self.search = None
            placement.repair_assignments(self.fleet)

    def _is_due(self) -> bool:
        return bool(self.fleet.now >= self.next_round_at and self.fleet.last_report_at and self.search is None)

    def _earlier_moves_in_force(self) -> bool:
        """Whether all earlier moves have been sent, and acknowledged or given up waiting for."""
        if not self.publisher.moves_published:
            return False
        flow_control = self.publisher.flow_control
        timeout = ACKNOWLEDGEMENT_TIMEOUT_NS + 2 * self.fleet.settings.max_transit
        return self.fleet.now - flow_control.last_sent_at > timeout or flow_control.moves_acknowledged()
