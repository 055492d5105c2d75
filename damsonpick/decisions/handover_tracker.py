"""Tracks which handovers have stopped all writes to the former owner: acknowledgements, write leases, linger times.

A joined proxy sends no more writes to the former owner of a table once it has applied the message that stops its writes
or clears it, or a later one. A proxy that left before has stopped when its write lease ends. A write that a proxy has
accepted ends within `Settings.write_linger`. Since a change of ownership ends an order that stops writes, the new entry
is published only when each proxy has applied the message that clears the table, or has no lease.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions import handover
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.flow_control import FlowControl
from damsonpick.decisions.retention import MAX_PROXY_ABSENCE_NS
from damsonpick.decisions.slice_state import Handover, SliceState
from damsonpick.decisions.write_leases import WriteLeases


@dataclass(slots=True, eq=False)
class HandoverTracker:
    """Determines when the new entry of a cleared table may be published.

    Attributes:
        fleet: State with the slices and their handovers.
        flow_control: Flow control, which tracks the joined proxies and the messages that they have acknowledged.
        leases: Write leases of the proxies.
        is_required: Whether tables change their owner by handovers. Otherwise nothing is tracked.
        acknowledged: Number of the newest message whose effect all joined proxies had at the last update.
    """

    fleet: FleetState
    flow_control: FlowControl
    leases: WriteLeases = field(init=False)
    is_required: bool = field(init=False)
    acknowledged: int = 0

    def __post_init__(self) -> None:
        """Create the write leases, and determine from the settings whether handovers are required."""
        self.leases = WriteLeases(self.fleet, self.flow_control)
        self.is_required = handover.is_required(self.fleet.settings)

    def apply_proxy_joined(self, event: api.ProxyJoined) -> None:
        """Wait until a joined proxy has read the stored tables.

        If no proxy has acknowledged yet that a table is cleared, the joined proxy may have read its old entry, without
        the level that stops the writes. Only its acknowledgement of the cleared table counts then.

        A proxy that is not fresh may still apply an order that stopped the writes of a table, if it was away when the
        table was cleared or the order withdrawn.
        """
        if not self.is_required:
            return
        self.leases.apply_proxy_joined(event)
        for slice_state in self.in_progress():
            if slice_state.handover is not None and not self._is_cleared(slice_state.handover):
                slice_state.handover.stop_message = slice_state.handover.ready_at = None
        if event.fresh or not handover.stops_writes_first(self.fleet.settings):
            return
        for slice_state in self.fleet.slices.values():
            if self.fleet.now - slice_state.writes_stopped_at < MAX_PROXY_ABSENCE_NS:
                slice_state.write_level_unknown = True
                self.fleet.unpublished[slice_state.number] = slice_state

    def apply_proxy_left(self, proxy: int) -> None:
        """Wait for the end of the write lease of a proxy that leaves, unless it has acknowledged."""
        if self.is_required:
            self.leases.apply_proxy_left(proxy)

    def stop_writes(self, slice_state: SliceState) -> None:
        """Record that the message being built stops the writes of a slice."""
        slice_state.handover = self._new_handover(slice_state)
        slice_state.handover.stop_message = self.flow_control.message_number + 1
        slice_state.writes_stopped_at = self.fleet.now

    def clear(self, slice_state: SliceState) -> None:
        """Record that the message being built clears the table of a slice, and with it the table's levels."""
        if slice_state.handover is None:
            slice_state.handover = self._new_handover(slice_state)
        slice_state.handover.clear_message = self.flow_control.message_number + 1
        slice_state.handover.ordered_at = self.fleet.now
        recent = [n for n in slice_state.former_owners if not handover.may_be_given(self.fleet, slice_state, n)]
        slice_state.former_owners = {n: slice_state.former_owners[n] for n in recent}
        slice_state.former_owners.update(dict.fromkeys(slice_state.published, self.fleet.now))
        slice_state.published = {}
        slice_state.write_level_unknown = False

    def _new_handover(self, slice_state: SliceState) -> Handover:
        return Handover(next(iter(slice_state.published), None), self.fleet.now)

    def in_progress(self) -> list[SliceState]:
        """Return the slices whose handover has started and whose new entry is not published yet."""
        return [s for s in self.fleet.unpublished.values() if s.handover is not None]

    def writes_have_ended(self, slice_state: SliceState) -> bool:
        """Return whether no write can reach the former owner of a slice or be in progress there."""
        ready_at = slice_state.handover.ready_at if slice_state.handover is not None else None
        return ready_at is not None and self.fleet.now >= ready_at

    def may_publish_owner(self, slice_state: SliceState) -> bool:
        """Return whether the new entry of a cleared table may be published; at once if the owner stays the same."""
        current = slice_state.handover
        if current is None or current.clear_message is None:
            return False
        if slice_state.assigned == [current.former_owner]:
            return True
        if current.clear_message > self.acknowledged or not self.writes_have_ended(slice_state):
            return False
        return self.leases.have_ended(slice_state.owned_since, current.clear_message)

    def proxies_are_current(self) -> bool:
        """Return whether all proxies have acknowledged all messages, and none that has left still has a lease.

        Only then is an owner replaced that may go on serving, as the handover would wait for the others.
        """
        return self.acknowledged == self.flow_control.message_number and self.leases.all_have_ended()

    def proxies_know_store(self) -> bool:
        """Return whether no joined proxy can send a write to an owner that it has not read from the store.

        An order that stopped the writes of a table is withdrawn only then, as the table may have changed since.
        """
        return self.acknowledged > 0

    def awaits_joined_proxies(self) -> bool:
        """Return whether a handover waits for a proxy that has been sent no message since it joined."""
        return bool(self.flow_control.unaddressed) and any(
            s.handover is not None and s.handover.clear_message is not None and s.handover.ready_at is None
            for s in self.in_progress()
        )

    def update(self, actions: list[api.Action]) -> None:
        """Determine for each handover whether all proxies have stopped, and order a timer for the end of their writes.

        A handover that waits for too long is given up if the former owner can go on serving.

        Args:
            actions: List to which the timer is appended.
        """
        self.leases.update()
        if not self.is_required:
            return
        self.acknowledged = self.flow_control.acknowledged_by_all()
        self._give_up_late_handovers()
        linger = self.fleet.settings.write_linger
        has_stopped = [s.handover for s in self.in_progress() if s.handover is not None and self._has_just_stopped(s)]
        for stopped in has_stopped:
            stopped.ready_at = self.fleet.now + linger
        if has_stopped:
            actions.append(api.SetTimer(max(1, linger), 0))

    def _has_just_stopped(self, slice_state: SliceState) -> bool:
        """Return whether no proxy sends writes to the former owner of a slice, which was not known before."""
        current = slice_state.handover
        message = current.first_message() if current is not None else None
        if current is None or message is None or current.ready_at is not None or self.acknowledged < message:
            return False
        return self.leases.have_ended(slice_state.owned_since, message)

    def _give_up_late_handovers(self) -> None:
        """Assign slices to their former owners again if their handovers wait for too long, as while a proxy hangs."""
        longest_wait = handover.longest_wait(self.fleet.settings)
        for slice_state in self.in_progress():
            late = slice_state.handover
            if late is None or late.former_owner is None or self.fleet.now - late.ordered_at < longest_wait:
                continue
            if self.may_publish_owner(slice_state) or not self._may_serve(late.former_owner):
                continue
            slice_state.assigned = [late.former_owner]
            if slice_state.published:
                slice_state.handover = None
                slice_state.write_level_unknown = True

    def _may_serve(self, endpoint: str) -> bool:
        return not self.fleet.is_unroutable(endpoint) and not self.fleet.withdrawn.get(endpoint)

    def _is_cleared(self, current: Handover) -> bool:
        """Return whether a table was cleared by its handover, also in the store."""
        clear_message = current.clear_message
        return clear_message is not None and clear_message <= self.flow_control.newest_acknowledged
