"""Publishing: what differs from the published state goes out as one message to all proxies, the most urgent first.

Withdrawals and admission levels go first, then tables without a routable entry, then moves, hottest slices first, then
the entries of withdrawn endpoints. What does not fit the channel waits for the next call.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.flow_control import FlowControl, Urgency
from damsonpick.decisions.slice_state import SliceState

MIN_LEVEL_ENTRIES = 2  # room that must be left for admission levels to be sent

# Retry mode of all classes: once, at another endpoint, on proof that the request never ran. It is safe for requests
# that are not idempotent, and no endpoint does work twice.
RETRY_ON_PROOF = 1


class TableChange(NamedTuple):
    """What a slice's published table lacks.

    Attributes:
        urgency: how urgent the change is.
        added: endpoints whose entry is missing or has another weight.
        removed: endpoints whose entry must go.
        slice_state: the slice.
    """

    urgency: Urgency
    added: list[str]
    removed: list[str]
    slice_state: SliceState


@dataclass(slots=True, eq=False)
class Publisher:
    """Sends orders to the proxies and keeps account of what they hold.

    Attributes:
        fleet: state that is published.
        flow_control: room of the channel.
        resync_due: a proxy has joined and must be sent the admission levels.
        resync_withdrawals: endpoints whose withdrawal state must be sent again, as a proxy may have missed it.
        moves_published: nothing but cleanup was left over by the last message.
        limit_warning_logged: the warning that the channel's limit is too low has been given.
    """

    fleet: FleetState
    flow_control: FlowControl
    resync_due: bool = True
    resync_withdrawals: list[str] = field(default_factory=list)
    moves_published: bool = True
    limit_warning_logged: bool = False

    def apply_proxy_joined(self, event: api.ProxyJoined) -> None:
        """Plan what a proxy must be sent. One that is not fresh holds withdrawals of earlier sessions.

        Which withdrawals of earlier incarnations of this instance it holds is not known: where this instance meets the
        proxy for the first time, the state of every endpoint is sent.
        """
        fleet = self.fleet
        self.flow_control.proxies[event.proxy] = event.zone
        self.resync_due = True
        if not event.fresh:
            if event.proxy not in fleet.known_proxies:
                fleet.withdrawn = dict.fromkeys(fleet.endpoints, False) | fleet.withdrawn
            self.resync_withdrawals = [name for name in fleet.withdrawn if name in fleet.endpoints]
        fleet.known_proxies[event.proxy] = event.zone

    def apply_proxy_left(self, event: api.ProxyLeft) -> None:
        """Expect no acknowledgement of a proxy that has left."""
        self.flow_control.proxies.pop(event.proxy, None)
        self.flow_control.acknowledge(event.proxy, None)

    def apply_acknowledgement(self, event: api.SyncAcknowledged) -> None:
        """Record that a proxy has applied a message."""
        self.flow_control.acknowledge(event.proxy, event.token)

    def publish(self, actions: list[api.Action]) -> None:
        """Append one message with what differs from the published state, as far as the channel has room.

        Args:
            actions: receives the orders of the message, its sync request last.
        """
        returning = [n for n, out in self.fleet.withdrawn.items() if out and not self.fleet.is_unroutable(n)]
        if not self.flow_control.proxies or not self._is_anything_pending(returning):
            return
        room = [self.flow_control.available(self.fleet.now, urgency) for urgency in Urgency]
        if max(room) < 1:
            return
        message: list[api.Action] = []
        replaced = self._replaced_endpoints()
        withdrawn_now = self._add_withdrawals(message, room, replaced)
        self._add_resync(message, room, withdrawn_now)
        self._add_levels(message, room)
        changes = self._table_changes()
        self._add_returns(message, room, [n for n in returning if n not in replaced])
        has_moves = bool(message)
        has_moves |= self._add_table_changes(message, room, changes)
        if message:
            actions += [*message, self.flow_control.send(self.fleet.now, len(message), has_moves)]
            self._warn_if_limit_too_low(actions)

    def _is_anything_pending(self, returning: list[str]) -> bool:
        return bool(
            self.fleet.unpublished
            or self.resync_due
            or self.resync_withdrawals
            or returning
            or self.fleet.desired_levels != self.fleet.published_levels
        )

    def _replaced_endpoints(self) -> dict[str, bool]:
        """Endpoints that a published table names and its slice is no longer assigned to, as keys."""
        replaced = {}
        for slice_state in self.fleet.unpublished.values():
            for name in slice_state.published:
                if name not in slice_state.assigned:
                    replaced[name] = True
        return replaced

    def _add_withdrawals(
        self, message: list[api.Action], room: list[int], replaced: dict[str, bool]
    ) -> dict[str, bool]:
        """Withdraw the replaced endpoints that the list forbids, and return them as keys.

        One order withdraws an endpoint from all tables; changing the tables takes up to two entries for each slice and
        would miss the drain grace of a large fleet. The entries are removed when nothing else waits.
        """
        fleet = self.fleet
        due = [n for n in replaced if fleet.is_unroutable(n) and not fleet.withdrawn.get(n)]
        names = due[: max(0, room[Urgency.CRITICAL])]
        message += [api.SetWithdrawn(name, True) for name in names]
        withdrawn_now = dict.fromkeys(names, True)
        fleet.withdrawn.update(withdrawn_now)
        if names:
            fleet.assignments_stale = True
        return withdrawn_now

    def _add_resync(self, message: list[api.Action], room: list[int], withdrawn_now: dict[str, bool]) -> None:
        """Send withdrawal states again, in half of the room where tables wait for the other half."""
        withdrawn = self.fleet.withdrawn
        limit = room[Urgency.CONTROL] / (2 if self.fleet.unpublished else 1)
        while self.resync_withdrawals and len(message) < limit:
            name = self.resync_withdrawals.pop()
            if name in withdrawn and name not in withdrawn_now:
                message.append(api.SetWithdrawn(name, withdrawn[name]))

    def _add_levels(self, message: list[api.Action], room: list[int]) -> None:
        """Send the admission level of every class, if one has changed or a proxy has joined."""
        fleet = self.fleet
        due = self.resync_due or fleet.desired_levels != fleet.published_levels
        if not due or room[Urgency.CONTROL] <= len(message) + MIN_LEVEL_ENTRIES:
            return
        self.resync_due = False
        fleet.published_levels = fleet.desired_levels
        for class_index, level in enumerate(fleet.desired_levels):
            message.append(api.SetAdmission(None, (class_index,), level, RETRY_ON_PROOF))

    def _add_returns(self, message: list[api.Action], room: list[int], returning: list[str]) -> None:
        """Let endpoints return that are in service again and that no published table names needlessly.

        Returns alone are not worth a message that is kept for critical orders.
        """
        if not message and room[Urgency.REBALANCE] <= 0:
            return
        names = returning[: max(0, room[Urgency.CRITICAL] - len(message))]
        message += [api.SetWithdrawn(name, False) for name in names]
        self.fleet.withdrawn.update(dict.fromkeys(names, False))
        if names:
            self.fleet.assignments_stale = True

    def _table_changes(self) -> list[TableChange]:
        """Changes of all unpublished tables, the most urgent and hottest first."""
        changes = [self._table_change(slice_state) for slice_state in self.fleet.unpublished.values()]
        changes.sort(key=lambda c: (c.urgency, -c.slice_state.load, c.slice_state.number))
        return changes

    def _table_change(self, slice_state: SliceState) -> TableChange:
        """What a table lacks, and how urgently.

        A table without a routable entry is given its new entries alone. Entries of endpoints that are withdrawn and
        stay away can wait until nothing else does.
        """
        fleet, published = self.fleet, slice_state.published
        added = [n for n in slice_state.assigned if published.get(n) != slice_state.desired_weight(n)]
        if all(fleet.is_unroutable(n) or fleet.withdrawn.get(n) for n in published):
            return TableChange(Urgency.CRITICAL, added, [], slice_state)
        removed: list[str] = []
        if not fleet.settings.sole_owner:  # a sole owner's entry replaces the former one
            removed = [n for n in published if n not in slice_state.assigned]
        routable = [n for n in removed if not (fleet.withdrawn.get(n) and fleet.is_unroutable(n))]
        if added or routable:
            return TableChange(Urgency.REBALANCE, added, routable, slice_state)
        return TableChange(Urgency.CLEANUP, added, removed, slice_state)

    def _add_table_changes(self, message: list[api.Action], room: list[int], changes: list[TableChange]) -> bool:
        """Add the changes that fit and record them as published. Returns whether one of them was more than cleanup."""
        has_moves = False
        self.moves_published = True
        for change in changes:
            slice_state, removed = change.slice_state, change.removed
            space = room[change.urgency] - len(message) - len(removed)
            added = change.added
            if slice_state.externally_assigned:  # it may be longer than a message; the rest follows with the next
                added = added[: max(0, space)]
            if len(message) + len(added) + len(removed) <= room[change.urgency]:
                has_moves = has_moves or change.urgency != Urgency.CLEANUP
                number = slice_state.number
                message += [api.SetEntry(number, n, slice_state.desired_weight(n)) for n in added]
                message += [api.SetEntry(number, n, 0.0) for n in removed]
                self._record_published(slice_state, added, removed)
            elif change.urgency != Urgency.CLEANUP:
                self.moves_published = False
        return has_moves

    def _record_published(self, slice_state: SliceState, added: list[str], removed: list[str]) -> None:
        """Bring a slice's published entries up to date after a change was sent."""
        if self.fleet.settings.sole_owner:
            entries = {n: slice_state.desired_weight(n) for n in slice_state.assigned}
        else:
            entries = {n: weight for n, weight in slice_state.published.items() if n not in removed}
            sent = [n for n in slice_state.assigned if n in added or n in entries]
            entries.update((n, slice_state.desired_weight(n)) for n in sent)
        slice_state.published = entries
        if not slice_state.is_out_of_sync():
            del self.fleet.unpublished[slice_state.number]

    def _warn_if_limit_too_low(self, actions: list[api.Action]) -> None:
        """Log once that a single message to all proxies takes more than the channel's limit."""
        limit = self.flow_control.settings.channel_limit
        if not self.limit_warning_logged and self.flow_control.in_flight[-1].cost > limit > 0:
            self.limit_warning_logged = True
            actions.append(api.Log("the channel's limit is below one message to all proxies"))
