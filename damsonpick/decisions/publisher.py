"""Publishing: changes of the published state are sent as one message to all proxies, the most urgent changes first.

The order is: withdrawals, admission levels and readmissions, then tables without a routable entry, then moves (hottest
slices first), and last the removal of entries of withdrawn endpoints. Changes that exceed the capacity of the channel
wait for a later call.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from damsonpick import interface as api
from damsonpick.decisions import handover
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.flow_control import FlowControl, Urgency
from damsonpick.decisions.handover_tracker import HandoverTracker
from damsonpick.decisions.table_changes import RETRY_ON_PROOF, TableChange, due_changes
from damsonpick.decisions.withdrawals import WithdrawalPublisher

MIN_LEVEL_ENTRIES = 2  # admission levels are sent only if more than this number of table entries remains available


@dataclass(slots=True, eq=False)
class Publisher:
    """Builds the messages to the proxies, and records the state that the messages publish.

    The parameter `room` of its methods is the number of table entries that a message may contain, indexed by `Urgency`.

    Attributes:
        fleet: State that is published.
        flow_control: Flow control, which tracks the available capacity of the channel.
        resync_due: Whether the admission levels must be sent even if unchanged: at the start, and after a proxy joins.
        withdrawals: Withdrawals and readmissions, with those that a joined proxy may have missed.
        handovers: Changes of the sole owner of a slice.
        moves_published: Whether all pending table changes except cleanup fitted when changes were last selected for a
            message. An advised table that is sent in parts counts as one that fitted.
        timer_at: Time of the newest timer for a critical message, ns.
        limit_warning_logged: Whether the warning that the channel's limit is too low has been logged.
    """

    fleet: FleetState
    flow_control: FlowControl
    resync_due: bool = True
    withdrawals: WithdrawalPublisher = field(init=False)
    handovers: HandoverTracker = field(init=False)
    moves_published: bool = True
    timer_at: int = 0
    limit_warning_logged: bool = False

    def __post_init__(self) -> None:
        """Create the parts that publish withdrawals and track handovers for the same fleet."""
        self.withdrawals = WithdrawalPublisher(self.fleet)
        self.handovers = HandoverTracker(self.fleet, self.flow_control)

    def apply_proxy_joined(self, event: api.ProxyJoined) -> None:
        """Add a joined proxy to the recipients of messages, and schedule the orders that it needs."""
        self.flow_control.add_proxy(event.proxy, event.zone)
        self.handovers.apply_proxy_joined(event)
        self.resync_due = True
        self.withdrawals.apply_proxy_joined(event)
        self.fleet.known_proxies[event.proxy] = event.zone

    def apply_proxy_left(self, event: api.ProxyLeft) -> None:
        """Remove a proxy that has left from the recipients of messages, and stop waiting for its acknowledgements."""
        self.handovers.apply_proxy_left(event.proxy)
        self.flow_control.remove_proxy(event.proxy)

    def apply_acknowledgement(self, event: api.SyncAcknowledged) -> None:
        """Record that a proxy has applied a message."""
        self.flow_control.acknowledge(event.proxy, event.token)

    def publish(self, actions: list[api.Action]) -> None:
        """Append one message with the changes of the published state that the channel has capacity for.

        Args:
            actions: List to which the orders of the message, its sync request and any warning for the log are appended.
        """
        self.handovers.update(actions)
        to_readmit = self.withdrawals.to_readmit()
        if not self.flow_control.proxies or not self._is_anything_pending(to_readmit):
            return
        room = [self.flow_control.available(self.fleet.now, urgency) for urgency in Urgency]
        if max(room) < 1:
            self._await_critical_message(actions)
            return
        message, has_moves = self._build_message(room, to_readmit)
        if message:
            actions += [*message, self.flow_control.send(self.fleet.now, len(message), has_moves)]
            self._warn_if_limit_too_low(actions)

    def _build_message(self, room: list[int], to_readmit: list[str]) -> tuple[list[api.Action], bool]:
        """Return the orders that fit into a message, and whether any of them is more than cleanup."""
        message: list[api.Action] = []
        spacing = self.flow_control.window.spacing_after_message(self.fleet.now)
        replaced = self._replaced_endpoints()
        to_withdraw = [name for name in replaced if handover.must_withdraw(self.fleet, name, spacing)]
        self.withdrawals.add_withdrawals(message, room[Urgency.CRITICAL], to_withdraw)
        changes = due_changes(self.fleet, self.handovers, spacing)
        if message or self._is_critical_message_due(changes, room):
            room[Urgency.CONTROL] = max(room[Urgency.CONTROL], self.flow_control.available_beside(Urgency.CONTROL))
        # If table changes are pending, repeated states fill the message only up to half of the available entries.
        self.withdrawals.add_resync(message, room[Urgency.CONTROL] / (2 if self.fleet.unpublished else 1))
        self._add_levels(message, room)
        self._add_readmissions(message, room, [n for n in to_readmit if n not in replaced])
        has_moves = bool(message)
        has_moves |= self._add_table_changes(message, room, changes)
        return message, has_moves

    def _is_critical_message_due(self, changes: list[TableChange], room: list[int]) -> bool:
        """Return whether the most urgent of the sorted changes, or a handover, needs a message that may be sent now."""
        if room[Urgency.CRITICAL] <= 0:
            return False
        has_critical_change = changes and changes[0].urgency == Urgency.CRITICAL and changes[0].orders()
        return bool(has_critical_change) or self.handovers.awaits_joined_proxies()

    def _await_critical_message(self, actions: list[api.Action]) -> None:
        """Order a timer for the time at which the limit on messages admits a critical one, unless one is running."""
        admitted_at = self.flow_control.window.next_critical_at
        if self.fleet.now < admitted_at != self.timer_at:
            self.timer_at = admitted_at
            actions.append(api.SetTimer(admitted_at - self.fleet.now, 0))

    def _is_anything_pending(self, to_readmit: list[str]) -> bool:
        return bool(
            self.fleet.unpublished
            or self.resync_due
            or self.withdrawals.resync
            or to_readmit
            or self.fleet.desired_levels != self.fleet.published_levels
        )

    def _replaced_endpoints(self) -> dict[str, bool]:
        """Return, as keys, the endpoints that are published in a table but no longer assigned to its slice."""
        replaced = {}
        for slice_state in self.fleet.unpublished.values():
            for name in slice_state.published:
                if name not in slice_state.assigned:
                    replaced[name] = True
        return replaced

    def _add_levels(self, message: list[api.Action], room: list[int]) -> None:
        """Send the admission level of every class if a level has changed or a proxy has joined."""
        fleet = self.fleet
        due = self.resync_due or fleet.desired_levels != fleet.published_levels
        if not due or room[Urgency.CONTROL] <= len(message) + MIN_LEVEL_ENTRIES:
            return
        self.resync_due = False
        fleet.published_levels = fleet.desired_levels
        for class_index, level in enumerate(fleet.desired_levels):
            message.append(api.SetAdmission(None, (class_index,), level, RETRY_ON_PROOF))

    def _add_readmissions(self, message: list[api.Action], room: list[int], to_readmit: list[str]) -> None:
        """Readmit endpoints that are routable again and that no outdated entry of a published table names.

        Readmissions alone are not sent if the channel has capacity only for orders more urgent than moves.
        """
        if not message and room[Urgency.REBALANCE] <= 0:
            return
        self.withdrawals.add_readmissions(message, room[Urgency.CRITICAL], to_readmit)

    def _add_table_changes(self, message: list[api.Action], room: list[int], changes: list[TableChange]) -> bool:
        """Add the changes that fit and record them as published. Return whether any of them is more than cleanup."""
        has_moves = False
        self.moves_published = True
        for change in changes:
            if change.slice_state.externally_assigned:  # the table may exceed a message; later messages add the rest
                space = room[change.urgency] - len(message) - len(change.removed)
                change = change._replace(added=change.added[: max(0, space)])
            orders = change.orders()
            if len(message) + len(orders) <= room[change.urgency]:
                has_moves = has_moves or change.urgency != Urgency.CLEANUP
                message += orders
                self._record_published(change)
            elif change.urgency != Urgency.CLEANUP:
                self.moves_published = False
        return has_moves

    def _record_published(self, change: TableChange) -> None:
        """Update a slice's published entries after a change was sent, and `fleet.unpublished` if they are in sync."""
        slice_state = change.slice_state
        if change.cleared:
            self.handovers.clear(slice_state)
        elif change.write_level == 0:
            self.handovers.stop_writes(slice_state)
        elif change.write_level is not None:
            slice_state.write_level_unknown = False
        else:
            entries = {n: weight for n, weight in slice_state.published.items() if n not in change.removed}
            sent = [n for n in slice_state.assigned if n in change.added or n in entries]
            entries.update((n, slice_state.desired_weight(n)) for n in sent)
            slice_state.published = entries
            slice_state.handover = None
            for name in entries:
                slice_state.former_owners.pop(name, None)
        if not slice_state.is_out_of_sync():
            del self.fleet.unpublished[slice_state.number]

    def _warn_if_limit_too_low(self, actions: list[api.Action]) -> None:
        """Log a warning, once, if the message just sent to all proxies exceeds the channel's limit on its own."""
        limit = self.flow_control.settings.channel_limit
        if not self.limit_warning_logged and self.flow_control.in_flight[-1].cost > limit > 0:
            self.limit_warning_logged = True
            actions.append(api.Log("the channel's limit is below one message to all proxies"))
