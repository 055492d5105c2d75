"""Tracks which slices this controller owns through leases that it renews in the store."""

from __future__ import annotations

from damsonpick.state.store.leases import LeaseStore

LEASE_NS = 10_000_000_000  # longer than a restart takes, so that no other controller takes over the slices meanwhile


class SliceOwnership:
    """The slices that this controller owns.

    Args:
        store: Stores the leases.
        owner: Name of this controller.
    """

    def __init__(self, store: LeaseStore, owner: str) -> None:
        """Start without slices. The caller assigns the result of a claim to `owned`."""
        self.store = store
        self.owner = owner
        self.owned: set[int] = set()

    def claim(self, now: int) -> set[int]:
        """Renew own leases and acquire free ones. Does not change `owned`.

        Args:
            now: Current time in ns.

        Returns:
            Numbers of the slices whose leases this controller owns from now on.
        """
        return {lease.slice for lease in self.store.claim(self.owner, now, LEASE_NS)}
