"""Outcome of a scenario: the results of the rules, and the share of requests that were served in time."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from damsonpick.settings.model import PilotSettings
from damsonpick.testing.rules import Checker, EffectRule, Limits, RuleResult
from damsonpick.time_units import MS_PER_SECOND

PILOT_LOG = "pilot.log"
LEAD_NS = 2_000_000_000  # a request that begins less than this scenario time after the first one is not counted


@dataclass(frozen=True, slots=True)
class CompletedRequest:
    """A client's request and its result.

    Attributes:
        begun_ns: Time at which the request began, in ns of the scenario's clock.
        gateway: Name of the gateway or balancer that served the request.
        answered: Whether the client received a response with status 200.
        ending: How the request ended, as text; see `damsonpick.testing.fakes.request_outcome`.
        latency_ms, objective_ms: Duration of the request, and the latency objective of its class.
        priority_weight: Priority weight of the request's class.
    """

    begun_ns: int
    gateway: str
    answered: bool
    ending: str
    latency_ms: int
    objective_ms: int
    priority_weight: float

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> CompletedRequest:
        """Create the request from a `done` JSON object."""
        return cls(
            begun_ns=record["begun"],
            gateway=record["gw"],
            answered=record["ok"],
            ending=record["how"],
            latency_ms=record["ms"],
            objective_ms=record["aim"],
            priority_weight=record["worth"],
        )

    @property
    def in_time(self) -> bool:
        """Return whether the request was answered within its latency objective."""
        return self.answered and self.latency_ms <= self.objective_ms

    @property
    def is_sasp(self) -> bool:
        """Return whether a balancer that uses SASP advice served the request."""
        return self.gateway.startswith("lb-")


@dataclass(frozen=True, slots=True)
class ProcessLoad:
    """Event loop lag and CPU use of a process. They show whether the machine gave the process too little CPU time.

    Times are in seconds of the wall clock, not of the scenario's clock.

    Attributes:
        name: Name of the process.
        longest_lag_s: Longest delay of the process's event loop.
        cpu_s, wall_s: CPU time and running time of the process; 0 if it was killed before it could record them. For
            the pilot, the sums over all incarnations that were not killed.
    """

    name: str
    longest_lag_s: float
    cpu_s: float
    wall_s: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """Outcome of a scenario. A request is counted if it begins at least `LEAD_NS` after the first request.

    Attributes:
        rules: Result of each rule.
        service: Priority weight of the counted requests that were answered in time, as a share of the priority weight
            of all counted requests.
        requests: Number of counted requests.
        endings: Number of counted requests by how they ended; `late` if an answered request missed its latency
            objective.
        service_by_protocol: Service of the xDS gateways and of the SASP balancers, by protocol; empty if no request
            went through a balancer.
        processes: Load of each process. No verdict depends on it.
    """

    rules: list[RuleResult]
    service: float
    requests: int
    endings: dict[str, int]
    service_by_protocol: dict[str, float] = field(default_factory=dict)
    processes: list[ProcessLoad] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Return whether no rule has a breach."""
        return not any(rule.breaches for rule in self.rules)

    def as_dict(self) -> dict[str, Any]:
        """Return the outcome as an object of the command's JSON output."""
        found: dict[str, Any] = {
            "kept": self.kept,
            "service": round(self.service, 4),
            "requests": self.requests,
            "ends": self.endings,
        }
        if self.service_by_protocol:
            found["fronts"] = {name: round(service, 4) for name, service in self.service_by_protocol.items()}
        found["processes"] = [
            {
                "process": load.name,
                "longest_lag_s": round(load.longest_lag_s, 3),
                "cpu_s": round(load.cpu_s, 2),
                "wall_s": round(load.wall_s, 2),
            }
            for load in self.processes
        ]
        found["rules"] = [rule.as_dict() for rule in self.rules]
        return found


