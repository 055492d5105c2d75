"""What a rule's check showed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

UNKNOWN = "-"
NO_SLICE = -1


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach of a rule.

    Attributes:
        time_ns: when, on the scenario's clock.
        gateway: where, or `-` if no single gateway is concerned.
        slice_number: which slice, or -1.
        server: which server, or `-`.
        text: what was seen.
    """

    time_ns: int
    text: str
    gateway: str = UNKNOWN
    slice_number: int = NO_SLICE
    server: str = UNKNOWN

    def as_dict(self) -> dict[str, Any]:
        """The breach in the command's JSON output."""
        return {
            "t": self.time_ns,
            "gateway": self.gateway,
            "slice": self.slice_number,
            "server": self.server,
            "text": self.text,
        }


@dataclass(slots=True)
class RuleResult:
    """How often a rule was tested, the worst figure against its limit, and every breach.

    Attributes:
        name: the rule, as in the command's output.
        limit: bound of the figure.
        unit: of figure and limit.
    """

    name: str
    limit: float
    unit: str
    tested: int = 0
    worst: float = 0.0
    breaches: list[Breach] = field(default_factory=list)

    def observe(self, figure: float) -> None:
        """Count one test of the rule and its figure."""
        self.tested += 1
        self.worst = max(self.worst, figure)

    def as_dict(self) -> dict[str, Any]:
        """The result in the command's JSON output."""
        return {
            "rule": self.name,
            "tested": self.tested,
            "worst": round(self.worst, 3),
            "limit": self.limit,
            "unit": self.unit,
            "breaches": [breach.as_dict() for breach in self.breaches],
        }
