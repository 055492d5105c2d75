"""Settings of the deployments that the cases play, with figures from the site files and pages of the users."""

from __future__ import annotations

from typing import Any, NamedTuple

NS = 1_000_000_000
MS = 1_000_000


class RequestClass(NamedTuple):
    """A request class: share of the requests, times in seconds, effect, worth, and whether it writes."""

    name: str
    share: float
    aim_s: float
    deadline_s: float
    effect: str
    worth: float
    write: bool = False


class Deployment(NamedTuple):
    """Figures of one deployment. Times are in seconds."""

    name: str
    zones: tuple[str, ...]
    endpoints: int
    proxies: int
    pilots: int
    slices: int
    request_rate: float
    work_s: float
    classes: tuple[RequestClass, ...]
    lines_per_s: float
    most_waiting: float
    overhead: float
    transit_s: tuple[float, float]
    read_store_s: tuple[float, float]
    pushes_allowed: int
    window_s: float
    unserved_max_s: float
    grace_s: float
    cold_share: float
    cold_s: float
    fall_multiple: float
    fall_s: float
    reports_per_s: int
    ask_every_s: float
    sole_owner: bool = False
    even: bool = False  # equal endpoints, equal requests, and the same number of them for each slice
    discovery: str = "subscribe"
    load_fields: tuple[str, ...] = ("busy_reqs",)

    def for_pilot(self, number: int) -> dict[str, Any]:
        """Return the nested settings that the configuration of a pilot contains."""
        return {
            "me": number,
            "peersTotal": self.pilots,
            "zone": self.zones[number % len(self.zones)],
            "zones": list(self.zones),
            "discovery": self.discovery,
            "workload": "control",
            "weights": "rough",
            "worthBy": "request",
            "shapes": ["novi-stroj", "stari-stroj"],
            "grades": [_grade(request_class) for request_class in self.classes],
            "domain": self._domain(),
            "report": {"how": "answers" if self.load_fields else "none", "fields": list(self.load_fields)},
            "rules": {
                "askEveryNs": int(self.ask_every_s * NS),
                "coldShare": self.cold_share,
                "coldNs": int(self.cold_s * NS),
                "stopSendingWithinNs": int(self.grace_s * NS),
                "fallMultiple": self.fall_multiple,
                "fallNs": int(self.fall_s * NS),
            },
            "limits": {"mayTell": False, "mayProbe": False, "streamsPerConn": 100},
        }

    def _domain(self) -> dict[str, Any]:
        return {
            "admission": "ratio",
            "agents": self.proxies,
            "baseMode": 1,
            "classWrites": [c.write for c in self.classes],
            "zoneBound": [False for _ in self.classes],
            "costPerLine": 0.02,
            "egressPerS": self.lines_per_s,
            "initialSet": 6,
            "intakePerS": float(self.reports_per_s),
            "leaseNs": int(1.5 * NS),
            "lingersNs": int(3 * NS),
            "mostWaiting": self.most_waiting,
            "overhead": self.overhead,
            "pick": "pair",
            "pushDelayNs": int(sum(self.transit_s) / 2 * NS),
            "pushesAllowed": self.pushes_allowed,
            "reportEveryNs": NS,
            "shards": self.slices,
            "shiftFee": 0.005,
            "socketsMin": 110.0,
            "soleOwner": self.sole_owner,
            "strikes": 3,
            "transitMaxNs": int(self.transit_s[1] * NS),
            "tryFactor": 1.2,
            "unservedMaxNs": int(self.unserved_max_s * NS),
            "updateWindowNs": int(self.window_s * NS),
            "waitsForTableNs": int(0.2 * NS),
            "warmKeys": False,
            "zonal": False,
        }


def _grade(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "aimNs": int(request_class.aim_s * NS),
        "deadlineNs": int(request_class.deadline_s * NS),
        "effect": request_class.effect,
        "keyScope": "all",
        "windowNs": 5 * NS,
        "worth": request_class.worth,
        "lateShare": 0.2,
    }


# Figures of the site file ocitanja-vode.toml: 15 endpoints and 12 proxies (scale), 1 pilot (least = 1), 6 slices for
# each endpoint (slices_per_server = 4.1 to 7.8), and a channel as in [fam]. What the channel sends in one second may
# wait (backlog_ms = 1000); 12 messages in 10 s may be written to one proxy (messages_most = 12). The limit on proxies
# without an endpoint is that of the start message in WIRE.
WATER = Deployment(
    name="ocitanja-vode",
    zones=("kolodvorska", "optujska", "zagrebacka"),
    endpoints=15,
    proxies=12,
    pilots=1,
    slices=90,
    request_rate=160.0,
    work_s=0.31,
    classes=(
        RequestClass("pregled-potrosnje", 0.67, 1.5, 4.0, "read_like", 2.0),
        RequestClass("unos-stanja", 0.33, 1.5, 4.0, "read_like", 6.0),
    ),
    lines_per_s=7000.0,
    most_waiting=7000.0,
    overhead=16.0,
    transit_s=(0.1, 0.29),
    read_store_s=(0.09, 0.44),
    pushes_allowed=12,
    window_s=10.0,
    unserved_max_s=2.8,
    grace_s=2.0,
    cold_share=0.28,
    cold_s=16.0,
    fall_multiple=3.0,
    fall_s=2.0,
    reports_per_s=250,
    ask_every_s=10.0,
    discovery="automatic",
    load_fields=(),
)
# The same on the busiest days (big_servers, big_balancers).
WATER_BUSY = WATER._replace(endpoints=18, proxies=15, slices=108)