def limits_of(settings: PilotSettings) -> Limits:
    """Return the bounds of the rules that a pilot's settings define."""
    rules, channel = settings.rules, settings.channel
    return Limits(
        slice_count=settings.table_count(),
        empty_table_ns=rules.empty_table_limit,
        drain_grace_ns=rules.drain_grace,
        warm_up_ns=rules.warm_up_time,
        overload_multiple=rules.overload_multiple,
        overload_window_ns=rules.overload_time,
        queued_entries=channel.limit if channel.lines_per_second else float("inf"),
        message_overhead_entries=channel.message_overhead,
        messages_per_window=channel.messages_per_window,
        message_window_ns=channel.message_window,
        effect_rules={
            name: EffectRule(request_class.effect, request_class.key_scope, request_class.key_window)
            for name, request_class in settings.classes.items()
        },
    )


def read_records(folder: Path) -> list[dict[str, Any]]:
    """Return all records of a scenario in time order, without lines that the kill of a process truncated."""
    found = []
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_text().splitlines():
            try:
                found.append(json.loads(line))
            except json.JSONDecodeError:
                continue
    return sorted(found, key=lambda record: record["t"])


def completed_requests(records: Iterable[dict[str, Any]]) -> list[CompletedRequest]:
    """Return the clients' completed requests among the records."""
    return [CompletedRequest.from_json(record) for record in records if record["e"] == "done"]


def evaluate(folder: Path, limits: Limits) -> Outcome:
    """Check the rules on a scenario's records, and compute the service of its requests."""
    records = read_records(folder)
    checker = Checker(limits).feed(records)
    requests = completed_requests(records)
    first_counted_ns = min((request.begun_ns for request in requests), default=0) + LEAD_NS
    counted = [request for request in requests if request.begun_ns >= first_counted_ns]
    return Outcome(
        checker.results(),
        service_of(counted),
        len(counted),
        _endings(counted),
        _service_by_protocol(counted),
        [*_pilot_load(folder), *_recorded_loads(records)],
    )


def _recorded_loads(records: Iterable[dict[str, Any]]) -> list[ProcessLoad]:
    return [
        ProcessLoad(record["name"], record["longest_lag_s"], record["cpu_s"], record["wall_s"])
        for record in records
        if record["e"] == "process"
    ]


def _pilot_load(folder: Path) -> list[ProcessLoad]:
    """Return the pilot's load from its log, over all its incarnations; empty if the log contains no event loop lag."""
    entries = _log_entries(folder / PILOT_LOG)
    lags_ms = [entry["longest_lag_ms"] for entry in entries if "longest_lag_ms" in entry]
    endings = [entry for entry in entries if entry.get("event") == "pilot_ended" and "wall_s" in entry]
    if not lags_ms:
        return []
    cpu_s, wall_s = sum(entry["cpu_s"] for entry in endings), sum(entry["wall_s"] for entry in endings)
    return [ProcessLoad("pilot", max(lags_ms) / MS_PER_SECOND, cpu_s, wall_s)]


def _log_entries(path: Path) -> list[dict[str, Any]]:
    entries = []
    for line in path.read_text().splitlines() if path.exists() else ():
        try:
            entry = json.loads(line)
        except json.JSONDecodeError:
            continue
        if isinstance(entry, dict):
            entries.append(entry)
    return entries


def _endings(requests: Sequence[CompletedRequest]) -> dict[str, int]:
    endings: Counter[str] = Counter()
    for request in requests:
        is_late = request.answered and not request.in_time
        endings["late" if is_late else request.ending] += 1
    return dict(endings)


def _service_by_protocol(requests: Sequence[CompletedRequest]) -> dict[str, float]:
    sasp = [request for request in requests if request.is_sasp]
    if not sasp:
        return {}
    xds = [request for request in requests if not request.is_sasp]
    return {"sasp": service_of(sasp), "xds": service_of(xds)}


def service_of(requests: Sequence[CompletedRequest]) -> float:
    """Return the share of the requests' priority weight that was answered in time; 0 if there are no requests."""
    asked = sum(request.priority_weight for request in requests)
    if not asked:
        return 0.0
    return sum(request.priority_weight for request in requests if request.in_time) / asked
