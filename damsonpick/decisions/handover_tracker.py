"""Tracks which handovers have stopped all writes to the former owner: acknowledgements, write leases, linger times.

A joined proxy sends no more writes to the former owner of a table once it has applied the message that stops its writes
or clears it, or a later one. A proxy that left before has stopped when its write lease ends. A write that a proxy has
accepted ends within `Settings.write_linger`. Since a change of ownership ends an order that stops writes, the new entry
is published only when each proxy has applied the message that clears the table, or has no lease.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.decisions import handover
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.flow_control import FlowControl
from damsonpick.decisions.retention import MAX_PROXY_ABSENCE_NS
from damsonpick.decisions.slice_state import Handover, SliceState


class DepartedProxy(NamedTuple):
    """A proxy that has left.

    Attributes:
        left_at: Time at which it left, ns.
        acknowledged: Number of the newest message whose effect it had.
    """

    left_at: int
    acknowledged: int


class ReturningProxy(NamedTuple):
    """A proxy that has joined again while it may still send writes by the tables that it had before.

    Attributes:
        lease_ends_at: Time at which its write lease ends, unless it has read the stored tables before, ns.
        message: Number of a message that was executed before it joined.
    """

    lease_ends_at: int
    message: int


@dataclass(slots=True, eq=False)
class HandoverTracker:
    """Determines when the new entry of a cleared table may be published.

    Attributes:
        fleet: State with the slices and their handovers.
        flow_control: Flow control, which tracks the joined proxies and the messages that they have acknowledged.
        started_at: Time of the first event, ns; the proxies that have not joined yet lost an earlier incarnation before
            it. None until then.
        departed: The proxies that have left and not joined again, by number.
        returning: The proxies that have joined again and whose write lease has not ended yet, by number.
    """

    fleet: FleetState
    flow_control: FlowControl
    started_at: int | None = None
    departed: dict[int, DepartedProxy] = field(default_factory=dict)
    returning: dict[int, ReturningProxy] = field(default_factory=dict)

    def apply_proxy_joined(self, event: api.ProxyJoined) -> None:
        """Wait until a joined proxy has read the stored tables.

        It has when it acknowledges a message. If it has just started, or when its write lease has ended, it sends no
        write before that. It then has the effect of all messages that were executed before it joined, as each one was
        that another proxy has acknowledged.

        If no proxy has acknowledged yet that a table is cleared, the joined proxy may have read its old entry, without
        the level that stops the writes. Only its acknowledgement of the cleared table counts then.

        A proxy that is not fresh may still apply an order that stopped the writes of a table, if it was away when the
        table was cleared. The order may be one of another incarnation if the proxy joins this one for the first time.
        """
        lease_ends_at = self.fleet.now if event.fresh else self._lost_at(event.proxy) + self.fleet.settings.write_lease
        self.returning[event.proxy] = ReturningProxy(lease_ends_at, self.flow_control.newest_acknowledged)
        self.departed.pop(event.proxy, None)
        for slice_state in self.in_progress():
            if slice_state.handover is not None and not self._is_cleared(slice_state.handover):
                slice_state.handover.stop_message = slice_state.handover.ready_at = None
        if event.fresh or not handover.stops_writes_first(self.fleet.settings):
            return
        is_known = event.proxy in self.fleet.known_proxies
        for slice_state in self.fleet.slices.values():
            if not is_known or self._writes_were_stopped(slice_state):
                slice_state.write_level_unknown = True
                self.fleet.unpublished[slice_state.number] = slice_state

    def apply_proxy_left(self, proxy: int) -> None:
        """Wait for the end of the write lease of a proxy that leaves, unless it has acknowledged."""
        self.returning.pop(proxy, None)
        self.departed[proxy] = DepartedProxy(self.fleet.now, self.flow_control.acknowledged.get(proxy, 0))

    def stop_writes(self, slice_state: SliceState) -> None:
        """Record that the message being built stops the writes of a slice."""
        slice_state.handover = self._new_handover(slice_state)
        slice_state.handover.stop_message = self.flow_control.message_number + 1
        slice_state.writes_stopped_at = self.fleet.now

    def clear(self, slice_state: SliceState) -> None:
        """Record that the message being built clears the table of a slice, and with it the table's levels."""
        handover = slice_state.handover or self._new_handover(slice_state)
        handover.clear_message = self.flow_control.message_number + 1
        handover.ordered_at = self.fleet.now
        slice_state.former_owners.update(dict.fromkeys(slice_state.published, self.fleet.now))
        slice_state.published = {}
        slice_state.handover = handover
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
        handover = slice_state.handover
        if handover is None or handover.clear_message is None:
            return False
        if slice_state.assigned == [handover.former_owner]:
            return True
        clear_message = handover.clear_message
        if clear_message > self.flow_control.acknowledged_by_all():
            return False
        return self.writes_have_ended(slice_state) and self.fleet.now >= self._leases_end_at(slice_state, clear_message)

    def proxies_are_current(self) -> bool:
        """Return whether all proxies have acknowledged all messages, and none that has left still has a lease.

        Only then is an owner replaced that may go on serving, as the handover would wait for the others.
        """
        has_acknowledged = self.flow_control.acknowledged_by_all() == self.flow_control.message_number
        left_at = max((departed.left_at for departed in self.departed.values()), default=0)
        leases_end_at = max(left_at + self.fleet.settings.write_lease, self._unknown_leases_end_at())
        return has_acknowledged and self.fleet.now >= leases_end_at

    def proxies_know_store(self) -> bool:
        """Return whether no joined proxy can send a write to an owner that it has not read from the store.

        An order that stopped the writes of a table is withdrawn only then, as the table may have changed since.
        """
        return self.flow_control.acknowledged_by_all() > 0

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
        now = self.fleet.now
        self.started_at = now if self.started_at is None else self.started_at
        self._end_leases()
        self._give_up_late_handovers()
        acknowledged = self.flow_control.acknowledged_by_all()
        has_stopped = [s for s in self.in_progress() if self._has_just_stopped(s, acknowledged)]
        for slice_state in has_stopped:
            if slice_state.handover is not None:
                slice_state.handover.ready_at = now + self.fleet.settings.write_linger
        if has_stopped:
            actions.append(api.SetTimer(max(1, self.fleet.settings.write_linger), 0))

    def _has_just_stopped(self, slice_state: SliceState, acknowledged: int) -> bool:
        """Return whether no proxy sends writes to the former owner of a slice, which was not known before."""
        handover = slice_state.handover
        message = handover.first_message() if handover is not None else None
        if handover is None or message is None or handover.ready_at is not None or acknowledged < message:
            return False
        return self.fleet.now >= self._leases_end_at(slice_state, message)

    def _lost_at(self, proxy: int) -> int:
        """Return the time at which a proxy that joins was lost, ns."""
        if proxy in self.departed:
            return self.departed[proxy].left_at
        if proxy in self.fleet.known_proxies or self.started_at is None:
            return self.fleet.now
        return self.started_at

    def _end_leases(self) -> None:
        ended = [proxy for proxy, returning in self.returning.items() if self.fleet.now >= returning.lease_ends_at]
        for proxy in ended:
            self.flow_control.acknowledge_implicitly(proxy, self.returning.pop(proxy).message)

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

    def _is_cleared(self, handover: Handover) -> bool:
        """Return whether a table was cleared by its handover, also in the store."""
        clear_message = handover.clear_message
        return clear_message is not None and clear_message <= self.flow_control.newest_acknowledged

    def _leases_end_at(self, slice_state: SliceState, message: int) -> int:
        """Return the time at which the leases end of all proxies that may not have applied a message, ns.

        These are proxies that have left before or have never joined, and, for a while, any proxy after a change of the
        slice's pilot.
        """
        lost_at = [d.left_at for d in self.departed.values() if d.acknowledged < message]
        leases_end_at = max([slice_state.owned_since, *lost_at]) + self.fleet.settings.write_lease
        return max(leases_end_at, self._unknown_leases_end_at())

    def _unknown_leases_end_at(self) -> int:
        """Return the time at which the leases end of the proxies that have never joined, ns; 0 if there are none."""
        expected = self.fleet.settings.proxies
        if expected and len(self.fleet.known_proxies) >= expected:
            return 0
        started_at = self.fleet.now if self.started_at is None else self.started_at
        return started_at + self.fleet.settings.write_lease

    def _writes_were_stopped(self, slice_state: SliceState) -> bool:
        stopped_at = slice_state.writes_stopped_at
        return stopped_at is not None and self.fleet.now - stopped_at < MAX_PROXY_ABSENCE_NS
