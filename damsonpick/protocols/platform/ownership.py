"""Tracks changes of slice ownership, against which late responses of the registry are checked. No I/O.

The pilot receives responses and watch events on separate connections, so it does not know in which order the registry
processed them: the registry may have applied an order after it assigned the slice again, or after it created a
snapshot, and no event reports this.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Iterable

# Largest number of heartbeats of one watch that were sent but not yet read. If there were more, the pilot would have
# treated the watch as silent.
MAX_UNREAD_HEARTBEATS = 3

Endpoints = dict[str, None]  # an ordered set


class OwnershipTracker:
    """Records, by slice, changes of ownership. A gap of the watch counts as a change, as one may have been missed.

    After a request has finished, the tracker shows whether a change was recorded during the request.
    """

    def __init__(self) -> None:
        """Create a tracker at epoch 0, without changes."""
        self.epoch = 0  # incremented at each recorded change of any slice
        self._last_change: dict[int, int] = {}  # epoch of the last change, by slice

    def record_change(self, slice_number: int) -> None:
        """Record that the ownership of a slice has changed, which makes orders of the previous ownership invalid."""
        self.epoch += 1
        self._last_change[slice_number] = self.epoch

    def has_changed_since(self, slice_number: int, epoch: int) -> bool:
        """Return whether the ownership of a slice has changed after an epoch."""
        return self._last_change.get(slice_number, 0) > epoch


class UncertainEntries:
    """Table entries whose stored weight may differ from what the watch has reported.

    The entries of a request are recent from the end of the request until `MAX_UNREAD_HEARTBEATS + 1` heartbeats have
    been received after it. At most `MAX_UNREAD_HEARTBEATS` of these were sent before the end of the request, so at
    least one was sent after it, and all events from before the end of the request have been read. A change of ownership
    or a snapshot that is read while the entries are recent may be older than the request.
    """

    def __init__(self) -> None:
        """Create a collection without entries."""
        # Endpoints of the recent entries by slice, in one item for the time since the last heartbeat and one for each
        # earlier interval between heartbeats, newest first.
        self._recent: deque[dict[int, Endpoints]] = deque([{}], maxlen=MAX_UNREAD_HEARTBEATS + 1)
        self._unconfirmed: dict[int, Endpoints] = {}

    def add_recent(self, slice_number: int, endpoint: str) -> None:
        """Add an entry of a request that has finished, whatever its outcome."""
        self._recent[0].setdefault(slice_number, {})[endpoint] = None

    def recent_endpoints(self, slice_number: int) -> Endpoints:
        """Return the endpoints of a slice's recent entries."""
        endpoints: Endpoints = {}
        for endpoints_by_slice in self._recent:
            endpoints.update(endpoints_by_slice.get(slice_number, {}))
        return endpoints

    def add_unconfirmed(self, slice_number: int, endpoints: Iterable[str]) -> None:
        """Add entries that must be ordered again once the watch has reported the stored entries of the slice."""
        self._unconfirmed.setdefault(slice_number, {}).update(dict.fromkeys(endpoints))

    def handle_heartbeat(self, owned: Container[int]) -> dict[int, Endpoints]:
        """Handle a heartbeat: the watch has reported the stored entries of all slices that were assigned before it.

        Returns:
            The endpoints of the unconfirmed entries of owned slices, by slice. They are removed from the collection.
            Entries of other slices are kept until a heartbeat arrives while the pilot owns the slice.
        """
        self._recent.appendleft({})
        confirmed = [slice_number for slice_number in self._unconfirmed if slice_number in owned]
        return {slice_number: self._unconfirmed.pop(slice_number) for slice_number in confirmed}
