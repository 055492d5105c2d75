"""Changes of slice ownership, against which late responses of the registry are checked. No I/O.

A response and the events of a watch arrive on separate connections. Which came first at the registry is not known: an
order may have been applied after a slice was assigned again, or after a snapshot was made, and no event tells of it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Container, Iterable

HEARTBEATS_ON_THE_WAY = 3  # unread ones of a watch; with more of them it would have counted as silent

Endpoints = dict[str, None]  # an ordered set


class OwnershipTracker:
    """Counts changes of ownership, so that a change during a request can be seen afterwards."""

    def __init__(self) -> None:
        """Start at epoch 0, with no change seen."""
        self.epoch = 0  # grows with each change of the ownership of any slice
        self._last_change: dict[int, int] = {}  # epoch of the last change, by slice
        self._last_gap: dict[int, int] = {}  # epoch of the last gap in which a change may have been missed, by slice

    def record_change(self, slice_number: int) -> None:
        """Note that the ownership of a slice has changed: orders of the former ownership are void."""
        self.epoch += 1
        self._last_change[slice_number] = self.epoch

    def record_gap(self, slice_number: int) -> None:
        """Note that the ownership of a slice may have changed unseen: orders stay wanted, their outcome is unknown."""
        self.epoch += 1
        self._last_gap[slice_number] = self.epoch

    def has_changed_since(self, slice_number: int, epoch: int) -> bool:
        """Whether the ownership of a slice has changed after an epoch."""
        return self._last_change.get(slice_number, 0) > epoch

    def has_gap_since(self, slice_number: int, epoch: int) -> bool:
        """Whether the ownership of a slice may have changed unseen after an epoch."""
        return self._last_gap.get(slice_number, 0) > epoch


class UncertainEntries:
    """Entries of which the registry may store something else than the watch has told.

    Those that finished requests named count as recent until so many heartbeats have come that one of them was sent
    after the request: all events from before it have been read then. A change of ownership or a snapshot that is read
    earlier may be older than the request.
    """

    def __init__(self) -> None:
        """Start with none."""
        self._recent: deque[dict[int, Endpoints]] = deque([{}], maxlen=HEARTBEATS_ON_THE_WAY + 1)
        self._unconfirmed: dict[int, Endpoints] = {}

    def add_recent(self, slice_number: int, endpoint: str) -> None:
        """Note an entry of a request that has finished, with any outcome."""
        self._recent[0].setdefault(slice_number, {})[endpoint] = None

    def recent(self, slice_number: int) -> Endpoints:
        """Return the endpoints of a slice's recent entries."""
        endpoints: Endpoints = {}
        for named in self._recent:
            endpoints.update(named.get(slice_number, {}))
        return endpoints

    def add_unconfirmed(self, slice_number: int, endpoints: Iterable[str]) -> None:
        """Note entries that have to be ordered again once the slice's stored entries have been told."""
        self._unconfirmed.setdefault(slice_number, {}).update(dict.fromkeys(endpoints))

    def heartbeat(self, owned: Container[int]) -> dict[int, Endpoints]:
        """Handle a heartbeat: what the registry stored when it assigned the owned slices has been told.

        Returns:
            The endpoints of unconfirmed entries by owned slice; those of other slices wait until they are owned.
        """
        self._recent.appendleft({})
        confirmed = [slice_number for slice_number in self._unconfirmed if slice_number in owned]
        return {slice_number: self._unconfirmed.pop(slice_number) for slice_number in confirmed}
