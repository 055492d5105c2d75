"""What a played scenario showed: the rules, and how well requests were served."""

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
LEAD_NS = 2_000_000_000  # of the scenario, before the first request counts


@dataclass(frozen=True, slots=True)
class CompletedRequest:
    """A client's request and how it ended.

    Attributes:
        begun_ns: when it began, on the scenario's clock.
        gateway: which served it.
        answered: whether the client got an answer.
        ending: how it ended.
        latency_ms, objective_ms: how long it took, and how long it should take at most.
        priority_weight: of its class.
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
        """Read a `done` record."""
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
        """Whether it was answered within its objective."""
        return self.answered and self.latency_ms <= self.objective_ms

    @property
    def is_sasp(self) -> bool:
        """Whether a balancer, advised by SASP, served it."""
        return self.gateway.startswith("lb-")


@dataclass(frozen=True, slots=True)
class ProcessLoad:
    """How starved a process of the scenario was; true seconds.

    Attributes:
        name: of the process.
        longest_lag_s: the longest time by which its event loop was late.
        cpu_s, wall_s: its CPU time, and the time it ran; 0: it was killed before it could tell.
    """

    name: str
    longest_lag_s: float
    cpu_s: float
    wall_s: float


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a scenario showed.

    Attributes:
        rules: the result of each rule.
        service: priority weight answered in time over that asked for.
        requests: how many counted.
        endings: how many requests ended in each way.
        service_by_protocol: where gateways of both protocols ran; else empty.
        processes: how starved each process was; no verdict depends on it.
    """

    rules: list[RuleResult]
    service: float
    requests: int
    endings: dict[str, int]
    service_by_protocol: dict[str, float] = field(default_factory=dict)
    processes: list[ProcessLoad] = field(default_factory=list)

    @property
    def kept(self) -> bool:
        """Whether no rule was broken."""
        return not any(rule.breaches for rule in self.rules)

    def as_dict(self) -> dict[str, Any]:
        """The outcome in the command's JSON output."""
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
    """The rules' bounds from a pilot's settings."""
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
    """All records of a scenario in order of time; a line cut short by a kill is left out."""
    found = []
    for path in sorted(folder.glob("*.jsonl")):
        for line in path.read_text().splitlines():
            try:
                found.append(json.loads(line))
            except json.JSONDecodeError:
                continue
    return sorted(found, key=lambda record: record["t"])


def completed_requests(records: Iterable[dict[str, Any]]) -> list[CompletedRequest]:
    """The clients' requests among the records."""
    return [CompletedRequest.from_json(record) for record in records if record["e"] == "done"]


def evaluate(folder: Path, limits: Limits) -> Outcome:
    """Check the rules on a scenario's records and measure its service."""
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
    """The pilot's load by its own log, over all its incarnations; empty if the log tells nothing."""
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
    """Priority weight answered in time over that asked for; 0 without requests."""
    asked = sum(request.priority_weight for request in requests)
    if not asked:
        return 0.0
    return sum(request.priority_weight for request in requests if request.in_time) / asked
