"""Table changes: what brings the published tables closer to the assignments, and how urgent it is."""

from __future__ import annotations

from typing import NamedTuple

from damsonpick import interface as api
from damsonpick.decisions import handover
from damsonpick.decisions.fleet_state import FleetState
from damsonpick.decisions.flow_control import Urgency
from damsonpick.decisions.handover_tracker import HandoverTracker
from damsonpick.decisions.slice_state import SliceState

# Retry mode of all classes: one retry at another endpoint if the request was provably not executed. It is safe for
# requests that are not idempotent, and no work is done twice.
RETRY_ON_PROOF = 1


class TableChange(NamedTuple):
    """Changes that bring a slice's published table closer to its desired table.

    Attributes:
        urgency: Urgency of the change.
        added: Endpoints whose entry is missing or has another weight.
        removed: Endpoints whose entry must be removed.
        slice_state: The slice.
        cleared: Whether the table is cleared. Nothing is added then.
        write_level: Admission level that the table gets for the classes that write; None to leave it as it is.
        write_classes: Positions of the classes that write, if their level changes.
    """

    urgency: Urgency
    added: list[str]
    removed: list[str]
    slice_state: SliceState
    cleared: bool = False
    write_level: float | None = None
    write_classes: tuple[int, ...] = ()

    def orders(self) -> list[api.Action]:
        """Return the orders of the change. Entries are added before others are removed."""
        slice_state = self.slice_state
        if self.cleared:
            return [api.ClearTable(slice_state.number)]
        if self.write_level is not None:
            return [api.SetAdmission(slice_state.number, self.write_classes, self.write_level, RETRY_ON_PROOF)]
        added = [api.SetEntry(slice_state.number, n, slice_state.desired_weight(n)) for n in self.added]
        return [*added, *(api.SetEntry(slice_state.number, n, 0.0) for n in self.removed)]


def due_changes(fleet: FleetState, handovers: HandoverTracker, message_spacing: int) -> list[TableChange]:
    """Return the changes of all unpublished tables, sorted by urgency and then by descending load.

    A table whose handover waits for proxies or for writes in progress needs no change yet.

    Args:
        fleet: State with the tables.
        handovers: Progress of the handovers.
        message_spacing: Time for which the next critical message has to wait if one is sent now, ns.
    """
    slices = fleet.unpublished.values()
    due: list[TableChange | None]
    if handover.is_required(fleet.settings):
        due = [_sole_owner_change(fleet, slice_state, handovers, message_spacing) for slice_state in slices]
    else:
        due = [_table_change(fleet, slice_state) for slice_state in slices]
    return sorted(
        (c for c in due if c is not None), key=lambda c: (c.urgency, -c.slice_state.load, c.slice_state.number)
    )


def _table_change(fleet: FleetState, slice_state: SliceState) -> TableChange:
    """Determine the change that a table needs, and its urgency.

    If all entries of a table are unroutable or withdrawn, the change only adds its new entries. The entries of
    endpoints that are both withdrawn and unroutable are removed when the table needs no other change.
    """
    published = slice_state.published
    added = _missing_entries(slice_state)
    if _has_no_routable_entry(fleet, slice_state):
        return TableChange(Urgency.CRITICAL, added, [], slice_state)
    removed = [n for n in published if n not in slice_state.assigned]
    routable = [n for n in removed if not (fleet.withdrawn.get(n) and fleet.is_unroutable(n))]
    if added or routable:
        return TableChange(Urgency.REBALANCE, added, routable, slice_state)
    return TableChange(Urgency.CLEANUP, added, removed, slice_state)


def _sole_owner_change(
    fleet: FleetState, slice_state: SliceState, handovers: HandoverTracker, message_spacing: int
) -> TableChange | None:
    """Determine the next change of a table that has one owner; None while its handover waits."""
    urgency = Urgency.CRITICAL if _has_no_routable_entry(fleet, slice_state) else Urgency.REBALANCE
    must_clear = handover.must_clear(fleet, slice_state, message_spacing)
    clear = TableChange(urgency, [], [], slice_state, cleared=True)
    if slice_state.handover is None:
        if slice_state.published.keys() == dict.fromkeys(slice_state.assigned).keys():
            return _change_without_handover(fleet, slice_state, handovers)
        if urgency != Urgency.CRITICAL and not handovers.proxies_are_current():
            return None
        return clear if must_clear else _write_level_change(fleet, slice_state, urgency, 0.0)
    if slice_state.handover.clear_message is None:
        can_clear = slice_state.handover.stop_message is None or handovers.writes_have_ended(slice_state)
        return clear if must_clear or can_clear else None
    if not handovers.may_publish_owner(slice_state):
        return None
    return TableChange(urgency, _missing_entries(slice_state), [], slice_state)


def _change_without_handover(
    fleet: FleetState, slice_state: SliceState, handovers: HandoverTracker
) -> TableChange | None:
    """Determine the change of a table that keeps its owner: another weight, or the end of an order to stop writes."""
    added = _missing_entries(slice_state)
    if added or not slice_state.write_level_unknown:
        return TableChange(Urgency.REBALANCE if added else Urgency.CLEANUP, added, [], slice_state)
    if not handovers.proxies_know_store():
        return None
    return _write_level_change(fleet, slice_state, Urgency.CONTROL, 1.0)


def _write_level_change(fleet: FleetState, slice_state: SliceState, urgency: Urgency, level: float) -> TableChange:
    classes = handover.write_classes(fleet.settings)
    return TableChange(urgency, [], [], slice_state, write_level=level, write_classes=classes)


def _missing_entries(slice_state: SliceState) -> list[str]:
    return [n for n in slice_state.assigned if slice_state.published.get(n) != slice_state.desired_weight(n)]


def _has_no_routable_entry(fleet: FleetState, slice_state: SliceState) -> bool:
    return all(fleet.is_unroutable(n) or fleet.withdrawn.get(n) for n in slice_state.published)
