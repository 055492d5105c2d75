"""Changes of slice ownership, against which late responses of the registry are checked. No I/O."""

from __future__ import annotations


class OwnershipTracker:
    """Counts changes of ownership, so that a change during a request can be seen afterwards."""

    def __init__(self) -> None:
        """Start at epoch 0, with no change seen."""
        self.epoch = 0  # grows with each change of the ownership of any slice
        self._last_change: dict[int, int] = {}  # epoch of the last change, by slice

    def record_change(self, slice_number: int) -> None:
        """Note that the ownership of a slice has changed, or may have."""
        self.epoch += 1
        self._last_change[slice_number] = self.epoch

    def has_changed_since(self, slice_number: int, epoch: int) -> bool:
        """Whether the ownership of a slice may have changed after an epoch."""
        return self._last_change.get(slice_number, 0) > epoch


class RecentEntries:
    """Entries whose orders were accepted since the last heartbeat but one.

    A response and the events of a watch arrive on separate connections. An order accepted a moment before a slice was
    lost may have been applied after the slice was assigned again, without an event for it.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._since_heartbeat: dict[int, dict[str, None]] = {}
        self._before_heartbeat: dict[int, dict[str, None]] = {}

    def add(self, slice_number: int, endpoint: str) -> None:
        """Note an accepted order for an entry."""
        self._since_heartbeat.setdefault(slice_number, {})[endpoint] = None

    def endpoints(self, slice_number: int) -> list[str]:
        """Return the endpoints of a slice's recent entries; one may be named twice."""
        return [
            *self._since_heartbeat.get(slice_number, ()),
            *self._before_heartbeat.get(slice_number, ()),
        ]

    def rotate(self) -> None:
        """Forget what was accepted before the last heartbeat; called at each heartbeat."""
        self._before_heartbeat = self._since_heartbeat
        self._since_heartbeat = {}
