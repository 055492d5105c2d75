"""Balancing rounds: when a round starts, and how its search runs in parts between other events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from damsonpick import interface as api
from damsonpick.decisions import hot_slices, placement
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.publisher import Publisher
from damsonpick.decisions.search import Search
from damsonpick.decisions.time_units import NS_PER_SECOND

ROUND_PERIOD_NS = 2 * NS_PER_SECOND  # minimum time between the starts of two rounds
SEARCH_PART_INTERVAL_NS = NS_PER_SECOND // 200  # pause between parts, for handling list changes and reports
ACKNOWLEDGEMENT_TIMEOUT_NS = 2 * NS_PER_SECOND  # longest wait for acknowledgements, in addition to transit times


@dataclass(slots=True, eq=False)
class BalancingRounds:
    """Starts rounds and continues the search of the current round.

    Attributes:
        fleet: State that rounds change.
        publisher: Publisher, which tracks whether earlier moves have been published and acknowledged.
        search: The running search; None between searches.
        next_round_at: Earliest start of the next round, ns.
        next_part_at: Earliest start of the next part of the running search, ns.
    """

    fleet: FleetState
    publisher: Publisher
    search: Iterator[None] | None = None
    next_round_at: int = 0
    next_part_at: int = 0

    def start_if_due(self) -> None:
        """Start a round if it is due, no search is running, any report was received, and earlier moves are settled.

        Earlier moves are settled if all have been sent, and have been acknowledged or are overdue.
        """
        if not self._is_due() or not self._earlier_moves_are_settled():
            return
        self.next_round_at = self.fleet.now + ROUND_PERIOD_NS
        hot_slices.replicate_hot_slices(self.fleet, self.publisher.flow_control)
        search = Search(self.fleet)
        if search.is_needed():
            self.search = search.run()
        placement.repair_assignments(self.fleet)

    def continue_search(self, actions: list[api.Action]) -> None:
        """Run the next part of the running search if it is due, and order a timer for the part after it.

        When the search ends, its moves have been applied, and the assignments are repaired.
        """
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

    def _earlier_moves_are_settled(self) -> bool:
        """Return whether all earlier moves have been sent, and have been acknowledged or are overdue.

        Where slices have a sole owner, all handovers must have ended as well.

        Moves count as acknowledged once half of the recipients have acknowledged their message or a later one. They are
        overdue when the timeout has passed since the newest message of any kind.
        """
        if not self.publisher.moves_published or self.publisher.handovers.in_progress():
            return False
        flow_control = self.publisher.flow_control
        timeout = ACKNOWLEDGEMENT_TIMEOUT_NS + 2 * self.fleet.settings.max_transit
        return self.fleet.now - flow_control.window.last_sent_at > timeout or flow_control.moves_acknowledged()
