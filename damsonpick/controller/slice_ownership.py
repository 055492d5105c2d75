"""Which slices this controller owns, by leases that it renews in the store."""

from __future__ import annotations

from damsonpick.state.store.leases import LeaseStore

LEASE_NS = 10_000_000_000  # longer than a restart takes, so that no other controller need move the slices


class SliceOwnership:
    """The slices this controller owns.

    Args:
        store: where leases are kept.
        owner: the name of this controller.
    """

    def __init__(self, store: LeaseStore, owner: str) -> None:
        """Own nothing until the first claim is noted in `owned`."""
        self.store = store
        self.owner = owner
        self.owned: set[int] = set()

    def claim(self, now: int) -> set[int]:
        """Renew the leases held and take those that are free; `owned` stays as it was.

        Args:
            now: ns.

        Returns:
            The slices whose lease is held from now on.
        """
        return {lease.slice for lease in self.store.claim(self.owner, now, LEASE_NS)}
