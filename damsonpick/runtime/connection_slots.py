"""Bounds the number of open connections of a server, so that idle ones cannot keep others out."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio


class NoSlotError(Exception):
    """All slots are occupied by connections that are being served."""


@dataclass(slots=True, eq=False)
class Slot:
    """The place of one open connection.

    Attributes:
        owner: Whom the connection belongs to; the limit applies to each owner.
        idle: Whether the connection may be closed in favour of a new one: its peer has requested nothing.
        scope: Cancel scope of the task that serves the connection.
    """

    owner: str
    idle: bool = True
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


class ConnectionSlots:
    """The slots of one server.

    Attributes:
        limit: Most open connections.
        limit_by_owner: Most open connections of one owner.
    """

    def __init__(self, limit: int, limit_by_owner: int | None = None) -> None:
        """Create free slots. Without `limit_by_owner`, only the limit on all connections applies."""
        self.limit = limit
        self.limit_by_owner = limit if limit_by_owner is None else limit_by_owner
        self._slots: dict[Slot, None] = {}  # oldest first

    def count(self) -> int:
        """Return the number of open connections."""
        return len(self._slots)

    @contextmanager
    def occupy(self, owner: str = "") -> Iterator[Slot]:
        """Occupy a slot while a connection is served. If there is none, the longest open idle connection is closed.

        The body of the `with` statement ends early, without an error, if this connection is closed for another one.

        Raises:
            NoSlotError: All slots are occupied, and no connection is idle.
        """
        if sum(slot.owner == owner for slot in self._slots) >= self.limit_by_owner:
            self._close_idle([slot for slot in self._slots if slot.owner == owner])
        elif len(self._slots) >= self.limit:
            self._close_idle(list(self._slots))
        slot = Slot(owner)
        self._slots[slot] = None
        try:
            with slot.scope:
                yield slot
        finally:
            self._slots.pop(slot, None)

    def _close_idle(self, candidates: list[Slot]) -> None:
        for slot in candidates:
            if slot.idle:
                del self._slots[slot]
                slot.scope.cancel()
                return
        raise NoSlotError
