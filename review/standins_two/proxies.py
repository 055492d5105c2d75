"""Proxies that do as their tables say, and the streams that they hold to the pilots."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass, field

from review.standins_two.site import WRITE_CLASS, Site


@dataclass
class Stream:
    """The stream of a proxy to one pilot.

    Attributes:
        joined: Whether it is up.
        epoch: Number of its breaks; messages of earlier epochs are lost.
        joined_at: Time of the last joining.
        lost_at: Time of the last break.
        has_read: Whether the proxy has read the store since it joined.
        last_ordered: Time at which the last applied message was ordered.
        deliver_at: Time at which the last message arrives.
        written: Times of the messages that were written.
        was_joined: Whether it was ever joined since the proxy started.
    """

    joined: bool = False
    epoch: int = 0
    joined_at: float = 0.0
    lost_at: float = 0.0
    has_read: bool = False
    last_ordered: float = 0.0
    deliver_at: float = 0.0
    written: list[float] = field(default_factory=list)
    was_joined: bool = False


class Proxy:
    """One proxy.

    Attributes:
        number: Its number.
        zone: Its zone.
        weight: Its share of the traffic.
        alive: Whether the process runs.
        stalled_until: Time until which it stands still.
        tables: The lines that it holds, by slice.
        outs: Servers that a pilot has shut out, by pilot.
        levels: Levels for all tables of a pilot, by pilot and class.
        slice_levels: Levels of single tables, by slice and class.
        streams: Streams by pilot.
        read_at: Time of the last reading of a slice from the store, by slice.
        hands_at: Time at which a slice changed hands, by slice.
    """

    def __init__(self, number: int, weight: float, site: Site) -> None:
        """Create a proxy without streams."""
        self.number, self.weight = number, weight
        self.zone = site.zones[number % len(site.zones)]
        self.alive = True
        self.stalled_until = 0.0
        self.tables: dict[int, dict[str, float]] = {}
        self.outs: list[set[str]] = [set() for _ in range(site.pilots)]
        self.levels: list[dict[int, float]] = [{} for _ in range(site.pilots)]
        self.slice_levels: dict[int, dict[int, float]] = {}
        self.streams = [Stream() for _ in range(site.pilots)]
        self.hands_at: dict[int, float] = {}
        self.read_at: dict[int, float] = {}
        self.out_now: dict[str, int] = {}
        self.failures: dict[str, int] = {}
        self.shunned: dict[str, float] = {}
        self._site = site

    def is_stalled(self) -> bool:
        """Return whether it stands still now."""
        return time.monotonic() < self.stalled_until

    def restart(self) -> None:
        """Forget everything, as a process that has just started."""
        self.tables.clear()
        self.slice_levels.clear()
        self.outs = [set() for _ in self.outs]
        self.levels = [{} for _ in self.levels]
        for stream in self.streams:
            stream.was_joined = stream.has_read = False
            stream.lost_at = -3600.0

    def lines(self, pilot: int, slice_number: int) -> list[str]:
        """Return the servers that it may pick for a slice."""
        out = self.outs[pilot]
        return [name for name, weight in self.tables.get(slice_number, {}).items() if weight > 0 and name not in out]

    def level(self, pilot: int, slice_number: int, kind: int) -> float:
        """Return the share of a class that is let in."""
        return min(self.levels[pilot].get(kind, 1.0), self.slice_levels.get(slice_number, {}).get(kind, 1.0))

    def may_write(self, pilot: int, slice_number: int) -> bool:
        """Return whether it sends writes of a slice, at a site whose tables have one line."""
        if not self._site.sole_owner:
            return True
        stream = self.streams[pilot]
        hands_at = self.hands_at.get(slice_number, 0.0)
        if stream.joined and stream.has_read and self.read_at.get(slice_number, -1.0) >= hands_at:
            return True
        lost_at = max(stream.lost_at, hands_at)
        return time.monotonic() < lost_at + self._site.lease

    def pick(self, pilot: int, slice_number: int, rng: random.Random, tried: set[str]) -> str | None:
        """Pick a server: two drawn by weight, the one with less of its own work out."""
        names = [name for name in self.lines(pilot, slice_number) if name not in tried]
        now = time.monotonic()
        names = [name for name in names if self.shunned.get(name, 0.0) <= now] or names
        if not names:
            return None
        table = self.tables[slice_number]
        first, second = rng.choices(names, [table[name] for name in names], k=2)
        return second if self.out_now.get(second, 0) < self.out_now.get(first, 0) else first

    def ended(self, server: str, failed: bool, rng: random.Random) -> None:
        """Count the end of an attempt."""
        self.out_now[server] = self.out_now.get(server, 1) - 1
        if not failed:
            self.failures.pop(server, None)
            return
        self.failures[server] = self.failures.get(server, 0) + 1
        if self.failures[server] >= 3:
            self.failures.pop(server)
            self.shunned[server] = time.monotonic() + rng.uniform(2.2, 6.8)


def is_write(kind: int) -> bool:
    """Return whether a class writes."""
    return kind == WRITE_CLASS
