"""A proxy of the model: its streams, tables, withdrawals and write leases."""

from __future__ import annotations

from dataclasses import dataclass, field

from damsonpick import interface as api


@dataclass(slots=True)
class Stream:
    """The stream of a proxy to one pilot.

    Attributes:
        joined: Whether the stream is open.
        epoch: Number of times that the stream was opened or broken; messages of an earlier epoch are lost.
        joined_at: Time of the last opening, ns.
        known: Whether there was a stream to this pilot since the proxy started.
        loss_unnoticed: Whether the stream has broken and the pilot has not been told.
        store_read: Whether the proxy has read the store since the last opening.
        unread_tokens: Sync tokens that are acknowledged once the store is read.
    """

    joined: bool = False
    epoch: int = 0
    joined_at: int = 0
    known: bool = False
    loss_unnoticed: bool = False
    store_read: bool = False
    unread_tokens: list[int] = field(default_factory=list)


@dataclass(slots=True)
class Proxy:
    """One proxy.

    Attributes:
        number: Its number.
        streams: Streams by pilot.
        running: Whether the process runs.
        stalled_until: Time until which the proxy stands still: it sends nothing and applies no messages, ns.
        tables: Entry by slice, on a site with sole owners; a slice without an entry is missing.
        stopped: Slices for which the table's admission level of writes is 0, as keys.
        withdrawn: Withdrawn endpoints by pilot.
        stale_since: Time from which the entry of a slice may be outdated, by slice; the write lease starts then.
    """

    number: int
    streams: list[Stream]
    running: bool = True
    stalled_until: int = 0
    tables: dict[int, str] = field(default_factory=dict)
    stopped: dict[int, None] = field(default_factory=dict)
    withdrawn: list[dict[str, None]] = field(default_factory=list)
    stale_since: dict[int, int] = field(default_factory=dict)

    def restart(self) -> None:
        """Lose everything, as a process that starts again."""
        self.tables, self.stopped, self.stale_since = {}, {}, {}
        self.withdrawn = [{} for _ in self.streams]
        for stream in self.streams:
            stream.known = False

    def apply(self, pilot: int, orders: list[api.Action]) -> None:
        """Apply the orders of one message."""
        for order in orders:
            if isinstance(order, api.SetEntry):
                self.tables[order.table] = order.endpoint
            elif isinstance(order, api.ClearTable):
                self.tables.pop(order.table, None)
                self.stopped.pop(order.table, None)
            elif isinstance(order, api.SetWithdrawn) and order.withdrawn:
                self.withdrawn[pilot][order.endpoint] = None
            elif isinstance(order, api.SetWithdrawn):
                self.withdrawn[pilot].pop(order.endpoint, None)
            elif isinstance(order, api.SetAdmission) and order.table is not None:
                self._set_write_level(order.table, order.level)

    def entry(self, number: int, pilot: int) -> str | None:
        """Return the endpoint to which the proxy sends requests of a slice that a pilot owns."""
        endpoint = self.tables.get(number)
        return None if endpoint in self.withdrawn[pilot] else endpoint

    def may_write(self, number: int, now: int, lease: int) -> bool:
        """Return whether the proxy sends writes of a slice, given its write lease (ns)."""
        if number in self.stopped:
            return False
        return number not in self.stale_since or now < self.stale_since[number] + lease

    def _set_write_level(self, number: int, level: float) -> None:
        if level > 0:
            self.stopped.pop(number, None)
        else:
            self.stopped[number] = None
