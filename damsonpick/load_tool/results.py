"""What an experiment measured, as a file that can be compared with an earlier one.

Latency runs from the moment a request was due, not from when it was sent, so waiting for a stalled target counts
(G. Tene, "How NOT to Measure Latency", 2015). Figures are kept in HDR histograms, three digits, 1 us to 100 s.
"""

from __future__ import annotations

import json
import platform
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from damsonpick.load_tool.experiment import Experiment
from damsonpick.time_units import NS_PER_SECOND

MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 100_000_000, 3
PERCENTILES = (50, 90, 99, 99.9, 100)


class ClassResults:
    """Outcomes and latencies of one class."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.outcomes: dict[str, int] = {}

    def add(self, outcome: str, latency_us: int) -> None:
        """Count one request.

        Args:
            outcome: status, or how it failed.
            latency_us: from the moment it was due.
        """
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.histogram.record_value(min(MAX_LATENCY_US, max(MIN_LATENCY_US, latency_us)))

    def view(self, seconds: float) -> dict[str, Any]:
        """The class in the report."""
        count = sum(self.outcomes.values())
        return {
            "requests": count,
            "per_second": round(count / seconds, 1),
            "ends": dict(sorted(self.outcomes.items())),
            "latency_us": {f"p{p:g}": self.histogram.get_value_at_percentile(p) for p in PERCENTILES},
            "histogram": self.histogram.encode().decode(),
        }


def report(experiment: Experiment, results: dict[str, ClassResults], max_lateness_us: int) -> dict[str, Any]:
    """One JSON object; `max_lateness_us` is the latest start of a request against its due time, a check on the tool."""
    counted_ns = experiment.load.length - experiment.load.warm_up
    return {
        "experiment": experiment.model_dump(mode="json"),
        "python": platform.python_version(),
        "sender_late_us": max_lateness_us,
        "classes": {name: result.view(counted_ns / NS_PER_SECOND) for name, result in sorted(results.items())},
    }


def compare(now: dict[str, Any], path: Path) -> list[list[object]]:
    """Rows (class, figure, earlier, now, ratio).

    Raises:
        ValueError: the file is no results file, or of another experiment.
    """
    try:
        before = json.loads(path.read_text())
        classes = before["classes"]
    except (OSError, ValueError, KeyError) as error:
        raise ValueError(f"{path}: is no results file of this tool ({error}); give one that --out wrote") from None
    if before["experiment"] != now["experiment"]:
        raise ValueError(f"{path}: is of another experiment; compare runs of one file")
    rows: list[list[object]] = []
    for name, view in now["classes"].items():
        if name not in classes:
            continue
        for figure, value in view["latency_us"].items():
            earlier = classes[name]["latency_us"][figure]
            rows.append([name, f"{figure} us", earlier, value, f"{value / max(1, earlier):.2f}"])
        good, was = view["ends"].get("200", 0), classes[name]["ends"].get("200", 0)
        rows.append([name, "answered", was, good, f"{good / max(1, was):.2f}"])
    return rows
