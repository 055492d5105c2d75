"""Results of an experiment, and their comparison with an earlier results file.

Latency is measured from the due time of a request, not from its send time, so it includes the wait for a stalled target
(G. Tene, "How NOT to Measure Latency", 2015). HDR histograms store the latencies from 1 us to 100 s with three
significant digits.
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
    """Outcomes and latencies of one request class."""

    def __init__(self) -> None:
        self.histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.outcomes: dict[str, int] = {}

    def add(self, outcome: str, latency_us: int) -> None:
        """Count one request.

        Args:
            outcome: Status code of the response, or the kind of failure.
            latency_us: Latency in us from the due time.
        """
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.histogram.record_value(min(MAX_LATENCY_US, max(MIN_LATENCY_US, latency_us)))

    def view(self, seconds: float) -> dict[str, Any]:
        """Return the part of the report about this class. `seconds` is the length of the run without warm-up."""
        count = sum(self.outcomes.values())
        return {
            "requests": count,
            "per_second": round(count / seconds, 1),
            "ends": dict(sorted(self.outcomes.items())),
            "latency_us": {f"p{p:g}": self.histogram.get_value_at_percentile(p) for p in PERCENTILES},
            "histogram": self.histogram.encode().decode(),
        }


def report(experiment: Experiment, results: dict[str, ClassResults], max_lateness_us: int) -> dict[str, Any]:
    """Return the report as a JSON object.

    Args:
        experiment: The experiment.
        results: Results by request class.
        max_lateness_us: Largest delay between the due time of a request and the start of the task that sends it. It
            shows whether the tool itself kept the schedule.
    """
    counted_ns = experiment.load.length - experiment.load.warm_up
    return {
        "experiment": experiment.model_dump(mode="json"),
        "python": platform.python_version(),
        "sender_late_us": max_lateness_us,
        "classes": {name: result.view(counted_ns / NS_PER_SECOND) for name, result in sorted(results.items())},
    }


def compare(now: dict[str, Any], path: Path) -> list[list[object]]:
    """Compare results with an earlier results file. Return rows of class, figure, earlier value, new value and ratio.

    Classes that the earlier file does not contain are left out.

    Raises:
        ValueError: The file cannot be read, is not a results file, or belongs to another experiment.
    """
    try:
        before = json.loads(path.read_text())
        classes = before["classes"]
    except (OSError, ValueError, KeyError) as error:
        raise ValueError(
            f"{path}: cannot be read as a results file of this tool ({error}); pass a file that --out wrote"
        ) from None
    if before["experiment"] != now["experiment"]:
        raise ValueError(f"{path}: is from another experiment; compare runs of the same experiment file")
    rows: list[list[object]] = []
    for name, view in now["classes"].items():
        if name not in classes:
            continue
        for figure, value in view["latency_us"].items():
            earlier = classes[name]["latency_us"][figure]
            rows.append([name, f"{figure} us", earlier, value, f"{value / max(1, earlier):.2f}"])
        successes, earlier_successes = view["ends"].get("200", 0), classes[name]["ends"].get("200", 0)
        rows.append([name, "answered", earlier_successes, successes, f"{successes / max(1, earlier_successes):.2f}"])
    return rows
