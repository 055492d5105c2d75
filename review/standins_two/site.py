"""The site of a play: a small deployment with the names and units of the users' pages."""

from __future__ import annotations

import copy
from dataclasses import dataclass, field
from typing import Any

MS = 1_000_000
CLASSES = ("provjera", "uplata")
WRITE_CLASS = 1


@dataclass
class Site:
    """Figures of a site. Times are in seconds, rates per second.

    Attributes:
        zones: Names of the zones.
        servers: Number of servers at the start.
        proxies: Number of proxies.
        pilots: Number of pilots.
        slices: Number of slices.
        rate: Requests of all clients.
        lines_per_s: Lines that the channel of a pilot sends.
        most_waiting: Most lines that may wait in the channel of a pilot.
        head: Lines that each message costs besides its own.
        late: Shortest and longest way of a message.
        grace: Drain grace.
        bare: Longest time without a line.
        cold_share: Share of its capacity that a started server has.
        cold_s: Time until a started server is warm.
        fall_multiple: Multiple of its present capacity at which a cold server falls over.
        fall_s: Time for which it gets that much.
        sole_owner: Whether a table has one line.
        lease: Time for which a proxy that lost its stream sends writes.
        linger: Longest time that a write is in hand.
        messages: Most messages to one proxy within `window`, 0 for no limit.
        window: Time to which `messages` applies.
        takeover: Time until another pilot is given the slices of a dead one.
        shares: Share of the requests by class.
        service_s: Mean service time of a warm server.
        capacity: Requests that a warm server of weight 1 serves.
        piece: Shortest and longest piece, in bytes, in which news arrives; 0 if each line arrives as it is written.
        piece_gap: Shortest and longest time between two pieces.
        extra: Settings that replace others, by section.
    """

    zones: tuple[str, ...] = ("hallerova", "gospodarska", "trakoscanska")
    servers: int = 16
    proxies: int = 18
    pilots: int = 2
    slices: int = 96
    rate: float = 170.0
    lines_per_s: float = 4000.0
    most_waiting: float = 6000.0
    head: float = 8.0
    late: tuple[float, float] = (0.1, 0.35)
    grace: float = 1.5
    bare: float = 2.8
    cold_share: float = 0.17
    cold_s: float = 15.0
    fall_multiple: float = 2.5
    fall_s: float = 1.5
    sole_owner: bool = False
    lease: float = 1.5
    linger: float = 0.2
    messages: int = 0
    window: float = 10.0
    takeover: float = 2.0
    shares: tuple[float, ...] = (0.56, 0.44)
    service_s: float = 0.2
    capacity: float = 22.0
    piece: tuple[int, int] = (0, 0)
    piece_gap: tuple[float, float] = (0.0, 0.0)
    extra: dict[str, Any] = field(default_factory=dict)

    def settings(self, number: int) -> dict[str, Any]:
        """Return the settings that a pilot is given."""
        settings: dict[str, Any] = {
            "me": number,
            "peersTotal": self.pilots,
            "zone": self.zones[number % len(self.zones)],
            "zones": list(self.zones),
            "discovery": "subscribe",
            "weights": "rough",
            "workload": "control",
            "domain": {
                "admission": "ratio",
                "agents": self.proxies,
                "baseMode": 1,
                "classWrites": [False, True],
                "egressPerS": self.lines_per_s,
                "intakePerS": 400.0,
                "leaseNs": int(self.lease * 1000) * MS,
                "lingersNs": int(self.linger * 1000) * MS,
                "mostWaiting": self.most_waiting,
                "overhead": self.head,
                "pick": "pair",
                "pushDelayNs": int(sum(self.late) / 2 * 1000) * MS,
                "pushesAllowed": self.messages,
                "reportEveryNs": 1000 * MS,
                "shards": self.slices,
                "soleOwner": self.sole_owner,
                "strikes": 3,
                "transitMaxNs": int(self.late[1] * 1000) * MS,
                "unservedMaxNs": int(self.bare * 1000) * MS,
                "updateWindowNs": int(self.window * 1000) * MS,
                "waitsForTableNs": 200 * MS,
                "warmKeys": True,
            },
            "grades": [
                {
                    "name": name,
                    "aimNs": 1200 * MS,
                    "deadlineNs": 3000 * MS,
                    "effect": "non_idempotent" if place == WRITE_CLASS else "read_like",
                    "worth": 6.0 if place == WRITE_CLASS else 2.0,
                }
                for place, name in enumerate(CLASSES)
            ],
            "report": {"how": "answers", "fields": ["busy_reqs"]},
            "rules": {
                "askEveryNs": 10_000 * MS,
                "coldNs": int(self.cold_s * 1000) * MS,
                "coldShare": self.cold_share,
                "fallMultiple": self.fall_multiple,
                "fallNs": int(self.fall_s * 1000) * MS,
                "stopSendingWithinNs": int(self.grace * 1000) * MS,
            },
        }
        for section, values in copy.deepcopy(self.extra).items():
            settings[section].update(values)
        return settings
