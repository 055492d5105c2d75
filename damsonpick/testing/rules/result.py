"""Result of checking a rule."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

NOT_APPLICABLE = "-"
NO_SLICE = -1


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach of a rule.

    Attributes:
        time_ns: Time of the breach, in ns of the scenario's clock.
        text: Description of the breach for the report.
        gateway: Name of the gateway, or `-` if the breach does not concern a single gateway.
        slice_number: Number of the slice, or -1 if the breach does not concern a single slice.
        server: Address of the server, or `-` if the breach does not concern a single server.
    """

    time_ns: int
    text: str
    gateway: str = NOT_APPLICABLE
    slice_number: int = NO_SLICE
    server: str = NOT_APPLICABLE

    def as_dict(self) -> dict[str, Any]:
        """Return the breach as an object of the command's JSON output."""
        return {
            "t": self.time_ns,
            "gateway": self.gateway,
            "slice": self.slice_number,
            "server": self.server,
            "text": self.text,
        }


@dataclass(slots=True)
class RuleResult:
    """Result of checking one rule, which compares a figure, for example a duration, with a limit.

    Attributes:
        name: Name of the rule in the command's output.
        limit: Bound that the rule's figure must not exceed.
        unit: Unit of the figure and of the limit.
        tested: Number of times that the rule was tested.
        worst: Largest figure observed; 0 if there was none.
        breaches: Every breach, in the order of detection.
    """

    name: str
    limit: float
    unit: str
    tested: int = 0
    worst: float = 0.0
    breaches: list[Breach] = field(default_factory=list)

    def observe(self, figure: float) -> None:
        """Count one test of the rule, and keep its figure if it is the largest so far."""
        self.tested += 1
        self.worst = max(self.worst, figure)

    def as_dict(self) -> dict[str, Any]:
        """Return the result as an object of the command's JSON output."""
        return {
            "rule": self.name,
            "tested": self.tested,
            "worst": round(self.worst, 3),
            "limit": self.limit,
            "unit": self.unit,
            "breaches": [breach.as_dict() for breach in self.breaches],
        }
